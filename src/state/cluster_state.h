// What the leader knows: jobs, machines, teams, machine types. Plain tables without input or
// output. Not thread-safe: owned by the leader.
//
// Its types are in headers of their own (state/job.h, task.h, machine.h, team.h, job_class.h,
// machine_type.h), its operations in a source file for each concern:
//   cluster_state.cpp     adding and removing jobs and machines, machine types
//   task_placement.cpp    state transitions of tasks, images on machines
//   job_dependencies.cpp  dependencies, cancellations, and what dependants ask of jobs
//   job_requirements.cpp  which machine types and machines a job may use
//   run_estimates.cpp     run times, boot times, due times
#pragma once
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "protocol/types.h"
#include "state/dependency_graph.h"
#include "state/job.h"
#include "state/job_class.h"
#include "state/machine.h"
#include "state/machine_type.h"
#include "state/team.h"

namespace weirmill {

// The tables. Jobs and machines are added and removed through ClusterState alone.
struct ClusterTables {
    Names names;
    std::vector<Team> teams;      // by team index
    std::vector<TypeInfo> types;  // by type index
    bool types_known = false;
    std::vector<std::unique_ptr<Job>> jobs;          // by job index; null: free
    std::vector<std::unique_ptr<Machine>> machines;  // by machine index; null: free
    std::unordered_map<std::string, Index> job_index, machine_index;
    std::vector<JobClass> classes;                     // by class index
    std::vector<std::pair<double, Refusal>> refusals;  // until when not to ask again
    size_t task_count = 0;                             // over all jobs
    size_t max_tasks = 0;                              // what memory allows of them
    // Observed boots, in boot times of their types; a few recent ones weigh most.
    double boot_factor = 1.1;
    // What jobs with GPUs take of the other resources, for each GPU. A task without GPUs that could
    // run elsewhere leaves that much for the free GPUs of a machine.
    Resources per_gpu;
    // What changed of tasks, in order, and up to which change all is recorded.
    std::deque<TaskChange> changes;
    uint64_t last_change = 0, recorded_through = 0;
};

// `now` is the steady clock in seconds throughout; `index` is that of a job, `t` a task of it.
class ClusterState : public ClusterTables {
  public:
    explicit ClusterState(const Settings& settings);

    // Jobs. `submitted`: time of day, seconds.
    Index add_job(JobSpec spec, double submitted, double now);
    // Where the job is done, its dependants no longer wait for it.
    void remove_job(Index index, double now);
    Job* find_job(const std::string& id);
    // Whether the job fits its team's guarantee beside the team's unfinished jobs.
    void mark_guaranteed(Job& job) const;
    void clear_work();  // jobs and machines, not what is offered

    // Dependencies. `on`: of those that the job was added with, the ones that are in the tables;
    // the others have ended.
    void set_dependencies(Index index, const std::vector<Index>& on, double now);
    const DependencyGraph& dependencies() const { return dependencies_; }
    // The job's cancellation is recorded, and so it is that of all who need it: their users may be
    // answered so. Returns those that were not cancelled already; the recorded ones of them are to
    // get entries of their own.
    std::vector<Index> cancel_dependants(Index index);
    // A cancelled job's entry stands for its dependants' until each has its own; then it may leave
    // the log.
    bool cancellation_logged(Index index) const;
    // What is known of the job is all that may be recorded of its end: no transaction is under way
    // with its end, its cancellation, or that of a job that it needs.
    bool state_confirmed(Index index) const;
    // Priorities and deadlines that dependants ask of all jobs, once a fresh leader knows the times
    // of all.
    void propagate_demands();

    // Machines and their types.
    Index add_machine(const std::string& name, double now);
    void remove_machine(Index index);
    Index find_machine(const std::string& name) const;
    void describe_machine(Machine& m, const std::string& type, const std::string& zone, bool spot);
    void set_types(std::vector<MachineType> list);
    bool refused(Index type, Index zone, bool spot, double now) const;
    // Seconds until the machine's worker should send a heartbeat, and can be given a task to start
    // something; late ones may be silent.
    double heartbeat_due_s(const Machine& m, double now) const;

    // The only three ways a task changes its place (state/task.h). Each is to be recorded.
    void place(Index index, uint32_t t, Index machine, uint32_t attempt, double now);
    void unassign(Index index, uint32_t t, double now);
    void finish(Index index, uint32_t t, double now);
    // While a fresh leader reads the records: raw values, put in order for each job by
    // restore_counts. Nothing is to be recorded.
    void restore_counts(Index index);
    void restore_placed(Index index, uint32_t t, Index machine, uint32_t attempt,
                        uint32_t agent_epoch);
    void set_phase(Job& job, Task& task, TaskPhase phase);
    bool recorded(const Job& job, uint32_t task) const {
        return job.tasks[task].change <= recorded_through;
    }
    // The task has not changed since.
    bool current(const TaskChange& c) const;
    // The machine has used the job's image. What its cache can't hold beside that leaves it, the
    // least recently used first.
    void saw_image(Machine& m, const JobSpec& spec) const;

    // What a job should still be done by, given that it can't be before `earliest`; `missed`: how
    // many such times can't be met any more, or are given up. Beyond kLatestTime: nothing is asked.
    double due(const Job& job, double earliest, int& missed) const;
    size_t times_asked(const Job& job) const;
    // Of the job's team in its class (JobClass::slowdown).
    double slowdown(const JobSpec& spec) const;
    // Run time to expect of a task, without its image fetch; seconds.
    double expected_run_s(const JobSpec& spec) const;
    void learn_run(const JobSpec& spec, double run_s);
    void learn_boot(Index type, double boot_s);
    double fetch_s(const JobSpec& spec, Index type) const;

    // Whether the job, which has no GPUs, leaves room for the GPUs of machines of this type.
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

    // Quotas (state/team.h).
    bool below_limit(const Team& team, const Resources& use) const {
        return weirmill::below_limit(team, use);
    }
    bool within_limit(const Team& team, const Resources& extra) const {
        return weirmill::within_limit(team, extra);
    }
    bool within_guarantee(const Team& team, const Resources& extra) const {
        return weirmill::within_guarantee(team, extra);
    }
    bool over_guarantee(const Team& team, const Resources& each) const {
        return weirmill::over_guarantee(team, each);
    }

  private:
    void learn_gpu_share(const Resources& demand);
    void learn_image_size(const JobSpec& spec);
    void mark_ready(Job& job, double now);
    void release_dependant(Index index, double ended, double now);
    bool update_demands(Index index);
    void propagate_demands_from(Index index);
    double stage_s(const JobSpec& spec) const;
    const JobClass* class_of(const JobSpec& spec) const {
        return spec.job_class < classes.size() ? &classes[spec.job_class] : nullptr;
    }
    bool offered(Index type) const { return type < types.size() && types[type].offered; }
    void record_change(Index index, uint32_t t);
    void leave_machine(Index index, uint32_t t, double now);

    DependencyGraph dependencies_;
    double heartbeat_interval_s_;
    std::vector<float> image_gb_;  // by image index, as the newest job that uses it has it
};

}  // namespace weirmill
