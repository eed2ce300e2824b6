// Detects starved jobs: jobs that wait although eligible machines have room and their team is under
// its limit. For monitoring only. Pure functions of the cluster state and a given time (steady
// clock, seconds).
#pragma once
#include <vector>

#include "metrics/gauge.h"
#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// What keeps a job from free capacity, from the weakest reason to the strongest. A machine has the
// strongest reason that applies to it. A job has the strongest reason among the machines that it
// needs, where the least blocked machines are chosen.
enum class BlockedBy : uint8_t {
    Nothing,          // the next pass should place the job
    BackOff,          // the job failed and is retried later
    ReservedForGpus,  // the capacity is left to tasks with GPUs
    Reserved,         // the machine is reserved for another job
    Quarantined,      // the machine is in quarantine because tasks failed there
    Unreachable,      // the machine sent no recent heartbeat, or its downlink is lost
    Leaving,          // the machine has an interruption notice, or is draining or terminating
};
inline constexpr size_t kBlockedByCount = static_cast<size_t>(BlockedBy::Leaving) + 1;

struct StarvedJob {
    Index job = kNone;
    Index machine = kNone;  // a machine with room for the job; for a gang, for one of its tasks
    BlockedBy blocked_by = BlockedBy::Nothing;
};

// Seconds of waiting after which a job counts as starved, short enough that operators see it before
// users complain.
inline constexpr double kStarvationThreshold_s = 60;

// Returns the starved jobs among those that have been ready for `min_wait_s` seconds without a
// placed or finished task. Machines that were never up or are abandoned count as full.
std::vector<StarvedJob> starved_jobs(const ClusterState& cluster, const MachineFilter& usable,
                                     double now, double min_wait_s);

// Returns the gauges jobs_starved, and jobs_starved_REASON for every reason.
std::vector<Gauge> starved_gauges(const std::vector<StarvedJob>& starved);

}  // namespace weirmill
