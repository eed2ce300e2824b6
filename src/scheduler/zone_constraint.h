// Zone constraints of jobs whose tasks must share one zone (`one_zone`), or must survive the loss
// of one zone (`spread`: at most half of the tasks in each).
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// The zones in which more tasks of the job may be placed, given the zones of its placed tasks.
// Refers to the cluster state and the job, which must outlive it.
struct ZoneConstraint {
    const ClusterState& cluster;
    const Job& job;
    std::vector<uint32_t> tasks_in_zone;  // placed tasks, by zone index
    uint32_t tasks_in_unknown_zone = 0;   // placed tasks on machines whose zone is not known
    ZoneConstraint(const ClusterState& cluster, const Job& job);
    bool allows(Index zone) const;
    // Counts a task that was placed in the zone. This never allows a zone that was not allowed
    // before.
    void add(Index zone);

  private:
    bool another_zone_in_use(Index zone) const;
};

}  // namespace weirmill
