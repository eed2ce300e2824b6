#include "controller/state_log_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <random>

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr double kCallTimeout_s = 1.0;
constexpr double kFlushPause_s = 0.04;  // changes gather between two transactions
// A share of the rate is left to renewals of the lease and to what other controllers ask for.
constexpr double kWriteShare = 0.9;
constexpr double kWriteBurst_s = 0.8;
// The end of a job takes up to three changes (a final state, the open segment and one more); less
// than that is left to users alone.
constexpr double kMinChanges = 3;
constexpr double kMinUrgentChanges = 1;
// Between two copies of a transaction without an answer, and after one that was not executed.
constexpr double kFirstPause_s = 0.1;
constexpr double kMaxPause_s = 1.0;
constexpr double kPauseGrowth = 1.7;
constexpr double kMinRetryPause_s = 0.2;
constexpr double kMaxRetryPause_s = 0.5;

double uniform(std::mt19937_64& random, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
}

// The condition on the leadership is among those that failed.
bool names_leader(const std::vector<std::string>& failed) {
    return std::ranges::find(failed, kLeaderKey) != failed.end();
}

// Where an earlier copy had no answer, this result of a later one does not say whether the
// transaction was applied: its own keys may be what it conflicts with.
bool leaves_open(const KvResult<uint64_t>& result) {
    switch (result.outcome) {
        case KvOutcome::Unknown:
        case KvOutcome::Refused:
        case KvOutcome::Invalid:
            return true;
        case KvOutcome::Conflict:
            return !names_leader(result.failed);
        default:
            return false;
    }
}

// The change whose key says whether the transaction was applied: a write, if there is one.
const auto& deciding_change(const CasTransaction& txn) {
    auto write =
        std::ranges::find_if(txn.changes, [](auto& change) { return !change.value.empty(); });
    return write == txn.changes.end() ? txn.changes.front() : *write;
}

// What the deciding key of a transaction without an answer says.
struct KeyState {
    bool known = false;    // it could be read
    bool applied = false;  // the transaction was
    uint64_t version = 0;  // of the key, where it is there
};

// The key decides, as nobody else may write it, or delete it.
KeyState was_applied(const CasTransaction& txn, const KvResult<KvItem>& item) {
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
                               JobCallbacks jobs, std::function<void()> on_committed)
    : context_(context),
      users_(users),
      adoption_(adoption),
      admission_(admission),
      jobs_(std::move(jobs)),
      on_committed_(std::move(on_committed)),
      rate_(context.settings.state_write_rps * kWriteShare, kWriteBurst_s) {}

bool StateLogWriter::kv_unavailable() const {
    double renewed_at = context_.term->lease_valid_until - context_.properties.election_lease_s;
    return kv_failed_at_ > std::max(kv_succeeded_at_, renewed_at);
}

// ---- transactions ----

void StateLogWriter::flush() {
    if (in_flight_ || context_.now < not_before_ || !context_.lease_valid() ||
        !context_.state_log.waiting())
        return;
    double budget = rate_.available(context_.now);
    if (budget < (context_.state_log.urgent() ? kMinUrgentChanges : kMinChanges)) return;
    auto batch = context_.state_log.next(static_cast<int>(budget));
    if (batch.empty()) return;
    rate_.take(static_cast<double>(batch.txn.changes.size()));
    mark_ends(batch, true);
    in_flight_ = true;
    asio::co_spawn(context_.io, commit(context_.keep_alive(), std::move(batch)), asio::detached);
}

void StateLogWriter::mark_ends(const StateLogBatch& batch, bool sent) {
    for (auto& entry : batch.entries)
        if (entry.kind == EntryKind::Finish) context_.cluster.jobs[entry.job]->end_sent = sent;
}

// One transaction at a time, until its outcome is known.
asio::awaitable<void> StateLogWriter::commit(std::shared_ptr<void> keep_alive,
                                             StateLogBatch batch) {
    (void)keep_alive;
    bool copy_unanswered = false;  // a copy of it may have been applied, or may be later
    double pause_s = kFirstPause_s;
    while (!context_.stopped) {
        auto result = co_await context_.kv.txn(batch.txn, kCallTimeout_s);
        if (context_.stopped) co_return;
        bool unanswered = result.outcome == KvOutcome::Unknown ||
                          (copy_unanswered && result.outcome == KvOutcome::Refused);
        if (unanswered && !copy_unanswered) context_.post(TransactionOutcomeUnknown{});
        copy_unanswered = copy_unanswered || unanswered;
        auto reconciled = Reconciliation::Decided;
        if (copy_unanswered && leaves_open(result)) {
            // The keys are read after each copy without an answer, not only after a refused one:
            // where no copy is answered, the first may have been applied long ago, and standby
            // controllers report it to users.
            auto item = co_await context_.kv.get(deciding_change(batch.txn).key, kCallTimeout_s);
            if (context_.stopped) co_return;
            reconciled = reconcile(batch.txn, item, result);
        }
        if (reconciled == Reconciliation::Abandoned) co_return;
        if (reconciled == Reconciliation::Decided) {
            context_.post(TransactionFinished{std::move(batch), std::move(result)});
            co_return;
        }
        co_await sleep_s(pause_s * uniform(context_.random, 0.7, 1.3));
        pause_s = std::min(kMaxPause_s, pause_s * kPauseGrowth);
    }
}

// Replaces `result`, that of the last copy, by the outcome of all copies so far. `item`: as the
// deciding key was read after that.
StateLogWriter::Reconciliation StateLogWriter::reconcile(const CasTransaction& txn,
                                                         const KvResult<KvItem>& item,
                                                         KvResult<uint64_t>& result) {
    auto keys = was_applied(txn, item);
    bool answered = result.outcome != KvOutcome::Unknown && result.outcome != KvOutcome::Refused;
    if (!keys.known || (!answered && !keys.applied)) return Reconciliation::Repeat;
    if (keys.applied) {
        result.outcome = KvOutcome::Ok;
        result.value = keys.version;
        result.failed.clear();
        return Reconciliation::Decided;
    }
    if (result.outcome != KvOutcome::Invalid) return Reconciliation::Decided;
    // The limits fell between two copies: this one was not executed, but the earlier one may still
    // be. Taken for not executed, its entries would be recorded again by another transaction, and
    // it would put older ones behind them. A later leader's fencing token makes it void.
    spdlog::error("state: no answer, then refused as malformed: starting over");
    context_.term->ended = true;
    return Reconciliation::Abandoned;
}

// ---- outcomes ----

void StateLogWriter::outcome_unknown() {
    kv_failed_at_ = context_.now;
    users_.outcome_unknown();
}

void StateLogWriter::finished(TransactionFinished& transaction) {
    in_flight_ = false;
    auto& result = transaction.result;
    if (result.outcome == KvOutcome::Ok) return committed(transaction);
    if (names_leader(result.failed)) {
        spdlog::info("leader: deposed, a transaction found another leader");
        context_.term->ended = true;
        return;
    }
    if (result.outcome == KvOutcome::Conflict) return conflicted(transaction);
    not_executed(transaction);
}

void StateLogWriter::committed(const TransactionFinished& transaction) {
    kv_succeeded_at_ = context_.now;
    // What one transaction could not take of a burst of submissions goes with the next at once.
    bool burst = context_.state_log.submissions() >= static_cast<size_t>(context_.settings.txn_ops);
    not_before_ = context_.now + (burst ? 0 : kFlushPause_s);
    context_.metrics.increment("transactions_total");
    context_.state_log.committed(transaction.batch, transaction.result.value);
    for (auto& entry : transaction.batch.entries) {
        switch (entry.kind) {
            case EntryKind::NewJob:
                new_job_recorded(entry);
                break;
            case EntryKind::Cancel:
                cancellation_recorded(entry);
                break;
            case EntryKind::Finish:
                end_recorded(entry);
                break;
            case EntryKind::Forget:
                adoption_.deletion_finished(entry);
                break;
            case EntryKind::Note:
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
                  context_.cluster.dependencies().of(entry.job).size());
    context_.scheduling_needed = true;
    if (!job.cancelled) return;
    jobs_.check_job(entry.job);
    jobs_.check_cancelled(context_.cluster.dependencies().of(entry.job));
}

void StateLogWriter::cancellation_recorded(const StateLogEntry& entry) {
    auto& job = *context_.cluster.jobs[entry.job];
    // Before the user is answered: from then on the dependants are cancelled too.
    for (auto dependant : context_.cluster.cancel_dependants(entry.job))
        if (context_.cluster.jobs[dependant]->version != 0)
            context_.state_log.cancel(dependant);  // a new one's record says so itself
    spdlog::debug("job: {} cancellation recorded, {} tasks placed", job.spec.id, job.placed);
    users_.cancellation_recorded(job);
    jobs_.check_job(entry.job);
    jobs_.check_cancelled(context_.cluster.dependencies().of(entry.job));
}

void StateLogWriter::end_recorded(const StateLogEntry& entry) {
    std::string id = context_.cluster.jobs[entry.job]->spec.id;
    users_.end_recorded(id, entry.ended);
    auto dependencies = context_.cluster.dependencies().of(entry.job);
    auto dependants = context_.cluster.dependencies().dependants(entry.job);
    context_.cluster.remove_job(entry.job, context_.now);
    for (auto dependant : dependants) {
        context_.scheduling_needed = true;
        auto& job = *context_.cluster.jobs[dependant];
        if (!job.waits && !job.cancelled) spdlog::debug("job: {} ready", job.spec.id);
    }
    jobs_.check_cancelled(dependencies);
    spdlog::debug("job: {} {}", id, entry.ended.state == JobState::Done ? "done" : "cancelled");
}

// Only a job that has ended already may stand in the way, or one that a standby controller has
// accepted, or cancelled, meanwhile.
void StateLogWriter::conflicted(TransactionFinished& transaction) {
    auto& failed = transaction.result.failed;
    std::vector<RetriedJob> retried;
    for (auto& entry : transaction.batch.entries) {
        if (entry.kind == EntryKind::Forget && std::erase(failed, entry.key) > 0) {
            // Changed by a standby controller, or gone: what it is now comes with the watch.
            adoption_.deletion_finished(entry);
            entry.key.clear();
        }
        if (entry.kind == EntryKind::NewJob && submission_conflicted(entry, failed)) {
            auto& id = context_.cluster.jobs[entry.job]->spec.id;
            retried.push_back({entry.job, adoption_.adopted_version(id)});
        }
    }
    if (!failed.empty()) {
        spdlog::error("leader: records differ from the tables at {}: starting over",
                      failed.front());
        context_.term->ended = true;
        return;
    }
    reject(transaction.batch, retried);
}

bool StateLogWriter::submission_conflicted(const StateLogEntry& entry,
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

// Users are answered at once; all the rest is tried again.
void StateLogWriter::not_executed(TransactionFinished& transaction) {
    kv_failed_at_ = context_.now;
    for (auto& entry : transaction.batch.entries) {
        if (entry.kind != EntryKind::NewJob && entry.kind != EntryKind::Cancel) continue;
        std::string id = context_.cluster.jobs[entry.job]->spec.id;
        users_.not_recorded(id);
        if (entry.kind == EntryKind::Cancel) continue;
        admission_.drop(entry.job);
        adoption_.adoption_finished(id, false);
    }
    // Malformed, as it is well-formed: larger than the key-value store takes. The same text would
    // be refused for ever, and with it all that waits to be recorded.
    if (transaction.result.outcome == KvOutcome::Invalid && context_.state_log.shrink())
        spdlog::error("state: a transaction was refused as malformed, the next ones are smaller");
    if (transaction.result.too_fast)
        rate_.too_fast();
    else
        rate_.drain();
    not_before_ = context_.now + uniform(context_.random, kMinRetryPause_s, kMaxRetryPause_s);
    reject(transaction.batch, {});
}

void StateLogWriter::reject(const StateLogBatch& batch, const std::vector<RetriedJob>& retried) {
    mark_ends(batch, false);
    context_.state_log.rejected(batch);
    for (auto& job : retried) context_.state_log.new_job(job.job, job.pending_version);
}

}  // namespace weirmill
