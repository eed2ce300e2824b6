// An index of the machines that suit jobs of one shape (JobSpec::same_shape_as), ordered by when a
// task can start. Most jobs of a class have the same shape, so the index is kept between jobs:
// searching all machines for each job, at a cost of jobs times machines, dominated a planning pass.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "autoscaler/expected_capacity.h"
#include "autoscaler/start_slot_list.h"

namespace weirmill {

class ShapeIndex {
  public:
    ShapeIndex(const ClusterState& cluster, const JobSpec& shape);

    [[nodiscard]] const JobSpec& shape() const { return shape_; }
    // The earliest start slot of each suitable machine.
    [[nodiscard]] const StartSlotList& slots() const { return slots_; }
    // Those of slots() on booting machines where a task does not have to wait for another to end.
    [[nodiscard]] const StartSlotList& booting_slots() const { return booting_slots_; }
    [[nodiscard]] bool is_stale(const StartSlot& slot) const {
        return versions_[slot.machine] != slot.version;
    }
    // Returns how many tasks fit into the resources that the zone's machines have available now.
    [[nodiscard]] int64_t tasks_in_zone(Index zone) const {
        return zone < zone_tasks_.size() ? zone_tasks_[zone] : 0;
    }

    void rebuild(const std::vector<ExpectedCapacity>& machines, size_t zone_count);
    // Updates the index after a machine has changed or has been added.
    void update(size_t machine, const ExpectedCapacity& capacity);

  private:
    [[nodiscard]] bool is_eligible(const ExpectedCapacity& capacity) const;
    void count_tasks(size_t machine, const ExpectedCapacity& capacity);
    std::optional<StartSlot> compute_slot(size_t machine, const ExpectedCapacity& capacity);

    JobSpec shape_;
    std::vector<bool> eligible_types_;  // by type index
    StartSlotList slots_, booting_slots_;
    std::vector<uint32_t> versions_;      // by machine: how often its slot has been computed
    std::vector<int64_t> machine_tasks_;  // by machine: tasks that fit into its available resources
    std::vector<int64_t> zone_tasks_;     // by zone index: the sum over the zone's machines
};

}  // namespace weirmill
