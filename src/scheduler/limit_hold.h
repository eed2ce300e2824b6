// Parts of the teams' limits that are held for large jobs which wait in a pass.
#pragma once
#include <vector>

#include "scheduler/placement_pass.h"

namespace weirmill {

// Of each team's limit, what its large jobs are waiting for: small tasks that come after them would
// otherwise fill the limit again each time that one ends, and a large job would never get its
// share. What could not be filled by large jobs alone is left to the others.
class LimitHold {
  public:
    explicit LimitHold(const ClusterState& cluster);
    // What the job must leave of its team's limit to large jobs of higher priority.
    Resources held_from(const Job& job) const;
    // Holds what the job waits for, if it is large and its team has a limit that allows it.
    void hold_for(const Job& job, PlacementPass& pass);

  private:
    struct TeamHold {
        Priority above = Priority::Production;  // jobs of lower priority leave the share
        Resources share;
        Resources placed;  // what large jobs have already
    };
    const ClusterState& cluster_;
    std::vector<TeamHold> teams_;
};

}  // namespace weirmill
