#include "autoscaler/autoscaler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace weirmill {

namespace {

constexpr int kMaxRental = 50;  // machines in one request to the cloud
constexpr double kNewcomer_s = 15;
constexpr double kSooner = 1.3;  // a new machine must be sooner by this factor to be worth renting
constexpr double kEager = 0.3;   // and by no less than this share of it, however cheap
constexpr double kPatience = 0.15;  // share of a job's slack that it may wait for room
constexpr double kThrift = 0.85;    // and as much more as a new machine would stand empty
constexpr double kStopping_s = 3;   // a task told to stop is gone soon
constexpr double kOverdue = 0.15;   // of its expected run, or of the longer one it has had: what is
                                    // left when it should be over
constexpr double kMinCharge_s = 60;  // a machine costs this much even if it is returned sooner
constexpr double kRecent_s = 120;    // what came in this time is what will come
constexpr double kSettled_s = 30;    // a task that has just started is left alone
constexpr double kMove_s = 6;        // from a task's exit to its start elsewhere
constexpr int64_t kMaxKept =
    10;  // of the machines that suit, one in so many is kept empty at the most
constexpr size_t kMaxTasks = 400;  // of one job, looked at one by one

// A machine that is up, coming up or to be rented, as far as it is known when it will have room.
struct ExpectedCapacity {
    Index type, zone;
    bool spot;
    double from;  // seconds from now at which `room` is there
    Resources room;
    std::vector<std::pair<double, Resources>> ends;  // what running tasks will free, soonest first
    bool rising = false;                             // not up yet

    // When a task will find room here; `taken`: the ends it waits for.
    double start(const Resources& demand, size_t& taken) const {
        auto sum = room;
        double at = from;
        taken = 0;
        while (!demand.fits_in(sum)) {
            if (taken == ends.size()) return 1e18;
            sum += ends[taken].second;
            at = std::max(at, ends[taken].first);
            ++taken;
        }
        return at;
    }
    void take(const Resources& demand, double at, size_t taken, double lasts) {
        for (size_t i = 0; i < taken; ++i) room += ends[i].second;
        ends.erase(ends.begin(), ends.begin() + static_cast<long>(taken));
        room -= demand;
        from = std::max(from, taken ? at : from);
        std::pair<double, Resources> end{at + lasts, demand};
        ends.insert(std::upper_bound(ends.begin(), ends.end(), end,
                                     [](auto& x, auto& y) { return x.first < y.first; }),
                    end);
    }
};

bool serves(const ClusterState& cluster, const JobSpec& spec, const ExpectedCapacity& c) {
    if (c.spot && !spec.spot) return false;
    if (spec.zone != kNone && spec.zone != c.zone) return false;
    return cluster.type_fits(spec, c.type) && !cluster.reserves_gpus(spec, c.type);
}

// Of a task's run, in seconds. The longer it is overdue, the longer it will be: taken for as good
// as over, tasks of a wrong estimate kept others waiting for their room for as long as they ran.
double left_of(double expected, double ran) {
    return std::max(kOverdue * std::max(expected, ran), expected - ran);
}

std::vector<ExpectedCapacity> known_machines(const ClusterState& cluster, const Usable& usable,
                                             double now) {
    std::vector<ExpectedCapacity> out;
    for (auto& m : cluster.machines) {
        if (!m || m->type == kNone || m->abandoned || m->terminating) continue;
        if (m->type >= cluster.types.size() || !cluster.types[m->type].offered) continue;
        double boot = cluster.types[m->type].type.boot_s;
        // One that a change of leader has just revealed is likely to report soon.
        bool booting =
            !m->up && (m->status == MachineStatus::Booting || now - m->added < kNewcomer_s);
        if (!booting && !usable(*m)) continue;
        ExpectedCapacity c{
            m->type,
            m->zone,
            m->spot,
            booting ? std::max(0.2 * boot, m->requested_at + cluster.boot_factor * boot - now) : 0,
            m->room(),
            {},
            booting};
        for (auto& ref : m->tasks) {
            auto& job = *cluster.jobs[ref.job];
            if (job.spec.kind == JobKind::Service) continue;
            auto& task = job.tasks[ref.task];
            double run = cluster.expected_run_s(job.spec), left;
            if (task.stopping)
                left = kStopping_s;
            else if (task.running_at > 0)
                left = left_of(run, now - task.running_at);
            else
                left = run +
                       std::max(0.0, cluster.fetch_s(job.spec, m->type) - (now - task.placed_at));
            c.ends.emplace_back(left, job.spec.demand);
        }
        std::sort(c.ends.begin(), c.ends.end(), [](auto& x, auto& y) { return x.first < y.first; });
        out.push_back(std::move(c));
    }
    return out;
}

// The offer that is cheapest for a task of `tasks`; spot first where it may be used.
ExpectedCapacity cheapest_offer(const ClusterState& cluster, const JobSpec& spec, size_t tasks,
                                Index only, const ZoneRule& rule, const std::vector<bool>& silent,
                                double now) {
    double best_cost = 0;
    ExpectedCapacity offer{kNone, kNone, false, 0, {}, {}};
    for (Index t = 0; t < cluster.types.size(); ++t) {
        if (!cluster.type_fits(spec, t) || cluster.reserves_gpus(spec, t)) continue;
        auto& type = cluster.types[t].type;
        auto fits = std::min<int64_t>(spec.demand.times_in(type.size), static_cast<int64_t>(tasks));
        for (auto& zone_name : type.zones) {
            auto z = cluster.names.zones.find(zone_name);
            if (z == kNone || (only != kNone && z != only) ||
                (spec.zone != kNone && z != spec.zone))
                continue;
            if (!rule.allows(z) || (z < silent.size() && silent[z])) continue;
            for (bool spot : {true, false}) {
                if ((spot && !spec.spot) || cluster.refused(t, z, spot, now)) continue;
                double cost = (spot ? type.spot_price : type.price) / static_cast<double>(fits);
                if (offer.type == kNone || cost < best_cost - 1e-12) {
                    best_cost = cost;
                    offer = {t, z, spot, cluster.boot_factor * type.boot_s, type.size, {}, true};
                }
            }
        }
    }
    return offer;
}

// How long the job could wait for room and still end as asked.
double slack_of(const ClusterState& cluster, const Job& job, double fetch, double now) {
    auto& spec = job.spec;
    double run = cluster.expected_run_s(spec);
    int missed;
    double slack = cluster.due(job, now + fetch + run, missed) - (now + fetch + run);
    if (missed > 0) slack = 0;
    if (spec.job_class < cluster.classes.size() &&
        cluster.classes[spec.job_class].start_within_s > 0)
        slack = std::min(
            slack, job.came_at() + cluster.classes[spec.job_class].start_within_s - now - fetch);
    return slack > 1e17 ? run : std::max(0.0, slack);
}

}  // namespace

std::vector<bool> silent_zones(const ClusterState& cluster, const Usable& usable) {
    std::vector<int> balance(cluster.names.zones.size(), 0);
    for (auto& m : cluster.machines) {
        if (!m || m->zone == kNone || m->abandoned || m->terminating) continue;
        if (m->up && usable(*m))
            --balance[m->zone];
        else if (m->status == MachineStatus::Running && m->interruption_at < 0 && !m->missing)
            ++balance[m->zone];
    }
    std::vector<bool> out;
    for (int b : balance) out.push_back(b > 2);
    // If no zone is left, it is rather this controller that hears nothing.
    if (std::all_of(out.begin(), out.end(), [](bool silent) { return silent; }))
        out.assign(out.size(), false);
    return out;
}

std::vector<Headroom> planned_headroom(const ClusterState& cluster,
                                       const AutoscalerSettings& settings, double now) {
    std::vector<Headroom> out;
    for (auto& c : cluster.classes) {
        if (c.start_within_s <= 0 || c.arrivals.empty() || c.last.team == kNone) continue;
        double boot = 1e18;
        for (Index t = 0; t < cluster.types.size(); ++t)
            if (cluster.type_fits(c.last, t))
                boot = std::min(boot, cluster.boot_factor * cluster.types[t].type.boot_s +
                                          cluster.fetch_s(c.last, t));
        double fresh = boot + 2 * settings.heartbeat_interval_s;
        if (boot > 1e17 || fresh <= c.start_within_s) continue;
        // As many as come, and a little more, while a new machine boots; and room for the largest.
        double tasks = 0;
        uint32_t largest = 0;
        for (auto& [at, n] : c.arrivals) {
            if (now - at > kRecent_s) continue;
            tasks += n;
            largest = std::max(largest, n);
        }
        if (tasks == 0) continue;
        auto within = [&](double seconds) {
            double mean = tasks / kRecent_s * seconds;
            return static_cast<int64_t>(std::ceil(mean + std::sqrt(mean)));
        };
        Headroom headroom{&c.last, std::max<int64_t>(largest, within(fresh)), 0};
        // Where machines are cleared soon enough, what comes until then finds empty ones that lower
        // work leaves. Never so many that a small fleet has none left for that work.
        if (cluster.large(c.last) &&
            settings.clear_s + settings.heartbeat_interval_s <= c.start_within_s) {
            int64_t hold = 0;
            for (auto& m : cluster.machines)
                if (m && m->up && cluster.machine_allowed(c.last, *m) &&
                    !cluster.reserves_gpus(c.last, m->type))
                    hold += c.last.demand.times_in(m->size);
            headroom.at_once = std::min(within(settings.clear_s), hold / kMaxKept);
        }
        out.push_back(headroom);
    }
    return out;
}

namespace {

using Wanted = std::map<std::tuple<Index, Index, bool>, int>;

// Where one job's tasks would go, and when; what that changes of the machines is kept beside it.
struct Plan {
    bool complete = false;  // every task has its place
    bool late = true;       // room comes later than the job would like, and nothing can be rented
    double latest = 1e18;
    int requested_at = 0;
    std::map<size_t, ExpectedCapacity>
        machines;  // as they would be; beyond those that are known, the rented ones
    Wanted wanted;
    // Of several zones, one where the job is served in time, with the fewest machines rented.
    auto rank() const { return std::make_tuple(late, late ? latest : 0, requested_at, latest); }
};

// When a machine has room for a task.
struct Opening {
    double at;
    size_t machine, taken;
    uint32_t stamp = 0;  // void once the machine has another
    bool operator<(const Opening& o) const {
        return std::tie(at, machine) < std::tie(o.at, o.machine);
    }
    bool operator>(const Opening& o) const { return o < *this; }
};

// Openings in order. What changes goes into a short list beside the long one, and what it replaces
// stays there as void: taken out and put in at once, each change moved half of the long list.
struct Openings {
    struct Cursor {
        size_t base = 0, fresh = 0;
    };
    std::vector<Opening> base, fresh;
    size_t begin = 0;  // of the long list: what is before is void

    void insert(const Opening& o) {
        fresh.insert(std::upper_bound(fresh.begin(), fresh.end(), o), o);
    }
    // `gone`: whether an opening is void.
    template <class Gone>
    void tidy(Gone&& gone) {
        while (begin < base.size() && gone(base[begin])) ++begin;
        if (fresh.size() < kMaxFresh) return;
        std::vector<Opening> merged;
        merged.reserve(base.size() - begin + fresh.size());
        std::merge(base.begin() + static_cast<long>(begin), base.end(), fresh.begin(), fresh.end(),
                   std::back_inserter(merged));
        std::erase_if(merged, gone);
        base = std::move(merged);
        fresh.clear();
        begin = 0;
    }
    Cursor first() const { return {begin, 0}; }
    // The first from the cursor on that is not passed by; null: none is left.
    template <class Passed>
    const Opening* next(Cursor& c, Passed&& passed) const {
        while (c.base < base.size() && passed(base[c.base])) ++c.base;
        while (c.fresh < fresh.size() && passed(fresh[c.fresh])) ++c.fresh;
        bool old = c.base < base.size(), young = c.fresh < fresh.size();
        if (old && young) old = base[c.base] < fresh[c.fresh];
        return old ? &base[c.base] : young ? &fresh[c.fresh] : nullptr;
    }

  private:
    static constexpr size_t kMaxFresh = 256;
};

// The machines for tasks that are alike in all that counts here, the one with room the soonest
// first. Jobs of a class mostly are: looked at anew for each job, the product of jobs and machines
// was nearly all that a plan cost.
struct Kind {
    JobSpec like;  // of the first such job
    std::vector<bool> fits_type;
    Openings openings;
    Openings rising;               // of machines that are coming up and hold the task as they are
    std::vector<uint32_t> stamps;  // by machine: how often it was looked at
    std::vector<int64_t> holds;    // by machine: tasks beside each other as it is
    std::vector<int64_t> rooms;    // by zone: the sum of these
    size_t seen = 0;               // changes of machines that were taken in
    uint64_t used = 0;

    bool gone(const Opening& o) const { return stamps[o.machine] != o.stamp; }
};

struct Layout {
    const ClusterState& cluster;
    double now;
    std::vector<ExpectedCapacity> coming;
    std::vector<bool> silent;
    double dearest;                 // of the prices offered
    size_t most_kinds;              // see AutoscalerSettings
    std::vector<size_t> changed{};  // machines, in the order of their changes
    std::vector<Kind> kinds{};
    uint64_t uses_of_kinds = 0;
    mutable std::vector<uint32_t> scratch{};  // of a plan, all zero between plans

    bool serves(const Kind& k, const ExpectedCapacity& c) const {
        return k.fits_type[c.type] && (!c.spot || k.like.spot) &&
               (k.like.zone == kNone || k.like.zone == c.zone);
    }

    void put(Kind& k, size_t i, bool anew) const {
        auto& c = coming[i];
        if (i >= k.holds.size()) {
            k.holds.resize(i + 1, 0);
            k.stamps.resize(i + 1, 0);
        }
        ++k.stamps[i];
        if (c.zone >= k.rooms.size()) k.rooms.resize(c.zone + 1, 0);
        k.rooms[c.zone] -= k.holds[i];
        k.holds[i] = 0;
        if (!serves(k, c)) return;
        k.holds[i] = k.like.demand.times_in(c.room);
        k.rooms[c.zone] += k.holds[i];
        Opening o{0, i, 0, k.stamps[i]};
        o.at = c.start(k.like.demand, o.taken);
        if (o.at > 1e17) return;
        bool rises = c.rising && o.taken == 0;
        if (anew) {
            k.openings.base.push_back(o);
            if (rises) k.rising.base.push_back(o);
        } else {
            k.openings.insert(o);
            if (rises) k.rising.insert(o);
        }
    }

    void rebuild(Kind& k) const {
        k.openings = k.rising = {};
        k.stamps.assign(coming.size(), 0);
        k.holds.assign(coming.size(), 0);
        k.rooms.assign(cluster.names.zones.size(), 0);
        for (size_t i = 0; i < coming.size(); ++i) put(k, i, true);
        std::sort(k.openings.base.begin(), k.openings.base.end());
        std::sort(k.rising.base.begin(), k.rising.base.end());
    }

    // As all machines stand now.
    Kind& kind_of(const JobSpec& spec) {
        auto it = std::find_if(kinds.begin(), kinds.end(),
                               [&](auto& k) { return k.like.same_shape_as(spec); });
        bool known = it != kinds.end();
        if (!known) {
            if (kinds.size() < std::max<size_t>(most_kinds, 1)) {
                it = kinds.emplace(kinds.end());
            } else {
                it = std::min_element(kinds.begin(), kinds.end(),
                                      [](auto& a, auto& b) { return a.used < b.used; });
                *it = {};
            }
            it->like = spec;
            for (Index t = 0; t < cluster.types.size(); ++t)
                it->fits_type.push_back(cluster.type_fits(spec, t) &&
                                        !cluster.reserves_gpus(spec, t));
        }
        auto& k = *it;
        k.used = ++uses_of_kinds;
        // A change costs about as much as a tenth of what a list costs to be made anew.
        if (!known || most_kinds == 0 || (changed.size() - k.seen) * 10 > coming.size()) {
            rebuild(k);
            k.seen = changed.size();
        }
        auto gone = [&](const Opening& o) { return k.gone(o); };
        for (; k.seen < changed.size(); ++k.seen) {
            put(k, changed[k.seen], false);
            k.openings.tidy(gone);
            k.rising.tidy(gone);
        }
        return k;
    }

    // A machine is rented where room comes later than this share of its boot. A cheap one is rented
    // sooner: where work never stops, tasks used to wait as long as a boot for each other's room,
    // whatever more machines cost.
    double eager(const ExpectedCapacity& offer) const {
        if (offer.type == kNone || dearest <= 0) return kSooner;
        return kSooner *
               std::max(kEager, std::sqrt(cluster.types[offer.type].type.price / dearest));
    }

    // `tasks` of the job, in the zone `only` (kNone: any). `kind`: of the job, as all machines
    // stand now.
    Plan plan(const Job& job, const Kind& kind, size_t tasks, Index only, ZoneRule rule,
              double slack) const {
        auto& spec = job.spec;
        Plan plan;
        plan.late = false;
        plan.latest = 0;
        double run = cluster.expected_run_s(spec);
        // The machine with room the soonest goes first: from the list of the kind as far as this
        // plan has not used them, and from those that it has. `uses`: of the machine when this was
        // reckoned.
        struct Next {
            Opening open;
            uint32_t uses;
            bool operator>(const Next& o) const { return open > o.open; }
        };
        std::vector<Next> again, risen;  // the first is a heap, of the second the last goes first
        auto opening = kind.openings.first(), rising = kind.rising.first();
        if (scratch.size() < coming.size() + tasks) scratch.resize(coming.size() + tasks, 0);
        auto& uses = scratch;
        auto over = [&] {
            for (auto& [i, c] : plan.machines) uses[i] = 0;
        };
        auto add = [&](const ExpectedCapacity& c, size_t i) {
            size_t taken;
            double at = c.start(spec.demand, taken);
            if (at > 1e17) return;
            again.push_back({{at, i, taken}, uses[i]});
            if (c.rising && taken == 0) risen.push_back(again.back());
            std::push_heap(again.begin(), again.end(), std::greater<>());
        };
        auto machine = [&](size_t i) -> ExpectedCapacity& {
            auto it = plan.machines.find(i);
            return it != plan.machines.end() ? it->second
                                             : plan.machines.emplace(i, coming[i]).first->second;
        };
        size_t known = coming.size();
        ExpectedCapacity offer{kNone, kNone, false, 0, {}, {}};
        int64_t most = 0;  // tasks that the largest machine holds: with fewer left the offers'
                           // order may change
        for (Index t = 0; t < cluster.types.size(); ++t)
            if (cluster.type_fits(spec, t))
                most = std::max(most, spec.demand.times_in(cluster.types[t].type.size));
        bool ruled = spec.one_zone || spec.spread;
        for (size_t rest = tasks; rest > 0; --rest) {
            auto zone_of = [&](size_t i) {
                return i < coming.size() ? coming[i].zone : plan.machines.at(i).zone;
            };
            auto stale = [&](const Opening& o, uint32_t used) {
                return used != uses[o.machine] || (ruled && !rule.allows(zone_of(o.machine)));
            };
            auto elsewhere = [&](const Opening& o) {
                return only != kNone && coming[o.machine].zone != only;
            };
            auto passed = [&](const Opening& o) {
                return kind.gone(o) || elsewhere(o) || stale(o, 0);
            };
            while (!again.empty() && stale(again.front().open, again.front().uses)) {
                std::pop_heap(again.begin(), again.end(), std::greater<>());
                again.pop_back();
            }
            auto* first = kind.openings.next(opening, passed);
            bool from_list = first && (again.empty() || *first < again.front().open);
            auto* soonest = from_list ? first : again.empty() ? nullptr : &again.front().open;
            if (rest == tasks || ruled || static_cast<int64_t>(rest) < most)
                offer = cheapest_offer(cluster, spec, rest, only, rule, silent, now);
            // Waiting for room that will be there no later than a new machine costs nothing; longer
            // waits are taken as far as the job can afford them.
            double filled = 1;
            if (offer.type != kNone)
                filled = std::min(1.0, static_cast<double>(rest) /
                                           static_cast<double>(spec.demand.times_in(offer.room)));
            double patience = (kPatience + kThrift * (1 - filled)) * slack;
            double best_at = soonest ? soonest->at : 1e18;
            bool wait = soonest && (offer.type == kNone ||
                                    best_at <= std::max(eager(offer) * offer.from, patience));
            Opening next{offer.from, known, 0};
            // What is coming up was rented for such work already.
            const Opening* rises = nullptr;
            if (!wait) {
                while (!risen.empty() && stale(risen.back().open, risen.back().uses))
                    risen.pop_back();
                rises = !risen.empty() ? &risen.back().open : kind.rising.next(rising, passed);
            }
            if (rises && rises->at <= kSooner * offer.from) {
                wait = true;
                next = *rises;
                if (!risen.empty()) risen.pop_back();  // the lists pass it by once it is used
            } else if (wait) {
                next = *soonest;
                if (!from_list) {
                    std::pop_heap(again.begin(), again.end(), std::greater<>());
                    again.pop_back();
                }
            } else {
                if (offer.type == kNone) {
                    over();
                    return plan;
                }
                auto& count = plan.wanted[{offer.type, offer.zone, offer.spot}];
                if (count >= kMaxRental) {
                    over();
                    return plan;
                }
                ++count;
                ++plan.requested_at;
                plan.machines.emplace(known++, offer);
            }
            plan.late = plan.late || (wait && next.at > std::max(kSooner * offer.from, patience));
            plan.latest = std::max(plan.latest, next.at);
            auto& c = machine(next.machine);
            c.take(spec.demand, next.at, next.taken, run + cluster.fetch_s(spec, c.type));
            ++uses[next.machine];
            rule.add(c.zone);
            add(c, next.machine);
        }
        plan.complete = true;
        over();
        return plan;
    }

    void adopt(Plan plan) {
        for (auto& [i, c] : plan.machines) {
            changed.push_back(i);
            if (i < coming.size())
                coming[i] = std::move(c);
            else
                coming.push_back(std::move(c));
        }
    }

    // The zones to try for a job bound to one, the one with the most room first.
    std::vector<Index> zones_for(const Kind& kind, const ZoneRule& rule) const {
        std::vector<std::pair<int64_t, Index>> rooms;
        for (Index z = 0; z < cluster.names.zones.size(); ++z)
            if (rule.allows(z)) rooms.emplace_back(z < kind.rooms.size() ? -kind.rooms[z] : 0, z);
        std::stable_sort(rooms.begin(), rooms.end(),
                         [](auto& a, auto& b) { return a.first < b.first; });
        std::vector<Index> out;
        for (auto& r : rooms) out.push_back(r.second);
        return out;
    }
};

}  // namespace

std::vector<ScaleOutRequest> plan_scale_out(const ClusterState& cluster, const Usable& usable,
                                            const AutoscalerSettings& settings, double now) {
    double dearest = 0;
    for (auto& t : cluster.types)
        if (t.offered) dearest = std::max(dearest, t.type.price);
    Layout layout{cluster,
                  now,
                  known_machines(cluster, usable, now),
                  silent_zones(cluster, usable),
                  dearest,
                  settings.kept_kinds};
    Wanted wanted;
    std::vector<Resources> team_extra(cluster.teams.size());
    for (auto j : waiting_jobs(cluster, now)) {
        auto& job = *cluster.jobs[j];
        auto& spec = job.spec;
        auto& team = cluster.teams[spec.team];
        auto& extra = team_extra[spec.team];
        bool gang = spec.kind == JobKind::Gang;
        bool bound = spec.one_zone && (gang || job.placed > 0);
        ZoneRule rule(cluster, job);
        size_t left = 0;
        while (left < job.pending && left < kMaxTasks &&
               cluster.within_limit(team, extra + spec.demand * static_cast<int64_t>(left + 1)))
            ++left;
        if (gang && left < job.pending) continue;
        extra += spec.demand * static_cast<int64_t>(left);
        double fetch = 0;
        for (Index t = 0; t < cluster.types.size(); ++t)
            if (cluster.type_fits(spec, t)) fetch = std::max(fetch, cluster.fetch_s(spec, t));
        double slack = slack_of(cluster, job, fetch, now);
        Plan chosen;
        auto& kind = layout.kind_of(spec);
        for (auto only : bound ? layout.zones_for(kind, rule) : std::vector<Index>{kNone}) {
            auto plan = layout.plan(job, kind, left, only, rule, slack);
            if (!plan.complete && (bound || gang)) continue;  // all or nothing: the next zone
            if (plan.rank() < chosen.rank()) chosen = std::move(plan);
        }
        if (chosen.latest > 1e17) continue;
        for (auto& [key, n] : chosen.wanted) wanted[key] += n;
        layout.adopt(std::move(chosen));
    }
    for (auto& headroom : planned_headroom(cluster, settings, now)) {
        int64_t free = 0;
        for (auto& c : layout.coming)
            if (serves(cluster, *headroom.like, c)) free += headroom.like->demand.times_in(c.room);
        Job nobody;
        nobody.spec = *headroom.like;
        ZoneRule anywhere(cluster, nobody);
        while (free < headroom.tasks) {
            auto offer =
                cheapest_offer(cluster, *headroom.like, static_cast<size_t>(headroom.tasks - free),
                               kNone, anywhere, layout.silent, now);
            if (offer.type == kNone) break;
            ++wanted[{offer.type, offer.zone, offer.spot}];
            free += std::max<int64_t>(1, headroom.like->demand.times_in(offer.room));
        }
    }
    std::vector<ScaleOutRequest> out;
    for (auto& [key, n] : wanted)
        out.push_back(
            {std::get<0>(key), std::get<1>(key), std::get<2>(key), std::min(n, kMaxRental)});
    return out;
}

namespace {
bool suits(const ClusterState& cluster, const JobSpec& spec, const Machine& m) {
    return cluster.machine_allowed(spec, m) && !cluster.reserves_gpus(spec, m.type);
}

bool wants(const ClusterState& cluster, const Job& job, const Machine& m) {
    return suits(cluster, job.spec, m) &&
           cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand);
}
}  // namespace

Index plan_drain(const ClusterState& cluster, const Usable& usable, double now) {
    Index best = kNone;
    double best_gain = 0;
    auto waiting = waiting_jobs(cluster, now);
    auto movable = [&](const TaskRef& ref) {
        auto& job = *cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        return job.spec.kind == JobKind::Array && job.spec.checkpoint_interval_s > 0 &&
               !job.spec.one_zone && !job.spec.spread && job.active() &&
               task.phase == TaskPhase::Running && !task.stopping && task.running_at > 0 &&
               now - task.running_at >= kSettled_s;
    };
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || m->tasks.empty() || !usable(*m) || m->reserved_for != kNone) continue;
        if (!std::all_of(m->tasks.begin(), m->tasks.end(), [&](auto& ref) { return movable(ref); }))
            continue;
        if (std::any_of(waiting.begin(), waiting.end(),
                        [&](Index j) { return wants(cluster, *cluster.jobs[j], *m); }))
            continue;
        auto& type = cluster.types[m->type].type;
        // Room elsewhere, on machines that stay in use anyway.
        std::vector<std::pair<const Machine*, Resources>> others;
        for (auto& o : cluster.machines)
            if (o && o.get() != m && usable(*o) && !o->tasks.empty() &&
                o->tasks.size() >= m->tasks.size())
                others.emplace_back(o.get(), o->room());
        double longest = 0, moving = 0;
        bool fits = true;
        for (auto& ref : m->tasks) {
            auto& job = *cluster.jobs[ref.job];
            auto& task = job.tasks[ref.task];
            auto& spec = job.spec;
            double ran = now - task.running_at;
            auto place = std::find_if(others.begin(), others.end(), [&](auto& o) {
                return cluster.machine_allowed(spec, *o.first) && spec.demand.fits_in(o.second) &&
                       o.first->has_image(spec.image);
            });
            fits = place != others.end();
            if (!fits) break;
            place->second -= spec.demand;
            double run = cluster.expected_run_s(spec);
            longest = std::max(longest, left_of(run, ran));
            moving = std::max(moving, spec.checkpoint_duration_s + kMove_s);
        }
        if (!fits || longest < 2 * moving) continue;
        double gain = (longest - moving) * (m->spot ? type.spot_price : type.price);
        if (gain > best_gain) best = i, best_gain = gain;
    }
    return best;
}

std::vector<Index> plan_scale_in(const ClusterState& cluster, const AutoscalerSettings& settings,
                                 double now) {
    std::vector<Index> out;
    // Gangs that wait, one of each that want the same machines.
    std::vector<const Job*> gangs;
    for (auto j : waiting_jobs(cluster, now)) {
        auto& job = *cluster.jobs[j];
        auto& spec = job.spec;
        if (spec.kind == JobKind::Gang &&
            std::none_of(gangs.begin(), gangs.end(), [&](auto* other) {
                return other->spec.team == spec.team && other->spec.same_shape_as(spec);
            }))
            gangs.push_back(&job);
    }
    auto headroom = planned_headroom(cluster, settings, now);
    auto keeps = [&](const Machine& m) {
        for (auto& s : headroom) {
            if (s.tasks <= 0 || !suits(cluster, *s.like, m)) continue;
            s.tasks -= s.like->demand.times_in(m.room());
            return true;
        }
        return false;
    };
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || m->terminating) continue;
        if (m->abandoned || m->status == MachineStatus::Failed) {
            out.push_back(i);
            continue;
        }
        if (!m->up || !m->tasks.empty()) continue;
        if (m->draining || m->quarantined_until > now) {
            out.push_back(i);
            continue;
        }
        if (m->reserved(now)) continue;
        if (m->type >= cluster.types.size() || !cluster.types[m->type].offered) continue;
        // Only a gang has to wait for several machines at once: a single task that could be placed
        // here would have been. Hundreds of idle machines were once kept for jobs held back by
        // their team's limit.
        if (std::any_of(gangs.begin(), gangs.end(),
                        [&](auto* job) { return wants(cluster, *job, *m); }))
            continue;
        double keep = settings.idle_keep_boots * cluster.types[m->type].type.boot_s;
        if (now - m->requested_at < kMinCharge_s || now - std::max(m->empty_since, m->up_at) < keep)
            continue;
        if (!keeps(*m)) out.push_back(i);
    }
    return out;
}

}  // namespace weirmill
