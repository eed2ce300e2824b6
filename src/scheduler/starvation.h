// Starved jobs: they wait although a machine that fits has room and their team is under its limit.
// Pure functions of the cluster state and a given time (steady clock, seconds); for monitoring
// alone.
#pragma once
#include <vector>

#include "metrics/gauge.h"
#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// What keeps the job from the room, from the slightest reason to the strongest. Of a machine the
// strongest that holds; of a job the strongest among the machines that it needs, least blocked ones
// taken first.
enum class BlockedBy : uint8_t {
    Nothing,      // the next pass should place it
    BackOff,      // the job failed, and is tried again later
    Spared,       // the room is left to tasks with GPUs
    Reserved,     // the machine is reserved for another job
    Quarantined,  // the machine failed tasks
    Unheard,      // no heartbeat from the machine, or its downlink is lost
    Leaving,      // interruption notice, draining or terminating
};
inline constexpr size_t kBlockedByKinds = static_cast<size_t>(BlockedBy::Leaving) + 1;

struct StarvedJob {
    Index job = kNone;
    Index machine = kNone;  // of a gang: one of those that would hold it
    BlockedBy blocked_by = BlockedBy::Nothing;
};

// Wait after which a job counts as starved: well before its users would say so.
inline constexpr double kStarvedAfter_s = 60;

// The starved jobs among those of which nothing was placed for `waits_s` seconds since they could
// begin. Machines that never were up or are abandoned count as without room.
std::vector<StarvedJob> starved_jobs(const ClusterState& cluster, const Usable& usable, double now,
                                     double waits_s);

// Gauges jobs_starved, and jobs_starved_REASON for every reason.
std::vector<Gauge> starved_gauges(const std::vector<StarvedJob>& starved);

}  // namespace weirmill
