// The leader: records on their way to the state service, one transaction at a time.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/leader.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr double kFlushPause_s = 0.04;  // events gather between two transactions
constexpr double kCall_s = 1.0;

// The condition on the leadership is among those that failed.
bool names_leader(const std::vector<std::string>& failed) {
    return std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end();
}

}  // namespace

void Leader::flush() {
    if (flushing_ || context_.now < flush_not_before_ || !lease_valid(context_.now) ||
        !context_.state_log.waiting())
        return;
    double budget = writes_.available(context_.now);
    // The end of a job takes up to three changes (a final state, the open segment and one more);
    // less than that is left to users alone.
    if (budget < (context_.state_log.urgent() ? 1 : 3)) return;
    auto batch = context_.state_log.next(static_cast<int>(budget));
    if (batch.empty()) return;
    writes_.take(static_cast<double>(batch.txn.changes.size()));
    mark_ends(batch, true);
    flushing_ = true;
    asio::co_spawn(context_.io, commit(shared_from_this(), std::move(batch)), asio::detached);
}

void Leader::mark_ends(const StateLogBatch& batch, bool sent) {
    for (auto& e : batch.entries)
        if (e.kind == EntryKind::Finish) context_.cluster.jobs[e.job]->end_sent = sent;
}

// Whether a transaction without an answer was applied. Its keys say so: nobody else may write them,
// or delete them.
asio::awaitable<Leader::Applied> Leader::was_applied(const CasTransaction& txn) {
    auto write = std::find_if(txn.changes.begin(), txn.changes.end(),
                              [](auto& c) { return !c.value.empty(); });
    bool deletes = write == txn.changes.end();
    auto& change = deletes ? txn.changes.front() : *write;
    auto item = co_await context_.kv.get(change.key, kCall_s);
    if (!item) co_return Applied{item.outcome == KvOutcome::Missing, deletes, 0};
    if (deletes) co_return Applied{true, false, 0};
    uint64_t expected = 0;
    for (auto& c : txn.conditions)
        if (c.key == change.key) expected = c.version;
    bool applied = item.value.version != expected && item.value.value == read::parse(change.value);
    co_return Applied{true, applied, item.value.version};
}

// One transaction at a time, until its outcome is known.
asio::awaitable<void> Leader::commit(std::shared_ptr<Leader> self, StateLogBatch batch) {
    bool unsure = false;
    for (double pause = 0.1; !context_.stopped; pause = std::min(1.0, pause * 1.7)) {
        auto result = co_await context_.kv.txn(batch.txn, kCall_s);
        if (context_.stopped) co_return;
        bool refused_late = unsure && result.outcome == KvOutcome::Invalid;
        bool open = result.outcome == KvOutcome::Unknown ||
                    (unsure && result.outcome == KvOutcome::Refused);
        if (open && !unsure) post(TransactionOutcomeUnknown{});
        unsure = unsure || open;
        if (open || refused_late ||
            (unsure && result.outcome == KvOutcome::Conflict && !names_leader(result.failed))) {
            // The keys are read after each copy without an answer, not only after a refused one:
            // where no copy is answered, the first may have been carried out long ago, and others
            // tell users of it.
            auto applied = co_await was_applied(batch.txn);
            if (context_.stopped) co_return;
            if (!applied.known || (open && !applied.yes)) {
                co_await sleep_s(pause *
                                 std::uniform_real_distribution<double>(0.7, 1.3)(context_.random));
                continue;
            }
            if (applied.yes) {
                result.outcome = KvOutcome::Ok;
                result.value = applied.version;
                result.failed.clear();
            } else if (refused_late) {
                // The limits fell between two copies: this one was not executed, but the earlier
                // one may still be. Taken for not executed, its entries were told again by another
                // transaction, and it would have put older ones behind them. A later leader's token
                // makes it void.
                spdlog::error("state: no answer, then refused as malformed: starting over");
                context_.term->ended = true;
                co_return;
            }
        }
        post(TransactionFinished{std::move(batch), std::move(result)});
        co_return;
    }
    (void)self;
}

// A submission that is not accepted after all.
void Leader::drop_new_job(Index j) {
    auto on = context_.cluster.dependencies().of(j);
    context_.cluster.remove_job(j, context_.now);
    task_lifecycle_.check_cancelled(on);
}

// Users are not kept waiting for an outcome that may take long.
void Leader::handle(TransactionOutcomeUnknown&) {
    kv_failed_at_ = context_.now;
    for (auto& [id, list] : waiters_)
        for (auto& [op, reply] : list) reply.set(undecided());
}

void Leader::handle(TransactionFinished& m) {
    flushing_ = false;
    if (m.result.outcome == KvOutcome::Ok) {
        kv_succeeded_at_ = context_.now;
        // What one transaction could not take of a burst of submissions goes with the next at once.
        bool burst =
            context_.state_log.submissions() >= static_cast<size_t>(context_.settings.txn_ops);
        flush_not_before_ = context_.now + (burst ? 0 : kFlushPause_s);
        context_.metrics.count("transactions_total");
        context_.state_log.committed(m.batch, m.result.value);
        for (auto& e : m.batch.entries) {
            if (e.kind == EntryKind::NewJob) {
                auto& job = *context_.cluster.jobs[e.job];
                answer_waiters(job.spec.id, job_reply(job, PeerOp::Submit, 201));
                adoption_recorded(job.spec.id, true);
                spdlog::debug("job: {} class={} tasks={} accepted, waits for {}", job.spec.id,
                              context_.cluster.names.classes.name(job.spec.job_class),
                              job.spec.tasks, context_.cluster.dependencies().of(e.job).size());
                context_.scheduling_needed = true;
                if (job.cancelled) {
                    task_lifecycle_.check_job(e.job);
                    task_lifecycle_.check_cancelled(context_.cluster.dependencies().of(e.job));
                }
            } else if (e.kind == EntryKind::Cancel) {
                auto& job = *context_.cluster.jobs[e.job];
                // Before its user is told: from then on they are cancelled too.
                for (auto d : context_.cluster.cancel_dependants(e.job))
                    if (context_.cluster.jobs[d]->version != 0)
                        context_.state_log.cancel(d);  // a new one's record says so itself
                spdlog::debug("job: {} cancellation recorded, {} tasks placed", job.spec.id,
                              job.placed);
                answer_waiters(job.spec.id, job_reply(job, PeerOp::Cancel, 200));
                task_lifecycle_.check_job(e.job);
                task_lifecycle_.check_cancelled(context_.cluster.dependencies().of(e.job));
            } else if (e.kind == EntryKind::Finish) {
                auto& job = *context_.cluster.jobs[e.job];
                auto id = job.spec.id;
                remember_final(id, e.ended);
                answer_waiters(id, final_reply(id, e.ended, PeerOp::Cancel));
                auto on = context_.cluster.dependencies().of(e.job);
                auto dependants = context_.cluster.dependencies().dependants(e.job);
                context_.cluster.remove_job(e.job, context_.now);
                for (auto d : dependants) {
                    context_.scheduling_needed = true;
                    if (!context_.cluster.jobs[d]->waits && !context_.cluster.jobs[d]->cancelled)
                        spdlog::debug("job: {} ready", context_.cluster.jobs[d]->spec.id);
                }
                task_lifecycle_.check_cancelled(on);
                spdlog::debug("job: {} {}", id,
                              e.ended.state == JobState::Done ? "done" : "cancelled");
            } else if (e.kind == EntryKind::Forget) {
                forgotten(e);
            }
        }
        heartbeat_handler_.release_held(false);
        return;
    }
    bool deposed = names_leader(m.result.failed);
    if (deposed) {
        spdlog::info("leader: deposed, a transaction found another leader");
        context_.term->ended = true;
        return;
    }
    std::vector<std::pair<Index, uint64_t>> again;  // with the versions of their door records
    if (m.result.outcome == KvOutcome::Conflict) {
        // Only a job that has ended already may stand in the way, or one that a door has accepted,
        // or cancelled, meanwhile.
        auto& failed = m.result.failed;
        auto stands = [&](const std::string& key) { return std::erase(failed, key) > 0; };
        for (auto& e : m.batch.entries) {
            if (e.kind == EntryKind::Forget && stands(e.key)) {
                // Changed by a door, or gone: what it is now comes with the watch.
                forgotten(e);
                e.key.clear();
            }
            if (e.kind != EntryKind::NewJob) continue;
            auto id = context_.cluster.jobs[e.job]->spec.id;
            bool ended = stands(final_key(id)), is_pending = stands(pending_key(id));
            if (!ended && !is_pending) {
                again.emplace_back(e.job, pending_version(id));
                continue;
            }
            auto waiting = std::move(waiters_[id]);
            waiters_.erase(id);
            drop_new_job(e.job);
            ended ? forget(id) : adoption_recorded(id, false);
            for (auto& [op, reply] : waiting)
                asio::co_spawn(
                    context_.io,
                    read_final(shared_from_this(), PeerCall{op, id, ""}, reply, kNotFound),
                    asio::detached);
        }
        if (!failed.empty()) {
            spdlog::error("leader: records differ from the tables at {}: starting over",
                          failed.front());
            context_.term->ended = true;
            return;
        }
    } else {
        // Not executed. Users are told at once; all the rest is tried again.
        kv_failed_at_ = context_.now;
        for (auto& e : m.batch.entries) {
            if (e.kind == EntryKind::NewJob) {
                auto id = context_.cluster.jobs[e.job]->spec.id;
                answer_waiters(id, come_back());
                drop_new_job(e.job);
                adoption_recorded(id, false);
            } else if (e.kind == EntryKind::Cancel) {
                answer_waiters(context_.cluster.jobs[e.job]->spec.id, come_back());
            }
        }
        // Malformed, as it is well-formed: larger than the state service takes. The same text would
        // be refused for ever, and with it all that waits to be recorded.
        if (m.result.outcome == KvOutcome::Invalid && context_.state_log.shrink())
            spdlog::error(
                "state: a transaction was refused as malformed, the next ones are smaller");
        m.result.too_fast ? writes_.too_fast() : writes_.drain();
        flush_not_before_ =
            context_.now + std::uniform_real_distribution<double>(0.2, 0.5)(context_.random);
    }
    mark_ends(m.batch, false);
    context_.state_log.rejected(m.batch);
    for (auto& [j, standby] : again) context_.state_log.new_job(j, standby);
}

}  // namespace weirmill
