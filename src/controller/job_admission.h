// How jobs enter the cluster state, and are cancelled in it: the same for submissions of users and
// for jobs that a standby controller accepted.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/final_state_cache.h"
#include "controller/leader_context.h"

namespace weirmill {

// What the parts that accept and record jobs ask of the part that runs them.
struct JobCallbacks {
    // Ends the job, or what is left of it, if it is due.
    std::function<void(Index)> check_job;
    // The same for those of the jobs that are cancelled.
    std::function<void(const std::vector<Index>&)> check_cancelled;
};

// What a new job waits for, as far as this leader knows.
struct DependencyResolution {
    std::vector<Index> jobs;          // live ones that it waits for
    bool cancelled = false;           // one of them is: and so is the job
    std::vector<std::string> unread;  // may have ended: their final states are to be read
    bool invalid = false;             // a name that no job can have
    bool undecided = false;           // whether one of them will be accepted is not known yet
};

// Used on the leader's executor only.
class JobAdmission {
  public:
    // `is_pending`: the job is known from the pending record of a standby controller alone.
    JobAdmission(LeaderContext& context, FinalStateCache& final_states, JobCallbacks jobs,
                 std::function<bool(const std::string&)> is_pending);

    [[nodiscard]] DependencyResolution resolve(const JobSpec& spec) const;
    // Puts the job into the cluster state; it is not in the state log yet. `submitted`: by the time
    // of day, seconds.
    Index add(JobSpec spec, const DependencyResolution& dependencies, double submitted);
    // Removes a job that is not accepted after all.
    void drop(Index job);
    // Cancels a live job and has that recorded.
    void request_cancellation(Index job);
    // Starts to read the final states of these jobs. DependenciesRead is posted once that is done.
    void read_dependencies(PeerCall call, ReplyPromise reply, std::vector<std::string> ids,
                           bool adopts);

  private:
    void resolve_one(const std::string& id, DependencyResolution& out) const;
    boost::asio::awaitable<void> read_in_turn(std::shared_ptr<void> keep_alive,
                                              DependenciesRead read, std::vector<std::string> ids);

    LeaderContext& context_;
    FinalStateCache& final_states_;
    JobCallbacks jobs_;
    std::function<bool(const std::string&)> is_pending_;
};

}  // namespace weirmill
