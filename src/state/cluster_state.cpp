#include "state/cluster_state.h"

#include <algorithm>

namespace weirmill {

namespace {
// Users choose class names freely; run times of further classes are not learnt.
constexpr size_t kMaxClasses = 1000;
constexpr double kTaskMemoryShare = 0.3;  // share of the memory limit that tasks may use
constexpr double kBytesPerMb = 1e6;
// Fraction of the heartbeat interval. A worker whose heartbeat is later than this may be
// unreachable.
constexpr double kMaxHeartbeatDelay = 0.3;
constexpr double kUnreachable_s = 1e9;

// Returns the first free index, or the index of a new entry at the end.
template <class T>
Index free_index(std::vector<std::unique_ptr<T>>& table) {
    auto free = std::ranges::find_if(table, [](const auto& entry) { return !entry; });
    if (free == table.end()) free = table.insert(table.end(), nullptr);
    return static_cast<Index>(free - table.begin());
}
}  // namespace

ClusterState::ClusterState(const Settings& settings)
    : heartbeat_interval_s_(settings.heartbeat_interval_s) {
    for (const auto& t : settings.teams) {
        names.teams.intern(t.name);
        teams.push_back(make_team(t));
    }
    for (const auto& z : settings.zones) names.zones.intern(z);
    for (const auto& objective : settings.objectives) {
        if (!affects_scheduling(objective)) continue;
        auto index = names.classes.intern(objective.job_class);
        if (classes.size() <= index) classes.resize(index + 1);
        add_objective(classes[index], objective);
    }
    for (auto& c : classes) sort_objectives(c);
    max_tasks =
        static_cast<size_t>(settings.mem_mb * kBytesPerMb * kTaskMemoryShare / sizeof(Task));
}

Index ClusterState::add_job(JobSpec spec, double submitted_wall, double now) {
    auto job = std::make_unique<Job>();
    job->tasks.resize(spec.tasks);
    job->pending = spec.tasks;
    job->submitted_wall = submitted_wall;
    job->submitted_steady = now;
    job->effective_priority = spec.priority;
    job->waits_for_dependencies = !spec.dependencies.empty();
    job->spec = std::move(spec);
    task_count += job->tasks.size();
    if (job->spec.job_class < kMaxClasses && classes.size() <= job->spec.job_class)
        classes.resize(job->spec.job_class + 1);
    update_resources_per_gpu(job->spec.demand);
    update_image_size(job->spec);
    auto index = free_index(jobs);
    job_index[job->spec.id] = index;
    jobs[index] = std::move(job);
    if (!jobs[index]->waits_for_dependencies) mark_ready(*jobs[index], now);
    return index;
}

void ClusterState::update_resources_per_gpu(const Resources& demand) {
    if (demand.gpu < 1000) return;
    Resources share{demand.cpu * 1000 / demand.gpu, 1000, demand.mem * 1000 / demand.gpu};
    if (resources_per_gpu.gpu == 0) resources_per_gpu = share;
    resources_per_gpu = {(resources_per_gpu.cpu * 4 + share.cpu) / 5, 1000,
                         (resources_per_gpu.mem * 4 + share.mem) / 5};
}

void ClusterState::update_image_size(const JobSpec& spec) {
    if (spec.image == kNone) return;
    if (image_gb_.size() <= spec.image) image_gb_.resize(spec.image + 1, 0);
    image_gb_[spec.image] = static_cast<float>(spec.image_gb);
}

// Called when the job has no dependencies left and may be placed.
void ClusterState::mark_ready(Job& job, double now) {
    mark_guaranteed(job);
    if (job.spec.job_class < classes.size())
        add_arrival(classes[job.spec.job_class], job.spec, now);
}

void ClusterState::mark_guaranteed(Job& job) const {
    if (job.spec.team >= teams.size()) return;
    Resources sum = job.spec.demand * job.spec.tasks;
    for (const auto& other : jobs) {
        if (!other || other.get() == &job || other->spec.team != job.spec.team) continue;
        if (other->waits_for_dependencies ||
            other->schedulable_since_wall() > job.schedulable_since_wall())
            continue;
        sum += other->spec.demand * (other->spec.tasks - other->done);
    }
    job.guaranteed = guarantee_covers(teams[job.spec.team].guarantee, sum, job.spec.demand);
}

void ClusterState::remove_job(Index index, double now) {
    auto& job = *jobs[index];
    for (uint32_t t = 0; t < job.tasks.size(); ++t)
        if (job.tasks[t].state == TaskState::Placed) remove_from_machine(index, t, now);
    for (auto& m : machines)
        if (m && m->reserved_for == index) m->reserved_for = kNone;
    task_count -= job.tasks.size();
    auto dependencies = dependencies_.dependencies_of(index);
    auto dependants = dependencies_.dependants_of(index);
    bool cancelled = job.cancelled;
    double ended_wall = job.ended_wall;
    dependencies_.remove(index);
    job_index.erase(job.spec.id);
    jobs[index].reset();
    for (auto d : dependants) {
        jobs[d]->waits_for_dependencies = !dependencies_.ready(d);
        // The dependants of a cancelled job are cancelled too.
        if (!cancelled) release_dependant(d, ended_wall, now);
    }
    for (auto d : dependencies) propagate_inherited_values(d);
}

void ClusterState::clear_jobs_and_machines() {
    jobs.clear();
    machines.clear();
    job_index.clear();
    machine_index.clear();
    dependencies_.clear();
    task_changes.clear();
    last_change_number = recorded_through = 0;
    task_count = 0;
    for (auto& t : teams) t.used = {};
}

Job* ClusterState::find_job(const std::string& id) {
    auto it = job_index.find(id);
    return it == job_index.end() ? nullptr : jobs[it->second].get();
}

Index ClusterState::add_machine(const std::string& name, double now) {
    auto it = machine_index.find(name);
    if (it != machine_index.end()) return it->second;
    auto index = free_index(machines);
    machines[index] = std::make_unique<Machine>();
    auto& m = *machines[index];
    m.name = name;
    m.added_at = m.requested_at = m.empty_since = now;
    machine_index[name] = index;
    return index;
}

void ClusterState::remove_machine(Index index) {
    machine_index.erase(machines[index]->name);
    // A later machine may reuse this index and must not inherit the failures of this one.
    for (auto& job : jobs)
        if (job) job->failed_machines.erase(index);
    machines[index].reset();
}

Index ClusterState::find_machine(const std::string& name) const {
    auto it = machine_index.find(name);
    return it == machine_index.end() ? kNone : it->second;
}

void ClusterState::describe_machine(Machine& m, const std::string& type, const std::string& zone,
                                    bool spot) {
    m.type = names.types.intern(type);
    m.zone = names.zones.intern(zone);
    m.spot = spot;
    if (offered(m.type)) m.size = types[m.type].type.size;
}

void ClusterState::set_types(std::vector<MachineType> list) {
    for (auto& t : list) {
        auto index = names.types.intern(t.name);
        if (types.size() <= index) types.resize(index + 1);
        for (const auto& z : t.zones) names.zones.intern(z);
        types[index] = {true, std::move(t)};
    }
    types_known = true;
    for (auto& m : machines)
        if (m && offered(m->type)) m->size = types[m->type].type.size;
}

bool ClusterState::capacity_refused(Index type, Index zone, bool spot, double now) const {
    return std::ranges::any_of(capacity_refusals, [&](const auto& r) {
        return r.first > now && r.second == CapacityRefusal{type, zone, spot};
    });
}

double ClusterState::next_heartbeat_in_s(const Machine& m, double now) const {
    double due = m.last_heartbeat + heartbeat_interval_s_ - now;
    return due > -kMaxHeartbeatDelay * heartbeat_interval_s_ ? due : kUnreachable_s;
}

}  // namespace weirmill
