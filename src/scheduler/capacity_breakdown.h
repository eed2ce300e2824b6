// Breakdown of the fleet's capacity: what each CPU and GPU of the machines is used for at one
// moment. For monitoring only. Pure functions of the cluster state and a given time (steady
// clock, seconds).
#pragma once
#include <array>
#include <string>
#include <vector>

#include "metrics/gauge.h"
#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// Capacity that tasks occupy is classified by the state of the task; free capacity, by the reason
// why it is free.
enum class CapacityUse : uint8_t {
    Booting,  // free: the machine is not up yet
    // Occupied by a task.
    Running,         // the task runs
    Starting,        // the task is placed and its worker has not confirmed it yet
    Fetching,        // the task waits for its image
    WaitingForGang,  // the task waits for the other tasks of its gang
    Stopping,        // the task is being stopped or saves a checkpoint
    // Free.
    Unreachable,  // the machine sent no recent heartbeat, or its worker's lease has expired
    Leaving,  // the machine has an interruption notice, or is draining, terminating or abandoned
    Quarantined,  // the machine is in quarantine
    Reserved,     // the machine is reserved for a job, which may wait until it is evicted
    Empty,        // the machine has no tasks
    Fragment,     // the machine also runs tasks
};
inline constexpr size_t kCapacityUseCount = static_cast<size_t>(CapacityUse::Fragment) + 1;

// Sums over all machines of known type, by use. All uses together add up to the whole capacity of
// these machines.
struct CapacityBreakdown {
    std::array<Resources, kCapacityUseCount> by_use{};
    Resources& operator[](CapacityUse use) { return by_use[static_cast<size_t>(use)]; }
    const Resources& operator[](CapacityUse use) const { return by_use[static_cast<size_t>(use)]; }
};

// Computes the breakdown. `usable`: accepts machines that may be given tasks now.
CapacityBreakdown capacity_breakdown(const ClusterState& cluster, const MachineFilter& usable,
                                     double now);

// Returns the non-zero uses in one line, in GPUs if the fleet has any, otherwise in CPUs.
std::string capacity_summary(const CapacityBreakdown& breakdown);

// Returns the gauges room_USE_cpus and room_USE_gpus for every use.
std::vector<Gauge> capacity_gauges(const CapacityBreakdown& breakdown);

}  // namespace weirmill
