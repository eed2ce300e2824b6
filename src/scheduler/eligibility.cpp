#include "scheduler/eligibility.h"

#include <algorithm>

namespace weirmill {

bool image_near(const ClusterState& cluster, const Machine& m, Index image) {
    return m.has_image(image) || std::ranges::any_of(m.tasks, [&](auto& ref) {
               return cluster.jobs[ref.job]->spec.image == image;
           });
}

Resources smallest_demand(const ClusterState& cluster, const std::vector<Index>& jobs) {
    Resources least = cluster.jobs[jobs.front()]->spec.demand;
    for (auto j : jobs) {
        auto& demand = cluster.jobs[j]->spec.demand;
        least.cpu = std::min(least.cpu, demand.cpu);
        least.gpu = std::min(least.gpu, demand.gpu);
        least.mem = std::min(least.mem, demand.mem);
    }
    return least;
}

}  // namespace weirmill
