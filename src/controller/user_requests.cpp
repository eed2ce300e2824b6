#include "controller/user_requests.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "controller/leader_replies.h"
#include "protocol/user_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

const PeerReply kNotFound{404, "{}"};
const PeerReply kCannotRun{422, R"({"error":"can never run"})"};
const PeerReply kDescriptionTooLong{400, R"({"error":"the job's description is too long"})"};

constexpr double kReadTimeout_s = 0.8;
// Maximum queue of submissions that wait to be recorded, in seconds at one write per submission.
constexpr double kMaxBacklog_s = 4;
constexpr int kTypesUnknownRetry_s = 2;
constexpr int kTooManyTasksRetry_s = 10;

JobState job_state(const Job& job) {
    if (job.cancelled) return JobState::Cancelled;
    return job.running > 0 ? JobState::Running : JobState::Queued;
}

PeerReply job_reply(const Job& job, PeerOp op, int status) {
    auto state = job_state(job);
    if (op == PeerOp::Status)
        return {status, job_status_json(job.spec.id, state, job.done, job.running)};
    return {status, job_state_json(job.spec.id, state)};
}

PeerReply final_reply(const std::string& id, const FinalState& ended, PeerOp op) {
    if (op == PeerOp::Status) return {200, job_status_json(id, ended.state, ended.done_tasks, 0)};
    return {200, job_state_json(id, ended.state)};
}

}  // namespace

UserRequests::UserRequests(LeaderContext& context, FinalStateCache& final_states,
                           JobAdmission& admission, PendingAdoption& adoption,
                           std::function<bool()> kv_unavailable)
    : context_(context),
      final_states_(final_states),
      admission_(admission),
      adoption_(adoption),
      kv_unavailable_(std::move(kv_unavailable)) {}

// Submissions.

void UserRequests::submit(PeerCall& call, ReplyPromise& reply) {
    if (!context_.lease_valid()) return reply.set(leadership_unconfirmed(context_));
    auto [spec, malformed] = parse(call);
    if (malformed && spec.id.empty()) return reply.set(std::move(*malformed));
    if (answer_duplicate(spec.id, call, reply)) return;
    if (malformed) return refuse_unless_ended(call, reply, spec.id, std::move(*malformed));
    if (!context_.cluster.types_known)
        return reply.set(retry_later(context_, kTypesUnknownRetry_s));
    if (context_.cluster.unschedulable_reason(spec))
        return refuse_unless_ended(call, reply, spec.id, kCannotRun);
    if (refuse_overload(spec, reply)) return;
    auto dependencies = resolve(spec, call, reply);
    if (dependencies) accept(std::move(spec), *dependencies, call, reply);
}

UserRequests::Submission UserRequests::parse(const PeerCall& call) const {
    Submission out;
    try {
        out.spec = parse_submission(call.body, context_.cluster.names);
    } catch (const BadMessage& e) {
        out.malformed =
            PeerReply{400, boost::json::serialize(boost::json::object{{"error", e.what()}})};
        // If a job was accepted under this id, a malformed repetition gets the answer of that job.
        out.spec.id = parse_submission_id(call.body);
    }
    return out;
}

bool UserRequests::answer_duplicate(const std::string& id, PeerCall& call, ReplyPromise& reply) {
    // A job that a standby controller accepted is created from its pending record only.
    if (adoption_.has_record(id)) adoption_.adopt_due();
    if (auto* job = context_.cluster.find_job(id)) {
        if (has_confirmed_state(*job))
            reply.set(job_reply(*job, PeerOp::Submit, 200));
        else if (job->record_revision != 0 || kv_unavailable_())
            reply.set(leadership_unconfirmed(context_));
        else
            waiters_[id].push_back({PeerOp::Submit, reply});
        return true;
    }
    if (auto* ended = final_states_.find(id)) {
        reply.set(final_reply(id, *ended, PeerOp::Submit));
        return true;
    }
    if (!adoption_.has_record(id)) return false;
    refuse_unless_ended(call, reply, id, retry_later(context_));
    return true;
}

bool UserRequests::refuse_overload(const JobSpec& spec, ReplyPromise& reply) const {
    // If the key-value store can't record the job now, the user is answered at once, because a
    // standby controller may reach the store.
    if (kv_unavailable_()) {
        reply.set(leadership_unconfirmed(context_));
        return true;
    }
    if (static_cast<double>(context_.state_log.queued_new_jobs()) >
        kMaxBacklog_s * context_.settings.state_write_rps) {
        reply.set(retry_later(context_));
        return true;
    }
    if (context_.cluster.task_count + spec.tasks > context_.cluster.max_tasks) {
        reply.set(retry_later(context_, kTooManyTasksRetry_s));
        return true;
    }
    return false;
}

std::optional<DependencyResolution> UserRequests::resolve(const JobSpec& spec, PeerCall& call,
                                                          ReplyPromise& reply) {
    auto out = admission_.resolve(spec);
    if (out.invalid) {
        refuse_unless_ended(call, reply, spec.id, kCannotRun);
        return {};
    }
    if (out.has_unrecorded) {
        reply.set(retry_later(context_));
        return {};
    }
    if (!out.unread.empty()) {
        call.subject = spec.id;
        admission_.read_dependencies(std::move(call), reply, std::move(out.unread), false);
        return {};
    }
    return out;
}

void UserRequests::accept(JobSpec spec, const DependencyResolution& dependencies, PeerCall& call,
                          ReplyPromise& reply) {
    std::string id = spec.id;
    auto index = admission_.add(std::move(spec), dependencies, wall_now());
    if (!context_.state_log.can_record(index)) {
        // An earlier version that recorded longer descriptions may have accepted the job.
        context_.cluster.remove_job(index, context_.now);
        return refuse_unless_ended(call, reply, id, kDescriptionTooLong);
    }
    waiters_[id].push_back({PeerOp::Submit, reply});
    context_.state_log.queue_new_job(index);
}

void UserRequests::dependencies_read(DependenciesRead& read) {
    if (!context_.lease_valid()) return read.reply.set(retry_later(context_));
    if (!read.never_accepted_id.empty()) {
        // The read may be outdated: the dependency may have been added or may have ended meanwhile.
        if (context_.cluster.find_job(read.never_accepted_id) ||
            final_states_.contains(read.never_accepted_id))
            return read.reply.set(retry_later(context_));
        std::string id = read.call.subject;
        return refuse_unless_ended(read.call, read.reply, id, kCannotRun);
    }
    if (!read.complete) return read.reply.set(retry_later(context_));
    submit(read.call, read.reply);
}

void UserRequests::refuse_unless_ended(PeerCall& call, ReplyPromise& reply, const std::string& id,
                                       PeerReply refusal) {
    call.subject = id;
    start_read(std::move(call), reply, std::move(refusal));
}

// Status and cancellation.

// The leader reports a job's state only if it is recorded and no transaction that changes it is in
// flight, because standby controllers answer from the records. Otherwise a standby controller could
// report an end from a transaction whose answer the leader has not received, and the leader could
// report the job as running after that.
bool UserRequests::has_confirmed_state(const Job& job) const {
    return job.record_revision != 0 &&
           context_.cluster.state_confirmed(context_.cluster.job_index.at(job.spec.id));
}

void UserRequests::status(PeerCall& call, ReplyPromise& reply) {
    if (!valid_job_id(call.subject)) return reply.set(kNotFound);
    if (!context_.lease_valid()) return reply.set(leadership_unconfirmed(context_));
    if (auto* job = context_.cluster.find_job(call.subject)) {
        // A standby controller reads the records and may answer while a transaction is in flight.
        // Without that, all status queries of a job with a pending cancellation fail for as long as
        // transactions are not answered.
        return reply.set(has_confirmed_state(*job) ? job_reply(*job, PeerOp::Status, 200)
                                                   : leadership_unconfirmed(context_));
    }
    if (auto* ended = final_states_.find(call.subject))
        return reply.set(final_reply(call.subject, *ended, PeerOp::Status));
    if (adoption_.is_pending(call.subject))
        return reply.set(retry_later(context_));  // the record is about to be adopted
    start_read(std::move(call), reply, kNotFound);
}

void UserRequests::cancel(PeerCall& call, ReplyPromise& reply) {
    if (!valid_job_id(call.subject)) return reply.set(kNotFound);
    if (!context_.lease_valid()) return reply.set(leadership_unconfirmed(context_));
    auto it = context_.cluster.job_index.find(call.subject);
    if (it == context_.cluster.job_index.end()) {
        if (auto* ended = final_states_.find(call.subject))
            return reply.set(final_reply(call.subject, *ended, PeerOp::Cancel));
        if (adoption_.is_pending(call.subject)) return reply.set(retry_later(context_));
        return start_read(std::move(call), reply, kNotFound);
    }
    auto& job = *context_.cluster.jobs[it->second];
    if (job.cancel_durable) return reply.set(job_reply(job, PeerOp::Cancel, 200));
    if (job.record_revision == 0 || kv_unavailable_()) return reply.set(retry_later(context_));
    // The user is answered once the cancellation, or an end that precedes it, is recorded.
    waiters_[call.subject].push_back({PeerOp::Cancel, reply});
    if (job.cancelled || job.ending) return;
    admission_.request_cancellation(it->second);
}

// Final states.

void UserRequests::start_read(PeerCall call, const ReplyPromise& reply, PeerReply refusal) {
    asio::co_spawn(
        context_.io,
        read_final_state(context_.keep_alive(), std::move(call), reply, std::move(refusal)),
        asio::detached);
}

asio::awaitable<void> UserRequests::read_final_state(std::shared_ptr<void> keep_alive,
                                                     PeerCall call, ReplyPromise reply,
                                                     PeerReply refusal) {
    (void)keep_alive;
    auto result = co_await final_states_.read(call.subject, kReadTimeout_s);
    context_.post(FinalStateRead{std::move(call), reply, std::move(result), std::move(refusal)});
}

void UserRequests::final_state_read(FinalStateRead& read) {
    auto& id = read.call.subject;
    if (!context_.lease_valid()) return read.reply.set(retry_later(context_));
    if (read.result) {
        auto ended = decode_final_state(read.result.value);
        if (!ended) return read.reply.set(retry_later(context_));
        final_states_.insert(id, *ended);
        return read.reply.set(final_reply(id, *ended, read.call.op));
    }
    // The read may be outdated: the job may have been added or may have ended meanwhile.
    bool is_known = context_.cluster.find_job(id) || final_states_.contains(id);
    if (read.result.outcome == KvOutcome::Missing && !is_known)
        return read.reply.set(std::move(read.reply_if_absent));
    read.reply.set(retry_later(context_));
}

// Outcomes of transactions.

void UserRequests::answer_waiters(const std::string& id, const PeerReply& reply) {
    auto it = waiters_.find(id);
    if (it == waiters_.end()) return;
    for (auto& waiter : it->second) waiter.reply.set(reply);
    waiters_.erase(it);
}

void UserRequests::submission_recorded(const Job& job) {
    answer_waiters(job.spec.id, job_reply(job, PeerOp::Submit, 201));
}

void UserRequests::cancellation_recorded(const Job& job) {
    answer_waiters(job.spec.id, job_reply(job, PeerOp::Cancel, 200));
}

void UserRequests::end_recorded(const std::string& id, const FinalState& state) {
    final_states_.insert(id, state);
    answer_waiters(id, final_reply(id, state, PeerOp::Cancel));
}

void UserRequests::not_recorded(const std::string& id) {
    answer_waiters(id, retry_later(context_));
}

void UserRequests::outcome_unknown() {
    for (auto& [id, waiters] : waiters_)
        for (auto& waiter : waiters) waiter.reply.set(leadership_unconfirmed(context_));
}

std::vector<UserRequests::Waiter> UserRequests::take_waiters(const std::string& id) {
    auto it = waiters_.find(id);
    if (it == waiters_.end()) return {};
    auto taken = std::move(it->second);
    waiters_.erase(it);
    return taken;
}

void UserRequests::answer_from_final_state(const std::string& id,
                                           const std::vector<Waiter>& waiters) {
    for (auto& [op, reply] : waiters) start_read(PeerCall{op, id, ""}, reply, kNotFound);
}

void UserRequests::stop() {
    outcome_unknown();
    waiters_.clear();
}

}  // namespace weirmill
