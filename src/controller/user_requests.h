// User requests at the leader: submissions, status queries and cancellations of jobs. Submissions
// and cancellations are answered once they are recorded. Submissions are idempotent: a repeated one
// gets the answer of the existing job.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/final_state_cache.h"
#include "controller/job_admission.h"
#include "controller/leader_context.h"
#include "controller/pending_adoption.h"

namespace weirmill {

// Answers user requests from the cluster state and from final states. Used on the leader's executor
// only.
class UserRequests {
  public:
    // A request that waits until its outcome is recorded.
    struct Waiter {
        PeerOp op = PeerOp::Submit;
        ReplyPromise reply;
    };

    // The references must outlive this object. `kv_unavailable` returns whether the key-value store
    // can't record anything now.
    UserRequests(LeaderContext& context, FinalStateCache& final_states, JobAdmission& admission,
                 PendingAdoption& adoption, std::function<bool()> kv_unavailable);

    // Each of these answers the request, now or later.
    void submit(PeerCall& call, ReplyPromise& reply);
    void status(PeerCall& call, ReplyPromise& reply);
    void cancel(PeerCall& call, ReplyPromise& reply);

    // Handle the results of reads that the requests above have started.
    void final_state_read(FinalStateRead& read);
    void dependencies_read(DependenciesRead& read);

    // Handle the outcomes of state log transactions.
    void submission_recorded(const Job& job);
    void cancellation_recorded(const Job& job);
    void end_recorded(const std::string& id, const FinalState& state);
    // Tells the users that wait for this job to repeat the request, because it was not recorded.
    void not_recorded(const std::string& id);
    // Answers all waiting users after a transaction was not answered, because its outcome may stay
    // unknown for long.
    void outcome_unknown();
    // Removes and returns the requests that wait for this job. The caller passes them to
    // `answer_from_final_state`.
    [[nodiscard]] std::vector<Waiter> take_waiters(const std::string& id);
    void answer_from_final_state(const std::string& id, const std::vector<Waiter>& waiters);

    // Answers all waiting users at the end of the term.
    void stop();

  private:
    // A parsed submission.
    struct Submission {
        JobSpec spec;                        // only the id is set if the submission is malformed
        std::optional<PeerReply> malformed;  // the reply, unless the id was accepted before
    };
    Submission parse(const PeerCall& call) const;
    // Answers a submission whose id is already known. Returns false if the id is not known.
    bool answer_duplicate(const std::string& id, PeerCall& call, ReplyPromise& reply);
    // Refuses the submission if no further job can be recorded or held now. Returns whether it was
    // refused.
    bool refuse_overload(const JobSpec& spec, ReplyPromise& reply) const;
    // Resolves the dependencies. Returns nothing if the submission was answered or will be answered
    // after final states were read.
    std::optional<DependencyResolution> resolve(const JobSpec& spec, PeerCall& call,
                                                ReplyPromise& reply);
    void accept(JobSpec spec, const DependencyResolution& dependencies, PeerCall& call,
                ReplyPromise& reply);
    // Sends the refusal unless the job has a final state, which is the answer then: the job may
    // have been accepted earlier under other limits and may have ended.
    void refuse_unless_ended(PeerCall& call, ReplyPromise& reply, const std::string& id,
                             PeerReply refusal);
    void start_read(PeerCall call, const ReplyPromise& reply, PeerReply refusal);
    boost::asio::awaitable<void> read_final_state(std::shared_ptr<void> keep_alive, PeerCall call,
                                                  ReplyPromise reply, PeerReply refusal);
    void answer_waiters(const std::string& id, const PeerReply& reply);
    [[nodiscard]] bool has_confirmed_state(const Job& job) const;

    LeaderContext& context_;
    FinalStateCache& final_states_;
    JobAdmission& admission_;
    PendingAdoption& adoption_;
    std::function<bool()> kv_unavailable_;
    std::map<std::string, std::vector<Waiter>> waiters_;  // by job id
};

}  // namespace weirmill
