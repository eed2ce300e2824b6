#include "state/dependency_graph.h"

#include <algorithm>
#include <unordered_set>

namespace weirmill {

namespace {
const std::vector<Index> kNoJobs;
}

void DependencyGraph::add(Index job, const std::vector<Index>& on) {
    if (on.empty()) return;
    nodes_[job].on = on;
    for (auto d : on) nodes_[d].dependants.push_back(job);
    ++waiting_;
}

const std::vector<Index>& DependencyGraph::of(Index job) const {
    auto it = nodes_.find(job);
    return it == nodes_.end() ? kNoJobs : it->second.on;
}

const std::vector<Index>& DependencyGraph::dependants(Index job) const {
    auto it = nodes_.find(job);
    return it == nodes_.end() ? kNoJobs : it->second.dependants;
}

std::vector<Index> DependencyGraph::all_dependants(Index job) const {
    std::vector<Index> out = dependants(job);
    std::unordered_set<Index> seen(out.begin(), out.end());
    for (size_t i = 0; i < out.size(); ++i)
        for (auto d : dependants(out[i]))
            if (seen.insert(d).second) out.push_back(d);
    return out;
}

void DependencyGraph::unlink(Index job, std::vector<Index> Node::* side, Index other) {
    auto it = nodes_.find(job);
    if (it == nodes_.end()) return;
    auto& list = it->second.*side;
    auto at = std::ranges::find(list, other);
    if (at == list.end()) return;
    *at = list.back();
    list.pop_back();
    if (side == &Node::on && list.empty()) --waiting_;
    if (it->second.on.empty() && it->second.dependants.empty()) nodes_.erase(it);
}

void DependencyGraph::remove(Index job) {
    auto it = nodes_.find(job);
    if (it == nodes_.end()) return;
    Node node = std::move(it->second);
    nodes_.erase(it);
    if (!node.on.empty()) --waiting_;
    for (auto d : node.on) unlink(d, &Node::dependants, job);
    for (auto d : node.dependants) unlink(d, &Node::on, job);
}

}  // namespace weirmill
