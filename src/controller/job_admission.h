// Adds jobs to the cluster state and cancels them there, both for submissions of users and for jobs
// that a standby controller accepted.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/final_state_cache.h"
#include "controller/leader_context.h"

namespace weirmill {

// Functions of the task lifecycle that admission and the state log writer call.
struct JobCallbacks {
    // Ends the job or stops its tasks if its task counts or its cancellation require that.
    std::function<void(Index)> reconcile_job;
    // Calls `reconcile_job` for those of the jobs that are cancelled.
    std::function<void(const std::vector<Index>&)> reconcile_cancelled_jobs;
};

// The dependencies of a new job, as far as this leader knows them.
struct DependencyResolution {
    std::vector<Index> live_jobs;     // dependencies that have not ended
    bool cancelled = false;           // a dependency is cancelled, so the job is cancelled too
    std::vector<std::string> unread;  // ids of jobs whose final states have to be read
    bool invalid = false;             // a dependency is the job itself or an invalid job id
    bool has_unrecorded = false;      // a dependency is not recorded yet and may be refused
};

// Validates dependencies, adds jobs to the cluster state and requests cancellations. Used on the
// leader's executor only.
class JobAdmission {
  public:
    // `context` and `final_states` must outlive this object. `is_pending` returns whether the job
    // is known only from the pending record of a standby controller.
    JobAdmission(LeaderContext& context, FinalStateCache& final_states, JobCallbacks callbacks,
                 std::function<bool(const std::string&)> is_pending);

    // Looks up the dependencies of a job without reading from the key-value store.
    [[nodiscard]] DependencyResolution resolve(const JobSpec& spec) const;
    // Adds the job to the cluster state and returns its index. The caller queues its record in the
    // state log. `submitted_wall`: time of day in seconds.
    Index add(JobSpec spec, const DependencyResolution& dependencies, double submitted_wall);
    // Removes a job whose record was not written.
    void drop(Index job);
    // Cancels a job that has not ended, and queues the record of the cancellation.
    void request_cancellation(Index job);
    // Starts to read the final states of these jobs and posts DependenciesRead when done.
    // `for_adoption`: the dependant was accepted by a standby controller.
    void read_dependencies(PeerCall call, ReplyPromise reply, std::vector<std::string> ids,
                           bool for_adoption);

  private:
    void resolve_dependency(const std::string& id, DependencyResolution& out) const;
    boost::asio::awaitable<void> read_sequentially(std::shared_ptr<void> keep_alive,
                                                   DependenciesRead read,
                                                   std::vector<std::string> ids);

    LeaderContext& context_;
    FinalStateCache& final_states_;
    JobCallbacks callbacks_;
    std::function<bool(const std::string&)> is_pending_;
};

}  // namespace weirmill
