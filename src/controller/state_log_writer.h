// Writes the state log to the key-value store, one transaction at a time, and applies the outcomes.
//
// A transaction is repeated until its outcome is known (docs/design.md has the argument why late or
// repeated copies do nothing). Whether one without an answer was applied is found out by reading
// its keys: reconciliation.
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

// Used on the leader's executor only.
class StateLogWriter {
  public:
    // `on_committed` is called once all that waited for a transaction was brought up to date.
    StateLogWriter(LeaderContext& context, UserRequests& users, PendingAdoption& adoption,
                   JobAdmission& admission, JobCallbacks jobs, std::function<void()> on_committed);

    // Starts the next transaction if one is due.
    void flush();
    // Outcomes of what `flush` started.
    void finished(TransactionFinished& transaction);
    void outcome_unknown();

    // Records are under way, or wait to be written.
    [[nodiscard]] bool busy() const { return in_flight_ || context_.state_log.has_work(); }
    // The last call to the key-value store failed: neither a transaction nor a renewal of the lease
    // has succeeded since.
    [[nodiscard]] bool kv_unavailable() const;

  private:
    enum class Reconciliation : uint8_t {
        Decided,   // the result stands
        Repeat,    // the outcome is still unknown
        Abandoned  // the term is over
    };
    // A job whose transaction conflicted, but not at its own keys.
    struct RetriedJob {
        Index job = kNone;
        uint64_t pending_version = 0;  // of its pending record; 0: it has none
    };

    boost::asio::awaitable<void> commit(std::shared_ptr<void> keep_alive, StateLogBatch batch);
    Reconciliation reconcile(const CasTransaction& txn, const KvResult<KvItem>& item,
                             KvResult<uint64_t>& result);
    void mark_ends(const StateLogBatch& batch, bool sent);

    void committed(const TransactionFinished& transaction);
    void new_job_recorded(const StateLogEntry& entry);
    void cancellation_recorded(const StateLogEntry& entry);
    void end_recorded(const StateLogEntry& entry);

    void conflicted(TransactionFinished& transaction);
    // Whether the entry may be recorded by another transaction.
    bool submission_conflicted(const StateLogEntry& entry, std::vector<std::string>& failed);
    void not_executed(TransactionFinished& transaction);
    void reject(const StateLogBatch& batch, const std::vector<RetriedJob>& retried);

    LeaderContext& context_;
    UserRequests& users_;
    PendingAdoption& adoption_;
    JobAdmission& admission_;
    JobCallbacks jobs_;
    std::function<void()> on_committed_;
    RateLimiter rate_;
    bool in_flight_ = false;
    // Steady clock, seconds.
    double not_before_ = 0;
    double kv_failed_at_ = -1e9;
    double kv_succeeded_at_ = 0;
};

}  // namespace weirmill
