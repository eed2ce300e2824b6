// The machines that suit jobs of one shape (JobSpec::same_shape_as), soonest start first. Most jobs
// of a class share their shape: with the machines searched for each job anew, the product of jobs
// and machines was nearly all that a plan cost.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "autoscaler/expected_capacity.h"
#include "autoscaler/opening_list.h"

namespace weirmill {

class ShapeIndex {
  public:
    ShapeIndex(const ClusterState& cluster, const JobSpec& shape);

    [[nodiscard]] const JobSpec& shape() const { return shape_; }
    // Where each machine has room for a task, and of these, booting machines with room as they are.
    [[nodiscard]] const OpeningList& openings() const { return openings_; }
    [[nodiscard]] const OpeningList& booting() const { return booting_; }
    [[nodiscard]] bool stale(const Opening& o) const { return versions_[o.machine] != o.version; }
    // How many tasks fit beside each other into the room that the zone's machines have now.
    [[nodiscard]] int64_t tasks_in_zone(Index zone) const {
        return zone < zone_tasks_.size() ? zone_tasks_[zone] : 0;
    }

    void rebuild(const std::vector<ExpectedCapacity>& machines, size_t zones);
    // The machine has changed, or is a new one.
    void update(size_t machine, const ExpectedCapacity& c);

  private:
    [[nodiscard]] bool suits(const ExpectedCapacity& c) const;
    void count_tasks(size_t machine, const ExpectedCapacity& c);
    std::optional<Opening> opening(size_t machine, const ExpectedCapacity& c);

    JobSpec shape_;
    std::vector<bool> suitable_types_;  // by type index
    OpeningList openings_, booting_;
    std::vector<uint32_t> versions_;      // by machine: how often it was looked at
    std::vector<int64_t> machine_tasks_;  // by machine: tasks beside each other in its present room
    std::vector<int64_t> zone_tasks_;     // by zone index: the sum of these
};

}  // namespace weirmill
