// Which jobs wait for which. A dependency has to be done before any task of its dependant starts; a
// job is ready once none is left. Edges join jobs that are both in the cluster state; jobs outside
// pipelines take no memory. Not thread-safe.
#pragma once
#include <unordered_map>
#include <vector>

#include "protocol/types.h"

namespace weirmill {

class DependencyGraph {
  public:
    // `job` waits for each of `on`, none of them twice and none a dependant of the job.
    void add(Index job, const std::vector<Index>& on);
    // What the job waits for, and what waits for it.
    const std::vector<Index>& of(Index job) const;
    const std::vector<Index>& dependants(Index job) const;
    bool ready(Index job) const { return of(job).empty(); }
    // All that need the job, directly or through others; each once.
    std::vector<Index> all_dependants(Index job) const;
    // The job leaves the cluster state: nothing waits for it any more, nor it for anything.
    void remove(Index job);
    void clear() {
        nodes_.clear();
        waiting_ = 0;
    }
    size_t waiting() const { return waiting_; }  // jobs that are not ready

  private:
    struct Node {
        std::vector<Index> on, dependants;
    };
    void unlink(Index job, std::vector<Index> Node::* side, Index other);
    std::unordered_map<Index, Node> nodes_;
    size_t waiting_ = 0;
};

}  // namespace weirmill
