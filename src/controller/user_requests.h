// What users ask the leader for: to submit a job, to tell its state, to cancel it. Submissions and
// cancellations are answered once they are recorded; a repeated submission has the answer of the
// first.
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

// Used on the leader's executor only.
class UserRequests {
  public:
    // A request that waits until its outcome is recorded.
    struct Waiter {
        PeerOp op = PeerOp::Submit;
        ReplyPromise reply;
    };

    // `kv_unavailable`: the key-value store can't record anything now.
    UserRequests(LeaderContext& context, FinalStateCache& final_states, JobAdmission& admission,
                 PendingAdoption& adoption, std::function<bool()> kv_unavailable);

    void submit(PeerCall& call, ReplyPromise& reply);
    void status(PeerCall& call, ReplyPromise& reply);
    void cancel(PeerCall& call, ReplyPromise& reply);

    // Outcomes of the reads that the requests above start.
    void final_state_read(FinalStateRead& read);
    void dependencies_read(DependenciesRead& read);

    // Outcomes of state log transactions.
    void submission_recorded(const Job& job);
    void cancellation_recorded(const Job& job);
    void end_recorded(const std::string& id, const FinalState& state);
    // The submission or cancellation was not recorded: the user repeats it.
    void not_recorded(const std::string& id);
    // A transaction had no answer. Users are not kept waiting for an outcome that may take long.
    void outcome_unknown();
    // Those who wait for this job, who are then answered by `answer_from_final_state`.
    [[nodiscard]] std::vector<Waiter> take_waiters(const std::string& id);
    void answer_from_final_state(const std::string& id, const std::vector<Waiter>& waiters);

    // The term is over: answers all who wait.
    void stop();

  private:
    // A submission as it was parsed.
    struct Submission {
        JobSpec spec;                        // the id alone, where it is malformed
        std::optional<PeerReply> malformed;  // the answer, unless its id was accepted before
    };
    Submission parse(const PeerCall& call) const;
    // Whether the submission was answered, or will be, by what is known of its id.
    bool answer_repeated(const std::string& id, PeerCall& call, ReplyPromise& reply);
    // Whether there is room for one more.
    bool answer_overload(const JobSpec& spec, ReplyPromise& reply) const;
    // Nothing: the submission is answered, now or later.
    std::optional<DependencyResolution> resolve(const JobSpec& spec, PeerCall& call,
                                                ReplyPromise& reply);
    void accept(JobSpec spec, const DependencyResolution& dependencies, PeerCall& call,
                ReplyPromise& reply);
    // The job may have been accepted when more was on offer, and have ended: then its final state
    // is the answer.
    void refuse_unless_ended(PeerCall& call, ReplyPromise& reply, const std::string& id,
                             PeerReply refusal);
    void start_read(PeerCall call, const ReplyPromise& reply, PeerReply refusal);
    boost::asio::awaitable<void> read_final_state(std::shared_ptr<void> keep_alive, PeerCall call,
                                                  ReplyPromise reply, PeerReply refusal);
    void answer_waiters(const std::string& id, const PeerReply& reply);
    [[nodiscard]] bool is_recorded(const Job& job) const;

    LeaderContext& context_;
    FinalStateCache& final_states_;
    JobAdmission& admission_;
    PendingAdoption& adoption_;
    std::function<bool()> kv_unavailable_;
    std::map<std::string, std::vector<Waiter>> waiters_;  // by job id
};

}  // namespace weirmill
