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

constexpr double kRefreshInterval_s = 2;   // between reads of the log that nobody asked for
constexpr double kAdopterInterval_s = 10;  // between reads of adopter records and machine types
constexpr double kAdopterRetry_s = 1;      // the same, while something of it is missing
constexpr int kMaxAdopterRecords = 1000;
// The state service counts as out of reach after this long without an answer.
constexpr double kMaxKvSilence_s = 6;
constexpr double kRead_s = 0.8;  // for one key
constexpr double kWrite_s = 1.0;
constexpr double kCancellation_s = 2;  // for the leader to carry a cancellation out
constexpr double kCancellationPoll_s = 0.3;
// Shares of the state service's rates; the rest is the leader's, who may be at work although this
// node can't reach it.
constexpr double kReadShare = 0.2, kWriteShare = 0.25;
constexpr double kRateBurst_s = 2;
// Reads that a request may take, about. It is refused at once where these are not there: if all
// were let in, requests that come without a pause would each take a part, and none would get to its
// end.
constexpr double kReadsPerRequest = 4;
constexpr size_t kMaxDependencyReads = 8;  // of dependencies that are not alive, per submission
// Of a value's limit: the log's entry is longer than the pending record.
constexpr size_t kRecordHeadroomBytes = 200;
constexpr int kFullRetry_s = 10;  // for a submission while the cluster holds its limit of tasks

PeerReply retry_later(int seconds = 1) { return {503, R"({"error":"not now"})", seconds, 0}; }

PeerReply can_never_run() { return {422, R"({"error":"can never run"})"}; }

}  // namespace

StandbyService::StandbyService(asio::io_context& io, const Settings& settings,
                               const Properties& properties, KvClient& kv, Metrics& metrics,
                               std::function<bool()> leads)
    : settings_(settings),
      properties_(properties),
      kv_(kv),
      metrics_(metrics),
      leads_(std::move(leads)),
      cluster_(settings),
      reads_(settings.state_rps * kReadShare, kRateBurst_s),
      writes_(settings.state_write_rps * kWriteShare, kRateBurst_s),
      log_(io, kv, reads_, answers_) {
    asio::co_spawn(io, adopter_loop(), asio::detached);
    if (properties_.standby_enabled) asio::co_spawn(io, refresh_loop(), asio::detached);
}

bool StandbyService::available() const {
    return properties_.standby_enabled && all_controllers_adopt_ && log_.complete() &&
           cluster_.types_known && steady_now() - answers_.last_at() < kMaxKvSilence_s;
}

// ---- what it must know to serve ----

// The adopter record is written even where the standby service is off here: this controller adopts
// what others accept.
asio::awaitable<void> StandbyService::adopter_loop() {
    while (!co_await write_adopter_record()) co_await sleep_s(kAdopterRetry_s);
    if (!properties_.standby_enabled) co_return;
    for (;;) {
        co_await read_adopter_records();
        co_await read_machine_types();
        bool all_known = all_controllers_adopt_ && cluster_.types_known;
        co_await sleep_s(all_known ? kAdopterInterval_s : kAdopterRetry_s);
    }
}

asio::awaitable<bool> StandbyService::write_adopter_record() {
    auto txn = adopter_transaction(settings_.name);
    auto result = co_await kv_.txn(txn, kWrite_s);
    co_return result || result.outcome == KvOutcome::Conflict;
}

asio::awaitable<void> StandbyService::read_adopter_records() {
    auto adopters = co_await kv_.list(kAdopterPrefix, "", kMaxAdopterRecords, kRead_s);
    if (!adopters) co_return;
    bool adopt = all_controllers_adopt(settings_, adopters.value);
    if (adopt != all_controllers_adopt_)
        spdlog::info("standby: {}",
                     adopt ? "every controller collects" : "closed, not every controller collects");
    all_controllers_adopt_ = adopt;
}

asio::awaitable<void> StandbyService::read_machine_types() {
    auto types = co_await kv_.get(kTypesKey, kRead_s);
    if (!types) co_return;
    try {
        cluster_.set_types(parse_machine_types(json::serialize(types.value.value)));
    } catch (const BadMessage& e) {
        spdlog::error("standby: malformed record {}: {}", kTypesKey, e.what());
    }
}

asio::awaitable<void> StandbyService::refresh_loop() {
    for (;;) {
        if (!leads_() && reads_.available(steady_now()) >= 1)
            (void)co_await log_.refresh(Urgency::Shared);
        co_await sleep_s(kRefreshInterval_s);
    }
}

// ---- where a job is recorded ----

StandbyService::JobLookup StandbyService::look_up_in_view(const std::string& id) const {
    JobLookup out;
    JobReads reads;
    reads.live = log_.view().find(id);
    if (!reads.live) return out;
    reads.live_cancelled = log_.view().cancelled(id);
    out.standing = job_standing(reads);
    return out;
}

asio::awaitable<std::optional<StandbyService::JobLookup>> StandbyService::look_up(
    std::string id, LookupOrder order) {
    if (order == LookupOrder::LogFirst) {
        if (!co_await log_.refresh(Urgency::Shared)) co_return std::nullopt;
        auto live = look_up_in_view(id);
        if (live.standing.place == JobPlace::Log) co_return live;
    }
    co_return co_await look_up_records(std::move(id));
}

asio::awaitable<bool> StandbyService::read_pending(std::string id, JobLookup* out) {
    reads_.take(1);
    auto item = co_await kv_.get(pending_key(id), kRead_s);
    if (!answers_.record(item)) co_return false;
    if (!item) co_return true;
    try {
        out->pending = parse_pending_record(item.value.value);
    } catch (const BadMessage& e) {
        spdlog::error("standby: malformed record {}: {}", pending_key(id), e.what());
        co_return false;
    }
    out->pending_version = item.value.version;
    co_return true;
}

// In the order in which records move: pending record, log, final state.
asio::awaitable<std::optional<StandbyService::JobLookup>> StandbyService::look_up_records(
    std::string id) {
    JobLookup out;
    if (!co_await read_pending(id, &out)) co_return std::nullopt;
    if (!co_await log_.refresh(Urgency::Shared)) co_return std::nullopt;
    auto live = look_up_in_view(id);
    if (live.standing.place == JobPlace::Log) {
        out.standing = live.standing;
        co_return out;
    }
    reads_.take(1);
    auto ended = co_await kv_.get(final_key(id), kRead_s);
    if (!answers_.record(ended)) co_return std::nullopt;
    JobReads reads;
    reads.pending = out.pending;
    try {
        if (ended) reads.ended = parse_final(ended.value.value);
    } catch (const BadMessage& e) {
        spdlog::error("standby: malformed record {}: {}", final_key(id), e.what());
        co_return std::nullopt;
    }
    out.standing = job_standing(reads);
    co_return out;
}

// ---- requests ----

asio::awaitable<PeerReply> StandbyService::serve(PeerCall call) {
    if (call.op != PeerOp::Submit && !valid_job_id(call.subject)) co_return PeerReply{404, "{}"};
    // Status of a live job costs next to nothing, as many polls share a read; the rest is refused
    // here where the rate does not allow it.
    bool shared = call.op == PeerOp::Status && log_.view().find(call.subject);
    PeerReply reply;
    if (reads_.available(steady_now()) < (shared ? 1 : kReadsPerRequest))
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
    co_return found ? standby_reply(id, found->standing, PeerOp::Status) : retry_later();
}

bool StandbyService::take_write() {
    if (writes_.available(steady_now()) < 1) return false;
    writes_.take(1);
    return true;
}

// Refused for good, unless the job was accepted at another time.
asio::awaitable<PeerReply> StandbyService::refuse(std::string id, PeerReply refusal) {
    auto found = co_await look_up(id, LookupOrder::LogFirst);
    if (!found) co_return retry_later();
    if (found->standing.place == JobPlace::Nowhere) co_return refusal;
    co_return standby_reply(id, found->standing, PeerOp::Submit);
}

asio::awaitable<PeerReply> StandbyService::submit(std::string body) {
    JobSpec spec;
    std::optional<PeerReply> malformed;
    try {
        spec = parse_submission(body, cluster_.names);
    } catch (const BadMessage& e) {
        malformed = PeerReply{400, json::serialize(json::object{{"error", e.what()}})};
    }
    if (!malformed) co_return co_await submit_valid(std::move(spec));
    auto id = parse_submission_id(body);
    if (id.empty()) co_return *malformed;
    co_return co_await refuse(std::move(id), std::move(*malformed));
}

asio::awaitable<PeerReply> StandbyService::submit_valid(JobSpec spec) {
    if (cluster_.never_runs(spec)) {
        auto never = can_never_run();
        co_return co_await refuse(spec.id, std::move(never));
    }
    PendingRecord record{submission_json(spec, cluster_.names), wall_now(), false};
    auto check = co_await check_dependencies(spec.id, spec.dependencies);
    if (check.refusal) co_return *check.refusal;
    record.cancelled = check.cancelled;
    // The leader writes a longer one to the log in pieces; here there is one value for it.
    auto bytes = static_cast<double>(pending_record(record).size() + kRecordHeadroomBytes);
    if (bytes > settings_.value_kb * 1024) co_return retry_later();
    if (log_.view().tasks() + spec.tasks > cluster_.max_tasks) co_return retry_later(kFullRetry_s);
    if (!take_write()) co_return retry_later();
    co_return co_await accept(std::move(spec.id), std::move(record));
}

asio::awaitable<StandbyService::DependencyCheck> StandbyService::check_dependencies(
    std::string id, std::vector<std::string> on) {
    DependencyCheck check;
    if (!on.empty() && !co_await log_.refresh(Urgency::Immediate)) {
        check.refusal = retry_later();
        co_return check;
    }
    size_t reads = 0;
    for (auto& d : on) {
        auto found = std::make_optional<JobLookup>();
        if (d != id && valid_job_id(d)) {
            found = look_up_in_view(d);
            if (found->standing.place != JobPlace::Log) found = std::nullopt;
            if (!found && ++reads <= kMaxDependencyReads)
                found = co_await look_up(d, LookupOrder::LogFirst);
        }
        if (!found || found->standing.place == JobPlace::Unclear) {
            check.refusal = retry_later();
            co_return check;
        }
        if (found->standing.place == JobPlace::Nowhere) {
            auto never = can_never_run();
            check.refusal = co_await refuse(std::move(id), std::move(never));
            co_return check;
        }
        // A job that depends on a cancelled one is accepted, and cancelled with it.
        if (found->standing.state == JobState::Cancelled) check.cancelled = true;
    }
    co_return check;
}

asio::awaitable<PeerReply> StandbyService::existing_or_retry(std::string id) {
    auto found = co_await look_up(id, LookupOrder::LogFirst);
    // Nowhere: what stood in the way is gone already.
    if (!found || found->standing.place == JobPlace::Nowhere) co_return retry_later();
    co_return standby_reply(id, found->standing, PeerOp::Submit);
}

asio::awaitable<PeerReply> StandbyService::accept(std::string id, PendingRecord record) {
    auto ends_read = log_.view().ends_read();
    auto txn = accept_transaction(id, record);
    auto result = co_await kv_.txn(txn, kWrite_s);
    if (result.outcome == KvOutcome::Conflict || result.outcome == KvOutcome::Unknown) {
        answers_.record(result);
        // Without an answer it may have been accepted all the same, now or by an earlier try.
        co_return co_await existing_or_retry(std::move(id));
    }
    if (result.too_fast) writes_.too_fast();
    if (!answers_.record(result)) co_return retry_later();
    // A leader may have accepted, and even cancelled, the job before: then the log tells, as of now
    // at least.
    if (!co_await log_.refresh(Urgency::Immediate)) co_return retry_later();
    auto live = look_up_in_view(id);
    if (live.standing.place == JobPlace::Log)
        co_return standby_reply(id, live.standing, PeerOp::Submit);
    if (log_.view().may_have_ended(id, ends_read)) co_return retry_later();
    metrics_.increment("door_jobs_accepted_total");
    spdlog::debug("standby: {} accepted", id);
    auto state = record.cancelled ? JobState::Cancelled : JobState::Queued;
    co_return PeerReply{201, job_state_json(id, state)};
}

asio::awaitable<PeerReply> StandbyService::cancel(std::string id) {
    auto found = co_await look_up(id, LookupOrder::PendingFirst);
    if (!found) co_return retry_later();
    auto& s = found->standing;
    if (s.place == JobPlace::Nowhere || s.place == JobPlace::Unclear || !s.open())
        co_return standby_reply(id, s, PeerOp::Cancel);
    bool requested = found->pending && found->pending->cancelled;
    if (!requested && !co_await record_cancellation(id, std::move(*found))) co_return retry_later();
    // A leader may have adopted the job before, and even ended it since: all its records are read
    // again.
    co_return co_await await_cancellation(std::move(id));
}

// A job in the log can be cancelled by the leader alone: a request is left for it. A job that no
// leader has adopted is cancelled by its pending record. False: not recorded.
asio::awaitable<bool> StandbyService::record_cancellation(std::string id, JobLookup found) {
    if (!take_write()) co_return false;
    auto txn =
        cancel_transaction(id, found.pending_version, found.pending.value_or(PendingRecord{}));
    auto result = co_await kv_.txn(txn, kWrite_s);
    if (result.too_fast) writes_.too_fast();
    // Without an answer it may have been executed, or be later: what is recorded is read either
    // way.
    if (!answers_.record(result) && result.outcome != KvOutcome::Unknown) co_return false;
    if (result.outcome == KvOutcome::Conflict) co_return false;
    metrics_.increment("door_cancellations_total");
    co_return true;
}

// A cancellation, or a request for one, is recorded; the answer is what has become of it.
asio::awaitable<PeerReply> StandbyService::await_cancellation(std::string id) {
    for (double until = steady_now() + kCancellation_s; steady_now() < until;) {
        auto found = co_await look_up(id, LookupOrder::LogFirst);
        if (!found) break;
        auto reply = standby_reply(id, found->standing, PeerOp::Cancel);
        if (reply.status == 200) {
            spdlog::debug("standby: {} reported as cancelled or ended", id);
            co_return reply;
        }
        co_await sleep_s(kCancellationPoll_s);
    }
    co_return retry_later();
}

}  // namespace weirmill
