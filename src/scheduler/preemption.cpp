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
// Costs are sums of fractions; smaller differences are rounding errors.
constexpr double kEqualCosts = 1e-9;
}  // namespace

double preemption_cost(const EvictionCandidate& c, const std::vector<uint32_t>& gang_spans) {
    double cost = c.single_tasks;
    for (auto g : c.gangs) cost += 1.0 / gang_spans[g];
    return cost;
}

std::vector<size_t> pick_cheapest(const std::vector<EvictionCandidate>& candidates,
                                  const std::vector<uint32_t>& gang_spans, size_t n) {
    auto remaining = candidates;
    std::vector<bool> picked(candidates.size(), false);
    std::vector<size_t> out;
    while (out.size() < n && out.size() < candidates.size()) {
        size_t best = candidates.size();
        double best_cost = 0;
        for (size_t i = 0; i < remaining.size(); ++i) {
            if (picked[i]) continue;
            double cost = preemption_cost(remaining[i], gang_spans);
            if (best < candidates.size() && cost >= best_cost - kEqualCosts) continue;
            best = i;
            best_cost = cost;
        }
        picked[best] = true;
        out.push_back(best);
        // Its gangs are stopped on all machines, so they no longer add to the costs of the others.
        for (auto g : remaining[best].gangs)
            for (size_t i = 0; i < remaining.size(); ++i)
                if (i != best) std::erase(remaining[i].gangs, g);
    }
    return out;
}

bool may_preempt(const ClusterState& cluster, const Job& victim, const Job& preemptor) {
    // A job may inherit the priority of a job that depends on it. Preemption must be justified with
    // and without inheritance, so the victim counts with its inherited priority and the preemptor
    // only with its own.
    if (victim.effective_priority < preemptor.spec.priority) return true;
    // A job within its team's guarantee may preempt work that exceeds the guarantee of another
    // team.
    auto& preemptor_team = cluster.teams[preemptor.spec.team];
    auto& victim_team = cluster.teams[victim.spec.team];
    return victim.spec.team != preemptor.spec.team &&
           cluster.exceeds_guarantee(victim_team, victim.spec.demand) &&
           cluster.within_guarantee(preemptor_team,
                                    preemptor.spec.kind == JobKind::Array
                                        ? preemptor.spec.demand
                                        : preemptor.spec.demand * preemptor.pending);
}

namespace {

// A search that found too few machines. During a round, the available machines only become fewer,
// so any later search of the same kind for at least as many tasks fails too.
struct FailedSearch {
    JobSpec spec;
    bool in_guarantee;  // the job was within its team's guarantee
    int64_t wanted;     // number of tasks for which there were not enough machines
    bool implies_failure(const JobSpec& s, bool s_in_guarantee, int64_t s_wanted) const {
        return s_wanted >= wanted && s_in_guarantee == in_guarantee && spec.same_shape_as(s) &&
               spec.team == s.team && spec.priority == s.priority && spec.one_zone == s.one_zone &&
               spec.spread == s.spread;
    }
};

// How many tasks of the waiting job fit into the free capacity of a machine.
struct FreeSlots {
    Index machine;
    int64_t tasks;
};

// What one job would get in one zone, or in all zones if it is not bound to one.
struct ZonePlan {
    std::vector<EvictionCandidate> candidates;  // machines that may be evicted
    std::vector<int64_t> tasks_when_empty;      // by candidate: tasks that fit on the empty machine
    std::vector<uint32_t> gang_spans;           // by gang number: machines that it occupies
    std::vector<size_t> picked;                 // indexes of candidates, cheapest first
    std::vector<FreeSlots> free_slots;          // capacity that needs no eviction
    int64_t missing_tasks = 0;                  // tasks that don't fit into the free capacity
    double cost = 0;                            // of the picked candidates, as in Algorithm 1

    bool free_capacity_suffices() const { return missing_tasks <= 0; }
    int64_t picked_tasks() const {
        int64_t sum = 0;
        for (auto p : picked) sum += tasks_when_empty[p];
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

// Assigns numbers to the gangs on the candidates of one plan, in order of first occurrence. The
// numbers are used in EvictionCandidate::gangs and as indexes into `gang_spans` of pick_cheapest.
class GangNumbering {
  public:
    // `gang_spans`: of the plan; an entry is appended for each gang.
    GangNumbering(const ClusterState& cluster, std::vector<uint32_t>& gang_spans)
        : cluster_(cluster), gang_spans_(gang_spans) {}

    EvictionCandidate candidate(Index machine) {
        EvictionCandidate c;
        c.machine = machine;
        for (auto& ref : cluster_.machines[machine]->tasks) {
            if (cluster_.jobs[ref.job]->spec.kind != JobKind::Gang) {
                ++c.single_tasks;
                continue;
            }
            auto gang = number(ref.job);
            if (std::ranges::find(c.gangs, gang) == c.gangs.end()) c.gangs.push_back(gang);
        }
        return c;
    }

  private:
    Index number(Index job) {
        auto [it, added] = numbers_.emplace(job, static_cast<Index>(gang_spans_.size()));
        if (added) gang_spans_.push_back(machines_occupied(*cluster_.jobs[job]));
        return it->second;
    }

    const ClusterState& cluster_;
    std::vector<uint32_t>& gang_spans_;
    std::map<Index, Index> numbers_;
};

// Moves the candidates that have the image before the others, keeping the order of each part. Of
// equally cheap candidates, pick_cheapest then prefers those with the image.
void prefer_machines_with_image(const ClusterState& cluster, Index image, ZonePlan& plan) {
    std::vector<size_t> order(plan.candidates.size());
    std::iota(order.begin(), order.end(), size_t{0});
    std::ranges::stable_partition(order, [&](size_t c) {
        return cluster.machines[plan.candidates[c].machine]->has_image(image);
    });
    std::vector<EvictionCandidate> candidates;
    std::vector<int64_t> tasks;
    for (auto c : order) {
        candidates.push_back(std::move(plan.candidates[c]));
        tasks.push_back(plan.tasks_when_empty[c]);
    }
    plan.candidates = std::move(candidates);
    plan.tasks_when_empty = std::move(tasks);
}

// Returns N of Algorithm 1: the smallest number of evicted machines that can hold the missing
// tasks, or nothing if all candidates together can't hold them.
std::optional<size_t> min_machines(const ZonePlan& plan) {
    auto tasks = plan.tasks_when_empty;
    std::ranges::sort(tasks, std::greater<>());
    size_t n = 0;
    int64_t sum = 0;
    while (n < tasks.size() && sum < plan.missing_tasks) sum += tasks[n++];
    if (sum < plan.missing_tasks) return std::nullopt;
    return n;
}

// Picks the cheapest candidates to evict for the missing tasks. If machines differ in size, the N
// cheapest may be too small together; then more are picked, one at a time. Returns false if all
// candidates together can't hold the tasks.
bool pick_machines(ZonePlan& plan) {
    auto minimum = min_machines(plan);
    if (!minimum) return false;
    for (size_t n = *minimum; n <= plan.candidates.size(); ++n) {
        plan.picked = pick_cheapest(plan.candidates, plan.gang_spans, n);
        if (plan.picked_tasks() >= plan.missing_tasks) break;
    }
    for (auto p : plan.picked) plan.cost += preemption_cost(plan.candidates[p], plan.gang_spans);
    return true;
}

// Plans one round, job by job in queue order.
class PreemptionPlanner {
  public:
    PreemptionPlanner(const ClusterState& cluster, const MachineFilter& usable, double now);
    PreemptionRound run();

  private:
    void plan_job(Index index);
    bool within_team_guarantee(const Job& job) const;
    int64_t tasks_wanted(Index index) const;
    int64_t tasks_within_limit(const Job& job) const;
    std::vector<Index> zones_to_try(const Job& job) const;
    std::optional<ZonePlan> cheapest_plan(const Job& job, int64_t wanted) const;
    ZonePlan collect_machines(const Job& job, Index zone, int64_t wanted) const;
    bool may_plan_on(const Job& job, const ZoneConstraint& zones, Index zone, Index machine) const;
    bool may_evict(const Job& job, const Machine& m) const;
    void claim_free_capacity(const Job& job, const ZonePlan& plan, int64_t wanted,
                             PreemptionRound::Eviction& eviction);
    void evict(const ZonePlan& plan, PreemptionRound::Eviction& eviction);
    void stop(const TaskRef& ref);
    void stop_task(const TaskRef& ref);

    const ClusterState& cluster_;
    const MachineFilter& usable_;
    double now_;
    PreemptionRound round_;
    std::vector<bool> unavailable_;  // by machine: reserved, or planned for a job in this round
    std::map<Index, std::vector<Index>> reserved_;  // by job: machines reserved for it
    std::set<std::pair<Index, uint32_t>> stopped_;  // the tasks in round_.victims
    // By machine: free capacity that earlier jobs of the round count on. When several jobs counted
    // on the same capacity, eight gangs of 32 tasks got machines evicted for only 19 tasks each,
    // and none of them started for a minute.
    std::vector<Resources> claimed_;
    std::vector<FailedSearch> failed_searches_;
};

PreemptionPlanner::PreemptionPlanner(const ClusterState& cluster, const MachineFilter& usable,
                                     double now)
    : cluster_(cluster),
      usable_(usable),
      now_(now),
      unavailable_(cluster.machines.size(), false),
      claimed_(cluster.machines.size()) {
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || !m->reserved(now)) continue;
        unavailable_[i] = true;
        reserved_[m->reserved_for].push_back(i);
    }
}

PreemptionRound PreemptionPlanner::run() {
    for (auto j : waiting_jobs(cluster_, now_))
        if (cluster_.needs_whole_machines(cluster_.jobs[j]->spec)) plan_job(j);
    return std::move(round_);
}

void PreemptionPlanner::plan_job(Index index) {
    auto& job = *cluster_.jobs[index];
    auto wanted = tasks_wanted(index);
    if (wanted <= 0) return;
    bool in_guarantee = within_team_guarantee(job);
    // If some of its tasks are placed, the allowed zones are specific to this job.
    bool no_task_placed = job.placed == 0;
    if (no_task_placed && std::ranges::any_of(failed_searches_, [&](auto& f) {
            return f.implies_failure(job.spec, in_guarantee, wanted);
        }))
        return;
    auto plan = cheapest_plan(job, wanted);
    if (!plan) {
        if (no_task_placed) failed_searches_.push_back({job.spec, in_guarantee, wanted});
        return;
    }
    PreemptionRound::Eviction eviction{index, {}, {}};
    claim_free_capacity(job, *plan, wanted, eviction);
    if (plan->free_capacity_suffices()) return;  // the next placement pass will use it
    evict(*plan, eviction);
    round_.evictions.push_back(std::move(eviction));
}

// Returns whether the job is within its team's guarantee, with all pending tasks of a gang or one
// task of another job.
bool PreemptionPlanner::within_team_guarantee(const Job& job) const {
    auto demand = job.spec.kind == JobKind::Gang ? job.spec.demand * job.pending : job.spec.demand;
    return cluster_.within_guarantee(cluster_.teams[job.spec.team], demand);
}

// Returns the number of tasks that need machines beyond those already reserved for the job.
int64_t PreemptionPlanner::tasks_wanted(Index index) const {
    auto& job = *cluster_.jobs[index];
    auto wanted = tasks_within_limit(job);
    if (auto it = reserved_.find(index); it != reserved_.end())
        for (auto i : it->second)
            wanted -= job.spec.demand.max_copies_in(cluster_.machines[i]->size);
    return wanted;
}

// Returns the number of pending tasks that the team's limit allows; for a gang, all or none.
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

// Returns the plan for the first zone whose free capacity suffices, or otherwise for the cheapest
// zone, or nothing if the job fits in no zone.
std::optional<ZonePlan> PreemptionPlanner::cheapest_plan(const Job& job, int64_t wanted) const {
    std::optional<ZonePlan> best;
    for (auto zone : zones_to_try(job)) {
        auto plan = collect_machines(job, zone, wanted);
        if (plan.free_capacity_suffices()) return plan;
        prefer_machines_with_image(cluster_, job.spec.image, plan);
        if (!pick_machines(plan)) continue;
        if (!best || plan.cost < best->cost) best = std::move(plan);
    }
    return best;
}

bool PreemptionPlanner::may_plan_on(const Job& job, const ZoneConstraint& zones, Index zone,
                                    Index machine) const {
    auto* m = cluster_.machines[machine].get();
    if (!m || unavailable_[machine] || !usable_(*m) || !machine_eligible(cluster_, job.spec, *m))
        return false;
    return (zone == kNone || m->zone == zone) && zones.allows(m->zone);
}

bool PreemptionPlanner::may_evict(const Job& job, const Machine& m) const {
    return !m.tasks.empty() && std::ranges::all_of(m.tasks, [&](auto& ref) {
        return may_preempt(cluster_, *cluster_.jobs[ref.job], job);
    });
}

// Collects the free capacity and the machines that may be evicted in the zone (kNone: in any), by
// machine index.
ZonePlan PreemptionPlanner::collect_machines(const Job& job, Index zone, int64_t wanted) const {
    ZonePlan plan;
    plan.missing_tasks = wanted;
    ZoneConstraint zones(cluster_, job);
    GangNumbering gangs(cluster_, plan.gang_spans);
    for (Index i = 0; i < cluster_.machines.size(); ++i) {
        if (!may_plan_on(job, zones, zone, i)) continue;
        auto& m = *cluster_.machines[i];
        auto free = job.spec.demand.max_copies_in(m.free_resources() - claimed_[i]);
        if (free > 0) {
            plan.missing_tasks -= free;
            plan.free_slots.push_back({i, free});
            continue;
        }
        if (!(claimed_[i] == Resources{}) || !may_evict(job, m)) continue;
        plan.candidates.push_back(gangs.candidate(i));
        plan.tasks_when_empty.push_back(job.spec.demand.max_copies_in(m.size));
    }
    return plan;
}

// Claims free capacity for the tasks that don't fit on the picked machines.
void PreemptionPlanner::claim_free_capacity(const Job& job, const ZonePlan& plan, int64_t wanted,
                                            PreemptionRound::Eviction& eviction) {
    auto planned = plan.picked_tasks();
    for (auto& f : plan.free_slots) {
        if (planned >= wanted) break;
        auto& m = *cluster_.machines[f.machine];
        auto n = std::min(f.tasks, wanted - planned);
        planned += n;
        claimed_[f.machine] += job.spec.demand * n;
        // An empty machine with room for only one task is reserved together with the evicted ones.
        if (plan.free_capacity_suffices() || !m.tasks.empty() ||
            job.spec.demand.max_copies_in(m.size) > 1)
            continue;
        unavailable_[f.machine] = true;
        eviction.empty_machines.push_back(f.machine);
    }
}

void PreemptionPlanner::evict(const ZonePlan& plan, PreemptionRound::Eviction& eviction) {
    for (auto p : plan.picked) {
        auto machine = plan.candidates[p].machine;
        eviction.machines.push_back(machine);
        unavailable_[machine] = true;
        for (auto& ref : cluster_.machines[machine]->tasks) stop(ref);
    }
}

// Stops a task on an evicted machine. A gang is stopped on all machines.
void PreemptionPlanner::stop(const TaskRef& ref) {
    auto& victim = *cluster_.jobs[ref.job];
    if (victim.spec.kind != JobKind::Gang) return stop_task(ref);
    for (uint32_t t = 0; t < victim.tasks.size(); ++t)
        if (victim.tasks[t].state == TaskState::Placed) stop_task({ref.job, t});
}

void PreemptionPlanner::stop_task(const TaskRef& ref) {
    if (stopped_.emplace(ref.job, ref.task).second) round_.victims.push_back(ref);
}

}  // namespace

PreemptionRound plan_preemption(const ClusterState& cluster, const MachineFilter& usable,
                                double now) {
    return PreemptionPlanner(cluster, usable, now).run();
}

std::string preemption_round_json(const PreemptionRound& round, const ClusterState& cluster,
                                  uint64_t number) {
    namespace json = boost::json;
    // Keeps the record within the smallest value size that the key-value store may allow.
    constexpr size_t kMaxListed = 8;
    json::array evictions;
    for (auto& c : round.evictions) {
        if (evictions.size() == kMaxListed) break;
        json::array machines;
        for (auto m : c.machines)
            if (machines.size() < kMaxListed) machines.emplace_back(cluster.machines[m]->name);
        evictions.push_back(
            json::object{{"job", cluster.jobs[c.job]->spec.id}, {"machines", std::move(machines)}});
    }
    return json::serialize(json::object{{"number", number},
                                        {"clearings", std::move(evictions)},
                                        {"stops", static_cast<uint64_t>(round.victims.size())}});
}

}  // namespace weirmill
