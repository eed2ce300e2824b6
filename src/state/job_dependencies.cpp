// Dependencies between jobs in the cluster state: readiness of jobs, cancellations of dependants,
// and the priorities and deadlines that jobs inherit from their dependants.
#include <algorithm>
#include <deque>
#include <set>

#include "state/cluster_state.h"

namespace weirmill {

void ClusterState::set_dependencies(Index index, const std::vector<Index>& dependencies,
                                    double now) {
    auto& job = *jobs[index];
    std::vector<std::string>().swap(job.spec.dependencies);
    dependencies_.add(index, dependencies);
    job.waits_for_dependencies = !dependencies.empty();
    if (job.waits_for_dependencies)
        propagate_inherited_values(index);
    else
        mark_ready(job, now);
}

// Called when a dependency of the job is done. `ended_wall`: time of day in seconds.
void ClusterState::release_dependant(Index index, double ended_wall, double now) {
    auto& job = *jobs[index];
    job.ready_wall = std::max(job.ready_wall, ended_wall);
    if (job.waits_for_dependencies) return;
    job.ready_steady = now;
    update_inherited_values(index);  // expected run times may have changed since the last update
    mark_ready(job, now);
}

std::vector<Index> ClusterState::cancel_dependants(Index index) {
    std::vector<Index> out;
    for (auto d : dependencies_.transitive_dependants(index)) {
        auto& job = *jobs[d];
        if (!job.cancelled) out.push_back(d);
        job.cancelled = job.cancel_durable = true;
    }
    // Their dependencies no longer inherit priorities and deadlines from them.
    for (auto d : out) propagate_inherited_values(d);
    return out;
}

bool ClusterState::cancellation_fully_logged(Index index) const {
    const auto& dependants = dependencies_.dependants_of(index);
    return jobs[index]->cancel_logged &&
           std::ranges::all_of(dependants, [&](Index d) { return jobs[d]->cancel_logged; });
}

bool ClusterState::state_confirmed(Index index) const {
    const auto& own = *jobs[index];
    if (own.end_sent || own.cancelled != own.cancel_durable) return false;
    // Runs for every status request; most jobs have no dependencies.
    if (dependencies_.dependencies_of(index).empty()) return true;
    std::vector<Index> queue{index};
    std::set<Index> seen{index};
    for (size_t i = 0; i < queue.size(); ++i) {
        const auto& job = *jobs[queue[i]];
        if (job.cancelled != job.cancel_durable) return false;
        for (auto d : dependencies_.dependencies_of(queue[i]))
            if (seen.insert(d).second) queue.push_back(d);
    }
    return true;
}

// Recomputes the priority and the deadline that the job inherits from its direct dependants.
// Returns whether either changed.
bool ClusterState::update_inherited_values(Index index) {
    auto& job = *jobs[index];
    auto priority = job.spec.priority;
    double needed_by = kNever;
    for (auto d : dependencies_.dependants_of(index)) {
        const auto& dependant = *jobs[d];
        if (dependant.cancelled) continue;
        priority = std::max(priority, dependant.effective_priority);
        double deadline = dependant.needed_by;
        if (dependant.spec.deadline_s >= 0)
            deadline = std::min(deadline, dependant.submitted_steady + dependant.spec.deadline_s);
        if (deadline < kLatestTime)
            needed_by = std::min(needed_by, deadline - pipeline_stage_s(dependant.spec));
    }
    bool changed = priority != job.effective_priority || needed_by != job.needed_by;
    job.effective_priority = priority;
    job.needed_by = needed_by;
    return changed;
}

// Updates the inherited values of the job and, as long as they change, of its transitive
// dependencies. Breadth first with each job at most once in the queue: depth first, a chain of
// diamond-shaped dependencies would be visited once for each path through it, and the number of
// paths is exponential.
void ClusterState::propagate_inherited_values(Index index) {
    std::deque<Index> queue{index};
    std::set<Index> queued{index};
    while (!queue.empty()) {
        auto j = queue.front();
        queue.pop_front();
        queued.erase(j);
        if (!update_inherited_values(j) && j != index) continue;
        for (auto d : dependencies_.dependencies_of(j))
            if (queued.insert(d).second) queue.push_back(d);
    }
}

void ClusterState::propagate_priorities_and_deadlines() {
    for (Index j = 0; j < jobs.size(); ++j)
        if (jobs[j] && !dependencies_.dependencies_of(j).empty()) propagate_inherited_values(j);
}

}  // namespace weirmill
