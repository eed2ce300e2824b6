#include "standby/standby_service.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "protocol/cloud_codec.h"
#include "protocol/user_codec.h"

namespace weirmill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int kSegmentsAPage = 50;
constexpr double kWarm_s = 2;  // between passes over the log that nobody asked for
constexpr double kMarks_s =
    10;  // between looks at the other controllers' marks and the machine types
constexpr double kQuiet_s =
    6;  // the state service counts as out of reach after this long without an answer
constexpr double kFresh_s = 1.2;  // for one shared pass
constexpr double kRead_s = 0.8;   // for one key
constexpr double kWrite_s = 1.0;
constexpr double kCancelled_s = 2;  // for the leader to carry a cancellation out
constexpr double kLook_s = 0.3;
// Passes over the log begin so far apart, so that many polls share one; sooner only for who was
// just recorded.
constexpr double kApart_s = 0.2;
// Shares of the state service's rates; the rest is the leader's, who may be at work although this
// node can't hear it.
constexpr double kReadShare = 0.2, kWriteShare = 0.25;
// What a request may take of the reads, about. It is turned away at the door where that is not
// there: let in, requests that come without a pause each took a part, and none got to its end.
constexpr double kReadsARequest = 4;
constexpr size_t kDependenciesRead = 8;  // not alive, of one submission
constexpr size_t kRecordSpare =
    200;  // of a value's limit: the log's entry is longer than the door's record

PeerReply come_back(int seconds = 1) { return {503, R"({"error":"not now"})", seconds, 0}; }

}  // namespace

StandbyService::StandbyService(asio::io_context& io, const Settings& settings,
                               const Properties& properties, KvClient& state, Metrics& metrics,
                               std::function<bool()> resting)
    : io_(io),
      settings_(settings),
      properties_(properties),
      kv_(state),
      metrics_(metrics),
      resting_(std::move(resting)),
      cluster_(settings),
      reads_(settings.state_rps * kReadShare, 2.0),
      writes_(settings.state_write_rps * kWriteShare, 2.0),
      apart_(io) {
    asio::co_spawn(io_, mark_loop(), asio::detached);
    if (properties_.standby_enabled) asio::co_spawn(io_, warm_loop(), asio::detached);
}

bool StandbyService::open() const {
    return properties_.standby_enabled && all_adopt_ && whole_ && cluster_.types_known &&
           steady_now() - heard_at_ < kQuiet_s;
}

template <class T>
bool StandbyService::heard(const KvResult<T>& result) {
    bool answered =
        result || result.outcome == KvOutcome::Missing || result.outcome == KvOutcome::Conflict;
    if (answered) heard_at_ = steady_now();
    return answered;
}

// The mark is written even where doors are closed here: this controller collects what others' doors
// took.
asio::awaitable<void> StandbyService::mark_loop() {
    for (bool marked = false;;) {
        if (!marked) {
            auto mark = adopter_transaction(settings_.name);
            auto result = co_await kv_.txn(std::move(mark), kWrite_s);
            marked = result || result.outcome == KvOutcome::Conflict;
        }
        if (marked && !properties_.standby_enabled) co_return;
        if (marked) {
            auto marks = co_await kv_.list(kAdopterPrefix, "", 1000, kRead_s);
            if (marks) {
                bool adopt = all_controllers_adopt(settings_, marks.value);
                if (adopt != all_adopt_)
                    spdlog::info("door: {}", adopt ? "every controller collects"
                                                   : "closed, not every controller collects");
                all_adopt_ = adopt;
            }
            auto types = co_await kv_.get(kTypesKey, kRead_s);
            try {
                if (types)
                    cluster_.set_types(parse_machine_types(json::serialize(types.value.value)));
            } catch (const BadMessage& e) {
                spdlog::error("door: malformed record {}: {}", kTypesKey, e.what());
            }
        }
        co_await sleep_s(marked && all_adopt_ && cluster_.types_known ? kMarks_s : 1.0);
    }
}

asio::awaitable<void> StandbyService::warm_loop() {
    for (;;) {
        if (!resting_() && reads_.available(steady_now()) >= 1) (void)co_await fresh(false);
        co_await sleep_s(kWarm_s);
    }
}

asio::awaitable<bool> StandbyService::fresh(bool at_once) {
    OneShot<bool> over(io_.get_executor());
    if (at_once) apart_.cancel();
    hurry_ = hurry_ || at_once;
    waiting_.emplace_back(passes_ + 1, over);
    if (!passing_) {
        passing_ = true;
        asio::co_spawn(io_, pass_loop(), asio::detached);
    }
    auto ok = co_await over.wait(kFresh_s);
    // Whoever asked goes on at once; should a later pass have started the view over by then, it
    // tells nothing.
    co_return ok.value_or(false) && whole_;
}

asio::awaitable<void> StandbyService::pass_loop() {
    while (!waiting_.empty()) {
        double pause = began_at_ + kApart_s - steady_now();
        if (!hurry_ && pause > 0) {
            apart_.expires_after(std::chrono::microseconds(static_cast<int64_t>(pause * 1e6)));
            co_await apart_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        hurry_ = false;
        began_at_ = steady_now();
        auto number = ++passes_;
        bool ok = co_await pass();
        // Those that came during the pass wait for the next one.
        while (!waiting_.empty() && waiting_.front().first <= number) {
            waiting_.front().second.set(ok);
            waiting_.pop_front();
        }
    }
    passing_ = false;
}

// Reads the log forward to what was recorded when the pass began, or more.
asio::awaitable<bool> StandbyService::pass() {
    for (int tries = 0; tries < 2; ++tries) {
        std::string after = view_.after();
        bool begins = true, in_order = true;
        for (bool more = true; more && in_order;) {
            reads_.take(1);
            auto page = co_await kv_.list(kSegmentPrefix, after, kSegmentsAPage, kRead_s);
            if (!heard(page) || !page) co_return false;
            try {
                in_order = view_.take(page.value, begins);
            } catch (const BadMessage& e) {
                spdlog::error("door: malformed record after {}: {}", after, e.what());
                view_.clear();
                whole_ = false;
                co_return false;
            }
            begins = false;
            more = page.value.more && !page.value.items.empty();
            if (more) after = page.value.items.back().key;
        }
        if (in_order) {
            whole_ = true;
            co_return true;
        }
        view_.clear();
        whole_ = false;
    }
    co_return false;
}

StandbyService::JobLookup StandbyService::in_log(const std::string& id) const {
    JobLookup out;
    JobReads seen;
    seen.live = view_.find(id);
    if (seen.live) {
        seen.live_cancelled = view_.cancelled(id);
        out.standing = standing(seen);
    }
    return out;
}

// Nothing: not known now. The door's record is read where the log does not hold the job, or always.
asio::awaitable<std::optional<StandbyService::JobLookup>> StandbyService::look(std::string id,
                                                                               bool record_too) {
    if (!record_too) {
        if (!co_await fresh(false)) co_return std::nullopt;
        auto live = in_log(id);
        if (live.standing.at == JobStanding::At::Log) co_return live;
    }
    reads_.take(1);
    JobLookup out;
    JobReads seen;
    auto standby = co_await kv_.get(pending_key(id), kRead_s);
    if (!heard(standby)) co_return std::nullopt;
    if (standby) {
        try {
            seen.standby = parse_pending_record(standby.value.value);
        } catch (const BadMessage& e) {
            spdlog::error("door: malformed record {}: {}", pending_key(id), e.what());
            co_return std::nullopt;
        }
        out.record = seen.standby;
        out.version = standby.value.version;
    }
    if (!co_await fresh(false)) co_return std::nullopt;
    auto live = in_log(id);
    if (live.standing.at == JobStanding::At::Log) {
        out.standing = live.standing;
        co_return out;
    }
    reads_.take(1);
    auto ended = co_await kv_.get(final_key(id), kRead_s);
    if (!heard(ended)) co_return std::nullopt;
    try {
        if (ended) seen.ended = parse_final(ended.value.value);
    } catch (const BadMessage& e) {
        spdlog::error("door: malformed record {}: {}", final_key(id), e.what());
        co_return std::nullopt;
    }
    out.standing = standing(seen);
    co_return out;
}

asio::awaitable<PeerReply> StandbyService::serve(PeerCall call) {
    bool named = call.op != PeerOp::Submit;
    if (named && !valid_job_id(call.subject)) co_return PeerReply{404, "{}"};
    PeerReply reply;
    // What polls of live jobs share costs next to nothing; the rest is turned away here.
    double needs = call.op == PeerOp::Status && view_.find(call.subject) ? 1 : kReadsARequest;
    if (reads_.available(steady_now()) < needs) {
        reply = come_back();
    } else if (call.op == PeerOp::Submit) {
        reply = co_await submit(std::move(call.body));
    } else if (call.op == PeerOp::Cancel) {
        reply = co_await cancel(std::move(call.subject));
    } else {
        std::string id = call.subject;
        auto seen = co_await look(std::move(call.subject), false);
        reply = seen ? standby_reply(id, seen->standing, PeerOp::Status) : come_back();
    }
    metrics_.count(reply.status == 503 ? "door_refusals_total" : "door_answers_total");
    co_return reply;
}

bool StandbyService::may_write(double now) {
    if (writes_.available(now) < 1) return false;
    writes_.take(1);
    return true;
}

// Refused for good, unless it was accepted at another time.
asio::awaitable<PeerReply> StandbyService::refuse(std::string id, PeerReply refusal) {
    auto seen = co_await look(id, false);
    if (!seen) co_return come_back();
    if (seen->standing.at == JobStanding::At::Nowhere) co_return refusal;
    co_return standby_reply(id, seen->standing, PeerOp::Submit);
}

asio::awaitable<PeerReply> StandbyService::submit(std::string body) {
    JobSpec spec;
    std::optional<PeerReply> malformed;
    try {
        spec = parse_submission(body, cluster_.names);
    } catch (const BadMessage& e) {
        malformed = PeerReply{400, json::serialize(json::object{{"error", e.what()}})};
    }
    if (malformed) {
        auto id = submission_id(body);
        if (id.empty()) co_return *malformed;
        co_return co_await refuse(std::move(id), std::move(*malformed));
    }
    PeerReply never{422, R"({"error":"can never run"})"};
    if (cluster_.never_runs(spec)) co_return co_await refuse(spec.id, std::move(never));
    PendingRecord record{submission_json(spec, cluster_.names), wall_now(), false};
    size_t read = 0;
    if (!spec.dependencies.empty() && !co_await fresh(true)) co_return come_back();
    for (auto& d : spec.dependencies) {
        if (d == spec.id || !valid_job_id(d)) co_return co_await refuse(spec.id, std::move(never));
        auto live = std::make_optional(in_log(d));
        if (live->standing.at != JobStanding::At::Log) {
            if (++read > kDependenciesRead) co_return come_back();
            live = co_await look(d, false);
        }
        if (!live || live->standing.at == JobStanding::At::Unclear) co_return come_back();
        if (live->standing.at == JobStanding::At::Nowhere)
            co_return co_await refuse(spec.id, std::move(never));
        // A job that names a cancelled one is accepted, and cancelled with it.
        if (live->standing.state == JobState::Cancelled) record.cancelled = true;
    }
    // A longer one is told in pieces by the leader; this door has one value for it.
    if (pending_record(record).size() + kRecordSpare > settings_.value_kb * 1024)
        co_return come_back();
    if (view_.tasks() + spec.tasks > cluster_.max_tasks) co_return come_back(10);
    if (!may_write(steady_now())) co_return come_back();
    auto moment = view_.moment();
    auto txn = accept_transaction(spec.id, record);
    auto result = co_await kv_.txn(std::move(txn), kWrite_s);
    if (result.outcome == KvOutcome::Conflict || result.outcome == KvOutcome::Unknown) {
        heard(result);
        // Without an answer it may have been taken all the same, now or by an earlier try.
        auto seen = co_await look(spec.id, false);
        // Nowhere: what stood in the way is gone already.
        if (!seen || seen->standing.at == JobStanding::At::Nowhere) co_return come_back();
        co_return standby_reply(spec.id, seen->standing, PeerOp::Submit);
    }
    if (result.too_fast) writes_.too_fast();
    if (!heard(result)) co_return come_back();
    // It may have been accepted, and even cancelled, by a leader before: then the log tells, up to
    // now at least.
    if (!co_await fresh(true)) co_return come_back();
    auto live = in_log(spec.id);
    if (live.standing.at == JobStanding::At::Log)
        co_return standby_reply(spec.id, live.standing, PeerOp::Submit);
    if (view_.may_have_ended(spec.id, moment)) co_return come_back();
    metrics_.count("door_jobs_accepted_total");
    spdlog::debug("door: {} accepted", spec.id);
    co_return PeerReply{
        201, job_answer(spec.id, record.cancelled ? JobState::Cancelled : JobState::Queued)};
}

asio::awaitable<PeerReply> StandbyService::cancel(std::string id) {
    auto seen = co_await look(id, true);
    if (!seen) co_return come_back();
    auto& s = seen->standing;
    bool open = s.state == JobState::Queued || s.state == JobState::Running;
    if (s.at == JobStanding::At::Nowhere || s.at == JobStanding::At::Unclear || !open)
        co_return standby_reply(id, s, PeerOp::Cancel);
    // In the log, the leader alone can cancel it: a request is left for it. A job that no leader
    // has collected is cancelled by its door's record.
    bool requested = seen->record && seen->record->cancelled;
    if (!requested) {
        if (!may_write(steady_now())) co_return come_back();
        auto txn = cancel_transaction(id, seen->version, seen->record.value_or(PendingRecord{}));
        auto result = co_await kv_.txn(std::move(txn), kWrite_s);
        if (result.too_fast) writes_.too_fast();
        // Without an answer it may have been carried out, or be later: what is recorded is looked
        // at either way.
        if (!heard(result) && result.outcome != KvOutcome::Unknown) co_return come_back();
        if (result.outcome == KvOutcome::Conflict) co_return come_back();
        metrics_.count("door_cancellations_total");
    }
    // A leader may have collected it before, and even ended it since: looked at again, from the
    // first place on.
    co_return co_await until_cancelled(std::move(id));
}

// A cancellation, or a request for one, is recorded; told is what is made of it.
asio::awaitable<PeerReply> StandbyService::until_cancelled(std::string id) {
    for (double until = steady_now() + kCancelled_s; steady_now() < until;) {
        auto seen = co_await look(id, false);
        if (!seen) break;
        auto reply = standby_reply(id, seen->standing, PeerOp::Cancel);
        if (reply.status == 200) {
            spdlog::debug("door: {} told as cancelled, or as ended", id);
            co_return reply;
        }
        co_await sleep_s(kLook_s);
    }
    co_return come_back();
}

}  // namespace weirmill
