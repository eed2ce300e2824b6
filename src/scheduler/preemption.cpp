#include "scheduler/preemption.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace weirmill {

namespace {
// Costs are sums of fractions: closer than this they are equal.
constexpr double kEqualCosts = 1e-9;
}  // namespace

double preemption_cost(const ClearCandidate& c, const std::vector<uint32_t>& spans) {
    double cost = c.singles;
    for (auto g : c.gangs) cost += 1.0 / spans[g];
    return cost;
}

std::vector<size_t> pick_cheapest(const std::vector<ClearCandidate>& candidates,
                                  const std::vector<uint32_t>& spans, size_t n) {
    auto left = candidates;
    std::vector<bool> picked(candidates.size(), false);
    std::vector<size_t> out;
    while (out.size() < n && out.size() < candidates.size()) {
        size_t best = candidates.size();
        double best_cost = 0;
        for (size_t i = 0; i < left.size(); ++i) {
            if (picked[i]) continue;
            double cost = preemption_cost(left[i], spans);
            if (best < candidates.size() && cost >= best_cost - kEqualCosts) continue;
            best = i;
            best_cost = cost;
        }
        picked[best] = true;
        out.push_back(best);
        // Its gangs are stopped everywhere: their shares leave the other machines' costs.
        for (auto g : left[best].gangs)
            for (size_t i = 0; i < left.size(); ++i)
                if (i != best) std::erase(left[i].gangs, g);
    }
    return out;
}

bool may_stop(const ClusterState& cluster, const Job& victim, const Job& job) {
    // A job may take over the priority of a job that depends on it. A stop must be right with and
    // without that: the victim counts with the priority it took over, the job that asks with its
    // own alone.
    if (victim.priority < job.spec.priority) return true;
    // Work beyond its team's guarantee gives way to a team that is owed its own.
    auto& owed = cluster.teams[job.spec.team];
    auto& taker = cluster.teams[victim.spec.team];
    return victim.spec.team != job.spec.team && cluster.over_guarantee(taker, victim.spec.demand) &&
           cluster.within_guarantee(owed, job.spec.kind == JobKind::Array
                                              ? job.spec.demand
                                              : job.spec.demand * job.pending);
}

namespace {

// A search that found too few machines. Within a round machines are only taken, so where too few
// were found for one job, there are too few for any other of the kind that wants as much.
struct FailedSearch {
    JobSpec like;
    bool owed;       // its team is owed its guarantee, for this job
    int64_t wanted;  // tasks that found no machines; more of them find none either
    bool covers(const JobSpec& s, bool is_owed, int64_t wants) const {
        return wants >= wanted && is_owed == owed && like.same_shape_as(s) && like.team == s.team &&
               like.priority == s.priority && like.one_zone == s.one_zone &&
               like.spread == s.spread;
    }
};

// Tasks of the waiting job that fit on a machine: into its free room, or once it is emptied.
struct MachineFit {
    Index machine;
    int64_t tasks;
};

// What one job would get in one zone.
struct ZonePlan {
    std::vector<ClearCandidate> candidates;  // machines that may be cleared
    std::vector<int64_t> tasks;              // by candidate: that fit on the emptied machine
    std::vector<uint32_t> spans;             // by gang of the candidates: machines it occupies
    std::vector<size_t> picked;              // of the candidates, cheapest first
    std::vector<MachineFit> free;            // room that needs no stop
    int64_t missing = 0;                     // tasks that the free room does not hold
    double cost = 0;                         // of the picked, as Algorithm 1 counts it

    bool room_suffices() const { return missing <= 0; }
    int64_t picked_tasks() const {
        int64_t sum = 0;
        for (auto p : picked) sum += tasks[p];
        return sum;
    }
};

uint32_t machines_occupied(const Job& gang) {
    std::vector<Index> machines;
    for (auto& t : gang.tasks)
        if (t.state == TaskState::Placed &&
            std::ranges::find(machines, t.machine) == machines.end())
            machines.push_back(t.machine);
    return static_cast<uint32_t>(machines.size());
}

// Numbers the gangs on the candidates of one plan in the order in which they are met, as
// ClearCandidate::gangs and pick_cheapest have them.
class GangNumbers {
  public:
    // `spans`: of the plan; gets an entry for each gang.
    GangNumbers(const ClusterState& cluster, std::vector<uint32_t>& spans)
        : cluster_(cluster), spans_(spans) {}

    ClearCandidate candidate(Index machine) {
        ClearCandidate c;
        c.machine = machine;
        for (auto& ref : cluster_.machines[machine]->tasks) {
            if (cluster_.jobs[ref.job]->spec.kind != JobKind::Gang) {
                ++c.singles;
                continue;
            }
            auto gang = number(ref.job);
            if (std::ranges::find(c.gangs, gang) == c.gangs.end()) c.gangs.push_back(gang);
        }
        return c;
    }

  private:
    Index number(Index job) {
        auto [it, added] = numbers_.emplace(job, static_cast<Index>(spans_.size()));
        if (added) spans_.push_back(machines_occupied(*cluster_.jobs[job]));
        return it->second;
    }

    const ClusterState& cluster_;
    std::vector<uint32_t>& spans_;
    std::map<Index, Index> numbers_;
};

// Among equal costs, machines that have the image: they are moved before the others, each part in
// its order.
void prefer_machines_with_image(const ClusterState& cluster, Index image, ZonePlan& plan) {
    std::vector<size_t> order(plan.candidates.size());
    std::iota(order.begin(), order.end(), size_t{0});
    std::ranges::stable_partition(order, [&](size_t c) {
        return cluster.machines[plan.candidates[c].machine]->has_image(image);
    });
    std::vector<ClearCandidate> candidates;
    std::vector<int64_t> tasks;
    for (auto c : order) {
        candidates.push_back(std::move(plan.candidates[c]));
        tasks.push_back(plan.tasks[c]);
    }
    plan.candidates = std::move(candidates);
    plan.tasks = std::move(tasks);
}

// N of Algorithm 1: the fewest whole machines that fit what is missing, those that hold the most
// first; nothing: all of them together don't.
std::optional<size_t> fewest_machines(const ZonePlan& plan) {
    auto tasks = plan.tasks;
    std::ranges::sort(tasks, std::greater<>());
    size_t n = 0;
    int64_t sum = 0;
    while (n < tasks.size() && sum < plan.missing) sum += tasks[n++];
    if (sum < plan.missing) return std::nullopt;
    return n;
}

// Picks machines to clear for what is missing, cheapest first; with machines of different sizes N
// may fall short, then one more is picked. False: all of them together don't hold it.
bool pick_machines(ZonePlan& plan) {
    auto fewest = fewest_machines(plan);
    if (!fewest) return false;
    for (size_t n = *fewest; n <= plan.candidates.size(); ++n) {
        plan.picked = pick_cheapest(plan.candidates, plan.spans, n);
        if (plan.picked_tasks() >= plan.missing) break;
    }
    for (auto p : plan.picked) plan.cost += preemption_cost(plan.candidates[p], plan.spans);
    return true;
}

// Plans one round, job by job in the order of the queue.
class PreemptionPlanner {
  public:
    PreemptionPlanner(const ClusterState& cluster, const Usable& usable, double now);
    PreemptionRound run();

  private:
    void plan_job(Index index);
    bool owed_its_guarantee(const Job& job) const;
    int64_t tasks_wanted(Index index) const;
    int64_t tasks_within_limit(const Job& job) const;
    std::vector<Index> zones_to_try(const Job& job) const;
    std::optional<ZonePlan> cheapest_plan(const Job& job, int64_t wanted) const;
    ZonePlan survey(const Job& job, Index zone, int64_t wanted) const;
    bool considered(const Job& job, const ZoneRule& rule, Index zone, Index machine) const;
    bool may_clear(const Job& job, const Machine& m) const;
    void claim_free_room(const Job& job, const ZonePlan& plan, int64_t wanted,
                         PreemptionRound::Clearing& clearing);
    void clear(const ZonePlan& plan, PreemptionRound::Clearing& clearing);
    void stop(const TaskRef& ref);
    void stop_task(const TaskRef& ref);

    const ClusterState& cluster_;
    const Usable& usable_;
    double now_;
    PreemptionRound round_;
    std::vector<bool> taken_;                       // by machine: reserved, or planned for a job
    std::map<Index, std::vector<Index>> reserved_;  // machines that are being emptied, by job
    std::set<std::pair<Index, uint32_t>> stopped_;  // tasks of round_.stops
    // Of free room, what jobs before this one count on. Counted on by each of them, it once left
    // eight gangs of 32 with machines cleared for 19 each, and none of them started for a minute.
    std::vector<Resources> promised_;
    std::vector<FailedSearch> failed_;
};

PreemptionPlanner::PreemptionPlanner(const ClusterState& cluster, const Usable& usable, double now)
    : cluster_(cluster),
      usable_(usable),
      now_(now),
      taken_(cluster.machines.size(), false),
      promised_(cluster.machines.size()) {
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || !m->reserved(now)) continue;
        taken_[i] = true;
        reserved_[m->reserved_for].push_back(i);
    }
}

PreemptionRound PreemptionPlanner::run() {
    for (auto j : waiting_jobs(cluster_, now_))
        if (cluster_.large(cluster_.jobs[j]->spec)) plan_job(j);
    return std::move(round_);
}

void PreemptionPlanner::plan_job(Index index) {
    auto& job = *cluster_.jobs[index];
    auto wanted = tasks_wanted(index);
    if (wanted <= 0) return;
    bool owed = owed_its_guarantee(job);
    // Where some of its tasks are placed, its zones are its own.
    bool fresh_zones = job.placed == 0;
    if (fresh_zones &&
        std::ranges::any_of(failed_, [&](auto& f) { return f.covers(job.spec, owed, wanted); }))
        return;
    auto plan = cheapest_plan(job, wanted);
    if (!plan) {
        if (fresh_zones) failed_.push_back({job.spec, owed, wanted});
        return;
    }
    PreemptionRound::Clearing clearing{index, {}, {}};
    claim_free_room(job, *plan, wanted, clearing);
    if (plan->room_suffices()) return;  // placement will take it
    clear(*plan, clearing);
    round_.clearings.push_back(std::move(clearing));
}

// Whether the job stays within its team's guarantee: of a gang all tasks that wait, else one.
bool PreemptionPlanner::owed_its_guarantee(const Job& job) const {
    auto demand = job.spec.kind == JobKind::Gang ? job.spec.demand * job.pending : job.spec.demand;
    return cluster_.within_guarantee(cluster_.teams[job.spec.team], demand);
}

// Tasks for which machines are to be found, beyond those already being emptied for the job.
int64_t PreemptionPlanner::tasks_wanted(Index index) const {
    auto& job = *cluster_.jobs[index];
    auto wanted = tasks_within_limit(job);
    if (auto it = reserved_.find(index); it != reserved_.end())
        for (auto i : it->second)
            wanted -= job.spec.demand.max_copies_in(cluster_.machines[i]->size);
    return wanted;
}

// Of the pending tasks, those that the team's limit allows: of a gang all or none.
int64_t PreemptionPlanner::tasks_within_limit(const Job& job) const {
    auto& team = cluster_.teams[job.spec.team];
    if (job.spec.kind == JobKind::Gang)
        return cluster_.within_limit(team, job.spec.demand * job.pending) ? job.pending : 0;
    int64_t tasks = 0;
    while (tasks < job.pending && cluster_.within_limit(team, job.spec.demand * (tasks + 1)))
        ++tasks;
    return tasks;
}

std::vector<Index> PreemptionPlanner::zones_to_try(const Job& job) const {
    if (!job.spec.one_zone) return {kNone};
    std::vector<Index> zones(cluster_.names.zones.size());
    std::iota(zones.begin(), zones.end(), Index{0});
    return zones;
}

// The plan of the first zone whose free room suffices, else of the cheapest; nothing: no zone holds
// the job.
std::optional<ZonePlan> PreemptionPlanner::cheapest_plan(const Job& job, int64_t wanted) const {
    std::optional<ZonePlan> best;
    for (auto zone : zones_to_try(job)) {
        auto plan = survey(job, zone, wanted);
        if (plan.room_suffices()) return plan;
        prefer_machines_with_image(cluster_, job.spec.image, plan);
        if (!pick_machines(plan)) continue;
        if (!best || plan.cost < best->cost) best = std::move(plan);
    }
    return best;
}

bool PreemptionPlanner::considered(const Job& job, const ZoneRule& rule, Index zone,
                                   Index machine) const {
    auto* m = cluster_.machines[machine].get();
    if (!m || taken_[machine] || !usable_(*m) || !machine_suits(cluster_, job.spec, *m))
        return false;
    return (zone == kNone || m->zone == zone) && rule.allows(m->zone);
}

bool PreemptionPlanner::may_clear(const Job& job, const Machine& m) const {
    return !m.tasks.empty() && std::ranges::all_of(m.tasks, [&](auto& ref) {
        return may_stop(cluster_, *cluster_.jobs[ref.job], job);
    });
}

// Free room and machines that may be cleared, in the zone (kNone: in any), by index.
ZonePlan PreemptionPlanner::survey(const Job& job, Index zone, int64_t wanted) const {
    ZonePlan plan;
    plan.missing = wanted;
    ZoneRule rule(cluster_, job);
    GangNumbers gangs(cluster_, plan.spans);
    for (Index i = 0; i < cluster_.machines.size(); ++i) {
        if (!considered(job, rule, zone, i)) continue;
        auto& m = *cluster_.machines[i];
        auto free = job.spec.demand.max_copies_in(m.room() - promised_[i]);
        if (free > 0) {
            plan.missing -= free;
            plan.free.push_back({i, free});
            continue;
        }
        if (!(promised_[i] == Resources{}) || !may_clear(job, m)) continue;
        plan.candidates.push_back(gangs.candidate(i));
        plan.tasks.push_back(job.spec.demand.max_copies_in(m.size));
    }
    return plan;
}

// Counts on free room for the tasks that the picked machines don't hold.
void PreemptionPlanner::claim_free_room(const Job& job, const ZonePlan& plan, int64_t wanted,
                                        PreemptionRound::Clearing& clearing) {
    auto counted = plan.picked_tasks();
    for (auto& f : plan.free) {
        if (counted >= wanted) break;
        auto& m = *cluster_.machines[f.machine];
        auto n = std::min(f.tasks, wanted - counted);
        counted += n;
        promised_[f.machine] += job.spec.demand * n;
        // A whole machine waits with those that are being emptied.
        if (plan.room_suffices() || !m.tasks.empty() || job.spec.demand.max_copies_in(m.size) > 1)
            continue;
        taken_[f.machine] = true;
        clearing.kept.push_back(f.machine);
    }
}

void PreemptionPlanner::clear(const ZonePlan& plan, PreemptionRound::Clearing& clearing) {
    for (auto p : plan.picked) {
        auto machine = plan.candidates[p].machine;
        clearing.machines.push_back(machine);
        taken_[machine] = true;
        for (auto& ref : cluster_.machines[machine]->tasks) stop(ref);
    }
}

// Gangs are stopped everywhere.
void PreemptionPlanner::stop(const TaskRef& ref) {
    auto& victim = *cluster_.jobs[ref.job];
    if (victim.spec.kind != JobKind::Gang) return stop_task(ref);
    for (uint32_t t = 0; t < victim.tasks.size(); ++t)
        if (victim.tasks[t].state == TaskState::Placed) stop_task({ref.job, t});
}

void PreemptionPlanner::stop_task(const TaskRef& ref) {
    if (stopped_.emplace(ref.job, ref.task).second) round_.stops.push_back(ref);
}

}  // namespace

PreemptionRound plan_preemption(const ClusterState& cluster, const Usable& usable, double now) {
    return PreemptionPlanner(cluster, usable, now).run();
}

std::string round_record(const PreemptionRound& round, const ClusterState& cluster,
                         uint64_t number) {
    namespace json = boost::json;
    // Bounded, so that the record fits the smallest value that the key-value store may allow.
    constexpr size_t kMaxListed = 8;
    json::array clearings;
    for (auto& c : round.clearings) {
        if (clearings.size() == kMaxListed) break;
        json::array machines;
        for (auto m : c.machines)
            if (machines.size() < kMaxListed) machines.emplace_back(cluster.machines[m]->name);
        clearings.push_back(
            json::object{{"job", cluster.jobs[c.job]->spec.id}, {"machines", std::move(machines)}});
    }
    return json::serialize(json::object{{"number", number},
                                        {"clearings", std::move(clearings)},
                                        {"stops", static_cast<uint64_t>(round.stops.size())}});
}

}  // namespace weirmill
