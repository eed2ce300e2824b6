#include "state/dependency_graph.h"

#include <algorithm>
#include <unordered_set>

namespace weirmill {

namespace {
const std::vector<Index> kNoJobs;
}

void DependencyGraph::add(Index job, const std::vector<Index>& dependencies) {
    if (dependencies.empty()) return;
    nodes_[job].dependencies = dependencies;
    for (auto d : dependencies) nodes_[d].dependants.push_back(job);
    ++waiting_count_;
}

const std::vector<Index>& DependencyGraph::dependencies_of(Index job) const {
    auto it = nodes_.find(job);
    return it == nodes_.end() ? kNoJobs : it->second.dependencies;
}

const std::vector<Index>& DependencyGraph::dependants_of(Index job) const {
    auto it = nodes_.find(job);
    return it == nodes_.end() ? kNoJobs : it->second.dependants;
}

std::vector<Index> DependencyGraph::transitive_dependants(Index job) const {
    std::vector<Index> out = dependants_of(job);
    std::unordered_set<Index> seen(out.begin(), out.end());
    for (size_t i = 0; i < out.size(); ++i)
        for (auto d : dependants_of(out[i]))
            if (seen.insert(d).second) out.push_back(d);
    return out;
}

void DependencyGraph::remove_edge(Index job, std::vector<Index> Node::* side, Index other) {
    auto it = nodes_.find(job);
    if (it == nodes_.end()) return;
    auto& list = it->second.*side;
    auto edge = std::ranges::find(list, other);
    if (edge == list.end()) return;
    *edge = list.back();
    list.pop_back();
    if (side == &Node::dependencies && list.empty()) --waiting_count_;
    if (it->second.dependencies.empty() && it->second.dependants.empty()) nodes_.erase(it);
}

void DependencyGraph::remove(Index job) {
    auto it = nodes_.find(job);
    if (it == nodes_.end()) return;
    Node node = std::move(it->second);
    nodes_.erase(it);
    if (!node.dependencies.empty()) --waiting_count_;
    for (auto d : node.dependencies) remove_edge(d, &Node::dependants, job);
    for (auto d : node.dependants) remove_edge(d, &Node::dependencies, job);
}

}  // namespace weirmill
