// Machine types as the cloud offers them, and its refusals to provide one.
#pragma once
#include <compare>
#include <utility>
#include <vector>

#include "protocol/types.h"

namespace weirmill {

struct TypeInfo {
    bool offered = false;
    MachineType type;
};

// The cloud had no machine of this kind when it was asked.
struct Refusal {
    Index type, zone;
    bool spot;
    auto operator<=>(const Refusal&) const = default;
};

}  // namespace weirmill
