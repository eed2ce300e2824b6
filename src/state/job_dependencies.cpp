// Dependencies between jobs in the cluster state: when a job is ready, whose cancellation is whose,
// and which priority and deadline dependants ask of the jobs that they need.
#include <algorithm>
#include <deque>
#include <set>

#include "state/cluster_state.h"

namespace weirmill {

void ClusterState::set_dependencies(Index index, const std::vector<Index>& on, double now) {
    auto& job = *jobs[index];
    std::vector<std::string>().swap(job.spec.dependencies);
    dependencies_.add(index, on);
    job.waits = !on.empty();
    if (job.waits)
        propagate_demands_from(index);
    else
        mark_ready(job, now);
}

// A job that `index` waited for is done, at `ended`, time of day.
void ClusterState::release_dependant(Index index, double ended, double now) {
    auto& job = *jobs[index];
    job.ready = std::max(job.ready, ended);
    if (job.waits) return;
    job.ready_at = now;
    update_demands(index);  // what is known of run times may have changed since
    mark_ready(job, now);
}

std::vector<Index> ClusterState::cancel_dependants(Index index) {
    std::vector<Index> out;
    for (auto d : dependencies_.all_dependants(index)) {
        auto& job = *jobs[d];
        if (!job.cancelled) out.push_back(d);
        job.cancelled = job.cancel_recorded = true;
    }
    // Nothing that they asked for is asked for any more.
    for (auto d : out) propagate_demands_from(d);
    return out;
}

bool ClusterState::cancellation_logged(Index index) const {
    const auto& dependants = dependencies_.dependants(index);
    return jobs[index]->cancel_logged &&
           std::ranges::all_of(dependants, [&](Index d) { return jobs[d]->cancel_logged; });
}

bool ClusterState::state_confirmed(Index index) const {
    const auto& own = *jobs[index];
    if (own.end_sent || own.cancelled != own.cancel_recorded) return false;
    // Asked with every poll: nearly all need no other job.
    if (dependencies_.of(index).empty()) return true;
    std::vector<Index> queue{index};
    std::set<Index> seen{index};
    for (size_t i = 0; i < queue.size(); ++i) {
        const auto& job = *jobs[queue[i]];
        if (job.cancelled != job.cancel_recorded) return false;
        for (auto d : dependencies_.of(queue[i]))
            if (seen.insert(d).second) queue.push_back(d);
    }
    return true;
}

// By when a job should end, and what priority it has, for those that need it. Whether that changed.
bool ClusterState::update_demands(Index index) {
    auto& job = *jobs[index];
    auto priority = job.spec.priority;
    double needed_by = kNever;
    for (auto d : dependencies_.dependants(index)) {
        const auto& dependant = *jobs[d];
        if (dependant.cancelled) continue;
        priority = std::max(priority, dependant.priority);
        double theirs = dependant.needed_by;
        if (dependant.spec.deadline_s >= 0)
            theirs = std::min(theirs, dependant.seen_at + dependant.spec.deadline_s);
        if (theirs < kLatestTime) needed_by = std::min(needed_by, theirs - stage_s(dependant.spec));
    }
    bool changed = priority != job.priority || needed_by != job.needed_by;
    job.priority = priority;
    job.needed_by = needed_by;
    return changed;
}

// From a job up to all that it needs, as far as anything changes there. Breadth first, each once in
// the queue: taken depth first, a tower of diamonds would be walked once for each path through it.
void ClusterState::propagate_demands_from(Index index) {
    std::deque<Index> queue{index};
    std::set<Index> queued{index};
    while (!queue.empty()) {
        auto j = queue.front();
        queue.pop_front();
        queued.erase(j);
        if (!update_demands(j) && j != index) continue;
        for (auto d : dependencies_.of(j))
            if (queued.insert(d).second) queue.push_back(d);
    }
}

void ClusterState::propagate_demands() {
    for (Index j = 0; j < jobs.size(); ++j)
        if (jobs[j] && !dependencies_.of(j).empty()) propagate_demands_from(j);
}

}  // namespace weirmill
