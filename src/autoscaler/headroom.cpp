// Headroom: room kept for job classes with a start objective that a new machine would come up too
// late for.
#include <algorithm>
#include <cmath>

#include "autoscaler/autoscaler.h"
#include "autoscaler/expected_capacity.h"
#include "autoscaler/suitability.h"

namespace weirmill {

namespace {

// Arrivals of this time are taken for the rate of those to come.
constexpr double kArrivalWindow_s = 120;
// Of the machines that suit a class, one in so many is kept empty at the most.
constexpr int64_t kMinMachinesPerEmpty = 10;

struct RecentArrivals {
    double tasks = 0;
    uint32_t largest_job = 0;  // in tasks

    // Tasks to come within the time: the mean, and a standard deviation of a Poisson process more.
    int64_t expected_within(double seconds) const {
        const double mean = tasks / kArrivalWindow_s * seconds;
        return static_cast<int64_t>(std::ceil(mean + std::sqrt(mean)));
    }
};

RecentArrivals recent_arrivals(const JobClass& c, double now) {
    RecentArrivals recent;
    for (const auto& [at, tasks] : c.arrivals) {
        if (now - at > kArrivalWindow_s) continue;
        recent.tasks += tasks;
        recent.largest_job = std::max(recent.largest_job, tasks);
    }
    return recent;
}

// Until a task could start on a machine that is requested now, image fetch included.
double fastest_boot_s(const ClusterState& cluster, const JobSpec& spec) {
    double fastest_s = kNever_s;
    for (Index t = 0; t < cluster.types.size(); ++t) {
        if (!cluster.type_fits(spec, t)) continue;
        fastest_s = std::min(fastest_s, cluster.boot_factor * cluster.types[t].type.boot_s +
                                            cluster.fetch_s(spec, t));
    }
    return fastest_s;
}

// Tasks that the machines that are up could hold if they were empty.
int64_t tasks_on_empty_fleet(const ClusterState& cluster, const JobSpec& spec) {
    int64_t tasks = 0;
    for (const auto& m : cluster.machines) {
        if (!m || !m->up || !machine_suits(cluster, spec, *m)) continue;
        tasks += spec.demand.max_copies_in(m->size);
    }
    return tasks;
}

// Where machines are cleared soon enough, tasks that come until then find machines that lower work
// leaves empty. Never so many that a small fleet has none left for that work.
int64_t tasks_at_once(const ClusterState& cluster, const AutoscalerSettings& settings,
                      const JobClass& c, const RecentArrivals& recent) {
    if (!cluster.large(c.last)) return 0;
    if (settings.clear_s + settings.heartbeat_interval_s > c.start_within_s) return 0;
    return std::min(recent.expected_within(settings.clear_s),
                    tasks_on_empty_fleet(cluster, c.last) / kMinMachinesPerEmpty);
}

}  // namespace

std::vector<Headroom> planned_headroom(const ClusterState& cluster,
                                       const AutoscalerSettings& settings, double now) {
    std::vector<Headroom> out;
    for (const auto& c : cluster.classes) {
        if (c.start_within_s <= 0 || c.arrivals.empty() || c.last.team == kNone) continue;
        const double boot_s = fastest_boot_s(cluster, c.last);
        const double start_s = boot_s + 2 * settings.heartbeat_interval_s;
        if (boot_s > kHorizon_s || start_s <= c.start_within_s) continue;
        const auto recent = recent_arrivals(c, now);
        if (recent.tasks == 0) continue;
        // Room for what comes while a new machine boots, and for the largest job.
        const auto tasks = std::max<int64_t>(recent.largest_job, recent.expected_within(start_s));
        out.push_back({&c.last, tasks, tasks_at_once(cluster, settings, c, recent)});
    }
    return out;
}

}  // namespace weirmill
