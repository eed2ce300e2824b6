// The capacity that each machine has now and is expected to have later. Covers machines that are
// up, booting or planned to be requested, and takes into account when running tasks should end.
#pragma once
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// The start delay of a task that can never start.
inline constexpr double kNever_s = 1e18;
// Delays beyond this count as never.
inline constexpr double kHorizon_s = 1e17;

// The expected end of a running task.
struct TaskEnd {
    double in_s = 0;     // seconds from now
    Resources released;  // resources that become available
};

struct EarliestStart {
    double in_s;         // seconds from now; kNever_s if the machine is too small
    size_t tasks_ended;  // how many of the machine's tasks have to end first
};

// The capacity of one machine that is up, booting or planned to be requested.
struct ExpectedCapacity {
    Index type, zone;
    bool spot;
    double available_in_s;  // seconds from now until `available` can be used
    Resources available;
    std::vector<TaskEnd> task_ends;  // of the running tasks, earliest first
    bool booting = false;            // requested or planned, but not up yet

    EarliestStart earliest_start(const Resources& demand) const;
    // Reserves resources for a task that starts at `start` and runs for `duration_s` seconds.
    void assign(const Resources& demand, const EarliestStart& start, double duration_s);
};

// Returns whether tasks of the job may run on the machine, regardless of its available resources.
bool capacity_eligible(const ClusterState& cluster, const JobSpec& spec,
                       const ExpectedCapacity& capacity);

// Returns the expected remaining run time of a task in seconds. The result is at least a fixed
// share of the expected run time, or of the elapsed one if that is longer, so that a task which
// exceeds its estimate is not assumed to end at once: other tasks would be planned to wait for it
// for as long as it runs.
double remaining_run_s(double expected_s, double ran_s);

// Returns the machines that are up and usable, and those that are booting.
std::vector<ExpectedCapacity> expected_capacity(const ClusterState& cluster,
                                                const MachineFilter& usable, double now);

}  // namespace weirmill
