#include "controller/leader.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "config/capacity.h"
#include "controller/planning_inputs.h"
#include "scheduler/capacity_breakdown.h"
#include "scheduler/starvation.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

// What comes back from outside has as much room again: none of that may be lost.
constexpr size_t kMailbox = 2 * kMaxQueuedRequests;
constexpr int kSegmentsAPage = 50;
const std::string kOldJobs = "j/";
constexpr double kAsk_s = 2.0;
constexpr double kSettle_s = 0.6;
constexpr double kAccount_s = 5;  // between lines about where the room is

}  // namespace

Leader::Leader(asio::io_context& io, const Settings& settings, const Properties& properties,
               KvClient& state, Metrics& metrics, std::shared_ptr<LeadershipTerm> term)
    : context_(io, settings, properties, state, metrics, std::move(term)),
      stop_sender_(context_),
      task_lifecycle_(context_, stop_sender_),
      scheduling_loop_(context_, task_lifecycle_, [this] { return may_decide(); }),
      heartbeat_handler_(
          context_, task_lifecycle_, scheduling_loop_,
          [this](const std::string& name) { return instance_manager_.is_terminated(name); }),
      instance_manager_(context_, task_lifecycle_, stop_sender_, heartbeat_handler_,
                        [this] { return may_decide(); }),
      mailbox_(io, kMailbox),
      // A share is left to renewals and to what other controllers ask for.
      writes_(settings.state_write_rps * 0.9, 0.8) {
    context_.post = [this](LeaderMessage message) { post(std::move(message)); };
    context_.keep_alive = [this] { return shared_from_this(); };
}

void Leader::start() {
    asio::co_spawn(context_.io, run(shared_from_this()), asio::detached);
    instance_manager_.start_reading_types();
}

void Leader::stop() {
    context_.stopped = true;
    ready_ = false;
    context_.term->ended = true;
    mailbox_.close();
    for (auto& [id, list] : waiters_)
        for (auto& [op, reply] : list) reply.set(undecided());
    waiters_.clear();
    heartbeat_handler_.redirect_held();
}

asio::awaitable<PeerReply> Leader::ask(PeerCall call) {
    if (!ready_) co_return undecided();
    size_t bytes = call.body.size();
    if (asked_ >= kMaxQueuedRequests || asked_bytes_ + bytes > max_queued_request_bytes(context_.settings))
        co_return come_back();
    ReplyPromise reply(context_.io.get_executor());
    bool is_heartbeat = call.op == PeerOp::Heartbeat;
    ++asked_;
    asked_bytes_ += bytes;
    post(RequestReceived{std::move(call), reply, bytes});
    // A worker waits for as long as its own patience: with a burst of reports on a small share of a
    // core, some are answered late.
    double wait_s = is_heartbeat ? std::max(kAsk_s, context_.settings.worker_patience_s) : kAsk_s;
    auto answer = co_await reply.wait(wait_s);
    if (answer) co_return *answer;
    co_return is_heartbeat ? PeerReply{503, "{}"} : come_back();
}

void Leader::gauges(std::map<std::string, double>& out) const {
    size_t up = 0, downlink_lost = 0, placed = 0, pending = 0;
    for (auto& m : context_.cluster.machines) {
        up += m && m->up;
        downlink_lost += m && m->up && m->downlink.downlink_lost();
    }
    for (auto& job : context_.cluster.jobs) {
        if (!job) continue;
        placed += job->placed;
        pending += job->pending;
    }
    out["jobs_waiting"] = static_cast<double>(context_.cluster.dependencies().waiting());
    out["jobs"] = static_cast<double>(context_.cluster.job_index.size());
    out["machines"] = static_cast<double>(context_.cluster.machine_index.size());
    out["machines_up"] = static_cast<double>(up);
    out["machines_deaf"] = static_cast<double>(downlink_lost);
    out["tasks_placed"] = static_cast<double>(placed);
    out["tasks_pending"] = static_cast<double>(pending);
    out["queues_pressed"] = static_cast<double>(forecast_.overloaded());
    for (auto& g :
         capacity_gauges(capacity_breakdown(context_.cluster, usable_now(context_), context_.now)))
        out[g.name] = g.value;
    for (auto& g : starved_gauges(
             starved_jobs(context_.cluster, usable_now(context_), context_.now, kStarvedAfter_s)))
        out[g.name] = g.value;
}

PeerReply Leader::come_back(int seconds) const {
    return {503, R"({"error":"not now"})", seconds, context_.term->fencing_token};
}

PeerReply Leader::undecided() const {
    auto reply = come_back();
    reply.undecided = true;
    return reply;
}

void Leader::post(LeaderMessage m) {
    if (context_.stopped) return;
    if (mailbox_.try_send(boost::system::error_code(), std::move(m))) {
        return;
    }
    // Without an outcome that was lost, this leader would wait for ever: the next one starts
    // afresh.
    spdlog::error("leader: mailbox full, giving up the leadership");
    context_.term->ended = true;
}

asio::awaitable<void> Leader::run(std::shared_ptr<Leader> self) {
    std::optional<PendingRecordsChanged> inbox;
    while (!context_.stopped) {
        if (co_await load()) inbox = co_await read_pending();
        if (inbox) break;
        co_await sleep_s(0.3);
    }
    if (context_.stopped) co_return;
    context_.now = steady_now();
    // A predecessor's rentals may not be listed yet: without waiting, they would be rented again.
    if (!context_.cluster.jobs.empty())
        instance_manager_.defer_scale_out(context_.term->won + 2 * context_.settings.list_lag_s);
    next_round_ = context_.now + context_.properties.preemption_round_s / 2;
    ready_ = true;
    spdlog::info("leader: ready token={} jobs={} machines={}", context_.term->fencing_token,
                 context_.cluster.job_index.size(), context_.cluster.machine_index.size());
    for (Index j = 0; j < context_.cluster.jobs.size(); ++j) {
        if (!context_.cluster.jobs[j]) continue;
        auto& job = *context_.cluster.jobs[j];
        job.seen_at = context_.now - std::max(0.0, wall_now() - job.submitted);
        job.ready_at = context_.now - std::max(0.0, wall_now() - job.ready);
        task_lifecycle_.check_job(j);
    }
    context_.cluster.propagate_demands();
    if (!inbox->events.empty())
        spdlog::info("leader: {} door records to collect", inbox->events.size());
    handle(*inbox);
    asio::co_spawn(context_.io, tick_loop(self), asio::detached);
    instance_manager_.start_reading_list();
    asio::co_spawn(context_.io, pending_loop(self), asio::detached);
    while (!context_.stopped) {
        auto [ec, message] = co_await mailbox_.async_receive(asio::as_tuple(asio::use_awaitable));
        if (ec) break;
        context_.now = steady_now();
        std::visit([this](auto& m) { handle(m); }, message);
        if (context_.stopped) break;
        scheduling_loop_.run_if_due();
        stop_sender_.flush_stops();
        flush();
        if (on_settled_) settle();
    }
}

// Single records first, the head of the log among them, then its segments, page by page.
asio::awaitable<bool> Leader::load() {
    context_.cluster.clear_work();
    context_.state_log.clear();
    double started = steady_now();
    size_t segments = 0;
    for (const std::string& prefix : {kRoundKey, kTypesKey, kLogKey, kSegmentPrefix, kOldJobs}) {
        std::string after;
        for (bool more = true; more;) {
            auto page = co_await context_.kv.list(prefix, after, kSegmentsAPage, 3);
            if (context_.stopped) co_return false;
            if (!page) {
                if (page.outcome == KvOutcome::Unknown)
                    spdlog::info("leader: loading waits for the state service");
                co_return false;
            }
            more = page.value.more && !page.value.items.empty();
            for (auto& item : page.value.items) {
                after = item.key;
                try {
                    if (item.key == kRoundKey) {
                        context_.state_log.load_note(item.key, item.version);
                        scheduling_loop_.resume_rounds(
                            read::count(read::object(item.value), "number", 0));
                    } else if (item.key == kTypesKey) {
                        context_.state_log.load_note(item.key, item.version);
                        instance_manager_.load_types(boost::json::serialize(item.value));
                    } else if (item.key == kLogKey) {
                        context_.state_log.load_head(item);
                    } else if (prefix == kSegmentPrefix) {
                        context_.state_log.load_segment(item, steady_now());
                        ++segments;
                    } else if (prefix == kOldJobs) {
                        throw BadMessage(
                            "of a version that kept a key for each job; see docs/operations.md");
                    }
                } catch (const BadMessage& e) {
                    // Leading without a record could start a task twice: another try, never a
                    // guess.
                    spdlog::error("leader: malformed record {}: {}", item.key, e.what());
                    co_return false;
                }
            }
        }
    }
    context_.state_log.loaded(steady_now());
    spdlog::info("leader: read {} segments in {:.2f}s", segments, steady_now() - started);
    co_return true;
}

asio::awaitable<void> Leader::tick_loop(std::shared_ptr<Leader> self) {
    (void)self;
    while (!context_.stopped) {
        co_await sleep_s(0.1);
        post(TimerTick{});
    }
}

void Leader::handle(TimerTick&) {
    heartbeat_handler_.release_held(true);
    adopt_pending();
    if (context_.now >= next_check_) {
        next_check_ = context_.now + 0.5;
        instance_manager_.check_machines();
        stop_sender_.repeat_stops();
    }
    if (context_.now >= next_round_) {
        next_round_ = context_.now + context_.properties.preemption_round_s;
        scheduling_loop_.preempt();
    }
    if (context_.now >= next_autoscale_) {
        next_autoscale_ = context_.now + 1.0;
        if (context_.properties.overload_enabled) forecast_.observe(context_.cluster, context_.now);
        instance_manager_.autoscale();
        if (spdlog::should_log(spdlog::level::debug) && context_.now >= next_capacity_log_) {
            next_capacity_log_ = context_.now + kAccount_s;
            spdlog::debug("room: {}", capacity_text(capacity_breakdown(
                                          context_.cluster, usable_now(context_), context_.now)));
            for (auto& [key, q] : forecast_.queues())
                if (q.jobs > 0)
                    spdlog::debug(
                        "queue: {} of {}, {} jobs wait, {} of them give up a time, {:.0f} units in "
                        "use, "
                        "{:.0f} left, "
                        "drains in {:.0f}s of {:.0f}s",
                        context_.cluster.names.classes.name(key.job_class),
                        context_.cluster.names.teams.name(key.team), q.jobs, q.abandoning, q.in_use,
                        q.left, q.drain_s, q.within_s);
        }
        context_.scheduling_needed = true;  // back-offs and quarantines end with time alone
    }
}

void Leader::handle(ScaleOutFinished& m) {
    instance_manager_.handle(m);
    next_autoscale_ = std::min(next_autoscale_, context_.now + 0.2);
}

// ---- a hand-over ----

void Leader::transfer_leadership(std::function<void()> settled) {
    if (!ready_) return settled();
    post(TransferRequested{std::move(settled)});
}

void Leader::handle(TransferRequested& m) {
    on_settled_ = std::move(m.settled);
    settle_deadline_ = context_.now + kSettle_s;
    // What users asked for goes on to the next leader, as at any end of a tenure: it is under way
    // or asked again.
    ready_ = false;
}

// Records that are under way or waiting are written first: the next leader would else do the work
// again.
void Leader::settle() {
    if ((flushing_ || context_.state_log.waiting()) && context_.now < settle_deadline_) return;
    auto settled = std::exchange(on_settled_, nullptr);
    settled();
}

}  // namespace weirmill
