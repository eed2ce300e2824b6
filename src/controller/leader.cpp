#include "controller/leader.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "config/capacity.h"
#include "controller/leader_replies.h"
#include "controller/planning_inputs.h"
#include "controller/state_loader.h"
#include "scheduler/capacity_breakdown.h"
#include "scheduler/starvation.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

// Outcomes of calls have as much room again as requests: none of them may be lost.
constexpr size_t kMaxMessages = 2 * kMaxQueuedRequests;
constexpr double kAnswer_s = 2.0;     // after that, users are asked to come back
constexpr double kMaxSettle_s = 0.6;  // before a transfer of the leadership
constexpr double kLoadRetry_s = 0.3;
constexpr double kTick_s = 0.1;
constexpr double kCheckPause_s = 0.5;
constexpr double kAutoscalePause_s = 1.0;
constexpr double kAutoscaleAgain_s = 0.2;  // after a scale-out pass is over
constexpr double kCapacityLogPause_s = 5;

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
      final_states_(state),
      admission_(context_, final_states_, job_callbacks(),
                 [this](const std::string& id) { return adoption_.is_pending(id); }),
      adoption_(context_, final_states_, admission_),
      users_(context_, final_states_, admission_, adoption_,
             [this] { return log_writer_.kv_unavailable(); }),
      log_writer_(context_, users_, adoption_, admission_, job_callbacks(),
                  [this] { heartbeat_handler_.release_held(false); }),
      mailbox_(io, kMaxMessages) {
    context_.post = [this](LeaderMessage message) { post(std::move(message)); };
    context_.keep_alive = [this] { return shared_from_this(); };
}

JobCallbacks Leader::job_callbacks() {
    return {[this](Index job) { task_lifecycle_.check_job(job); },
            [this](const std::vector<Index>& jobs) { task_lifecycle_.check_cancelled(jobs); }};
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
    users_.stop();
    heartbeat_handler_.redirect_held();
}

asio::awaitable<PeerReply> Leader::ask(PeerCall call) {
    if (!ready_) co_return undecided(context_);
    size_t bytes = call.body.size();
    if (queued_requests_ >= kMaxQueuedRequests ||
        queued_bytes_ + bytes > max_queued_request_bytes(context_.settings))
        co_return retry_later(context_);
    ReplyPromise reply(context_.io.get_executor());
    bool is_heartbeat = call.op == PeerOp::Heartbeat;
    ++queued_requests_;
    queued_bytes_ += bytes;
    post(RequestReceived{std::move(call), reply, bytes});
    // A worker waits for as long as its own patience: with a burst of heartbeats on a small share
    // of a core, some are answered late.
    double wait_s =
        is_heartbeat ? std::max(kAnswer_s, context_.settings.worker_response_timeout_s) : kAnswer_s;
    auto answer = co_await reply.wait(wait_s);
    if (answer) co_return *answer;
    co_return is_heartbeat ? PeerReply{503, "{}"} : retry_later(context_);
}

void Leader::handle(RequestReceived& m) {
    --queued_requests_;
    queued_bytes_ -= m.bytes;
    switch (m.call.op) {
        case PeerOp::Submit:
            return users_.submit(m.call, m.reply);
        case PeerOp::Status:
            return users_.status(m.call, m.reply);
        case PeerOp::Cancel:
            return users_.cancel(m.call, m.reply);
        case PeerOp::Heartbeat:
            return heartbeat_handler_.heartbeat(m.call, m.reply);
        case PeerOp::Ping:
        case PeerOp::Command:
            break;  // answered by the node itself
    }
    m.reply.set({400, "{}"});
}

void Leader::handle(DependenciesRead& m) {
    for (auto& [id, ended] : m.ended) final_states_.remember(id, ended);
    if (m.adopts)
        adoption_.resume(m);
    else
        users_.dependencies_read(m);
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
    auto can_use = usable_now(context_);
    for (auto& gauge : capacity_gauges(capacity_breakdown(context_.cluster, can_use, context_.now)))
        out[gauge.name] = gauge.value;
    for (auto& gauge :
         starved_gauges(starved_jobs(context_.cluster, can_use, context_.now, kStarvedAfter_s)))
        out[gauge.name] = gauge.value;
}

void Leader::post(LeaderMessage m) {
    if (context_.stopped) return;
    if (mailbox_.try_send(boost::system::error_code(), std::move(m))) return;
    // Without an outcome that was lost, this leader would wait for ever: the next one reads the
    // records anew.
    spdlog::error("leader: mailbox full, giving up the leadership");
    context_.term->ended = true;
}

asio::awaitable<void> Leader::run(std::shared_ptr<Leader> self) {
    auto pending = co_await load();
    if (!pending || context_.stopped) co_return;
    become_ready(*pending);
    asio::co_spawn(context_.io, tick_loop(self), asio::detached);
    instance_manager_.start_reading_list();
    adoption_.start_watch();
    while (!context_.stopped) {
        auto [ec, message] = co_await mailbox_.async_receive(asio::as_tuple(asio::use_awaitable));
        if (ec) break;
        context_.now = steady_now();
        std::visit([this](auto& m) { handle(m); }, message);
        if (context_.stopped) break;
        scheduling_loop_.run_if_due();
        stop_sender_.flush_stops();
        log_writer_.flush();
        if (on_settled_) settle();
    }
}

asio::awaitable<std::optional<PendingRecordsChanged>> Leader::load() {
    StateLoader loader(context_);
    std::optional<PendingRecordsChanged> pending;
    while (!context_.stopped) {
        auto notes = co_await loader.load();
        if (notes) {
            scheduling_loop_.resume_rounds(notes->preemption_rounds);
            instance_manager_.set_recorded_types(notes->machine_types);
            pending = co_await adoption_.read_all();
        }
        if (pending) break;
        co_await sleep_s(kLoadRetry_s);
    }
    co_return pending;
}

void Leader::become_ready(const PendingRecordsChanged& pending) {
    context_.now = steady_now();
    // Machines that a predecessor provisioned may not be listed yet: without waiting, they would be
    // provisioned again.
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
    if (!pending.events.empty())
        spdlog::info("leader: {} pending records to adopt", pending.events.size());
    adoption_.receive(pending);
}

asio::awaitable<void> Leader::tick_loop(std::shared_ptr<Leader> self) {
    (void)self;
    while (!context_.stopped) {
        co_await sleep_s(kTick_s);
        post(TimerTick{});
    }
}

void Leader::handle(TimerTick&) {
    heartbeat_handler_.release_held(true);
    adoption_.adopt_due();
    if (context_.now >= next_check_) {
        next_check_ = context_.now + kCheckPause_s;
        instance_manager_.check_machines();
        stop_sender_.repeat_stops();
    }
    if (context_.now >= next_round_) {
        next_round_ = context_.now + context_.properties.preemption_round_s;
        scheduling_loop_.preempt();
    }
    if (context_.now >= next_autoscale_) {
        next_autoscale_ = context_.now + kAutoscalePause_s;
        if (context_.properties.overload_enabled) forecast_.observe(context_.cluster, context_.now);
        instance_manager_.autoscale();
        log_capacity();
        context_.scheduling_needed = true;  // back-offs and quarantines end with time alone
    }
}

// Why jobs wait, for the operators' engineers.
void Leader::log_capacity() {
    if (!spdlog::should_log(spdlog::level::debug) || context_.now < next_capacity_log_) return;
    next_capacity_log_ = context_.now + kCapacityLogPause_s;
    spdlog::debug("capacity: {}", capacity_text(capacity_breakdown(
                                      context_.cluster, usable_now(context_), context_.now)));
    for (auto& [key, q] : forecast_.queues())
        if (q.jobs > 0)
            spdlog::debug(
                "queue: {} of {}, {} jobs wait, {} of them give up a time, {:.0f} units in "
                "use, "
                "{:.0f} left, "
                "drains in {:.0f}s of {:.0f}s",
                context_.cluster.names.classes.name(key.job_class),
                context_.cluster.names.teams.name(key.team), q.jobs, q.abandoning, q.in_use, q.left,
                q.drain_s, q.within_s);
}

void Leader::handle(ScaleOutFinished& m) {
    instance_manager_.handle(m);
    next_autoscale_ = std::min(next_autoscale_, context_.now + kAutoscaleAgain_s);
}

// ---- transfer of the leadership ----

void Leader::transfer_leadership(std::function<void()> settled) {
    if (!ready_) return settled();
    post(TransferRequested{std::move(settled)});
}

void Leader::handle(TransferRequested& m) {
    on_settled_ = std::move(m.settled);
    settle_deadline_ = context_.now + kMaxSettle_s;
    // Requests of users go on to the next leader, as at any end of a term: they are under way or
    // repeated.
    ready_ = false;
}

// Records that are under way or waiting are written first: the next leader would else do the work
// again.
void Leader::settle() {
    if (log_writer_.busy() && context_.now < settle_deadline_) return;
    auto settled = std::exchange(on_settled_, nullptr);
    settled();
}

}  // namespace weirmill
