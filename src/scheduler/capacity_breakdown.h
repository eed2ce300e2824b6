// Breakdown of the fleet's capacity: what every CPU and GPU that is paid for is used for at one
// moment. Pure functions of the cluster state and a given time (steady clock, seconds); for
// monitoring alone.
#pragma once
#include <array>
#include <string>
#include <vector>

#include "metrics/gauge.h"
#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// Capacity that tasks take, by the state of the task; the rest, by the reason why it is free.
enum class CapacityUse : uint8_t {
    // By tasks, but for Booting, which is free capacity.
    Booting,    // the machine is not up yet
    Running,    // the task runs
    Starting,   // placed, not yet confirmed by its worker
    Fetching,   // waits for its image
    Gathering,  // a gang's task that waits for the others
    Stopping,   // is being stopped, or saves a checkpoint
    // Free.
    Silent,       // no heartbeat lately, or the lease of the machine ran out
    Leaving,      // interruption notice, draining, terminating or abandoned
    Quarantined,  // the machine is in quarantine
    Reserved,     // emptied, or being emptied, for a job
    Empty,        // a machine without tasks
    Fragment,     // beside tasks
};
inline constexpr size_t kCapacityUses = static_cast<size_t>(CapacityUse::Fragment) + 1;

// By use: the sum over all machines whose type is known. The sum over all uses is their whole
// capacity.
struct CapacityBreakdown {
    std::array<Resources, kCapacityUses> by_use{};
    Resources& operator[](CapacityUse use) { return by_use[static_cast<size_t>(use)]; }
    const Resources& operator[](CapacityUse use) const { return by_use[static_cast<size_t>(use)]; }
};
CapacityBreakdown capacity_breakdown(const ClusterState& cluster, const Usable& usable, double now);

// One line: GPUs where there are any, else CPUs, by use, those that are not zero.
std::string capacity_text(const CapacityBreakdown& breakdown);
// Gauges room_USE_cpus and room_USE_gpus, for every use.
std::vector<Gauge> capacity_gauges(const CapacityBreakdown& breakdown);

}  // namespace weirmill
