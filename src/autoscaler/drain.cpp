// Drain: the machine whose tasks are cheaper to move than to let end where they run.
#include <algorithm>
#include <optional>
#include <utility>

#include "autoscaler/autoscaler.h"
#include "autoscaler/expected_capacity.h"
#include "autoscaler/suitability.h"

namespace weirmill {

namespace {

// A task that has just started is left where it is.
constexpr double kMinRunBeforeMove_s = 30;
// From a task's exit to its start elsewhere.
constexpr double kRestart_s = 6;
// What is left to run has to be so many times what the move takes.
constexpr double kMinRemainingPerMove = 2;

struct Destination {
    const Machine* machine;
    Resources room;
};

bool movable(const ClusterState& cluster, const TaskRef& ref, double now) {
    const auto& job = *cluster.jobs[ref.job];
    const auto& task = job.tasks[ref.task];
    const auto& spec = job.spec;
    if (spec.kind != JobKind::Array || spec.checkpoint_interval_s <= 0) return false;
    if (spec.one_zone || spec.spread || !job.active()) return false;
    return task.phase == TaskPhase::Running && !task.stopping && task.running_at > 0 &&
           now - task.running_at >= kMinRunBeforeMove_s;
}

bool drainable(const ClusterState& cluster, const Machine& m, const Usable& usable,
               const std::vector<Index>& waiting, double now) {
    if (m.tasks.empty() || !usable(m) || m.reserved_for != kNone) return false;
    if (!std::ranges::all_of(m.tasks,
                             [&](const TaskRef& ref) { return movable(cluster, ref, now); }))
        return false;
    return std::ranges::none_of(waiting,
                                [&](Index j) { return could_use(cluster, *cluster.jobs[j], m); });
}

// Machines that stay in use anyway.
std::vector<Destination> destinations(const ClusterState& cluster, const Machine& from,
                                      const Usable& usable) {
    std::vector<Destination> out;
    for (const auto& m : cluster.machines) {
        if (!m || m.get() == &from || !usable(*m)) continue;
        if (m->tasks.empty() || m->tasks.size() < from.tasks.size()) continue;
        out.push_back({m.get(), m->free_resources()});
    }
    return out;
}

// Takes the room that the task would have elsewhere, where its image is at hand; false: there is
// none.
bool move_task(const ClusterState& cluster, const JobSpec& spec, std::vector<Destination>& to) {
    const auto place = std::ranges::find_if(to, [&](const Destination& d) {
        return cluster.machine_allowed(spec, *d.machine) && spec.demand.fits_in(d.room) &&
               d.machine->has_image(spec.image);
    });
    if (place == to.end()) return false;
    place->room -= spec.demand;
    return true;
}

// What the drain saves, in the price's unit times seconds; nothing: the tasks can't all move, or
// are soon over.
std::optional<double> drain_savings(const ClusterState& cluster, const Machine& m,
                                    const Usable& usable, double now) {
    auto to = destinations(cluster, m, usable);
    double longest_run_s = 0, longest_move_s = 0;
    for (const auto& ref : m.tasks) {
        const auto& job = *cluster.jobs[ref.job];
        const auto& spec = job.spec;
        if (!move_task(cluster, spec, to)) return std::nullopt;
        const double ran_s = now - job.tasks[ref.task].running_at;
        longest_run_s =
            std::max(longest_run_s, remaining_run_s(cluster.expected_run_s(spec), ran_s));
        longest_move_s = std::max(longest_move_s, spec.checkpoint_duration_s + kRestart_s);
    }
    if (longest_run_s < kMinRemainingPerMove * longest_move_s) return std::nullopt;
    const auto& type = cluster.types[m.type].type;
    return (longest_run_s - longest_move_s) * (m.spot ? type.spot_price : type.price);
}

}  // namespace

Index plan_drain(const ClusterState& cluster, const Usable& usable, double now) {
    Index best = kNone;
    double best_savings = 0;
    const auto waiting = waiting_jobs(cluster, now);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        const auto* m = cluster.machines[i].get();
        if (!m || !drainable(cluster, *m, usable, waiting, now)) continue;
        const auto savings = drain_savings(cluster, *m, usable, now);
        if (!savings || *savings <= best_savings) continue;
        best = i;
        best_savings = *savings;
    }
    return best;
}

}  // namespace weirmill
