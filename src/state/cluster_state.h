// What the leader knows: jobs, machines, teams, machine types. Plain tables, no input or output.
#pragma once
#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "liveness/downlink.h"
#include "protocol/types.h"
#include "state/dependency_graph.h"

namespace weirmill {

enum class TaskState : uint8_t { Pending, Placed, Done };

struct Task {
    uint32_t attempt = 0;
    Index machine = kNone;                // while Placed: the task may be there until proven gone
    uint32_t agent_epoch = 0;             // of that machine, when it was placed
    uint64_t change = 0;                  // the tables' change number at this task's last change
    uint64_t start_seq = 0;               // the report answered with its start, 0: none yet
    float placed_at = 0, running_at = 0;  // placed_at: once it is launched, when that was
    TaskState state = TaskState::Pending;
    TaskPhase phase = TaskPhase::Unseen;
    bool stopping = false;
    bool graceful = false;          // stopping: with time to save
    bool placed_this_term = false;  // placed by this leader: no other has launched this attempt
    bool placed_as(Index on, uint64_t as_attempt) const {
        return state == TaskState::Placed && machine == on && attempt == as_attempt;
    }
};

struct Job {
    JobSpec spec;
    double submitted = 0;  // time of day, seconds
    double seen_at = 0;    // when it was submitted, by the steady clock of this leader
    // Only of a job that had to wait: when the last of its dependencies ended, by the time of day,
    // and by the steady clock. All but its deadline counts from there. `ended` is its own end, told
    // to its dependants.
    double ready = 0, ready_at = 0, ended = 0;
    bool waits = false;  // for a dependency; kept by the tables
    // The highest priority of itself and of those that need it, and by when it should end for those
    // to end in time; kept by the tables.
    Priority priority = Priority::Low;
    double needed_by = 1e18;
    uint64_t version = 0;  // the revision that recorded it, 0: not recorded yet
    uint64_t base = 0;     // the segment of the log from which on it is told in full
    bool cancelled = false;
    bool cancel_recorded =
        false;                   // or implied by the record of a job that it needs: it may be told
    bool cancel_logged = false;  // by an entry of its own: those that it needs may leave the log
    bool ending = false;         // its end is queued to be recorded
    bool end_sent = false;       // and may stand recorded, although this leader has no answer yet
    std::vector<Task> tasks;
    uint32_t pending = 0, placed = 0, done = 0, running = 0;
    uint32_t first_pending = 0;  // no pending task lies below
    bool gang_ending = false;    // the current attempt is over: every task of it must go first
    uint32_t gang_attempt = 0;
    double not_before = 0;  // back-off of a job that fails on good machines
    uint32_t failures = 0;
    std::set<Index> failed_on;
    // Of its times that it could still meet, the first so many are left to others
    // (coordination/overload).
    uint32_t abandoned_deadlines = 0;
    // All of it fitted its team's guarantee beside the team's unfinished jobs when it came: it need
    // not wait for other teams.
    bool guaranteed = false;
    bool active() const { return version != 0 && !cancelled && !ending; }
    double came() const { return ready > 0 ? ready : submitted; }
    double came_at() const { return ready > 0 ? ready_at : seen_at; }
};

struct TaskRef {
    Index job = kNone;
    uint32_t task = 0;
    bool operator==(const TaskRef&) const = default;
};

// A change of a task that is to be recorded; stale once the task has changed again.
struct TaskChange {
    TaskRef ref;
    uint64_t change = 0;
};

struct UnexpectedTask {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    bool exited = true;
};

struct Machine {
    std::string name, addr;
    Index type = kNone, zone = kNone;
    bool spot = false;
    Resources size, used;
    std::vector<TaskRef> tasks;  // all that may be on it
    std::vector<UnexpectedTask>
        unexpected_tasks;  // of the last report: exited entries, and tasks not expected there
    // What its worker said.
    bool up = false;  // has reported to this leader
    uint64_t agent_epoch = 0, seq = 0;
    bool saw_fencing_token = false;
    DownlinkState downlink;
    double last_heartbeat = 0, last_answer = 0;
    double direct_at = 0;  // the last report that came to this controller itself
    std::string
        relayed_by;  // the controller that passed on the last report; empty: it came by itself
    double interruption_at = -1;
    // What the cloud said.
    bool listed = false, missing = false, provisioned_here = false;  // hired: rented by this leader
    MachineStatus status = MachineStatus::Booting;
    double added = 0, requested_at = 0, missing_since = 0, up_at = 0;
    // What is done with it.
    bool terminating = false, abandoned = false;  // doomed: a boot given up, an expired lease
    bool draining = false;                        // its tasks move elsewhere, then it goes back
    double quarantined_until = 0;
    int faults = 0;
    std::set<Index> faulty_jobs;
    double empty_since = 0;
    Index reserved_for = kNone;
    double reserved_until = 0;
    std::vector<Index> images;  // observed, most recent last
    Resources room() const { return size - used; }
    bool reserved(double now) const { return reserved_for != kNone && reserved_until > now; }
    bool has_image(Index image) const {
        return std::find(images.begin(), images.end(), image) != images.end();
    }
};

struct Team {
    TeamSettings settings;
    Resources guarantee, limit;  // 0: none
    Resources used;
};

struct TypeInfo {
    bool offered = false;
    MachineType type;
};

// What is asked for a class of jobs, and what its finished tasks taught about its owners'
// estimates.
struct JobClass {
    double start_within_s = 0;           // 0: nothing is asked
    std::vector<double> done_within_s;   // shortest first
    std::vector<double> deadline_times;  // of a job's own deadline; shortest first, or none: once
    double bias = 1, learnt = 0;         // run time over estimate; weight of the evidence
    std::deque<std::pair<double, uint32_t>> arrivals;  // of recent jobs: when, how many tasks
    JobSpec last;                                      // the newest of them
    // Of a team's jobs of this class, where more waits than its users can be served with in time:
    // the seconds that a job waits for each second and unit of its work. 0: not pressed
    // (coordination/overload).
    std::vector<double> slowdown;  // by team index
};

struct Refusal {
    Index type, zone;
    bool spot;
    auto operator<=>(const Refusal&) const = default;
};

class ClusterState {
  public:
    explicit ClusterState(const Settings& settings);

    Names names;
    std::vector<Team> teams;      // by team index
    std::vector<TypeInfo> types;  // by type index
    bool types_known = false;
    double boot_factor =
        1.1;  // observed boots, in boot times of their types; a few recent ones weigh most
    void learn_boot(Index type, double boot_s);
    std::vector<std::unique_ptr<Job>> jobs;          // by job index; null: free
    std::vector<std::unique_ptr<Machine>> machines;  // by machine index; null: free
    std::unordered_map<std::string, Index> job_index, machine_index;
    std::vector<JobClass> classes;                     // by class index
    std::vector<std::pair<double, Refusal>> refusals;  // until when not to ask again
    size_t task_count = 0, max_tasks;                  // over all jobs; what memory allows

    Index add_job(JobSpec spec, double submitted, double now);
    // Where the job is done, its dependants no longer wait for it.
    void remove_job(Index job, double now);
    // Of the dependencies that it was added with, those that are in the tables; the others have
    // ended.
    void set_dependencies(Index job, const std::vector<Index>& on, double now);
    const DependencyGraph& dependencies() const { return dependencies_; }
    // The job's cancellation is recorded, and so it is that of all who need it: they may be told.
    // Those that were not cancelled already; the recorded ones of them are to get entries of their
    // own.
    std::vector<Index> cancel_dependants(Index job);
    // A cancelled job's entry stands for its dependants' until each has its own; then it may leave
    // the log.
    bool cancellation_logged(Index job) const;
    // What is known of the job is all that may be recorded of its end: neither its cancellation, or
    // that of a job that it needs, nor its end is on its way.
    bool settled(Index job) const;
    // What dependants ask of all jobs, once a fresh leader knows the times of all.
    void spread_needs();
    void mark_guaranteed(Job& job) const;
    void clear_work();  // jobs and machines, not what is offered
    Job* find_job(const std::string& id);
    Index add_machine(const std::string& name, double now);
    void remove_machine(Index machine);
    Index find_machine(const std::string& name) const;
    void describe_machine(Machine& m, const std::string& type, const std::string& zone, bool spot);
    void set_types(std::vector<MachineType> list);

    // The only three ways a task changes its place. Each is to be recorded.
    void place(Index job, uint32_t task, Index machine, uint32_t attempt, double now);
    void unassign(Index job, uint32_t task, double now);
    void finish(Index job, uint32_t task, double now);
    // While a fresh leader reads the records: raw values, put in order for each job by the last
    // call.
    void restore_counts(Index job);
    void restore_placed(Index job, uint32_t task, Index machine, uint32_t attempt,
                        uint32_t agent_epoch);

    void set_phase(Job& job, Task& task, TaskPhase phase);
    // The machine has used the job's image. What its cache can't hold beside that leaves it, the
    // least recently used first.
    void saw_image(Machine& m, const JobSpec& spec) const;
    bool recorded(const Job& job, uint32_t task) const {
        return job.tasks[task].change <= recorded_through;
    }
    // What changed, in order, and up to which change all is recorded.
    std::deque<TaskChange> changes;
    uint64_t last_change = 0, recorded_through = 0;
    bool current(const TaskChange& c) const {
        auto* job = c.ref.job < jobs.size() ? jobs[c.ref.job].get() : nullptr;
        return job && c.ref.task < job->tasks.size() && job->tasks[c.ref.task].change == c.change;
    }

    // What a job should still be done by, on the steady clock, given that it can't be before
    // `earliest`; `missed`: how many such times are past saving, or given up.
    double due(const Job& job, double earliest, int& missed) const;
    size_t times_asked(const Job& job) const;
    double slowdown(const JobSpec& spec) const {
        if (spec.job_class >= classes.size()) return 0;
        auto& by_team = classes[spec.job_class].slowdown;
        return spec.team < by_team.size() ? by_team[spec.team] : 0;
    }
    // Run time to expect of a task, without its image fetch.
    double expected_run_s(const JobSpec& spec) const;
    void learn_run(const JobSpec& spec, double run_s);
    double fetch_s(const JobSpec& spec, Index type) const;

    // What jobs with GPUs take of the other resources, for each GPU. A task without GPUs that could
    // run elsewhere leaves that much for the free GPUs of a machine.
    Resources per_gpu;
    bool reserves_gpus(const JobSpec& spec, Index type) const;
    bool leaves_gpus_usable(const JobSpec& spec, const Machine& m) const;

    // A gang, or a task that takes over half of every machine type it fits: it needs machines to
    // itself.
    bool large(const JobSpec& spec) const;
    bool type_fits(const JobSpec& spec, Index type) const;
    // Why the job can never run by the machine types and limits known; null: it may.
    const char* never_runs(const JobSpec& spec) const;
    // Allowed by type, zone and kind, room aside.
    bool machine_allowed(const JobSpec& spec, const Machine& m) const;
    bool below_limit(const Team& team, const Resources& use) const;
    bool within_limit(const Team& team, const Resources& extra) const;
    // A team without a figure for CPUs is owed those that its tasks with GPUs take beside them.
    bool within_guarantee(const Team& team, const Resources& extra) const;
    // Whether the team's work beyond its guarantee includes tasks that need `each`.
    bool over_guarantee(const Team& team, const Resources& each) const;
    // Until the machine's worker should report, and can be told to start something; late ones may
    // be silent.
    double heartbeat_due_s(const Machine& m, double now) const;
    bool refused(Index type, Index zone, bool spot, double now) const;

  private:
    template <class F>
    void each_time(const Job& job, F&& f) const;
    void came(Job& job, double now);
    bool take_needs(Index job);
    void spread_needs_from(Index job);
    double stage_s(const JobSpec& spec) const;
    DependencyGraph dependencies_;
    double heartbeat_interval_s_;
    std::vector<float> image_gb_;  // by image index, as the newest job that uses it has it

    void touch(Index job, uint32_t task);
    void leave_machine(Index job, uint32_t task, double now);
};

}  // namespace weirmill
