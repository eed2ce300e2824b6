// Machine types that the cloud offers, and capacity that it refused.
#pragma once
#include <compare>
#include <utility>
#include <vector>

#include "protocol/types.h"

namespace weirmill {

struct MachineTypeEntry {
    bool offered = false;
    MachineType type;
};

// The cloud refused a request because it had no such machine available.
struct CapacityRefusal {
    Index type, zone;
    bool spot;
    auto operator<=>(const CapacityRefusal&) const = default;
};

}  // namespace weirmill
