#include "scheduler/preemption.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <optional>

namespace weirmill {

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
            if (best == candidates.size() || cost < best_cost - 1e-9) best = i, best_cost = cost;
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
    // A job may count as high as any that needs it. A stop must be right whether or not one sees it
    // so: the one that is stopped counts with what needs it, the one that asks with its own
    // priority alone.
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

// Jobs for which the same machines may be cleared. Within a round machines are only taken, so where
// too few were found for one job, there are too few for any other of the kind that wants as much.
struct Vain {
    JobSpec like;
    bool owed;       // its team is owed its guarantee, for this job
    int64_t wanted;  // tasks that found no machines; more of them find none either
    bool covers(const JobSpec& s, bool is_owed, int64_t wants) const {
        return wants >= wanted && is_owed == owed && like.same_shape_as(s) && like.team == s.team &&
               like.priority == s.priority && like.one_zone == s.one_zone &&
               like.spread == s.spread;
    }
};

struct Clearable {
    ClearCandidate candidate;
    int64_t fits = 0;  // tasks of the waiting job on the emptied machine
};

// Room that is free already, for so many tasks of the waiting job.
struct Free {
    Index machine;
    int64_t fits;
};

// What one job would get in one zone.
struct Choice {
    std::vector<Clearable> list;
    std::vector<size_t> pick;
    std::vector<Free> free;
    double cost = 0;
};

}  // namespace

PreemptionRound plan_preemption(const ClusterState& cluster, const Usable& usable, double now) {
    PreemptionRound round;
    std::vector<bool> taken(cluster.machines.size(), false);
    std::map<Index, std::vector<Index>> reserved;  // machines that are being emptied, by job
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        taken[i] = m && m->reserved(now);
        if (taken[i]) reserved[m->reserved_for].push_back(i);
    }
    std::map<std::pair<Index, uint32_t>, bool> stopped;
    // Of free room, what jobs before this one count on. Counted on by each of them, it once left
    // eight gangs of 32 with machines cleared for 19 each, and none of them started for a minute.
    std::vector<Resources> promised(cluster.machines.size());
    std::vector<Vain> vain;
    for (auto j : waiting_jobs(cluster, now)) {
        auto& job = *cluster.jobs[j];
        if (!cluster.large(job.spec)) continue;
        auto& team = cluster.teams[job.spec.team];
        bool gang = job.spec.kind == JobKind::Gang;
        int64_t wanted = gang ? job.pending : 0;
        if (gang && !cluster.within_limit(team, job.spec.demand * job.pending)) continue;
        while (!gang && wanted < job.pending &&
               cluster.within_limit(team, job.spec.demand * (wanted + 1)))
            ++wanted;
        // Machines already being emptied for this job.
        if (auto it = reserved.find(j); it != reserved.end())
            for (auto i : it->second) wanted -= job.spec.demand.times_in(cluster.machines[i]->size);
        if (wanted <= 0) continue;
        bool owed =
            cluster.within_guarantee(team, gang ? job.spec.demand * job.pending : job.spec.demand);
        // Where some of its tasks are placed, its zones are its own.
        bool fresh_zones = job.placed == 0;
        if (fresh_zones && std::any_of(vain.begin(), vain.end(),
                                       [&](auto& v) { return v.covers(job.spec, owed, wanted); }))
            continue;

        std::vector<Index> zones{kNone};
        if (job.spec.one_zone) {
            zones.clear();
            for (Index z = 0; z < cluster.names.zones.size(); ++z) zones.push_back(z);
        }
        std::optional<Choice> best;
        bool has_room = false;
        for (auto zone : zones) {
            ZoneRule rule(cluster, job);
            int64_t missing = wanted;
            Choice choice;
            auto& list = choice.list;
            std::map<Index, Index> dense;
            std::vector<uint32_t> spans;
            for (Index i = 0; i < cluster.machines.size(); ++i) {
                auto* m = cluster.machines[i].get();
                if (!m || taken[i] || !usable(*m) || !cluster.machine_allowed(job.spec, *m))
                    continue;
                if (cluster.reserves_gpus(job.spec, m->type)) continue;
                if (zone != kNone && m->zone != zone) continue;
                if (!rule.allows(m->zone)) continue;
                auto free = job.spec.demand.times_in(m->room() - promised[i]);
                if (free > 0) {
                    missing -= free;
                    choice.free.push_back({i, free});
                    continue;
                }
                if (!(promised[i] == Resources{})) continue;
                Clearable c;
                c.candidate.machine = i;
                c.fits = job.spec.demand.times_in(m->size);
                if (m->tasks.empty() ||
                    !std::all_of(m->tasks.begin(), m->tasks.end(), [&](auto& ref) {
                        return may_stop(cluster, *cluster.jobs[ref.job], job);
                    }))
                    continue;
                for (auto& ref : m->tasks) {
                    auto& victim = *cluster.jobs[ref.job];
                    if (victim.spec.kind != JobKind::Gang) {
                        ++c.candidate.singles;
                        continue;
                    }
                    auto [it, fresh] = dense.emplace(ref.job, static_cast<Index>(spans.size()));
                    if (fresh) {
                        std::vector<Index> on;
                        for (auto& t : victim.tasks)
                            if (t.state == TaskState::Placed &&
                                std::find(on.begin(), on.end(), t.machine) == on.end())
                                on.push_back(t.machine);
                        spans.push_back(static_cast<uint32_t>(on.size()));
                    }
                    if (std::find(c.candidate.gangs.begin(), c.candidate.gangs.end(), it->second) ==
                        c.candidate.gangs.end())
                        c.candidate.gangs.push_back(it->second);
                }
                list.push_back(std::move(c));
            }
            if (missing <= 0) {
                best = std::move(choice);  // there is room: placement will take it
                has_room = true;
                break;
            }
            // Among equal costs, machines that have the image.
            std::stable_partition(list.begin(), list.end(), [&](auto& c) {
                return cluster.machines[c.candidate.machine]->has_image(job.spec.image);
            });
            // N: the fewest whole machines that fit what is missing. Machines that hold the most
            // first.
            std::vector<int64_t> fits;
            for (auto& c : list) fits.push_back(c.fits);
            std::sort(fits.rbegin(), fits.rend());
            size_t n = 0;
            int64_t sum = 0;
            while (n < fits.size() && sum < missing) sum += fits[n++];
            if (sum < missing) continue;
            std::vector<ClearCandidate> plain;
            for (auto& c : list) plain.push_back(c.candidate);
            // Cheapest first; with machines of different sizes N may fall short, then one more is
            // picked.
            auto& pick = choice.pick;
            for (; n <= plain.size(); ++n) {
                pick = pick_cheapest(plain, spans, n);
                int64_t got = 0;
                for (auto p : pick) got += list[p].fits;
                if (got >= missing) break;
            }
            for (auto p : pick) choice.cost += preemption_cost(plain[p], spans);
            if (!best || choice.cost < best->cost) best = std::move(choice);
        }
        if (!best) {
            if (fresh_zones) vain.push_back({job.spec, owed, wanted});
            continue;
        }
        PreemptionRound::Clearing clearing{j, {}, {}};
        int64_t counted = 0;
        for (auto p : best->pick) counted += best->list[p].fits;
        for (auto& f : best->free) {
            if (counted >= wanted) break;
            auto& m = *cluster.machines[f.machine];
            auto n = std::min(f.fits, wanted - counted);
            counted += n;
            promised[f.machine] += job.spec.demand * n;
            // A whole machine waits with those that are being emptied.
            if (has_room || !m.tasks.empty() || job.spec.demand.times_in(m.size) > 1) continue;
            taken[f.machine] = true;
            clearing.kept.push_back(f.machine);
        }
        if (has_room) continue;
        for (auto p : best->pick) {
            auto i = best->list[p].candidate.machine;
            clearing.machines.push_back(i);
            taken[i] = true;
            for (auto& ref : cluster.machines[i]->tasks) {
                auto& victim = *cluster.jobs[ref.job];
                if (victim.spec.kind == JobKind::Gang) {
                    for (uint32_t t = 0; t < victim.tasks.size(); ++t)
                        if (victim.tasks[t].state == TaskState::Placed &&
                            stopped.emplace(std::pair(ref.job, t), true).second)
                            round.stops.push_back({ref.job, t});
                } else if (stopped.emplace(std::pair(ref.job, ref.task), true).second) {
                    round.stops.push_back(ref);
                }
            }
        }
        round.clearings.push_back(std::move(clearing));
    }
    return round;
}

std::string round_record(const PreemptionRound& round, const ClusterState& cluster,
                         uint64_t number) {
    namespace json = boost::json;
    // Bounded, so that the record fits the smallest value the state service may allow.
    constexpr size_t kMax = 8;
    json::array clearings;
    for (auto& c : round.clearings) {
        if (clearings.size() == kMax) break;
        json::array machines;
        for (auto m : c.machines)
            if (machines.size() < kMax) machines.emplace_back(cluster.machines[m]->name);
        clearings.push_back(
            json::object{{"job", cluster.jobs[c.job]->spec.id}, {"machines", std::move(machines)}});
    }
    return json::serialize(json::object{{"number", number},
                                        {"clearings", std::move(clearings)},
                                        {"stops", static_cast<uint64_t>(round.stops.size())}});
}

}  // namespace weirmill
