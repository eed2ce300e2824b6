#include "state/cluster_state.h"

#include <algorithm>

namespace weirmill {

namespace {
// Names of classes are the users' own: further ones are not learnt from.
constexpr size_t kMaxClasses = 1000;
constexpr double kTaskMemoryShare = 0.3;  // of the memory that the settings give
constexpr double kBytesPerMb = 1e6;
// Of the time between heartbeats: a worker later than this may be silent.
constexpr double kMaxLateHeartbeat = 0.3;
constexpr double kSilent_s = 1e9;

// The first free place, or a new one at the end.
template <class T>
Index free_place(std::vector<std::unique_ptr<T>>& table) {
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
        if (!schedulable(objective)) continue;
        auto index = names.classes.intern(objective.job_class);
        if (classes.size() <= index) classes.resize(index + 1);
        add_objective(classes[index], objective);
    }
    for (auto& c : classes) sort_objectives(c);
    max_tasks =
        static_cast<size_t>(settings.mem_mb * kBytesPerMb * kTaskMemoryShare / sizeof(Task));
}

Index ClusterState::add_job(JobSpec spec, double submitted, double now) {
    auto job = std::make_unique<Job>();
    job->tasks.resize(spec.tasks);
    job->pending = spec.tasks;
    job->submitted = submitted;
    job->seen_at = now;
    job->priority = spec.priority;
    job->waits = !spec.dependencies.empty();
    job->spec = std::move(spec);
    task_count += job->tasks.size();
    if (job->spec.job_class < kMaxClasses && classes.size() <= job->spec.job_class)
        classes.resize(job->spec.job_class + 1);
    learn_gpu_share(job->spec.demand);
    learn_image_size(job->spec);
    auto index = free_place(jobs);
    job_index[job->spec.id] = index;
    jobs[index] = std::move(job);
    if (!jobs[index]->waits) mark_ready(*jobs[index], now);
    return index;
}

void ClusterState::learn_gpu_share(const Resources& demand) {
    if (demand.gpu < 1000) return;
    Resources share{demand.cpu * 1000 / demand.gpu, 1000, demand.mem * 1000 / demand.gpu};
    if (per_gpu.gpu == 0) per_gpu = share;
    per_gpu = {(per_gpu.cpu * 4 + share.cpu) / 5, 1000, (per_gpu.mem * 4 + share.mem) / 5};
}

void ClusterState::learn_image_size(const JobSpec& spec) {
    if (spec.image == kNone) return;
    if (image_gb_.size() <= spec.image) image_gb_.resize(spec.image + 1, 0);
    image_gb_[spec.image] = static_cast<float>(spec.image_gb);
}

// The job may be placed from now on.
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
        if (other->waits || other->came() > job.came()) continue;
        sum += other->spec.demand * (other->spec.tasks - other->done);
    }
    job.guaranteed = covers(teams[job.spec.team].guarantee, sum, job.spec.demand);
}

void ClusterState::remove_job(Index index, double now) {
    auto& job = *jobs[index];
    for (uint32_t t = 0; t < job.tasks.size(); ++t)
        if (job.tasks[t].state == TaskState::Placed) leave_machine(index, t, now);
    for (auto& m : machines)
        if (m && m->reserved_for == index) m->reserved_for = kNone;
    task_count -= job.tasks.size();
    auto on = dependencies_.of(index);
    auto dependants = dependencies_.dependants(index);
    bool cancelled = job.cancelled;
    double ended = job.ended;
    dependencies_.remove(index);
    job_index.erase(job.spec.id);
    jobs[index].reset();
    for (auto d : dependants) {
        jobs[d]->waits = !dependencies_.ready(d);
        // Dependants of a cancelled job are cancelled themselves.
        if (!cancelled) release_dependant(d, ended, now);
    }
    for (auto d : on) propagate_demands_from(d);
}

void ClusterState::clear_work() {
    jobs.clear();
    machines.clear();
    job_index.clear();
    machine_index.clear();
    dependencies_.clear();
    changes.clear();
    last_change = recorded_through = 0;
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
    auto index = free_place(machines);
    machines[index] = std::make_unique<Machine>();
    auto& m = *machines[index];
    m.name = name;
    m.added = m.requested_at = m.empty_since = now;
    machine_index[name] = index;
    return index;
}

void ClusterState::remove_machine(Index index) {
    machine_index.erase(machines[index]->name);
    // A later machine may take this index: nothing of this one may be held against it.
    for (auto& job : jobs)
        if (job) job->failed_on.erase(index);
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

bool ClusterState::refused(Index type, Index zone, bool spot, double now) const {
    return std::ranges::any_of(refusals, [&](const auto& r) {
        return r.first > now && r.second == Refusal{type, zone, spot};
    });
}

double ClusterState::heartbeat_due_s(const Machine& m, double now) const {
    double due = m.last_heartbeat + heartbeat_interval_s_ - now;
    return due > -kMaxLateHeartbeat * heartbeat_interval_s_ ? due : kSilent_s;
}

}  // namespace weirmill
