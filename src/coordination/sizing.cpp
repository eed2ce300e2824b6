#include "coordination/sizing.h"

#include <algorithm>
#include <map>

namespace weirmill {

namespace {

constexpr int kMaxRental = 50;  // machines in one request to the cloud

constexpr double kNewcomer_s = 15;

// Room on machines that exist or are about to: filled in priority order before anything is rented.
struct Coming {
    const Machine* machine;  // null: to be rented in this plan
    Index type, zone;
    bool spot;
    Resources room;
};

bool serves(const Tables& tables, const JobSpec& spec, const Coming& c) {
    if (c.spot && !spec.spot) return false;
    if (spec.zone != kNone && spec.zone != c.zone) return false;
    return tables.type_fits(spec, c.type);
}

}  // namespace

std::vector<Rental> plan_rentals(const Tables& tables, const Usable& usable, double now) {
    std::vector<Coming> coming;
    for (auto& m : tables.machines) {
        if (!m || m->type == kNone || m->doomed || m->returning) continue;
        // One that a change of leader has just revealed is likely to report soon.
        bool booting = !m->up && (m->status == MachineStatus::Booting || now - m->added < kNewcomer_s);
        if (booting || usable(*m)) coming.push_back({m.get(), m->type, m->zone, m->spot, booting ? m->size : m->room()});
    }
    std::map<std::tuple<Index, Index, bool>, int> wanted;
    std::vector<Resources> team_extra(tables.teams.size());
    for (auto j : waiting_jobs(tables, now)) {
        auto& job = *tables.jobs[j];
        auto& spec = job.spec;
        auto& team = tables.teams[spec.team];
        auto& extra = team_extra[spec.team];
        bool bound = spec.one_zone && (spec.kind == JobKind::Gang || job.placed > 0);
        ZoneRule rule(tables, job);
        int64_t left = 0;
        while (left < job.pending && tables.within_limit(team, extra + spec.need * (left + 1))) ++left;
        if (spec.kind == JobKind::Gang && left < job.pending) continue;
        extra += spec.need * left;

        // The zones to try: any, or one at a time for a job bound to one.
        std::vector<Index> zones{kNone};
        if (bound) {
            zones.clear();
            for (Index z = 0; z < tables.names.zones.size(); ++z)
                if (rule.allows(z)) zones.push_back(z);
            auto room_in = [&](Index z) {
                int64_t n = 0;
                for (auto& c : coming)
                    if (c.zone == z && serves(tables, spec, c)) n += spec.need.times_in(c.room);
                return n;
            };
            std::stable_sort(zones.begin(), zones.end(), [&](Index a, Index b) { return room_in(a) > room_in(b); });
        }
        for (auto only : zones) {
            auto trial = coming;
            auto trial_rule = rule;
            std::map<std::tuple<Index, Index, bool>, int> trial_wanted;
            int64_t rest = left;
            auto fill = [&](Coming& c) {
                if (!serves(tables, spec, c) || (only != kNone && c.zone != only)) return;
                while (rest > 0 && spec.need.fits_in(c.room) && trial_rule.allows(c.zone)) {
                    c.room -= spec.need;
                    trial_rule.add(c.zone);
                    --rest;
                }
            };
            for (auto& c : trial) {
                if (rest == 0) break;
                fill(c);
            }
            while (rest > 0) {
                // The offer that is cheapest for a task of what is left; spot first where it may be used.
                double best_cost = 0;
                Coming best{nullptr, kNone, kNone, false, {}};
                for (Index t = 0; t < tables.types.size(); ++t) {
                    if (!tables.type_fits(spec, t)) continue;
                    auto& type = tables.types[t].type;
                    auto fits = std::min<int64_t>(spec.need.times_in(type.size), rest);
                    for (auto& zone_name : type.zones) {
                        auto z = tables.names.zones.find(zone_name);
                        if (z == kNone || (only != kNone && z != only) || (spec.zone != kNone && z != spec.zone)) continue;
                        if (!trial_rule.allows(z)) continue;
                        for (bool spot : {true, false}) {
                            if ((spot && !spec.spot) || tables.refused(t, z, spot, now)) continue;
                            double cost = (spot ? type.spot_price : type.price) / static_cast<double>(fits);
                            if (best.type == kNone || cost < best_cost - 1e-12) {
                                best_cost = cost;
                                best = {nullptr, t, z, spot, type.size};
                            }
                        }
                    }
                }
                if (best.type == kNone) break;
                auto& count = trial_wanted[{best.type, best.zone, best.spot}];
                if (count >= kMaxRental) break;
                ++count;
                trial.push_back(best);
                fill(trial.back());
            }
            if (rest > 0 && (bound || spec.kind == JobKind::Gang)) continue;  // all or nothing: the next zone
            coming = std::move(trial);
            for (auto& [key, n] : trial_wanted) wanted[key] += n;
            break;
        }
    }
    std::vector<Rental> out;
    for (auto& [key, n] : wanted) out.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), std::min(n, kMaxRental)});
    return out;
}

std::vector<Index> plan_returns(const Tables& tables, const SizingSettings& settings, double now) {
    std::vector<Index> out;
    auto waiting = waiting_jobs(tables, 1e18);
    for (Index i = 0; i < tables.machines.size(); ++i) {
        auto* m = tables.machines[i].get();
        if (!m || m->returning) continue;
        if (m->doomed || m->status == MachineStatus::Failed) {
            out.push_back(i);
            continue;
        }
        if (!m->up || !m->tasks.empty()) continue;
        if (m->quarantined_until > now) {
            out.push_back(i);
            continue;
        }
        if (m->reserved_for != kNone && m->reserved_until > now) continue;
        if (m->type >= tables.types.size() || !tables.types[m->type].offered) continue;
        bool useful = std::any_of(waiting.begin(), waiting.end(), [&](Index j) {
            auto& job = *tables.jobs[j];
            return tables.machine_allowed(job.spec, *m) && tables.within_limit(tables.teams[job.spec.team], job.spec.need);
        });
        if (useful) continue;
        double keep = settings.idle_keep_boots * tables.types[m->type].type.boot_s;
        if (now - std::max(m->empty_since, m->up_at) >= keep) out.push_back(i);
    }
    return out;
}

}  // namespace weirmill
