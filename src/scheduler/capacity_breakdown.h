// Where the fleet's room is: what every CPU and GPU that is paid for does at one moment. Pure
// functions of the tables and a given time; they decide nothing.
#pragma once
#include <array>
#include <map>
#include <string>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// Of a machine's room that tasks take, by what they do; of the rest, by why nobody has it.
enum class CapacityUse : uint8_t {
    Booting,      // not up yet
    Running,      // a task runs there
    Starting,     // placed, and its worker has not said that it has it
    Fetching,     // waits for its image
    Gathering,    // a gang's task that waits for the others
    Stopping,     // told to stop, or saving
    Silent,       // not heard of lately, or its lease ran out
    Leaving,      // noticed, closing, returned or given up
    Quarantined,  // in quarantine
    Reserved,     // emptied, or being emptied, for a job
    Empty,        // a whole machine
    Fragment,     // beside tasks
};
inline constexpr size_t kCapacityUses = static_cast<size_t>(CapacityUse::Fragment) + 1;

// By kind: the sum over all machines whose type is known. What runs adds up with the rest to all
// there is.
struct CapacityBreakdown {
    std::array<Resources, kCapacityUses> room{};
    Resources& operator[](CapacityUse is) { return room[static_cast<size_t>(is)]; }
    const Resources& operator[](CapacityUse is) const { return room[static_cast<size_t>(is)]; }
};
CapacityBreakdown capacity_breakdown(const ClusterState& cluster, const Usable& usable, double now);

// One line: GPUs where there are any, else CPUs, by kind, those that are not zero.
std::string capacity_text(const CapacityBreakdown& account);
void capacity_gauges(const CapacityBreakdown& account, std::map<std::string, double>& out);

}  // namespace weirmill
