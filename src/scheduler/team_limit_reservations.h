// Parts of the teams' limits that are reserved for large waiting jobs during a pass.
#pragma once
#include <vector>

#include "scheduler/placement_pass.h"

namespace weirmill {

// Reserves, out of each team's limit, what its large waiting jobs need. Without that, small tasks
// of lower priority would use up the limit again whenever one of them ends, and a large job would
// never get its share. What large jobs alone could not use is left to other jobs.
class TeamLimitReservations {
  public:
    explicit TeamLimitReservations(const ClusterState& cluster);
    // Returns what the job must leave of its team's limit to large jobs of higher priority.
    Resources reserved_against(const Job& job) const;
    // Reserves what the job waits for, if it is large and its team's limit allows it.
    void reserve_for(const Job& job, PlacementPass& pass);

  private:
    struct TeamReservation {
        // Jobs of lower priority than this may not use the share.
        Priority priority = Priority::Production;
        Resources share;
        Resources placed;  // what placed tasks of large jobs use
    };
    const ClusterState& cluster_;
    std::vector<TeamReservation> by_team_;
};

}  // namespace weirmill
