// The leader: what users ask for, and the final states of jobs.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "coordination/leader.h"
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

void Leader::handle(Asked& m) {
    switch (m.call.op) {
        case PeerOp::Submit:
            return submit(m.call, m.reply);
        case PeerOp::Status:
            return status(m.call, m.reply);
        case PeerOp::Cancel:
            return cancel(m.call, m.reply);
        case PeerOp::Report:
            return report(m.call, m.reply);
        case PeerOp::Ping:
            break;  // answered by the node itself
    }
    m.reply.set({400, "{}"});
}

// Nothing is told before it is recorded.
bool Leader::may_tell(const Job& job) const {
    return job.version != 0 && job.cancelled == job.cancel_recorded;
}

// The last word from the state service was a failure: neither a transaction nor a renewal has worked since.
bool Leader::state_down() const {
    return state_failed_at_ > std::max(state_worked_at_, tenure_->sure_until - properties_.election_lease_s);
}

JobState Leader::job_state(const Job& job) const {
    if (job.cancelled) return JobState::Cancelled;
    return job.running > 0 ? JobState::Running : JobState::Queued;
}

PeerReply Leader::job_reply(const Job& job, PeerOp op, int status) const {
    auto state = job_state(job);
    if (op == PeerOp::Status) return {status, job_status(job.spec.id, state, job.done, job.running)};
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

void Leader::submit(PeerCall& call, Reply& reply) {
    if (!sure(now_)) return reply.set(come_back());
    JobSpec spec;
    try {
        spec = parse_submission(call.body, tables_.names);
    } catch (const BadMessage& e) {
        return reply.set({400, boost::json::serialize(boost::json::object{{"error", e.what()}})});
    }
    if (auto* job = tables_.find_job(spec.id)) {
        if (may_tell(*job)) return reply.set(job_reply(*job, PeerOp::Submit, 200));
        if (job->version != 0 || state_down()) return reply.set(come_back());
        waiters_[spec.id].emplace_back(PeerOp::Submit, reply);
        return;
    }
    if (auto it = finals_.find(spec.id); it != finals_.end())
        return reply.set(final_reply(spec.id, it->second, PeerOp::Submit));
    if (!tables_.types_known) return reply.set(come_back(2));
    const char* never = nullptr;
    if (spec.team == kNone) {
        never = "unknown team";
    } else {
        bool fits = false, zone_ok = spec.zone == kNone;
        for (Index t = 0; t < tables_.types.size(); ++t) {
            if (!tables_.type_fits(spec, t)) continue;
            fits = true;
            for (auto& z : tables_.types[t].type.zones)
                if (tables_.names.zones.find(z) == spec.zone) zone_ok = true;
        }
        auto all = spec.kind == JobKind::Array ? spec.need : spec.need * spec.tasks;
        auto& limit = tables_.teams[spec.team].limit;
        if (!fits || !zone_ok)
            never = "a task fits no allowed machine type";
        else if ((limit.cpu && all.cpu > limit.cpu) || (limit.gpu && all.gpu > limit.gpu))
            never = "more than the team's limit";
    }
    if (never) {
        return refuse_for_good(call, reply, spec.id);
    }
    // The service can't record it now: told at once.
    if (state_down() || ledger_.submissions() > 4 * settings_.state_write_rps) return reply.set(come_back());
    if (tables_.task_count + spec.tasks > tables_.max_tasks) return reply.set(come_back(10));
    auto depends = dependence(call, reply, spec);
    if (!depends) return;
    std::string id = spec.id;
    if (depends->on.empty() || depends->cancelled) spec.dependencies.clear();
    auto index = tables_.add_job(std::move(spec), wall_now(), now_);
    auto& job = *tables_.jobs[index];
    if (depends->cancelled)
        job.cancelled = job.cancel_recorded = true;  // in its own record
    else if (job.waits)
        tables_.set_dependencies(index, depends->on, now_);
    if (!ledger_.can_hold(index)) {
        // A version that recorded longer ones may have accepted it.
        tables_.remove_job(index, now_);
        return refuse_for_good(call, reply, id, kTooLong);
    }
    waiters_[id].emplace_back(PeerOp::Submit, reply);
    ledger_.new_job(index);
}

std::optional<Leader::Dependence> Leader::dependence(PeerCall& call, Reply& reply, const JobSpec& spec) {
    Dependence out;
    std::vector<std::string> unread;
    for (auto& id : spec.dependencies) {
        // A name that no job can have was never accepted.
        if (id == spec.id || !valid_job_id(id)) {
            refuse_for_good(call, reply, spec.id);
            return {};
        }
        if (auto it = tables_.job_index.find(id); it != tables_.job_index.end()) {
            auto& job = *tables_.jobs[it->second];
            if (job.version == 0) {  // whether it will be accepted is not known yet
                reply.set(come_back());
                return {};
            }
            // Where its cancellation is not recorded yet, the job follows it once it is.
            if (job.cancel_recorded)
                out.cancelled = true;
            else
                out.on.push_back(it->second);
        } else if (auto f = finals_.find(id); f != finals_.end()) {
            out.cancelled = out.cancelled || f->second.state == JobState::Cancelled;
        } else {
            unread.push_back(id);
        }
    }
    if (unread.empty()) return out;
    call.subject = spec.id;
    asio::co_spawn(io_, read_dependencies(shared_from_this(), std::move(call), reply, std::move(unread)),
                   asio::detached);
    return {};
}

// The job may have been accepted when more was on offer, and have ended: then its final state is the answer.
void Leader::refuse_for_good(PeerCall& call, Reply& reply, const std::string& id, PeerReply refusal) {
    call.subject = id;
    asio::co_spawn(io_, read_final(shared_from_this(), std::move(call), reply, std::move(refusal)),
                   asio::detached);
}

// One after the other: a long list must not take the rate that renewals of the lease need. What was read is
// remembered, so that a list too long for one call gets further with each repetition.
asio::awaitable<void> Leader::read_dependencies(std::shared_ptr<Leader> self, PeerCall call, Reply reply,
                                                std::vector<std::string> ids) {
    DependenciesRead read{std::move(call), reply, {}, {}, true};
    double until = steady_now() + kReadDependencies_s;
    double pause = 1 / (kReadShare * settings_.state_rps);
    for (auto& id : ids) {
        if (read.ended.size() >= kReadAtOnce) co_await sleep_s(pause);
        if (stopped_ || steady_now() > until) read.all = false;
        if (!read.all) break;
        auto result = co_await state_.get(final_key(id), 0.6);
        if (result.outcome == StateOutcome::Missing) {
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
    if (!sure(now_)) return m.reply.set(come_back());
    if (!m.missing.empty()) {
        // What was read is as old as the read: the job may have come, or ended, meanwhile.
        if (tables_.find_job(m.missing) || finals_.count(m.missing)) return m.reply.set(come_back());
        return refuse_for_good(m.call, m.reply, m.call.subject);
    }
    if (!m.all) return m.reply.set(come_back());
    submit(m.call, m.reply);
}

void Leader::status(PeerCall& call, Reply& reply) {
    if (!valid_job_id(call.subject)) return reply.set({404, "{}"});
    if (!sure(now_)) return reply.set(come_back());
    if (auto* job = tables_.find_job(call.subject)) {
        return reply.set(may_tell(*job) ? job_reply(*job, PeerOp::Status, 200) : come_back());
    }
    if (auto it = finals_.find(call.subject); it != finals_.end())
        return reply.set(final_reply(call.subject, it->second, PeerOp::Status));
    asio::co_spawn(io_, read_final(shared_from_this(), std::move(call), reply, kNotFound), asio::detached);
}

void Leader::cancel(PeerCall& call, Reply& reply) {
    if (!valid_job_id(call.subject)) return reply.set({404, "{}"});
    if (!sure(now_)) return reply.set(come_back());
    auto it = tables_.job_index.find(call.subject);
    if (it == tables_.job_index.end()) {
        if (auto f = finals_.find(call.subject); f != finals_.end())
            return reply.set(final_reply(call.subject, f->second, PeerOp::Cancel));
        asio::co_spawn(io_, read_final(shared_from_this(), std::move(call), reply, kNotFound),
                       asio::detached);
        return;
    }
    auto& job = *tables_.jobs[it->second];
    if (job.cancel_recorded) return reply.set(job_reply(job, PeerOp::Cancel, 200));
    if (job.version == 0 || state_down()) return reply.set(come_back());
    // Answered once the cancellation, or the end that came before it, is recorded.
    waiters_[call.subject].emplace_back(PeerOp::Cancel, reply);
    if (job.cancelled || job.ending) return;
    job.cancelled = true;
    ledger_.cancel(it->second);
}

// Nothing: it makes no sense, and is as good as not read.
std::optional<FinalState> Leader::final_state(const StateItem& item) const {
    try {
        return parse_final(item.value);
    } catch (const BadMessage& e) {
        spdlog::error("leader: malformed record {}: {}", item.key, e.what());
        return {};
    }
}

asio::awaitable<void> Leader::read_final(std::shared_ptr<Leader> self, PeerCall call, Reply reply,
                                         PeerReply refusal) {
    auto result = co_await state_.get(final_key(call.subject), 1.2);
    self->post(FinalRead{std::move(call), reply, std::move(result), std::move(refusal)});
}

void Leader::handle(FinalRead& m) {
    auto& id = m.call.subject;
    if (!sure(now_)) return m.reply.set(come_back());
    if (m.result) {
        auto f = final_state(m.result.value);
        if (!f) return m.reply.set(come_back());
        remember_final(id, *f);
        return m.reply.set(final_reply(id, *f, m.call.op));
    }
    // What was read is as old as the read: the job may have come, or ended, meanwhile.
    bool here = tables_.find_job(id) || finals_.count(id);
    if (m.result.outcome == StateOutcome::Missing && !here) return m.reply.set(std::move(m.refusal));
    m.reply.set(come_back());
}

}  // namespace weirmill
