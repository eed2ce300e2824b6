// The machines as they will be once the jobs planned so far have their places, with an index of
// them for each of the last shapes of jobs.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "autoscaler/expected_capacity.h"
#include "autoscaler/shape_index.h"

namespace weirmill {

class CapacityForecast {
  public:
    // `max_shapes`: AutoscalerSettings::max_cached_shapes.
    CapacityForecast(const ClusterState& cluster, std::vector<ExpectedCapacity> machines,
                     size_t max_shapes);

    [[nodiscard]] const std::vector<ExpectedCapacity>& machines() const { return machines_; }

    // The index for jobs like this one, up to date; valid until the next call.
    const ShapeIndex& index_for(const JobSpec& spec);

    // Takes over changed machines, by index; those beyond the known ones are new.
    void apply(std::map<size_t, ExpectedCapacity> changed);

  private:
    struct CachedIndex {
        ShapeIndex index;
        bool built = false;
        size_t changes_seen = 0;  // of changes_
        uint64_t last_used = 0;
    };

    CachedIndex& cached_index(const JobSpec& spec);
    CachedIndex& add_index(const JobSpec& spec);
    void rebuild(CachedIndex& cached) const;
    [[nodiscard]] bool rebuild_is_cheaper(const CachedIndex& cached) const;

    const ClusterState& cluster_;
    std::vector<ExpectedCapacity> machines_;
    size_t max_shapes_;
    std::vector<size_t> changes_;  // machines, in the order of their changes
    std::vector<CachedIndex> indexes_;
    uint64_t uses_ = 0;
};

}  // namespace weirmill
