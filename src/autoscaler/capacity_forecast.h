// The expected capacity of all machines after the jobs that have been planned so far, with a cached
// index of the machines for each recently used job shape.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "autoscaler/expected_capacity.h"
#include "autoscaler/shape_index.h"

namespace weirmill {

// Refers to the cluster state, which must outlive it.
class CapacityForecast {
  public:
    // `max_shapes`: see AutoscalerSettings::max_cached_shapes.
    CapacityForecast(const ClusterState& cluster, std::vector<ExpectedCapacity> machines,
                     size_t max_shapes);

    [[nodiscard]] const std::vector<ExpectedCapacity>& machines() const { return machines_; }

    // Returns the up-to-date index for the job's shape. The reference is valid until the next call.
    const ShapeIndex& index_for(const JobSpec& spec);

    // Replaces the machines at the given indexes. Entries past the end of machines() are appended.
    void apply(std::map<size_t, ExpectedCapacity> changed);

  private:
    struct CachedIndex {
        ShapeIndex index;
        bool built = false;
        size_t changes_applied = 0;  // number of entries of changes_ that the index includes
        uint64_t last_used = 0;      // value of use_counter_
    };

    CachedIndex& cached_index(const JobSpec& spec);
    CachedIndex& add_index(const JobSpec& spec);
    void rebuild(CachedIndex& cached) const;
    [[nodiscard]] bool rebuild_is_cheaper(const CachedIndex& cached) const;

    const ClusterState& cluster_;
    std::vector<ExpectedCapacity> machines_;
    size_t max_shapes_;
    std::vector<size_t> changes_;  // indexes of changed machines, in the order of the changes
    std::vector<CachedIndex> indexes_;
    uint64_t use_counter_ = 0;
};

}  // namespace weirmill
