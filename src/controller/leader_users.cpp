// The leader: what users ask for, and the final states of jobs.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/leader.h"
#include "protocol/user_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxFinals = 20000;  // final states kept in memory; the rest are read through
// Final states read for one submission: a few at once, then at a share of the rate, for so long.
constexpr size_t kReadAtOnce = 8;
constexpr double kReadShare = 0.25;
constexpr double kReadDependencies_s = 1.2;

}  // namespace

const PeerReply Leader::kNotFound{404, "{}"};
const PeerReply Leader::kNeverRuns{422, R"({"error":"can never run"})"};
const PeerReply Leader::kTooLong{400, R"({"error":"the job's description is too long"})"};

void Leader::handle(RequestReceived& m) {
    --asked_;
    asked_bytes_ -= m.bytes;
    switch (m.call.op) {
        case PeerOp::Submit:
            return submit(m.call, m.reply);
        case PeerOp::Status:
            return status(m.call, m.reply);
        case PeerOp::Cancel:
            return cancel(m.call, m.reply);
        case PeerOp::Heartbeat:
            return heartbeat_handler_.heartbeat(m.call, m.reply);
        case PeerOp::Ping:
        case PeerOp::Command:
            break;  // answered by the node itself
    }
    m.reply.set({400, "{}"});
}

// Nothing is told before it is recorded, and nothing older than what may be recorded: another
// controller's door reads the records. One that told an end from a transaction that this leader had
// no answer for was once followed by "running" from here.
bool Leader::may_tell(const Job& job) const {
    return job.version != 0 && context_.cluster.state_confirmed(context_.cluster.job_index.at(job.spec.id));
}

// The last word from the state service was a failure: neither a transaction nor a renewal has
// worked since.
bool Leader::kv_unavailable() const {
    return kv_failed_at_ > std::max(kv_succeeded_at_, context_.term->lease_valid_until -
                                                          context_.properties.election_lease_s);
}

JobState Leader::job_state(const Job& job) const {
    if (job.cancelled) return JobState::Cancelled;
    return job.running > 0 ? JobState::Running : JobState::Queued;
}

PeerReply Leader::job_reply(const Job& job, PeerOp op, int status) const {
    auto state = job_state(job);
    if (op == PeerOp::Status)
        return {status, job_status(job.spec.id, state, job.done, job.running)};
    return {status, job_answer(job.spec.id, state)};
}

PeerReply Leader::final_reply(const std::string& id, const FinalState& f, PeerOp op) const {
    if (op == PeerOp::Status) return {200, job_status(id, f.state, f.done, 0)};
    return {200, job_answer(id, f.state)};
}

void Leader::remember_final(const std::string& id, FinalState f) {
    if (finals_.emplace(id, f).second) finals_order_.push_back(id);
    if (finals_order_.size() > kMaxFinals) {
        finals_.erase(finals_order_.front());
        finals_order_.pop_front();
    }
}

void Leader::answer_waiters(const std::string& id, const PeerReply& reply) {
    auto it = waiters_.find(id);
    if (it == waiters_.end()) return;
    for (auto& [op, waiting] : it->second) waiting.set(reply);
    waiters_.erase(it);
}

void Leader::submit(PeerCall& call, ReplyPromise& reply) {
    if (!lease_valid(context_.now)) return reply.set(undecided());
    JobSpec spec;
    std::optional<PeerReply> malformed;
    try {
        spec = parse_submission(call.body, context_.cluster.names);
    } catch (const BadMessage& e) {
        malformed =
            PeerReply{400, boost::json::serialize(boost::json::object{{"error", e.what()}})};
        // What was accepted under that id is not refused for good, whatever its repetition holds.
        spec.id = submission_id(call.body);
        if (spec.id.empty()) return reply.set(std::move(*malformed));
    }
    // Accepted by a door: from its record, never anew.
    if (pending_.count(spec.id)) adopt_pending();
    if (auto* job = context_.cluster.find_job(spec.id)) {
        if (may_tell(*job)) return reply.set(job_reply(*job, PeerOp::Submit, 200));
        if (job->version != 0 || kv_unavailable()) return reply.set(undecided());
        waiters_[spec.id].emplace_back(PeerOp::Submit, reply);
        return;
    }
    if (auto it = finals_.find(spec.id); it != finals_.end())
        return reply.set(final_reply(spec.id, it->second, PeerOp::Submit));
    if (pending_.count(spec.id)) return refuse_for_good(call, reply, spec.id, come_back());
    if (malformed) return refuse_for_good(call, reply, spec.id, std::move(*malformed));
    if (!context_.cluster.types_known) return reply.set(come_back(2));
    if (context_.cluster.never_runs(spec)) return refuse_for_good(call, reply, spec.id);
    // The service can't record it now: told at once. Another controller's door may reach the state
    // service.
    if (kv_unavailable()) return reply.set(undecided());
    if (context_.state_log.submissions() > 4 * context_.settings.state_write_rps)
        return reply.set(come_back());
    if (context_.cluster.task_count + spec.tasks > context_.cluster.max_tasks)
        return reply.set(come_back(10));
    auto depends = dependence(call, reply, spec);
    if (!depends) return;
    std::string id = spec.id;
    auto index = add_new_job(std::move(spec), *depends, wall_now());
    if (!context_.state_log.can_hold(index)) {
        // A version that recorded longer ones may have accepted it.
        context_.cluster.remove_job(index, context_.now);
        return refuse_for_good(call, reply, id, kTooLong);
    }
    waiters_[id].emplace_back(PeerOp::Submit, reply);
    context_.state_log.new_job(index);
}

// Into the tables; its record is still to be told. `submitted`: by the time of day.
Index Leader::add_new_job(JobSpec spec, const Dependence& depends, double submitted) {
    if (depends.on.empty() || depends.cancelled) spec.dependencies.clear();
    auto index = context_.cluster.add_job(std::move(spec), submitted, context_.now);
    auto& job = *context_.cluster.jobs[index];
    job.seen_at = context_.now - std::max(0.0, wall_now() - submitted);
    if (depends.cancelled)
        job.cancelled = job.cancel_recorded = true;  // in its own record
    else if (job.waits)
        context_.cluster.set_dependencies(index, depends.on, context_.now);
    return index;
}

Leader::Dependence Leader::resolve(const JobSpec& spec) const {
    Dependence out;
    for (auto& id : spec.dependencies) {
        out.never = out.never || id == spec.id || !valid_job_id(id);
        if (auto it = context_.cluster.job_index.find(id); it != context_.cluster.job_index.end()) {
            auto& job = *context_.cluster.jobs[it->second];
            out.unsure = out.unsure || job.version == 0;
            // Where its cancellation is not recorded yet, the job follows it once it is.
            if (job.cancel_recorded)
                out.cancelled = true;
            else
                out.on.push_back(it->second);
        } else if (auto f = finals_.find(id); f != finals_.end()) {
            out.cancelled = out.cancelled || f->second.state == JobState::Cancelled;
        } else if (is_pending(id)) {
            out.unsure = true;  // accepted by a door, and soon collected
        } else {
            out.unread.push_back(id);
        }
    }
    return out;
}

std::optional<Leader::Dependence> Leader::dependence(PeerCall& call, ReplyPromise& reply,
                                                     const JobSpec& spec) {
    auto out = resolve(spec);
    if (out.never) {
        refuse_for_good(call, reply, spec.id);
    } else if (out.unsure) {
        reply.set(come_back());
    } else if (!out.unread.empty()) {
        call.subject = spec.id;
        asio::co_spawn(context_.io,
                       read_dependencies(shared_from_this(), std::move(call), reply,
                                         std::move(out.unread), false),
                       asio::detached);
    } else {
        return out;
    }
    return {};
}

// The job may have been accepted when more was on offer, and have ended: then its final state is
// the answer.
void Leader::refuse_for_good(PeerCall& call, ReplyPromise& reply, const std::string& id,
                             PeerReply refusal) {
    call.subject = id;
    asio::co_spawn(context_.io,
                   read_final(shared_from_this(), std::move(call), reply, std::move(refusal)),
                   asio::detached);
}

// One after the other: a long list must not take the rate that renewals of the lease need. What was
// read is remembered, so that a list too long for one call gets further with each repetition.
asio::awaitable<void> Leader::read_dependencies(std::shared_ptr<Leader> self, PeerCall call,
                                                ReplyPromise reply, std::vector<std::string> ids,
                                                bool adopts) {
    DependenciesRead read{std::move(call), reply, {}, {}, true, adopts};
    double until = steady_now() + kReadDependencies_s;
    double pause = 1 / (kReadShare * context_.settings.state_rps);
    for (auto& id : ids) {
        if (read.ended.size() >= kReadAtOnce) co_await sleep_s(pause);
        if (context_.stopped || steady_now() > until) read.all = false;
        if (!read.all) break;
        auto result = co_await read_ended(id, 0.6);
        if (result.outcome == KvOutcome::Missing) {
            read.missing = id;
            break;
        }
        read.all = static_cast<bool>(result);
        if (!read.all) break;
        auto f = final_state(result.value);
        read.all = f.has_value();
        if (f) read.ended.emplace_back(id, *f);
    }
    self->post(std::move(read));
}

void Leader::handle(DependenciesRead& m) {
    for (auto& [id, f] : m.ended) remember_final(id, f);
    if (m.adopts) return resume_adoption(m);
    if (!lease_valid(context_.now)) return m.reply.set(come_back());
    if (!m.missing.empty()) {
        // What was read is as old as the read: the job may have come, or ended, meanwhile.
        if (context_.cluster.find_job(m.missing) || finals_.count(m.missing))
            return m.reply.set(come_back());
        return refuse_for_good(m.call, m.reply, m.call.subject);
    }
    if (!m.all) return m.reply.set(come_back());
    submit(m.call, m.reply);
}

void Leader::status(PeerCall& call, ReplyPromise& reply) {
    if (!valid_job_id(call.subject)) return reply.set({404, "{}"});
    if (!lease_valid(context_.now)) return reply.set(undecided());
    if (auto* job = context_.cluster.find_job(call.subject)) {
        // What is on its way to be recorded may be told by a door, which reads the records: polls
        // of a job whose cancellation was asked for, in a minute without answers to transactions,
        // once all failed here.
        return reply.set(may_tell(*job) ? job_reply(*job, PeerOp::Status, 200) : undecided());
    }
    if (auto it = finals_.find(call.subject); it != finals_.end())
        return reply.set(final_reply(call.subject, it->second, PeerOp::Status));
    if (is_pending(call.subject)) return reply.set(come_back());  // soon collected
    asio::co_spawn(context_.io, read_final(shared_from_this(), std::move(call), reply, kNotFound),
                   asio::detached);
}

void Leader::cancel(PeerCall& call, ReplyPromise& reply) {
    if (!valid_job_id(call.subject)) return reply.set({404, "{}"});
    if (!lease_valid(context_.now)) return reply.set(undecided());
    auto it = context_.cluster.job_index.find(call.subject);
    if (it == context_.cluster.job_index.end()) {
        if (auto f = finals_.find(call.subject); f != finals_.end())
            return reply.set(final_reply(call.subject, f->second, PeerOp::Cancel));
        if (is_pending(call.subject)) return reply.set(come_back());
        asio::co_spawn(context_.io,
                       read_final(shared_from_this(), std::move(call), reply, kNotFound),
                       asio::detached);
        return;
    }
    auto& job = *context_.cluster.jobs[it->second];
    if (job.cancel_recorded) return reply.set(job_reply(job, PeerOp::Cancel, 200));
    if (job.version == 0 || kv_unavailable()) return reply.set(come_back());
    // Answered once the cancellation, or the end that came before it, is recorded.
    waiters_[call.subject].emplace_back(PeerOp::Cancel, reply);
    if (job.cancelled || job.ending) return;
    ask_cancel(it->second);
}

// From here on its tasks are of use to nobody, so they are stopped before the cancellation is
// recorded. Its record may stand, and another controller's door tell of it, long before this leader
// has an answer for it: tasks that waited for the answer once ran on for as long as transactions
// went unanswered.
void Leader::ask_cancel(Index j) {
    context_.cluster.jobs[j]->cancelled = true;
    context_.state_log.cancel(j);
    task_lifecycle_.check_job(j);
}

// Nothing: it makes no sense, and is as good as not read.
std::optional<FinalState> Leader::final_state(const KvItem& item) const {
    try {
        return parse_final(item.value);
    } catch (const BadMessage& e) {
        spdlog::error("leader: malformed record {}: {}", item.key, e.what());
        return {};
    }
}

// The final state of a job that is not in the tables. A door's record is read first, as jobs move
// from there to the log and on: while it stands, a missing final state says nothing.
asio::awaitable<KvResult<KvItem>> Leader::read_ended(std::string id, double timeout_s) {
    auto standby = co_await context_.kv.get(pending_key(id), timeout_s);
    KvResult<KvItem> result;
    if (standby.outcome != KvOutcome::Missing && !standby) co_return result;
    result = co_await context_.kv.get(final_key(id), timeout_s);
    if (standby && result.outcome == KvOutcome::Missing) result.outcome = KvOutcome::Unknown;
    co_return result;
}

asio::awaitable<void> Leader::read_final(std::shared_ptr<Leader> self, PeerCall call,
                                         ReplyPromise reply, PeerReply refusal) {
    std::string id = call.subject;
    auto result = co_await read_ended(id, 0.8);
    self->post(FinalStateRead{std::move(call), reply, std::move(result), std::move(refusal)});
}

void Leader::handle(FinalStateRead& m) {
    auto& id = m.call.subject;
    if (!lease_valid(context_.now)) return m.reply.set(come_back());
    if (m.result) {
        auto f = final_state(m.result.value);
        if (!f) return m.reply.set(come_back());
        remember_final(id, *f);
        return m.reply.set(final_reply(id, *f, m.call.op));
    }
    // What was read is as old as the read: the job may have come, or ended, meanwhile.
    bool here = context_.cluster.find_job(id) || finals_.count(id);
    if (m.result.outcome == KvOutcome::Missing && !here) return m.reply.set(std::move(m.refusal));
    m.reply.set(come_back());
}

}  // namespace weirmill
