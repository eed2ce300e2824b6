// Plans headroom: free capacity for job classes whose start objective is shorter than the boot of a
// new machine.
#include <algorithm>
#include <cmath>

#include "autoscaler/autoscaler.h"
#include "autoscaler/expected_capacity.h"
#include "autoscaler/machine_eligibility.h"

namespace weirmill {

namespace {

// The arrival rate is estimated from the arrivals within this time.
constexpr double kArrivalWindow_s = 120;
// At most one machine in this many that suit a class is kept empty for it.
constexpr int64_t kMachinesPerEmptyMachine = 10;

struct RecentArrivals {
    double tasks = 0;
    uint32_t largest_job = 0;  // number of tasks

    // Returns how many tasks to expect within the given time: the mean of a Poisson process plus
    // one standard deviation.
    int64_t expected_within(double seconds) const {
        const double mean = tasks / kArrivalWindow_s * seconds;
        return static_cast<int64_t>(std::ceil(mean + std::sqrt(mean)));
    }
};

RecentArrivals recent_arrivals(const JobClass& job_class, double now) {
    RecentArrivals recent;
    for (const auto& [arrived_at, tasks] : job_class.recent_arrivals) {
        if (now - arrived_at > kArrivalWindow_s) continue;
        recent.tasks += tasks;
        recent.largest_job = std::max(recent.largest_job, tasks);
    }
    return recent;
}

// Returns the shortest time until a task could start on a machine that is requested now, including
// its image fetch, or kNever_s if the job fits no machine type.
double fastest_boot_s(const ClusterState& cluster, const JobSpec& spec) {
    double fastest_s = kNever_s;
    for (Index type = 0; type < cluster.types.size(); ++type) {
        if (!cluster.type_fits(spec, type)) continue;
        fastest_s = std::min(fastest_s, cluster.boot_factor * cluster.types[type].type.boot_s +
                                            cluster.image_fetch_s(spec, type));
    }
    return fastest_s;
}

// Returns how many tasks the machines that are up could hold if they were empty.
int64_t tasks_on_empty_fleet(const ClusterState& cluster, const JobSpec& spec) {
    int64_t tasks = 0;
    for (const auto& machine : cluster.machines) {
        if (!machine || !machine->up || !machine_eligible(cluster, spec, *machine)) continue;
        tasks += spec.demand.max_copies_in(machine->size);
    }
    return tasks;
}

// Returns how many of the headroom's tasks need machines that are empty already: those that arrive
// while other machines are being preempted. The result is 0 if preemption takes longer than the
// start objective. It is limited so that jobs of lower priority can still run on a small fleet.
int64_t tasks_on_empty_machines(const ClusterState& cluster, const AutoscalerSettings& settings,
                                const JobClass& job_class, const RecentArrivals& recent) {
    if (!cluster.needs_whole_machines(job_class.latest_job)) return 0;
    if (settings.preemption_duration_s + settings.heartbeat_interval_s > job_class.start_within_s)
        return 0;
    return std::min(recent.expected_within(settings.preemption_duration_s),
                    tasks_on_empty_fleet(cluster, job_class.latest_job) / kMachinesPerEmptyMachine);
}

}  // namespace

std::vector<Headroom> planned_headroom(const ClusterState& cluster,
                                       const AutoscalerSettings& settings, double now) {
    std::vector<Headroom> headroom;
    for (const auto& job_class : cluster.classes) {
        if (job_class.start_within_s <= 0 || job_class.recent_arrivals.empty() ||
            job_class.latest_job.team == kNone)
            continue;
        const double boot_s = fastest_boot_s(cluster, job_class.latest_job);
        const double start_s = boot_s + 2 * settings.heartbeat_interval_s;
        if (boot_s > kHorizon_s || start_s <= job_class.start_within_s) continue;
        const auto recent = recent_arrivals(job_class, now);
        if (recent.tasks == 0) continue;
        // Covers the tasks that arrive while a new machine boots, and at least the largest job.
        const auto tasks = std::max<int64_t>(recent.largest_job, recent.expected_within(start_s));
        headroom.push_back({&job_class.latest_job, tasks,
                            tasks_on_empty_machines(cluster, settings, job_class, recent)});
    }
    return headroom;
}

}  // namespace weirmill
