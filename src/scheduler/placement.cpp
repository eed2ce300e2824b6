#include "scheduler/placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

#include "scheduler/fit_queues.h"
#include "scheduler/overload_forecast.h"

namespace weirmill {

ZoneRule::ZoneRule(const ClusterState& cluster, const Job& job)
    : cluster(cluster), job(job), in_zone(cluster.names.zones.size(), 0) {
    if (!job.spec.one_zone && !job.spec.spread) return;
    if (job.placed == 0) return;
    for (auto& task : job.tasks) {
        if (task.state != TaskState::Placed) continue;
        auto zone = cluster.machines[task.machine]->zone;
        if (zone == kNone)
            ++somewhere;
        else
            ++in_zone[zone];
    }
}

bool ZoneRule::allows(Index zone) const {
    if (somewhere > 0) return false;
    if (job.spec.one_zone)
        for (Index z = 0; z < in_zone.size(); ++z)
            if (in_zone[z] > 0 && z != zone) return false;
    if (job.spec.spread && in_zone[zone] + 1 > (job.spec.tasks + 1) / 2) return false;
    return true;
}

void ZoneRule::add(Index zone) {
    if (job.spec.one_zone || job.spec.spread) ++in_zone[zone];
}

std::vector<std::vector<Index>> waiting_ranks(const ClusterState& cluster, double now) {
    // Jobs of one rank are equals but for when they are due.
    using Rank = std::tuple<bool, int, bool, int64_t, int>;
    struct Row {
        std::tuple<Rank, double, double, std::string_view> key;
        Index job;
    };
    std::vector<Row> rows;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !job->active() || job->waits || job->pending == 0 || job->not_before > now)
            continue;
        // A gang starts anew only after every task of its old attempt is gone.
        if (job->spec.kind == JobKind::Gang && (job->placed > 0 || job->gang_ending)) continue;
        // Among equals, those that can still be in time go first, and of them the one due soonest.
        int missed;
        double due = cluster.due(*job, now + cluster.expected_run_s(job->spec), missed);
        // Where they can't all be in time, shorter work goes first, so that as many as can be are;
        // a job waits in proportion to its work at the most, as later ones count from when they
        // came. What others wait for keeps the time by which those need it.
        if (double slowdown = cluster.slowdown(job->spec); slowdown > 0 && job->needed_by > 1e17) {
            missed = 0;
            due = job->came_at() + slowdown * waiting_work(cluster, *job);
        }
        Rank rank{!job->guaranteed, -static_cast<int>(job->priority),
                  !cluster.within_guarantee(cluster.teams[job->spec.team], job->spec.demand),
                  -job->spec.demand.gpu, missed};
        rows.push_back({{rank, due, job->submitted, job->spec.id}, j});
    }
    std::sort(rows.begin(), rows.end(), [](auto& a, auto& b) { return a.key < b.key; });
    std::vector<std::vector<Index>> out;
    for (size_t i = 0; i < rows.size(); ++i) {
        if (i == 0 || std::get<0>(rows[i].key) != std::get<0>(rows[i - 1].key)) out.emplace_back();
        out.back().push_back(rows[i].job);
    }
    return out;
}

std::vector<Index> waiting_jobs(const ClusterState& cluster, double now) {
    std::vector<Index> out;
    for (auto& rank : waiting_ranks(cluster, now)) out.insert(out.end(), rank.begin(), rank.end());
    return out;
}

// The image is there, or is being fetched for another task.
bool image_near(const ClusterState& cluster, const Machine& m, Index image) {
    return m.has_image(image) || std::any_of(m.tasks.begin(), m.tasks.end(), [&](auto& ref) {
               return cluster.jobs[ref.job]->spec.image == image;
           });
}

namespace {

// Where tasks may run: what jobs ask for, room aside.
struct Terms {
    Resources demand;
    std::vector<Index> types;
    Index zone;
    bool spot;
    explicit Terms(const JobSpec& s)
        : demand(s.demand), types(s.types), zone(s.zone), spot(s.spot) {}
    bool same_places(const JobSpec& s) const {
        return types == s.types && zone == s.zone && spot == s.spot;
    }
};

// One pass over the waiting jobs. Room only shrinks during it.
class Pass {
  public:
    Pass(ClusterState& cluster, const Usable& usable, const std::vector<std::vector<Index>>& ranks,
         double now, const std::vector<Headroom>& headroom)
        : cluster_(cluster), now_(now) {
        Resources least;
        bool any = false;
        std::vector<Index> waiting;
        for (auto& rank : ranks)
            for (auto j : rank) {
                waiting.push_back(j);
                auto& demand = cluster.jobs[j]->spec.demand;
                lowest_ = std::min(lowest_, cluster.jobs[j]->priority);
                least = any ? Resources{std::min(least.cpu, demand.cpu),
                                        std::min(least.gpu, demand.gpu),
                                        std::min(least.mem, demand.mem)}
                            : demand;
                any = true;
            }
        for (Index i = 0; any && i < cluster.machines.size(); ++i) {
            auto* m = cluster.machines[i].get();
            if (!m || !least.fits_in(m->room()) || !usable(*m)) continue;
            open_.push_back(i);
            if (m->reserved(now)) reserved_for_.push_back(m->reserved_for);
        }
        queues_.emplace(cluster, open_, waiting, now);
        for (auto& s : headroom) {
            if (s.at_once <= 0) continue;
            Kept kept{s.like, -s.at_once};
            for (auto i : open_)
                if (keeps(kept, *cluster.machines[i]))
                    kept.beyond += s.like->demand.times_in(cluster.machines[i]->size);
            kept_.push_back(kept);
        }
    }

    // Machines with room for a task of the job, best fit first; null: there are none. `near`: where
    // its image is.
    FitQueue* candidates(Index index, bool near) {
        auto& spec = cluster_.jobs[index]->spec;
        bool own =
            std::find(reserved_for_.begin(), reserved_for_.end(), index) != reserved_for_.end();
        // A more pressing job that could go wherever this one can, and needs no more, found
        // nothing.
        if (!own && std::any_of(full_.begin(), full_.end(), [&](auto& t) {
                return t.same_places(spec) && t.demand.fits_in(spec.demand);
            }))
            return nullptr;
        auto& queue = queues_->of(index, near);
        if (queue.room() > 0) return &queue;
        if (!near) full_.emplace_back(spec);
        return nullptr;
    }

    // Whether tasks of the job may take room on the machine that others keep for theirs.
    bool may_take(Index index, Index machine) const {
        auto& job = *cluster_.jobs[index];
        if (auto held = held_.find(machine); held != held_.end() && held->second > job.priority)
            return false;
        auto& m = *cluster_.machines[machine];
        for (auto& k : kept_)
            if (k.beyond <= 0 && job.priority < k.like->priority && keeps(k, m)) return false;
        if (!m.reserved(now_) || m.reserved_for == index) return true;
        auto* owner = cluster_.jobs[m.reserved_for].get();
        return !owner || owner->priority < job.priority;
    }

    // The zones with a machine that the job may take: the one first where most of its tasks find
    // their image, as a gang waits for the last of its machines to fetch it, then by the lowest
    // index of such a machine.
    std::vector<Index> zones_of(Index index) {
        auto& job = *cluster_.jobs[index];
        std::map<Index, int64_t> near;
        // With one zone there is nothing to choose.
        if (job.spec.image_gb > 0 && queues_->of(index, false).zones().size() > 1) {
            auto& queue = queues_->of(index, true);
            for (auto& [z, zone] : queue.zones())
                near[z] = std::min<int64_t>(zone.room, job.pending);
        }
        auto& queue = queues_->of(index, false);
        std::vector<std::tuple<int64_t, Index, Index>> order;
        for (auto& [z, zone] : queue.zones()) {
            auto i = FitQueues::lowest(queue, zone, [&](Index m) { return may_take(index, m); });
            if (i != kNone) order.emplace_back(-near[z], i, z);
        }
        std::sort(order.begin(), order.end());
        std::vector<Index> out;
        for (auto& [images, i, z] : order) out.push_back(z);
        return out;
    }

    // Of a job that found no room: machines with some, though not enough for one task, are passed
    // by by jobs of lower priority until more comes free there. Without that, tasks of half the
    // size took every place that a single end left, and 2-CPU tasks of high priority waited minutes
    // behind 1-CPU ones of lower. Not for tasks that take a machine to themselves: those have
    // machines cleared.
    void hold(const Job& job) {
        if (job.priority == lowest_) return;  // nobody would pass by
        auto& demand = job.spec.demand;
        bool shares = false;
        for (Index t = 0; t < cluster_.types.size() && !shares; ++t)
            shares = demand.times_in(cluster_.types[t].type.size) >= 2 &&
                     cluster_.type_fits(job.spec, t);
        if (!shares) return;
        std::vector<std::pair<int64_t, Index>> some;
        for (auto i : open_) {
            auto& m = *cluster_.machines[i];
            if (demand.fits_in(m.room()) || demand.times_in(m.size) < 2) continue;
            if (auto held = held_.find(i); held != held_.end() && held->second >= job.priority)
                continue;
            if (!cluster_.machine_allowed(job.spec, m) || cluster_.reserves_gpus(job.spec, m.type))
                continue;
            some.emplace_back(demand.cpu - m.room().cpu, i);
        }
        size_t most = std::min<size_t>(some.size(), job.pending);
        std::partial_sort(some.begin(), some.begin() + static_cast<long>(most), some.end());
        for (size_t k = 0; k < most; ++k) held_[some[k].second] = job.priority;
    }

    // Calls `place(machine)` for one task after the other, best fit first, until it says no or no
    // room is left. Equal tasks fill the best machine before the next: with each of them it fits
    // better still. `only`: machines of this zone; kNone: of all.
    template <class Place>
    void fill(Index index, FitQueue& queue, Index only, ZoneRule& rule, Place place) {
        auto& job = *cluster_.jobs[index];
        std::vector<std::pair<FitQueue::Zone*, FitQueue::Entry>> out;  // of the queue, for now
        bool more = true;
        while (more) {
            FitQueue::Zone* best = nullptr;
            const FitQueue::Entry* top = nullptr;
            for (auto& [z, zone] : queue.zones()) {
                // The rule only gets stricter with every task: a zone that is ruled out stays so.
                if ((only != kNone && z != only) || !rule.allows(z)) continue;
                auto* t = queues_->top(zone);
                if (t && (!top || *top > *t)) top = t, best = &zone;
            }
            if (!best) break;
            auto entry = *queues_->pop(*best);
            auto& m = *cluster_.machines[entry.machine];
            // Until others take room there, no task of this kind may: it comes back with the next
            // entry.
            if (!cluster_.leaves_gpus_usable(job.spec, m)) continue;
            out.emplace_back(best, entry);
            if (!may_take(index, entry.machine)) continue;
            while (job.spec.demand.fits_in(m.room()) && rule.allows(m.zone) &&
                   cluster_.leaves_gpus_usable(job.spec, m)) {
                more = place(entry.machine);
                if (!more) break;
                rule.add(m.zone);
            }
        }
        for (auto& [zone, entry] : out) queues_->put_back(*zone, entry);
    }

    // The task is on the machine.
    void placed(Index machine) {
        queues_->taken(machine);
        auto& m = *cluster_.machines[machine];
        if (m.tasks.size() > 1 || m.reserved_for != kNone) return;
        for (auto& k : kept_)
            if (suits(k, m)) k.beyond -= k.like->demand.times_in(m.size);
    }

    // What tasks like this one could take of the machines that are there or coming up, were all of
    // them empty.
    Resources capacity_for(const JobSpec& spec) {
        for (auto& [terms, capacity] : capacities_)
            if (terms.demand == spec.demand && terms.same_places(spec)) return capacity;
        int64_t tasks = 0;
        for (auto& m : cluster_.machines)
            if (m && !m->abandoned && !m->terminating && cluster_.machine_allowed(spec, *m) &&
                !cluster_.reserves_gpus(spec, m->type))
                tasks += spec.demand.times_in(m->size);
        capacities_.emplace_back(Terms(spec), spec.demand * tasks);
        return capacities_.back().second;
    }

  private:
    // Empty machines for jobs like this one, and how many of its tasks they hold beyond what is to
    // be kept.
    struct Kept {
        const JobSpec* like;
        int64_t beyond;
    };
    bool suits(const Kept& kept, const Machine& m) const {
        return cluster_.machine_allowed(*kept.like, m) &&
               !cluster_.reserves_gpus(*kept.like, m.type);
    }
    bool keeps(const Kept& kept, const Machine& m) const {
        return m.tasks.empty() && m.reserved_for == kNone && suits(kept, m);
    }
    ClusterState& cluster_;
    double now_;
    std::vector<Kept> kept_;
    std::vector<Index> open_, reserved_for_;
    std::optional<FitQueues> queues_;
    Priority lowest_ = Priority::Production;  // of the waiting jobs
    std::map<Index, Priority> held_;          // machines that jobs of lower priority pass by
    std::vector<Terms> full_;                 // terms on which nothing was found
    std::vector<std::pair<Terms, Resources>> capacities_;
};

// All tasks of the gang or none. With one zone, the zones are tried in turn.
bool place_gang(ClusterState& cluster, Pass& pass, Index index, const Resources& held, double now,
                std::vector<Placement>& out) {
    auto& job = *cluster.jobs[index];
    if (!cluster.within_limit(cluster.teams[job.spec.team], held + job.spec.demand * job.pending))
        return false;
    if (!pass.candidates(index, false)) return false;
    auto zones = job.spec.one_zone ? pass.zones_of(index) : std::vector<Index>{kNone};
    auto* queue = pass.candidates(index, false);
    for (auto zone : zones) {
        if ((zone == kNone ? queue->room() : queue->room(zone)) < job.pending) continue;
        ZoneRule rule(cluster, job);
        std::vector<Index> chosen;
        pass.fill(index, *queue, zone, rule, [&](Index i) {
            if (chosen.size() == job.pending) return false;
            chosen.push_back(i);
            cluster.machines[i]->used += job.spec.demand;  // for the time of this search
            return true;
        });
        for (auto i : chosen) cluster.machines[i]->used -= job.spec.demand;
        if (chosen.size() != job.pending) continue;
        ++job.gang_attempt;
        size_t next = 0;
        for (uint32_t t = 0; t < job.tasks.size(); ++t) {
            if (job.tasks[t].state != TaskState::Pending) continue;
            auto i = chosen[next++];
            cluster.place(index, t, i, job.gang_attempt, now);
            pass.placed(i);
            out.push_back({index, t, i, job.gang_attempt});
        }
        return true;
    }
    return false;
}

void place_tasks(ClusterState& cluster, Pass& pass, Index index, const Resources& held,
                 bool image_only, double now, size_t most, std::vector<Placement>& out) {
    auto& job = *cluster.jobs[index];
    auto& team = cluster.teams[job.spec.team];
    if (!cluster.within_limit(team, held + job.spec.demand)) return;
    auto* queue = pass.candidates(index, image_only);
    if (!queue) return;
    ZoneRule rule(cluster, job);
    uint32_t t = job.first_pending;
    pass.fill(index, *queue, kNone, rule, [&](Index i) {
        while (t < job.tasks.size() && job.tasks[t].state != TaskState::Pending) ++t;
        job.first_pending = t;
        if (t == job.tasks.size() || out.size() >= most ||
            !cluster.within_limit(team, held + job.spec.demand))
            return false;
        uint32_t attempt = job.tasks[t].attempt + 1;
        cluster.place(index, t, i, attempt, now);
        pass.placed(i);
        out.push_back({index, t, i, attempt});
        return true;
    });
}

}  // namespace

std::vector<Placement> place_waiting(ClusterState& cluster, const Usable& usable, double now,
                                     size_t most, const std::vector<Headroom>& headroom,
                                     const std::vector<Index>& first) {
    std::vector<Placement> out;
    auto ranks = waiting_ranks(cluster, now);
    Pass pass(cluster, usable, ranks, now, headroom);
    // Of each team's limit, what its large jobs are waiting for: small tasks that come after them
    // would otherwise fill the limit again each time that one ends, and a large job would never get
    // its share. What could not be filled by large jobs alone is left to the others.
    std::vector<std::pair<Priority, Resources>> held(cluster.teams.size(),
                                                     {Priority::Production, {}});
    std::vector<Resources> large(cluster.teams.size());
    for (auto& job : cluster.jobs)
        if (job && job->placed > 0 && cluster.large(job->spec))
            large[job->spec.team] += job->spec.demand * job->placed;
    auto kept = [&](const Job& job) {
        auto& [above, share] = held[job.spec.team];
        return job.priority < above ? share : Resources{};
    };
    auto before_equals = first;
    auto command = [&](Index j) {
        auto& job = *cluster.jobs[j];
        return std::make_pair(!job.guaranteed, -static_cast<int>(job.priority));
    };
    for (auto& rank : ranks) {
        if (out.size() >= most) break;
        auto commands = command(rank.front());
        std::erase_if(before_equals, [&](Index j) {
            if (command(j) > commands) return false;
            auto& job = *cluster.jobs[j];
            if (job.spec.kind == JobKind::Gang)
                place_gang(cluster, pass, j, kept(job), now, out);
            else
                place_tasks(cluster, pass, j, kept(job), false, now, std::min(most, out.size() + 1),
                            out);
            return true;
        });
        // Among equals, a machine goes first to a job whose image it has: where jobs wait, a
        // machine would else fetch an image for most of its tasks.
        if (rank.size() > 1)
            for (auto j : rank) {
                auto& job = *cluster.jobs[j];
                if (job.spec.kind != JobKind::Gang && job.spec.image_gb > 0)
                    place_tasks(cluster, pass, j, kept(job), true, now, most, out);
            }
        for (auto j : rank) {
            auto& job = *cluster.jobs[j];
            if (job.pending == 0) continue;
            auto& team = cluster.teams[job.spec.team];
            if (job.spec.kind == JobKind::Gang)
                place_gang(cluster, pass, j, kept(job), now, out);
            else
                place_tasks(cluster, pass, j, kept(job), false, now, most, out);
            if (job.pending > 0 && cluster.within_limit(team, kept(job) + job.spec.demand))
                pass.hold(job);
            if (job.pending == 0 || (!team.limit.cpu && !team.limit.gpu) ||
                !cluster.large(job.spec))
                continue;
            auto& [above, share] = held[job.spec.team];
            auto more = job.spec.demand * (job.spec.kind == JobKind::Gang ? job.pending : 1);
            auto filled = large[job.spec.team] + share + more;
            if (!cluster.below_limit(team, filled)) continue;
            // Nor is a share of any use beyond what the machines there can hold: a team's small
            // tasks once waited for minutes beside idle machines, for a limit that its large jobs
            // could not reach.
            if (!filled.fits_in(pass.capacity_for(job.spec))) continue;
            above = job.priority;
            share += more;
        }
    }
    // What was kept for a job that has its places, here or elsewhere, is anybody's again. Held to
    // the end of its time, hundreds of GPUs once stood empty for jobs that ran already.
    for (auto& m : cluster.machines) {
        if (!m || m->reserved_for == kNone) continue;
        auto* owner = cluster.jobs[m->reserved_for].get();
        if (!owner || !owner->active() || owner->pending == 0) m->reserved_for = kNone;
    }
    return out;
}

}  // namespace weirmill
