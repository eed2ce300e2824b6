#include "scheduler/eligibility.h"

#include <algorithm>

namespace weirmill {

bool has_or_fetches_image(const ClusterState& cluster, const Machine& m, Index image) {
    return m.has_image(image) || std::ranges::any_of(m.tasks, [&](auto& ref) {
               return cluster.jobs[ref.job]->spec.image == image;
           });
}

Resources smallest_demand(const ClusterState& cluster, const std::vector<Index>& jobs) {
    Resources smallest = cluster.jobs[jobs.front()]->spec.demand;
    for (auto j : jobs) {
        auto& demand = cluster.jobs[j]->spec.demand;
        smallest.cpu = std::min(smallest.cpu, demand.cpu);
        smallest.gpu = std::min(smallest.gpu, demand.gpu);
        smallest.mem = std::min(smallest.mem, demand.mem);
    }
    return smallest;
}

}  // namespace weirmill
