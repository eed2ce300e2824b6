#include "controller/state_log_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <random>

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr double kCallTimeout_s = 1.0;
constexpr double kMinFlushInterval_s = 0.04;  // changes are batched in the meantime
// Share of the write rate. The rest is left to lease renewals and to requests of other controllers.
constexpr double kWriteRateShare = 0.9;
constexpr double kWriteBurst_s = 0.8;
// The end of a job takes up to three changes (a final state, the open segment and one more). With
// less budget than that, a transaction is sent only if a user waits for it.
constexpr double kMinBatchChanges = 3;
constexpr double kMinUrgentBatchChanges = 1;
// Exponential backoff between two copies of a transaction that was not answered.
constexpr double kInitialBackoff_s = 0.1;
constexpr double kMaxBackoff_s = 1.0;
constexpr double kBackoffFactor = 1.7;
// Random delay after a transaction that was not executed.
constexpr double kMinRetryDelay_s = 0.2;
constexpr double kMaxRetryDelay_s = 0.5;

double uniform(std::mt19937_64& random, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
}

// Returns whether the condition on the leadership is among those that failed.
bool leadership_condition_failed(const std::vector<std::string>& failed) {
    return std::ranges::find(failed, kLeaderKey) != failed.end();
}

// Returns whether this result of a repeated transaction leaves open if an earlier, unanswered copy
// was applied. A conflict does, because the copy may conflict with what the earlier one wrote.
bool is_inconclusive(const KvResult<uint64_t>& result) {
    switch (result.outcome) {
        case KvOutcome::Unknown:
        case KvOutcome::Refused:
        case KvOutcome::Invalid:
            return true;
        case KvOutcome::Conflict:
            return !leadership_condition_failed(result.failed_keys);
        default:
            return false;
    }
}

// Returns the change whose key shows whether the transaction was applied: the first write or, if
// there is none, the first deletion.
const auto& deciding_change(const CasTransaction& txn) {
    auto write =
        std::ranges::find_if(txn.changes, [](auto& change) { return !change.value.empty(); });
    return write == txn.changes.end() ? txn.changes.front() : *write;
}

// State of the deciding key of a transaction that was not answered.
struct KeyState {
    bool known = false;    // the key could be read
    bool applied = false;  // the transaction was applied
    uint64_t version = 0;  // version of the key; 0: it does not exist
};

// Interprets the read of the deciding key. The key is conclusive because no other controller may
// write or delete it.
KeyState deciding_key_state(const CasTransaction& txn, const KvResult<KvItem>& item) {
    auto& change = deciding_change(txn);
    bool deletes = change.value.empty();
    if (!item) return {item.outcome == KvOutcome::Missing, deletes, 0};
    if (deletes) return {true, false, 0};
    uint64_t expected = 0;
    for (auto& condition : txn.conditions)
        if (condition.key == change.key) expected = condition.version;
    bool applied = item.value.version != expected && item.value.value == read::parse(change.value);
    return {true, applied, item.value.version};
}

}  // namespace

StateLogWriter::StateLogWriter(LeaderContext& context, UserRequests& users,
                               PendingAdoption& adoption, JobAdmission& admission,
                               JobCallbacks callbacks, std::function<void()> on_committed)
    : context_(context),
      users_(users),
      adoption_(adoption),
      admission_(admission),
      callbacks_(std::move(callbacks)),
      on_committed_(std::move(on_committed)),
      rate_(context.settings.state_write_rps * kWriteRateShare, kWriteBurst_s) {}

bool StateLogWriter::kv_unavailable() const {
    double renewed_at = context_.term->lease_valid_until - context_.properties.election_lease_s;
    return kv_failed_at_ > std::max(kv_succeeded_at_, renewed_at);
}

// Transactions.

void StateLogWriter::flush() {
    if (in_flight_ || context_.now < flush_not_before_ || !context_.lease_valid() ||
        !context_.state_log.has_work())
        return;
    double budget = rate_.available(context_.now);
    if (budget < (context_.state_log.urgent() ? kMinUrgentBatchChanges : kMinBatchChanges)) return;
    auto batch = context_.state_log.next_batch(static_cast<int>(budget));
    if (batch.empty()) return;
    rate_.consume(static_cast<double>(batch.txn.changes.size()));
    set_end_sent(batch, true);
    in_flight_ = true;
    asio::co_spawn(context_.io, commit(context_.keep_alive(), std::move(batch)), asio::detached);
}

void StateLogWriter::set_end_sent(const StateLogBatch& batch, bool sent) {
    for (auto& entry : batch.entries)
        if (entry.kind == EntryKind::JobEnd) context_.cluster.jobs[entry.job]->end_sent = sent;
}

// Repeats the transaction until its outcome is known, and then posts the outcome.
asio::awaitable<void> StateLogWriter::commit(std::shared_ptr<void> keep_alive,
                                             StateLogBatch batch) {
    (void)keep_alive;
    bool any_copy_unanswered = false;  // that copy may be applied, now or later
    double backoff_s = kInitialBackoff_s;
    while (!context_.stopped) {
        auto result = co_await context_.kv.txn(batch.txn, kCallTimeout_s);
        if (context_.stopped) co_return;
        bool unanswered = result.outcome == KvOutcome::Unknown ||
                          (any_copy_unanswered && result.outcome == KvOutcome::Refused);
        if (unanswered && !any_copy_unanswered) context_.post(TransactionOutcomeUnknown{});
        any_copy_unanswered = any_copy_unanswered || unanswered;
        auto reconciled = Reconciliation::Decided;
        if (any_copy_unanswered && is_inconclusive(result)) {
            // The key is read after each inconclusive copy, also if the copy was not answered. If
            // no copy is ever answered, the first may have been applied long ago, and standby
            // controllers already report its effects to users.
            auto item = co_await context_.kv.get(deciding_change(batch.txn).key, kCallTimeout_s);
            if (context_.stopped) co_return;
            reconciled = reconcile(batch.txn, item, result);
        }
        if (reconciled == Reconciliation::Abandoned) co_return;
        if (reconciled == Reconciliation::Decided) {
            context_.post(TransactionFinished{std::move(batch), std::move(result)});
            co_return;
        }
        co_await sleep_s(backoff_s * uniform(context_.random, 0.7, 1.3));
        backoff_s = std::min(kMaxBackoff_s, backoff_s * kBackoffFactor);
    }
}

// Replaces `result`, the result of the last copy, by the outcome of all copies so far. `item`: the
// deciding key as it was read after the last copy.
StateLogWriter::Reconciliation StateLogWriter::reconcile(const CasTransaction& txn,
                                                         const KvResult<KvItem>& item,
                                                         KvResult<uint64_t>& result) {
    auto key_state = deciding_key_state(txn, item);
    bool answered = result.outcome != KvOutcome::Unknown && result.outcome != KvOutcome::Refused;
    if (!key_state.known || (!answered && !key_state.applied)) return Reconciliation::Repeat;
    if (key_state.applied) {
        result.outcome = KvOutcome::Ok;
        result.value = key_state.version;
        result.failed_keys.clear();
        return Reconciliation::Decided;
    }
    if (result.outcome != KvOutcome::Invalid) return Reconciliation::Decided;
    // The store's limits were lowered between two copies: this copy was not executed, but an
    // earlier one may still be. If its entries were recorded again by another transaction, the
    // late copy could append the older entries after the newer ones. Ending the term prevents that:
    // the fencing token of the next leader makes the conditions of the late copy fail.
    spdlog::error(
        "state: transaction rejected as invalid after an unanswered copy; ending the term");
    context_.term->ended = true;
    return Reconciliation::Abandoned;
}

// Outcomes.

void StateLogWriter::outcome_unknown() {
    kv_failed_at_ = context_.now;
    users_.outcome_unknown();
}

void StateLogWriter::transaction_finished(TransactionFinished& transaction) {
    in_flight_ = false;
    auto& result = transaction.result;
    if (result.outcome == KvOutcome::Ok) return committed(transaction);
    if (leadership_condition_failed(result.failed_keys)) {
        spdlog::info("leader: leadership lost, a transaction found another leader");
        context_.term->ended = true;
        return;
    }
    if (result.outcome == KvOutcome::Conflict) return conflicted(transaction);
    not_executed(transaction);
}

void StateLogWriter::committed(const TransactionFinished& transaction) {
    kv_succeeded_at_ = context_.now;
    // During a burst of submissions that do not fit into one transaction, the next one is sent
    // without delay.
    bool burst =
        context_.state_log.queued_new_jobs() >= static_cast<size_t>(context_.settings.txn_ops);
    flush_not_before_ = context_.now + (burst ? 0 : kMinFlushInterval_s);
    context_.metrics.increment("transactions_total");
    context_.state_log.committed(transaction.batch, transaction.result.value);
    for (auto& entry : transaction.batch.entries) {
        switch (entry.kind) {
            case EntryKind::NewJob:
                new_job_recorded(entry);
                break;
            case EntryKind::Cancellation:
                cancellation_recorded(entry);
                break;
            case EntryKind::JobEnd:
                end_recorded(entry);
                break;
            case EntryKind::PendingDeletion:
                adoption_.deletion_finished(entry);
                break;
            case EntryKind::SingleRecord:
                break;
        }
    }
    on_committed_();
}

void StateLogWriter::new_job_recorded(const StateLogEntry& entry) {
    auto& job = *context_.cluster.jobs[entry.job];
    users_.submission_recorded(job);
    adoption_.adoption_finished(job.spec.id, true);
    spdlog::debug("job: {} class={} tasks={} accepted, waits for {}", job.spec.id,
                  context_.cluster.names.classes.name(job.spec.job_class), job.spec.tasks,
                  context_.cluster.dependencies().dependencies_of(entry.job).size());
    context_.scheduling_needed = true;
    if (!job.cancelled) return;
    callbacks_.reconcile_job(entry.job);
    callbacks_.reconcile_cancelled_jobs(context_.cluster.dependencies().dependencies_of(entry.job));
}

void StateLogWriter::cancellation_recorded(const StateLogEntry& entry) {
    auto& job = *context_.cluster.jobs[entry.job];
    // Dependants are cancelled before the user is answered, so that the answer covers them. Those
    // that are not recorded yet need no entry, as the record of a new job includes its
    // cancellation.
    for (auto dependant : context_.cluster.cancel_dependants(entry.job))
        if (context_.cluster.jobs[dependant]->record_revision != 0)
            context_.state_log.queue_cancellation(dependant);
    spdlog::debug("job: {} cancellation recorded, {} tasks placed", job.spec.id, job.placed);
    users_.cancellation_recorded(job);
    callbacks_.reconcile_job(entry.job);
    callbacks_.reconcile_cancelled_jobs(context_.cluster.dependencies().dependencies_of(entry.job));
}

void StateLogWriter::end_recorded(const StateLogEntry& entry) {
    std::string id = context_.cluster.jobs[entry.job]->spec.id;
    users_.end_recorded(id, entry.final_state);
    auto dependencies = context_.cluster.dependencies().dependencies_of(entry.job);
    auto dependants = context_.cluster.dependencies().dependants_of(entry.job);
    context_.cluster.remove_job(entry.job, context_.now);
    for (auto dependant : dependants) {
        context_.scheduling_needed = true;
        auto& job = *context_.cluster.jobs[dependant];
        if (!job.waits_for_dependencies && !job.cancelled)
            spdlog::debug("job: {} ready", job.spec.id);
    }
    callbacks_.reconcile_cancelled_jobs(dependencies);
    spdlog::debug("job: {} {}", id,
                  entry.final_state.state == JobState::Done ? "done" : "cancelled");
}

// A conflict is expected only at the keys of a job that has already ended, or that a standby
// controller has accepted or cancelled meanwhile. Any other conflict ends the term.
void StateLogWriter::conflicted(TransactionFinished& transaction) {
    auto& failed = transaction.result.failed_keys;
    std::vector<RetriedJob> retried;
    for (auto& entry : transaction.batch.entries) {
        if (entry.kind == EntryKind::PendingDeletion && std::erase(failed, entry.key) > 0) {
            // The record was changed by a standby controller or deleted; the watch reports its
            // current state.
            adoption_.deletion_finished(entry);
            entry.key.clear();
        }
        if (entry.kind == EntryKind::NewJob && resolve_submission_conflict(entry, failed)) {
            auto& id = context_.cluster.jobs[entry.job]->spec.id;
            retried.push_back({entry.job, adoption_.adopted_version(id)});
        }
    }
    if (!failed.empty()) {
        spdlog::error("leader: stored record {} differs from the cluster state; ending the term",
                      failed.front());
        context_.term->ended = true;
        return;
    }
    reject(transaction.batch, retried);
}

bool StateLogWriter::resolve_submission_conflict(const StateLogEntry& entry,
                                                 std::vector<std::string>& failed) {
    std::string id = context_.cluster.jobs[entry.job]->spec.id;
    bool has_ended = std::erase(failed, final_key(id)) > 0;
    bool is_pending = std::erase(failed, pending_key(id)) > 0;
    if (!has_ended && !is_pending) return true;
    auto waiters = users_.take_waiters(id);
    admission_.drop(entry.job);
    if (has_ended)
        adoption_.request_deletion(id);
    else
        adoption_.adoption_finished(id, false);
    users_.answer_from_final_state(id, waiters);
    return false;
}

// Users are told at once to repeat their requests; all other entries are queued again.
void StateLogWriter::not_executed(TransactionFinished& transaction) {
    kv_failed_at_ = context_.now;
    for (auto& entry : transaction.batch.entries) {
        if (entry.kind != EntryKind::NewJob && entry.kind != EntryKind::Cancellation) continue;
        std::string id = context_.cluster.jobs[entry.job]->spec.id;
        users_.not_recorded(id);
        if (entry.kind == EntryKind::Cancellation) continue;
        admission_.drop(entry.job);
        adoption_.adoption_finished(id, false);
    }
    // The transaction is well-formed, so the key-value store rejected it for its size. Repeating it
    // unchanged would block all records that wait to be written.
    if (transaction.result.outcome == KvOutcome::Invalid && context_.state_log.reduce_limits())
        spdlog::error("state: transaction rejected as invalid; reducing the transaction size");
    if (transaction.result.rate_limited)
        rate_.reduce_rate();
    else
        rate_.drain();
    flush_not_before_ = context_.now + uniform(context_.random, kMinRetryDelay_s, kMaxRetryDelay_s);
    reject(transaction.batch, {});
}

void StateLogWriter::reject(const StateLogBatch& batch, const std::vector<RetriedJob>& retried) {
    set_end_sent(batch, false);
    context_.state_log.rejected(batch);
    for (auto& job : retried) context_.state_log.queue_new_job(job.job, job.pending_version);
}

}  // namespace weirmill
