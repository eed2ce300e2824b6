// What room each machine has and will have, as far as it can be told: machines that are up, booting
// or planned to be requested, and the ends expected of the tasks that run on them.
#pragma once
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// A start time that stands for none; anything beyond kHorizon_s counts as never.
inline constexpr double kNever_s = 1e18;
inline constexpr double kHorizon_s = 1e17;

// What a running task frees when it ends.
struct TaskEnd {
    double in_s = 0;  // from now
    Resources frees;
};

struct EarliestStart {
    double in_s;  // from now; kNever_s: the machine is too small
    size_t ends;  // how many of the machine's task ends it waits for
};

// A machine that is up, booting or planned to be requested.
struct ExpectedCapacity {
    Index type, zone;
    bool spot;
    double from_s;  // from now, when `room` is there
    Resources room;
    std::vector<TaskEnd> ends;  // of running tasks, soonest first
    bool booting = false;       // not up yet

    EarliestStart earliest_start(const Resources& demand) const;
    // Assigns it a task that starts as `start` says and then lasts `duration_s`.
    void assign(const Resources& demand, const EarliestStart& start, double duration_s);
};

// Whether tasks of the job may run on the machine, its room aside.
bool capacity_suits(const ClusterState& cluster, const JobSpec& spec, const ExpectedCapacity& c);

// What is left of a task's run, in seconds, at least a share of what it should have been: the
// longer a task is overdue, the longer it is taken to last. Taken for as good as over, tasks of a
// wrong estimate kept others waiting for their room for as long as they ran.
double remaining_run_s(double expected_s, double ran_s);

// The machines that are up and usable, and those that boot.
std::vector<ExpectedCapacity> expected_capacity(const ClusterState& cluster,
                                                const MachineFilter& usable, double now);

}  // namespace weirmill
