// Zone constraints of jobs whose tasks must share one zone (gangs and arrays with `one_zone`) or
// must survive the loss of one (`spread`: at most half of the tasks in each).
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// The zones in which tasks of the job may be placed, given where its others are. Refers to the
// cluster and the job, which must outlive it.
struct ZoneRule {
    const ClusterState& cluster;
    const Job& job;
    std::vector<uint32_t> in_zone;  // tasks that may be there, by zone index
    uint32_t somewhere = 0;         // of those, on machines whose zone is not known
    ZoneRule(const ClusterState& cluster, const Job& job);
    bool allows(Index zone) const;
    // Counts a task that was placed in the zone. The rule only gets stricter: a zone that it rules
    // out stays ruled out.
    void add(Index zone);

  private:
    bool another_zone_in_use(Index zone) const;
};

}  // namespace weirmill
