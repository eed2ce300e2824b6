#include "state/cluster_state.h"

#include <algorithm>

namespace weirmill {

namespace {
constexpr size_t kMaxArrivals = 64;
constexpr long kMaxImages = 64;  // of one machine: names of images are the users' own
constexpr size_t kMaxClasses =
    1000;  // names of classes are the users' own: further ones are not learnt from
}  // namespace

ClusterState::ClusterState(const Settings& settings)
    : heartbeat_interval_s_(settings.heartbeat_interval_s) {
    for (auto& t : settings.teams) {
        names.teams.intern(t.name);
        Team team;
        team.settings = t;
        team.guarantee = {milli_down(t.cpus), milli_down(t.gpus), 0};
        team.limit = {milli_down(t.cpus_max), milli_down(t.gpus_max), 0};
        // What the limit rules out is owed to nobody.
        if (team.limit.cpu > 0) team.guarantee.cpu = std::min(team.guarantee.cpu, team.limit.cpu);
        if (team.limit.gpu > 0) team.guarantee.gpu = std::min(team.guarantee.gpu, team.limit.gpu);
        teams.push_back(std::move(team));
    }
    for (auto& z : settings.zones) names.zones.intern(z);
    for (auto& o : settings.objectives) {
        bool deadline = o.kind == "deadline" && o.times > 0;
        if (o.job_class.empty() || (o.within_s <= 0 && !deadline)) continue;
        auto index = names.classes.intern(o.job_class);
        if (classes.size() <= index) classes.resize(index + 1);
        auto& c = classes[index];
        if (o.kind == "wait")
            c.start_within_s =
                c.start_within_s > 0 ? std::min(c.start_within_s, o.within_s) : o.within_s;
        if (o.kind == "finished") c.done_within_s.push_back(o.within_s);
        if (deadline) c.deadline_times.push_back(o.times);
    }
    for (auto& c : classes) {
        std::sort(c.done_within_s.begin(), c.done_within_s.end());
        std::sort(c.deadline_times.begin(), c.deadline_times.end());
    }
    max_tasks = static_cast<size_t>(settings.mem_mb * 1e6 * 0.3 / sizeof(Task));
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
    if (auto& demand = job->spec.demand; demand.gpu >= 1000) {
        Resources share{demand.cpu * 1000 / demand.gpu, 1000, demand.mem * 1000 / demand.gpu};
        if (per_gpu.gpu == 0) per_gpu = share;
        per_gpu = {(per_gpu.cpu * 4 + share.cpu) / 5, 1000, (per_gpu.mem * 4 + share.mem) / 5};
    }
    if (auto image = job->spec.image; image != kNone) {
        if (image_gb_.size() <= image) image_gb_.resize(image + 1, 0);
        image_gb_[image] = static_cast<float>(job->spec.image_gb);
    }
    auto free = std::find(jobs.begin(), jobs.end(), nullptr);
    if (free == jobs.end()) free = jobs.insert(jobs.end(), nullptr);
    auto index = static_cast<Index>(free - jobs.begin());
    job_index[job->spec.id] = index;
    *free = std::move(job);
    if (!jobs[index]->waits) came(*jobs[index], now);
    return index;
}

namespace {
// Whether a guarantee covers what is used, tasks that need `each` among it. A team that is
// guaranteed GPUs and has no figure for CPUs was once owed nothing, as each of its tasks takes
// some.
bool covers(const Resources& owed, const Resources& use, const Resources& each) {
    bool with_gpus = owed.cpu == 0 && owed.gpu > 0 && each.gpu > 0;
    return use.gpu <= owed.gpu && (use.cpu <= owed.cpu || with_gpus);
}
}  // namespace

// The job may be placed from now on.
void ClusterState::came(Job& job, double now) {
    mark_guaranteed(job);
    if (job.spec.job_class >= classes.size()) return;
    auto& c = classes[job.spec.job_class];
    c.arrivals.emplace_back(now, job.spec.tasks);
    if (c.arrivals.size() > kMaxArrivals) c.arrivals.pop_front();
    c.last = job.spec;
}

void ClusterState::mark_guaranteed(Job& job) const {
    if (job.spec.team >= teams.size()) return;
    Resources sum = job.spec.demand * job.spec.tasks;
    for (auto& other : jobs)
        if (other && other.get() != &job && other->spec.team == job.spec.team && !other->waits &&
            other->came() <= job.came())
            sum += other->spec.demand * (other->spec.tasks - other->done);
    job.guaranteed = covers(teams[job.spec.team].guarantee, sum, job.spec.demand);
}

void ClusterState::set_dependencies(Index index, const std::vector<Index>& on, double now) {
    auto& job = *jobs[index];
    std::vector<std::string>().swap(job.spec.dependencies);
    dependencies_.add(index, on);
    job.waits = !on.empty();
    job.waits ? spread_needs_from(index) : came(job, now);
}

void ClusterState::remove_job(Index index, double now) {
    auto& job = *jobs[index];
    for (uint32_t t = 0; t < job.tasks.size(); ++t)
        if (job.tasks[t].state == TaskState::Placed) leave_machine(index, t, now);
    for (auto& m : machines)
        if (m && m->reserved_for == index) m->reserved_for = kNone;
    task_count -= job.tasks.size();
    auto on = dependencies_.of(index), dependants = dependencies_.dependants(index);
    bool cancelled = job.cancelled;
    double ended = job.ended;
    dependencies_.remove(index);
    job_index.erase(job.spec.id);
    jobs[index].reset();
    for (auto d : dependants) {
        auto& dependant = *jobs[d];
        dependant.waits = !dependencies_.ready(d);
        if (cancelled) continue;  // and so are they
        dependant.ready = std::max(dependant.ready, ended);
        if (dependant.waits) continue;
        dependant.ready_at = now;
        take_needs(d);  // what is known of run times may have changed since
        came(dependant, now);
    }
    for (auto d : on) spread_needs_from(d);
}

std::vector<Index> ClusterState::cancel_dependants(Index index) {
    std::vector<Index> out;
    for (auto d : dependencies_.all_dependants(index)) {
        auto& job = *jobs[d];
        if (!job.cancelled) out.push_back(d);
        job.cancelled = job.cancel_recorded = true;
    }
    // Nothing that they asked for is asked for any more.
    for (auto d : out) spread_needs_from(d);
    return out;
}

bool ClusterState::cancellation_logged(Index index) const {
    auto& dependants = dependencies_.dependants(index);
    return jobs[index]->cancel_logged &&
           std::all_of(dependants.begin(), dependants.end(),
                       [&](Index d) { return jobs[d]->cancel_logged; });
}

bool ClusterState::settled(Index index) const {
    auto& own = *jobs[index];
    if (own.end_sent || own.cancelled != own.cancel_recorded) return false;
    if (dependencies_.of(index).empty())
        return true;  // asked with every poll: nearly all need no other job
    std::vector<Index> left{index};
    std::set<Index> seen{index};
    for (size_t i = 0; i < left.size(); ++i) {
        auto& job = *jobs[left[i]];
        if (job.cancelled != job.cancel_recorded) return false;
        for (auto d : dependencies_.of(left[i]))
            if (seen.insert(d).second) left.push_back(d);
    }
    return true;
}

// By when a job should end, and what priority it has, for those that need it. Whether that changed.
bool ClusterState::take_needs(Index index) {
    auto& job = *jobs[index];
    auto priority = job.spec.priority;
    double by = 1e18;
    for (auto d : dependencies_.dependants(index)) {
        auto& dependant = *jobs[d];
        if (dependant.cancelled) continue;
        priority = std::max(priority, dependant.priority);
        double theirs = dependant.needed_by;
        if (dependant.spec.deadline_s >= 0)
            theirs = std::min(theirs, dependant.seen_at + dependant.spec.deadline_s);
        if (theirs < 1e17) by = std::min(by, theirs - stage_s(dependant.spec));
    }
    bool changed = priority != job.priority || by != job.needed_by;
    job.priority = priority;
    job.needed_by = by;
    return changed;
}

// From a job up to all that it needs, as far as anything changes there. First come, first served,
// each once in the queue: taken depth first, a tower of diamonds would be walked once for each path
// through it.
void ClusterState::spread_needs_from(Index index) {
    std::deque<Index> left{index};
    std::set<Index> queued{index};
    while (!left.empty()) {
        auto j = left.front();
        left.pop_front();
        queued.erase(j);
        if (!take_needs(j) && j != index) continue;
        for (auto d : dependencies_.of(j))
            if (queued.insert(d).second) left.push_back(d);
    }
}

void ClusterState::spread_needs() {
    for (Index j = 0; j < jobs.size(); ++j)
        if (jobs[j] && !dependencies_.of(j).empty()) spread_needs_from(j);
}

// A stage of a pipeline: its start waits for a report and for its image, then its tasks run.
double ClusterState::stage_s(const JobSpec& spec) const {
    double fetch = 1e18;
    for (Index t = 0; t < types.size(); ++t)
        if (type_fits(spec, t)) fetch = std::min(fetch, fetch_s(spec, t));
    return expected_run_s(spec) + heartbeat_interval_s_ + (fetch < 1e17 ? fetch : 0);
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
    auto free = std::find(machines.begin(), machines.end(), nullptr);
    if (free == machines.end()) free = machines.insert(machines.end(), nullptr);
    *free = std::make_unique<Machine>();
    (*free)->name = name;
    (*free)->added = (*free)->requested_at = (*free)->empty_since = now;
    auto index = static_cast<Index>(free - machines.begin());
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
    if (m.type < types.size() && types[m.type].offered) m.size = types[m.type].type.size;
}

void ClusterState::set_types(std::vector<MachineType> list) {
    for (auto& t : list) {
        auto index = names.types.intern(t.name);
        if (types.size() <= index) types.resize(index + 1);
        for (auto& z : t.zones) names.zones.intern(z);
        types[index] = {true, std::move(t)};
    }
    types_known = true;
    for (auto& m : machines)
        if (m && m->type < types.size() && types[m->type].offered)
            m->size = types[m->type].type.size;
}

void ClusterState::touch(Index index, uint32_t task) {
    jobs[index]->tasks[task].change = ++last_change;
    changes.push_back({{index, task}, last_change});
}

void ClusterState::set_phase(Job& job, Task& task, TaskPhase phase) {
    if ((task.phase == TaskPhase::Running) != (phase == TaskPhase::Running))
        phase == TaskPhase::Running ? ++job.running : --job.running;
    task.phase = phase;
}

void ClusterState::saw_image(Machine& m, const JobSpec& spec) const {
    std::erase(m.images, spec.image);
    m.images.push_back(spec.image);
    double cache = m.type < types.size() && types[m.type].offered ? types[m.type].type.cache_gb : 0;
    double held = 0;
    auto kept = m.images.rbegin();
    for (; kept != m.images.rend(); ++kept) {
        held += image_gb_[*kept];
        if (kept != m.images.rbegin() && (held > cache || kept - m.images.rbegin() >= kMaxImages))
            break;
    }
    m.images.erase(m.images.begin(), kept.base());
}

void ClusterState::restore_placed(Index index, uint32_t t, Index machine, uint32_t attempt,
                                  uint32_t agent_epoch) {
    auto& job = *jobs[index];
    auto& task = job.tasks[t];
    task.state = TaskState::Placed;
    task.machine = machine;
    task.attempt = attempt;
    task.agent_epoch = agent_epoch;
    --job.pending, ++job.placed;
    auto& m = *machines[machine];
    m.used += job.spec.demand;
    m.tasks.push_back({index, t});
    teams[job.spec.team].used += job.spec.demand;
}

void ClusterState::restore_counts(Index index) {
    auto& job = *jobs[index];
    job.pending = job.done = 0;
    for (auto& task : job.tasks) {
        if (task.state == TaskState::Done)
            ++job.done;
        else
            ++job.pending;
        job.gang_attempt = std::max(job.gang_attempt, task.attempt);
    }
}

void ClusterState::place(Index index, uint32_t t, Index machine, uint32_t attempt, double now) {
    restore_placed(index, t, machine, attempt,
                   static_cast<uint32_t>(machines[machine]->agent_epoch));
    auto& task = jobs[index]->tasks[t];
    task.start_seq = 0;
    task.placed_at = static_cast<float>(now);
    task.running_at = 0;
    task.stopping = task.graceful = false;
    task.placed_this_term = true;
    touch(index, t);
}

void ClusterState::leave_machine(Index index, uint32_t t, double now) {
    auto& job = *jobs[index];
    auto& task = job.tasks[t];
    auto& m = *machines[task.machine];
    m.used -= job.spec.demand;
    std::erase(m.tasks, TaskRef{index, t});
    if (m.tasks.empty()) m.empty_since = now;
    teams[job.spec.team].used -= job.spec.demand;
    set_phase(job, task, TaskPhase::Unseen);
    task.machine = kNone;
    task.stopping = task.graceful = false;
    --job.placed;
}

void ClusterState::unassign(Index index, uint32_t t, double now) {
    leave_machine(index, t, now);
    auto& job = *jobs[index];
    job.tasks[t].state = TaskState::Pending;
    ++job.pending;
    job.first_pending = std::min(job.first_pending, t);
    touch(index, t);
}

void ClusterState::finish(Index index, uint32_t t, double now) {
    auto& job = *jobs[index];
    auto& task = job.tasks[t];
    if (task.state == TaskState::Done) return;
    if (task.state == TaskState::Placed)
        leave_machine(index, t, now);
    else
        --job.pending;
    task.state = TaskState::Done;
    ++job.done;
    touch(index, t);
}

// Every time by which the job should be done, on the steady clock, in no order.
template <class F>
void ClusterState::each_time(const Job& job, F&& f) const {
    static const std::vector<double> kOnce{1.0};
    auto* c = job.spec.job_class < classes.size() ? &classes[job.spec.job_class] : nullptr;
    if (job.spec.deadline_s >= 0)
        for (double times : c && !c->deadline_times.empty() ? c->deadline_times : kOnce)
            f(job.seen_at + job.spec.deadline_s * times);
    if (job.needed_by < 1e17) f(job.needed_by);
    if (!c) return;
    for (double within : c->done_within_s) f(job.came_at() + within);
    // A job that may still start in time ends its run after that.
    if (c->start_within_s > 0 && job.placed + job.done == 0)
        f(job.came_at() + c->start_within_s + expected_run_s(job.spec));
}

double ClusterState::due(const Job& job, double earliest, int& missed) const {
    missed = 0;
    double due = 1e18, passed = -1e18;  // passed: of those given up, the last
    each_time(job, [&](double at) {
        if (at < earliest)
            ++missed;
        else
            due = std::min(due, at);
    });
    // What others wait for keeps its times.
    uint32_t abandoned_deadlines = job.needed_by < 1e17 ? 0 : job.abandoned_deadlines;
    for (uint32_t n = 0; n < abandoned_deadlines && due < 1e17; ++n) {
        passed = due;
        due = 1e18;
        each_time(job, [&](double at) {
            if (at > passed) due = std::min(due, at);
        });
        ++missed;
    }
    return due;
}

size_t ClusterState::times_asked(const Job& job) const {
    size_t n = 0;
    each_time(job, [&](double) { ++n; });
    return n;
}

double ClusterState::expected_run_s(const JobSpec& spec) const {
    return spec.estimate_s * (spec.job_class < classes.size() ? classes[spec.job_class].bias : 1);
}

// The geometric mean over recent tasks, starting from the owners' word.
void ClusterState::learn_run(const JobSpec& spec, double run_s) {
    if (spec.estimate_s <= 0 || run_s <= 0 || spec.job_class >= classes.size()) return;
    auto& c = classes[spec.job_class];
    double ratio = std::clamp(run_s / spec.estimate_s, 0.2, 5.0);
    // Tasks of one job share its error: a task of a large job says less.
    double weight = 1.0 / std::min<double>(spec.tasks, 8);
    c.learnt = std::min(c.learnt + weight, 20.0);
    c.bias *= std::pow(ratio / c.bias, weight / (c.learnt + 3));
}

void ClusterState::learn_boot(Index type, double boot_s) {
    if (type >= types.size() || !types[type].offered || types[type].type.boot_s <= 0) return;
    double ratio = std::clamp(boot_s / types[type].type.boot_s, 0.5, 4.0);
    boot_factor += (ratio - boot_factor) * 0.2;
}

double ClusterState::fetch_s(const JobSpec& spec, Index type) const {
    double rate = types[type].type.fetch_gb_per_s;
    return rate > 0 ? spec.image_gb / rate : 0;
}

bool ClusterState::reserves_gpus(const JobSpec& spec, Index type) const {
    if (spec.demand.gpu > 0 || per_gpu.gpu == 0 || types[type].type.size.gpu == 0) return false;
    for (Index t = 0; t < types.size(); ++t)
        if (type_fits(spec, t) && types[t].type.size.gpu == 0) return true;
    return false;
}

bool ClusterState::leaves_gpus_usable(const JobSpec& spec, const Machine& m) const {
    if (!reserves_gpus(spec, m.type)) return true;
    // Nor does it keep a dear machine from going back: it comes where the GPUs are busy anyway.
    if (m.used.gpu * 2 < m.size.gpu) return false;
    auto left = m.room() - spec.demand;
    int64_t gpus = left.gpu / 1000;
    return left.cpu >= gpus * per_gpu.cpu && left.mem >= gpus * per_gpu.mem;
}

bool ClusterState::large(const JobSpec& spec) const {
    if (spec.kind == JobKind::Gang) return true;
    bool any = false;
    for (Index t = 0; t < types.size(); ++t) {
        if (!type_fits(spec, t)) continue;
        any = true;
        if (spec.demand.times_in(types[t].type.size) > 1) return false;
    }
    return any;
}

bool ClusterState::type_fits(const JobSpec& spec, Index type) const {
    if (type >= types.size() || !types[type].offered) return false;
    if (!spec.types.empty() &&
        std::find(spec.types.begin(), spec.types.end(), type) == spec.types.end())
        return false;
    return spec.demand.fits_in(types[type].type.size);
}

const char* ClusterState::never_runs(const JobSpec& spec) const {
    if (spec.team == kNone) return "unknown team";
    bool fits = false, zone_ok = spec.zone == kNone;
    for (Index t = 0; t < types.size(); ++t) {
        if (!type_fits(spec, t)) continue;
        fits = true;
        for (auto& z : types[t].type.zones)
            if (names.zones.find(z) == spec.zone) zone_ok = true;
    }
    if (!fits || !zone_ok) return "a task fits no allowed machine type";
    auto all = spec.kind == JobKind::Array ? spec.demand : spec.demand * spec.tasks;
    auto& limit = teams[spec.team].limit;
    bool over = (limit.cpu && all.cpu > limit.cpu) || (limit.gpu && all.gpu > limit.gpu);
    return over ? "more than the team's limit" : nullptr;
}

bool ClusterState::machine_allowed(const JobSpec& spec, const Machine& m) const {
    if (m.spot && !spec.spot) return false;
    if (spec.zone != kNone && spec.zone != m.zone) return false;
    return type_fits(spec, m.type);
}

namespace {
bool under(const Resources& cap, const Resources& use) {
    return (cap.cpu == 0 || use.cpu <= cap.cpu) && (cap.gpu == 0 || use.gpu <= cap.gpu);
}
}  // namespace

bool ClusterState::below_limit(const Team& team, const Resources& use) const {
    return under(team.limit, use);
}

bool ClusterState::within_limit(const Team& team, const Resources& extra) const {
    return below_limit(team, team.used + extra);
}

bool ClusterState::within_guarantee(const Team& team, const Resources& extra) const {
    // No guarantee at all means nothing is owed.
    return covers(team.guarantee, team.used + extra, extra);
}

bool ClusterState::over_guarantee(const Team& team, const Resources& each) const {
    return !covers(team.guarantee, team.used, each);
}

double ClusterState::heartbeat_due_s(const Machine& m, double now) const {
    double due = m.last_heartbeat + heartbeat_interval_s_ - now;
    return due > -0.3 * heartbeat_interval_s_ ? due : 1e9;
}

bool ClusterState::refused(Index type, Index zone, bool spot, double now) const {
    return std::any_of(refusals.begin(), refusals.end(), [&](auto& r) {
        return r.first > now && r.second == Refusal{type, zone, spot};
    });
}

}  // namespace weirmill
