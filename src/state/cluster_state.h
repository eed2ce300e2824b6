// The leader's in-memory state: jobs, machines, teams and machine types. Performs no input or
// output. Not thread-safe: the leader owns it.
//
// The types are declared in state/job.h, task.h, machine.h, team.h, job_class.h and machine_type.h.
// The operations are implemented in one source file per concern:
//   cluster_state.cpp     adds and removes jobs and machines, maintains machine types
//   task_placement.cpp    state transitions of tasks, cached images of machines
//   job_dependencies.cpp  dependencies, cancellations, priorities and deadlines that jobs inherit
//                         from their dependants
//   job_requirements.cpp  machine types and machines that a job may use
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

// The tables of the cluster state. Only ClusterState adds and removes jobs and machines.
struct ClusterTables {
    Names names;
    std::vector<Team> teams;                 // by team index
    std::vector<MachineTypeEntry> types;     // by type index
    bool types_known = false;                // The machine types have been set at least once.
    std::vector<std::unique_ptr<Job>> jobs;  // by job index; null: the index is free
    std::vector<std::unique_ptr<Machine>> machines;  // by machine index; null: the index is free
    std::unordered_map<std::string, Index> job_index, machine_index;  // by job id, by machine name
    std::vector<JobClass> classes;                                    // by class index
    // Capacity that the cloud refused, each with the steady time until which it is not requested
    // again.
    std::vector<std::pair<double, CapacityRefusal>> capacity_refusals;
    size_t task_count = 0;  // tasks of all jobs
    size_t max_tasks = 0;   // tasks that the memory limit allows
    // Moving average of observed boot times, each divided by the boot time of its machine type.
    double boot_factor = 1.1;
    // Moving average of the resources that jobs with GPUs request for each GPU. A task without GPUs
    // that fits machines without GPUs leaves this much for each free GPU of a machine.
    Resources resources_per_gpu;
    // Task changes that are to be recorded in the state log, oldest first.
    std::deque<TaskChange> task_changes;
    // The number of the newest task change, and the number up to which all changes are recorded.
    uint64_t last_change_number = 0, recorded_through = 0;
};

// In all functions `now` is the steady clock in seconds, `index` is the index of a job, and
// `task_index` is the index of a task of that job.
class ClusterState : public ClusterTables {
  public:
    explicit ClusterState(const Settings& settings);

    // Adds a job and returns its index. `submitted_wall`: time of day in seconds.
    Index add_job(JobSpec spec, double submitted_wall, double now);
    // Removes the job. Unless it is cancelled, its dependants no longer wait for it.
    void remove_job(Index index, double now);
    Job* find_job(const std::string& id);
    // Sets `job.guaranteed`: whether the job fits its team's guarantee together with the team's
    // unfinished jobs that became schedulable before it.
    void mark_guaranteed(Job& job) const;
    // Removes all jobs and machines. Keeps machine types and what was learnt about run times.
    void clear_jobs_and_machines();

    // Sets the dependencies of a job that was added with dependencies in its specification.
    // `dependencies`: those that are still in the tables; all others have ended.
    void set_dependencies(Index index, const std::vector<Index>& dependencies, double now);
    const DependencyGraph& dependencies() const { return dependencies_; }
    // Cancels all direct and indirect dependants of a job whose cancellation is recorded. Their
    // cancellations follow from that record and may be confirmed to users. Returns the dependants
    // that were not cancelled before; those that have a record need cancellation entries of their
    // own.
    std::vector<Index> cancel_dependants(Index index);
    // Returns whether the log holds a cancellation entry for the job and for each of its direct
    // dependants. Until then the job's entry implies the cancellations of its dependants and the
    // job must not leave the log.
    bool cancellation_fully_logged(Index index) const;
    // Returns whether no transaction can still change the known outcome of the job: none is in
    // flight with its end, its cancellation, or the cancellation of a job that it depends on.
    bool state_confirmed(Index index) const;
    // Updates the priorities and deadlines that all jobs inherit from their dependants. A new
    // leader calls this once the times of all jobs are restored.
    void propagate_priorities_and_deadlines();

    // Adds a machine unless it exists. Returns its index.
    Index add_machine(const std::string& name, double now);
    void remove_machine(Index index);
    // Returns kNone if there is no machine of that name.
    Index find_machine(const std::string& name) const;
    void describe_machine(Machine& m, const std::string& type, const std::string& zone, bool spot);
    // Adds or replaces machine types. Types that the list lacks are kept.
    void set_types(std::vector<MachineType> list);
    // Returns whether the cloud refused this capacity recently, so that it is not requested now.
    bool capacity_refused(Index type, Index zone, bool spot, double now) const;
    // Seconds until the worker of the machine is expected to send its next heartbeat, whose
    // response can carry start commands. Very large if the heartbeat is so late that the worker may
    // be unreachable.
    double next_heartbeat_in_s(const Machine& m, double now) const;

    // The three state transitions of a task (state/task.h). Each queues the change for recording.
    void place(Index index, uint32_t task_index, Index machine, uint32_t attempt, double now);
    void unassign(Index index, uint32_t task_index, double now);
    void finish(Index index, uint32_t task_index, double now);
    // Used while a new leader loads the state log; these queue no changes. restore_task_counts
    // derives a job's counts from the states of its tasks. restore_placement sets a pending task to
    // placed.
    void restore_task_counts(Index index);
    void restore_placement(Index index, uint32_t task_index, Index machine, uint32_t attempt,
                           uint32_t agent_epoch);
    void set_phase(Job& job, Task& task, TaskPhase phase);
    // Returns whether the last change of the task is recorded.
    bool task_recorded(const Job& job, uint32_t task) const {
        return job.tasks[task].change_number <= recorded_through;
    }
    // Returns whether the task has not changed again since this change.
    bool is_latest_change(const TaskChange& c) const;
    // Marks the job's image as the most recently used of the machine. Removes the least recently
    // used images that exceed the size of the machine's cache.
    void mark_image_used(Machine& m, const JobSpec& spec) const;

    // Returns the earliest due time that the job can still meet if it ends at `earliest_end` or
    // later. A value beyond kLatestTime means that there is none. `missed` is set to the number of
    // due times that can't be met any more or are abandoned.
    double due_time(const Job& job, double earliest_end, int& missed) const;
    size_t due_time_count(const Job& job) const;
    // Returns JobClass::slowdown for the team and class of the job; 0 if there is none.
    double slowdown(const JobSpec& spec) const;
    // The expected run time of a task in seconds, without its image fetch.
    double expected_run_s(const JobSpec& spec) const;
    void observe_run_time(const JobSpec& spec, double run_s);
    void observe_boot_time(Index type, double boot_s);
    // Seconds that a machine of this type takes to fetch the image of the job.
    double image_fetch_s(const JobSpec& spec, Index type) const;

    // Returns whether the job must leave room for tasks with GPUs on machines of this type: it
    // needs no GPUs itself and fits a machine type without GPUs.
    bool must_leave_room_for_gpus(const JobSpec& spec, Index type) const;
    // Returns whether the free GPUs of the machine stay usable once it runs a task of the job.
    bool leaves_gpus_usable(const JobSpec& spec, const Machine& m) const;
    // Returns whether the job needs whole machines: it is a gang, or no machine type that it fits
    // holds two of its tasks.
    bool needs_whole_machines(const JobSpec& spec) const;
    // Returns whether an empty machine of this type may run and can hold a task of the job.
    bool type_fits(const JobSpec& spec, Index type) const;
    // Returns why the job can never run with the known machine types and limits; null if it can.
    const char* unschedulable_reason(const JobSpec& spec) const;
    // Returns whether the job may use the machine by its type, zone and market (spot or on demand),
    // whether or not the machine has free resources.
    bool machine_allowed(const JobSpec& spec, const Machine& m) const;

    // Quotas (state/team.h).
    bool usage_within_limit(const Team& team, const Resources& usage) const {
        return weirmill::usage_within_limit(team, usage);
    }
    bool within_limit(const Team& team, const Resources& extra) const {
        return weirmill::within_limit(team, extra);
    }
    bool within_guarantee(const Team& team, const Resources& extra) const {
        return weirmill::within_guarantee(team, extra);
    }
    bool exceeds_guarantee(const Team& team, const Resources& task_demand) const {
        return weirmill::exceeds_guarantee(team, task_demand);
    }

  private:
    void update_resources_per_gpu(const Resources& demand);
    void update_image_size(const JobSpec& spec);
    void mark_ready(Job& job, double now);
    void release_dependant(Index index, double ended_wall, double now);
    bool update_inherited_values(Index index);
    void propagate_inherited_values(Index index);
    double pipeline_stage_s(const JobSpec& spec) const;
    const JobClass* class_of(const JobSpec& spec) const {
        return spec.job_class < classes.size() ? &classes[spec.job_class] : nullptr;
    }
    bool offered(Index type) const { return type < types.size() && types[type].offered; }
    void queue_task_change(Index index, uint32_t task_index);
    void remove_from_machine(Index index, uint32_t task_index, double now);

    DependencyGraph dependencies_;
    double heartbeat_interval_s_;
    std::vector<float> image_gb_;  // by image index, from the newest job that uses the image
};

}  // namespace weirmill
