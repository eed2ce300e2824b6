// The dependency graph of jobs. No task of a job may start before all dependencies of the job are
// done; a job is ready once it has no dependencies left. The graph holds only edges between jobs in
// the cluster state, and no nodes for jobs without edges. Not thread-safe.
#pragma once
#include <unordered_map>
#include <vector>

#include "protocol/types.h"

namespace weirmill {

class DependencyGraph {
  public:
    // Adds the dependencies of a job. The list must not contain duplicates or dependants of the
    // job.
    void add(Index job, const std::vector<Index>& dependencies);
    // Returns the direct dependencies of the job.
    const std::vector<Index>& dependencies_of(Index job) const;
    // Returns the direct dependants of the job.
    const std::vector<Index>& dependants_of(Index job) const;
    bool ready(Index job) const { return dependencies_of(job).empty(); }
    // Returns all direct and indirect dependants of the job, each once.
    std::vector<Index> transitive_dependants(Index job) const;
    // Removes the job with all its edges.
    void remove(Index job);
    void clear() {
        nodes_.clear();
        waiting_count_ = 0;
    }
    // The number of jobs that are not ready.
    size_t waiting_count() const { return waiting_count_; }

  private:
    struct Node {
        std::vector<Index> dependencies, dependants;
    };
    void remove_edge(Index job, std::vector<Index> Node::* side, Index other);
    std::unordered_map<Index, Node> nodes_;
    size_t waiting_count_ = 0;
};

}  // namespace weirmill
