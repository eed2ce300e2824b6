// Writes the state log to the key-value store, one transaction at a time, and applies the outcomes
// to the cluster state.
//
// A transaction is repeated until its outcome is known; docs/design.md explains why late or
// repeated copies have no effect. If a transaction was not answered, reconciliation reads one of
// its keys to find out whether it was applied.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "controller/job_admission.h"
#include "controller/leader_context.h"
#include "controller/pending_adoption.h"
#include "controller/user_requests.h"

namespace weirmill {

// Sends the transactions of one leadership term. Used on the leader's executor only.
class StateLogWriter {
  public:
    // The references must outlive this object. `on_committed` is called after the cluster state and
    // all waiting users were updated for a committed transaction.
    StateLogWriter(LeaderContext& context, UserRequests& users, PendingAdoption& adoption,
                   JobAdmission& admission, JobCallbacks callbacks,
                   std::function<void()> on_committed);

    // Starts the next transaction if one is due.
    void flush();
    // Handles the outcome of the transaction that `flush` started.
    void transaction_finished(TransactionFinished& transaction);
    // Handles a transaction that was not answered; it is still being repeated.
    void outcome_unknown();

    // Returns whether a transaction is in flight or records wait to be written.
    [[nodiscard]] bool busy() const { return in_flight_ || context_.state_log.has_work(); }
    // Returns whether a transaction has failed and no transaction or lease renewal has succeeded
    // since.
    [[nodiscard]] bool kv_unavailable() const;

  private:
    enum class Reconciliation : uint8_t {
        Decided,   // the result is the transaction's outcome
        Repeat,    // the outcome is still unknown
        Abandoned  // the outcome can't be found out, and the term was ended
    };
    // A new job whose transaction conflicted at keys of other jobs.
    struct RetriedJob {
        Index job = kNone;
        uint64_t pending_version = 0;  // version of its pending record; 0: none
    };

    boost::asio::awaitable<void> commit(std::shared_ptr<void> keep_alive, StateLogBatch batch);
    Reconciliation reconcile(const CasTransaction& txn, const KvResult<KvItem>& item,
                             KvResult<uint64_t>& result);
    void set_end_sent(const StateLogBatch& batch, bool sent);

    void committed(const TransactionFinished& transaction);
    void new_job_recorded(const StateLogEntry& entry);
    void cancellation_recorded(const StateLogEntry& entry);
    void end_recorded(const StateLogEntry& entry);

    void conflicted(TransactionFinished& transaction);
    // Removes the job's own keys from `failed`. If one of them is there, drops the job, answers its
    // users from its final state and returns false. Otherwise returns true: the job is to be
    // recorded by another transaction.
    bool resolve_submission_conflict(const StateLogEntry& entry, std::vector<std::string>& failed);
    void not_executed(TransactionFinished& transaction);
    void reject(const StateLogBatch& batch, const std::vector<RetriedJob>& retried);

    LeaderContext& context_;
    UserRequests& users_;
    PendingAdoption& adoption_;
    JobAdmission& admission_;
    JobCallbacks callbacks_;
    std::function<void()> on_committed_;
    RateLimiter rate_;
    bool in_flight_ = false;
    // Times of the steady clock in seconds.
    double flush_not_before_ = 0;
    double kv_failed_at_ = -1e9;
    double kv_succeeded_at_ = 0;
};

}  // namespace weirmill
