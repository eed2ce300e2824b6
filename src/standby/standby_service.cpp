#include "standby/standby_service.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "protocol/cloud_codec.h"
#include "protocol/user_codec.h"

namespace weirmill {

namespace asio = boost::asio;
namespace json = boost::json;

using Urgency = StateLogFollower::Urgency;

namespace {

// Between background reads of the log, which keep the view recent while there are no requests.
constexpr double kRefreshInterval_s = 2;
constexpr double kAdopterReadInterval_s = 10;  // for adopter records and machine types
constexpr double kAdopterRetryInterval_s = 1;  // the same, while one of them is missing
constexpr int kMaxAdopterRecords = 1000;
// After this long without an answer, the key-value store counts as unreachable.
constexpr double kMaxKvSilence_s = 6;
constexpr double kReadTimeout_s = 0.8;  // for a single key or the adopter records
constexpr double kWriteTimeout_s = 1.0;
constexpr double kCancellationTimeout_s = 2;  // for the leader to execute a cancellation
constexpr double kCancellationPollInterval_s = 0.3;
// This controller's shares of the key-value store's rate limits. The rest is left to the leader,
// which may be running even if this controller can't reach it.
constexpr double kReadShare = 0.2, kWriteShare = 0.25;
constexpr double kRateBurst_s = 2;  // unused rate that may be saved up for a burst
// Approximate number of reads that a request needs. A request is refused at once unless the rate
// limit allows all of them: if every request were admitted, a continuous stream of requests would
// each use up part of the limit and none would complete.
constexpr double kReadsPerRequest = 4;
constexpr size_t kMaxDependencyReads = 8;  // per submission, for dependencies not in the log
// Reserved within the size limit of a value: the job's log entry is longer than its pending record.
constexpr size_t kRecordHeadroomBytes = 200;
constexpr int kTaskLimitRetry_s = 10;  // if the submission would exceed the cluster's task limit

PeerReply retry_later(int seconds = 1) { return {503, R"({"error":"not now"})", seconds, 0}; }

PeerReply unschedulable_reply() { return {422, R"({"error":"can never run"})"}; }

}  // namespace

StandbyService::StandbyService(asio::io_context& io, const Settings& settings,
                               const Properties& properties, KvClient& kv, Metrics& metrics,
                               std::function<bool()> is_leader)
    : settings_(settings),
      properties_(properties),
      kv_(kv),
      metrics_(metrics),
      is_leader_(std::move(is_leader)),
      cluster_(settings),
      read_limiter_(settings.state_rps * kReadShare, kRateBurst_s),
      write_limiter_(settings.state_write_rps * kWriteShare, kRateBurst_s),
      log_follower_(io, kv, read_limiter_, kv_responses_) {
    asio::co_spawn(io, adopter_loop(), asio::detached);
    if (properties_.standby_enabled) asio::co_spawn(io, refresh_loop(), asio::detached);
}

bool StandbyService::available() const {
    return properties_.standby_enabled && all_controllers_adopt_ && log_follower_.complete() &&
           cluster_.types_known &&
           steady_now() - kv_responses_.last_response_at() < kMaxKvSilence_s;
}

// Background reads that serving requests depends on.

// Writes the adopter record even if the standby service is disabled on this controller: as leader,
// it adopts the jobs that other controllers accept.
asio::awaitable<void> StandbyService::adopter_loop() {
    while (!co_await write_adopter_record()) co_await sleep_s(kAdopterRetryInterval_s);
    if (!properties_.standby_enabled) co_return;
    for (;;) {
        co_await read_adopter_records();
        co_await read_machine_types();
        bool all_known = all_controllers_adopt_ && cluster_.types_known;
        co_await sleep_s(all_known ? kAdopterReadInterval_s : kAdopterRetryInterval_s);
    }
}

asio::awaitable<bool> StandbyService::write_adopter_record() {
    auto txn = adopter_transaction(settings_.name);
    auto result = co_await kv_.txn(txn, kWriteTimeout_s);
    co_return result || result.outcome == KvOutcome::Conflict;
}

asio::awaitable<void> StandbyService::read_adopter_records() {
    auto adopters = co_await kv_.list(kAdopterPrefix, "", kMaxAdopterRecords, kReadTimeout_s);
    if (!adopters) co_return;
    bool all_adopt = all_controllers_adopt(settings_, adopters.value);
    if (all_adopt != all_controllers_adopt_)
        spdlog::info("standby: {}",
                     all_adopt ? "every controller adopts pending records"
                               : "unavailable, not every controller adopts pending records");
    all_controllers_adopt_ = all_adopt;
}

asio::awaitable<void> StandbyService::read_machine_types() {
    auto types = co_await kv_.get(kTypesKey, kReadTimeout_s);
    if (!types) co_return;
    try {
        cluster_.set_types(parse_machine_types(json::serialize(types.value.value)));
    } catch (const BadMessage& error) {
        spdlog::error("standby: malformed machine types record {}: {}", kTypesKey, error.what());
    }
}

asio::awaitable<void> StandbyService::refresh_loop() {
    for (;;) {
        if (!is_leader_() && read_limiter_.available(steady_now()) >= 1)
            (void)co_await log_follower_.refresh(Urgency::Shared);
        co_await sleep_s(kRefreshInterval_s);
    }
}

// Where a job is recorded.

StandbyService::JobLookup StandbyService::look_up_in_log(const std::string& id) const {
    JobLookup result;
    JobRecords records;
    records.logged = log_follower_.view().find(id);
    if (!records.logged) return result;
    records.cancelled_in_log = log_follower_.view().is_cancelled(id);
    result.status = resolve_job_status(records);
    return result;
}

asio::awaitable<std::optional<StandbyService::JobLookup>> StandbyService::look_up(
    std::string id, LookupOrder order) {
    if (order == LookupOrder::LogFirst) {
        if (!co_await log_follower_.refresh(Urgency::Shared)) co_return std::nullopt;
        auto logged = look_up_in_log(id);
        if (logged.status.location == JobLocation::Log) co_return logged;
    }
    co_return co_await look_up_records(std::move(id));
}

asio::awaitable<bool> StandbyService::read_pending(std::string id, JobLookup* result) {
    read_limiter_.consume(1);
    auto item = co_await kv_.get(pending_key(id), kReadTimeout_s);
    if (!kv_responses_.record(item)) co_return false;
    if (!item) co_return true;
    try {
        result->pending = parse_pending_record(item.value.value);
    } catch (const BadMessage& error) {
        spdlog::error("standby: malformed pending record {}: {}", pending_key(id), error.what());
        co_return false;
    }
    result->pending_version = item.value.version;
    co_return true;
}

// Reads the records in the order in which a job moves through them: pending record, state log,
// final state.
asio::awaitable<std::optional<StandbyService::JobLookup>> StandbyService::look_up_records(
    std::string id) {
    JobLookup result;
    if (!co_await read_pending(id, &result)) co_return std::nullopt;
    if (!co_await log_follower_.refresh(Urgency::Shared)) co_return std::nullopt;
    auto logged = look_up_in_log(id);
    if (logged.status.location == JobLocation::Log) {
        result.status = logged.status;
        co_return result;
    }
    read_limiter_.consume(1);
    auto final_state = co_await kv_.get(final_key(id), kReadTimeout_s);
    if (!kv_responses_.record(final_state)) co_return std::nullopt;
    JobRecords records;
    records.pending = result.pending;
    try {
        if (final_state) records.final_state = parse_final(final_state.value.value);
    } catch (const BadMessage& error) {
        spdlog::error("standby: malformed final state record {}: {}", final_key(id), error.what());
        co_return std::nullopt;
    }
    result.status = resolve_job_status(records);
    co_return result;
}

// Requests.

asio::awaitable<PeerReply> StandbyService::serve(PeerCall call) {
    if (call.op != PeerOp::Submit && !valid_job_id(call.subject)) co_return PeerReply{404, "{}"};
    // The status of a job in the log needs only a read of the log, which many polls share. Other
    // requests are refused unless the rate limit allows their reads.
    bool uses_shared_read = call.op == PeerOp::Status && log_follower_.view().find(call.subject);
    PeerReply reply;
    if (read_limiter_.available(steady_now()) < (uses_shared_read ? 1 : kReadsPerRequest))
        reply = retry_later();
    else if (call.op == PeerOp::Submit)
        reply = co_await submit(std::move(call.body));
    else if (call.op == PeerOp::Cancel)
        reply = co_await cancel(std::move(call.subject));
    else
        reply = co_await status(std::move(call.subject));
    metrics_.increment(reply.status == 503 ? "door_refusals_total" : "door_answers_total");
    co_return reply;
}

asio::awaitable<PeerReply> StandbyService::status(std::string id) {
    auto found = co_await look_up(id, LookupOrder::LogFirst);
    co_return found ? standby_reply(id, found->status, PeerOp::Status) : retry_later();
}

bool StandbyService::try_take_write() {
    if (write_limiter_.available(steady_now()) < 1) return false;
    write_limiter_.consume(1);
    return true;
}

// Returns `refusal`, which is final, unless the job was accepted before: then returns its state.
asio::awaitable<PeerReply> StandbyService::refuse_submission(std::string id, PeerReply refusal) {
    auto found = co_await look_up(id, LookupOrder::LogFirst);
    if (!found) co_return retry_later();
    if (found->status.location == JobLocation::NotFound) co_return refusal;
    co_return standby_reply(id, found->status, PeerOp::Submit);
}

asio::awaitable<PeerReply> StandbyService::submit(std::string body) {
    JobSpec spec;
    std::optional<PeerReply> malformed;
    try {
        spec = parse_submission(body, cluster_.names);
    } catch (const BadMessage& error) {
        malformed = PeerReply{400, json::serialize(json::object{{"error", error.what()}})};
    }
    if (!malformed) co_return co_await submit_parsed(std::move(spec));
    auto id = parse_submission_id(body);
    if (id.empty()) co_return *malformed;
    co_return co_await refuse_submission(std::move(id), std::move(*malformed));
}

asio::awaitable<PeerReply> StandbyService::submit_parsed(JobSpec spec) {
    if (cluster_.unschedulable_reason(spec)) {
        auto refusal = unschedulable_reply();
        co_return co_await refuse_submission(spec.id, std::move(refusal));
    }
    PendingRecord record{submission_json(spec, cluster_.names), wall_now(), false};
    auto check = co_await check_dependencies(spec.id, spec.dependencies);
    if (check.refusal) co_return *check.refusal;
    record.cancelled = check.cancelled;
    // Only the leader can accept a longer record, because it splits the job's log entry over
    // several values; a pending record is a single value.
    auto bytes = static_cast<double>(pending_record(record).size() + kRecordHeadroomBytes);
    if (bytes > settings_.value_kb * 1024) co_return retry_later();
    if (log_follower_.view().task_count() + spec.tasks > cluster_.max_tasks)
        co_return retry_later(kTaskLimitRetry_s);
    if (!try_take_write()) co_return retry_later();
    co_return co_await accept_submission(std::move(spec.id), std::move(record));
}

asio::awaitable<StandbyService::DependencyCheck> StandbyService::check_dependencies(
    std::string id, std::vector<std::string> dependencies) {
    DependencyCheck check;
    if (!dependencies.empty() && !co_await log_follower_.refresh(Urgency::Immediate)) {
        check.refusal = retry_later();
        co_return check;
    }
    size_t reads = 0;
    for (auto& dependency : dependencies) {
        // A dependency on the job itself or on an invalid id counts as not found.
        auto found = std::make_optional<JobLookup>();
        if (dependency != id && valid_job_id(dependency)) {
            found = look_up_in_log(dependency);
            if (found->status.location != JobLocation::Log) found = std::nullopt;
            if (!found && ++reads <= kMaxDependencyReads)
                found = co_await look_up(dependency, LookupOrder::LogFirst);
        }
        if (!found || found->status.location == JobLocation::CancelRequestOnly) {
            check.refusal = retry_later();
            co_return check;
        }
        if (found->status.location == JobLocation::NotFound) {
            auto refusal = unschedulable_reply();
            check.refusal = co_await refuse_submission(std::move(id), std::move(refusal));
            co_return check;
        }
        // A job that depends on a cancelled job is accepted, and cancelled as well.
        if (found->status.state == JobState::Cancelled) check.cancelled = true;
    }
    co_return check;
}

// Replies to a submission after its transaction failed or got no answer.
asio::awaitable<PeerReply> StandbyService::reply_for_existing_job(std::string id) {
    auto found = co_await look_up(id, LookupOrder::LogFirst);
    // If no record is found, the transaction was not executed, or the record that it conflicted
    // with has been deleted since.
    if (!found || found->status.location == JobLocation::NotFound) co_return retry_later();
    co_return standby_reply(id, found->status, PeerOp::Submit);
}

asio::awaitable<PeerReply> StandbyService::accept_submission(std::string id, PendingRecord record) {
    auto ends_before = log_follower_.view().job_ends_read();
    auto txn = accept_transaction(id, record);
    auto result = co_await kv_.txn(txn, kWriteTimeout_s);
    if (result.outcome == KvOutcome::Conflict || result.outcome == KvOutcome::Unknown) {
        kv_responses_.record(result);
        // Without an answer, this attempt or an earlier one may still have accepted the job.
        co_return co_await reply_for_existing_job(std::move(id));
    }
    if (result.rate_limited) write_limiter_.reduce_rate();
    if (!kv_responses_.record(result)) co_return retry_later();
    // A leader may have accepted the job before, and even cancelled it. Then the log, read after
    // the transaction, holds the job or its end.
    if (!co_await log_follower_.refresh(Urgency::Immediate)) co_return retry_later();
    auto logged = look_up_in_log(id);
    if (logged.status.location == JobLocation::Log)
        co_return standby_reply(id, logged.status, PeerOp::Submit);
    if (log_follower_.view().may_have_ended(id, ends_before)) co_return retry_later();
    metrics_.increment("door_jobs_accepted_total");
    spdlog::debug("standby: {} accepted", id);
    auto state = record.cancelled ? JobState::Cancelled : JobState::Queued;
    co_return PeerReply{201, job_state_json(id, state)};
}

asio::awaitable<PeerReply> StandbyService::cancel(std::string id) {
    auto found = co_await look_up(id, LookupOrder::PendingFirst);
    if (!found) co_return retry_later();
    auto& status = found->status;
    if (status.location == JobLocation::NotFound ||
        status.location == JobLocation::CancelRequestOnly || !status.queued_or_running())
        co_return standby_reply(id, status, PeerOp::Cancel);
    bool requested = found->pending && found->pending->cancelled;
    if (!requested && !co_await record_cancellation(id, std::move(*found))) co_return retry_later();
    // A leader may have adopted the job before the cancellation was recorded, and the job may even
    // have ended since, so all its records are read again.
    co_return co_await await_cancellation(std::move(id));
}

// Cancels a job that no leader has adopted by marking its pending record as cancelled. Only the
// leader can cancel a job in the log, so for such a job a cancellation request is recorded. Returns
// false if nothing was recorded.
asio::awaitable<bool> StandbyService::record_cancellation(std::string id, JobLookup found) {
    if (!try_take_write()) co_return false;
    auto txn =
        cancel_transaction(id, found.pending_version, found.pending.value_or(PendingRecord{}));
    auto result = co_await kv_.txn(txn, kWriteTimeout_s);
    if (result.rate_limited) write_limiter_.reduce_rate();
    // Without an answer, the transaction may have been executed or may be later. The caller reads
    // the job's records again in either case.
    if (!kv_responses_.record(result) && result.outcome != KvOutcome::Unknown) co_return false;
    if (result.outcome == KvOutcome::Conflict) co_return false;
    metrics_.increment("door_cancellations_total");
    co_return true;
}

// Waits until a recorded cancellation or cancellation request has taken effect, or the job has
// ended otherwise, and returns the job's state.
asio::awaitable<PeerReply> StandbyService::await_cancellation(std::string id) {
    for (double deadline = steady_now() + kCancellationTimeout_s; steady_now() < deadline;) {
        auto found = co_await look_up(id, LookupOrder::LogFirst);
        if (!found) break;
        auto reply = standby_reply(id, found->status, PeerOp::Cancel);
        if (reply.status == 200) {
            spdlog::debug("standby: {} reported as cancelled or ended", id);
            co_return reply;
        }
        co_await sleep_s(kCancellationPollInterval_s);
    }
    co_return retry_later();
}

}  // namespace weirmill
