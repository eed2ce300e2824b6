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

// Half of the mailbox is for the outcomes of calls, none of which may be lost.
constexpr size_t kMaxMessages = 2 * kMaxQueuedRequests;
constexpr double kReplyTimeout_s = 2.0;  // users are then told to retry later
constexpr double kMaxQuiesce_s = 0.6;    // maximum delay of a leadership transfer
constexpr double kLoadRetryDelay_s = 0.3;
constexpr double kTickInterval_s = 0.1;
constexpr double kMachineCheckInterval_s = 0.5;
constexpr double kAutoscaleInterval_s = 1.0;
constexpr double kAutoscaleRepeatDelay_s = 0.2;  // after the end of a scale-out pass
constexpr double kCapacityLogInterval_s = 5;

}  // namespace

Leader::Leader(asio::io_context& io, const Settings& settings, const Properties& properties,
               KvClient& kv, Metrics& metrics, std::shared_ptr<LeadershipTerm> term)
    : context_(io, settings, properties, kv, metrics, std::move(term)),
      stop_sender_(context_),
      task_lifecycle_(context_, stop_sender_),
      scheduling_loop_(context_, task_lifecycle_, [this] { return may_decide(); }),
      heartbeat_handler_(
          context_, task_lifecycle_, scheduling_loop_,
          [this](const std::string& name) { return instance_manager_.is_terminated(name); }),
      instance_manager_(context_, task_lifecycle_, stop_sender_, heartbeat_handler_,
                        [this] { return may_decide(); }),
      final_states_(kv),
      admission_(context_, final_states_, job_callbacks(),
                 [this](const std::string& id) { return adoption_.is_pending(id); }),
      adoption_(context_, final_states_, admission_),
      users_(context_, final_states_, admission_, adoption_,
             [this] { return log_writer_.kv_unavailable(); }),
      log_writer_(context_, users_, adoption_, admission_, job_callbacks(),
                  [this] { heartbeat_handler_.send_deferred(false); }),
      mailbox_(io, kMaxMessages) {
    context_.post = [this](LeaderMessage message) { post(std::move(message)); };
    context_.keep_alive = [this] { return shared_from_this(); };
}

JobCallbacks Leader::job_callbacks() {
    return {
        [this](Index job) { task_lifecycle_.reconcile_job(job); },
        [this](const std::vector<Index>& jobs) { task_lifecycle_.reconcile_cancelled_jobs(jobs); }};
}

void Leader::start() {
    asio::co_spawn(context_.io, run(shared_from_this()), asio::detached);
    instance_manager_.start_polling_types();
}

void Leader::stop() {
    context_.stopped = true;
    ready_ = false;
    context_.term->ended = true;
    mailbox_.close();
    users_.stop();
    heartbeat_handler_.redirect_deferred();
}

asio::awaitable<PeerReply> Leader::request(PeerCall call) {
    if (!ready_) co_return leadership_unconfirmed(context_);
    size_t bytes = call.body.size();
    if (queued_requests_ >= kMaxQueuedRequests ||
        queued_bytes_ + bytes > max_queued_request_bytes(context_.settings))
        co_return retry_later(context_);
    ReplyPromise reply(context_.io.get_executor());
    bool is_heartbeat = call.op == PeerOp::Heartbeat;
    ++queued_requests_;
    queued_bytes_ += bytes;
    post(RequestReceived{std::move(call), reply, bytes});
    // The reply to a heartbeat may take as long as its worker waits for it. In a burst of
    // heartbeats, a controller with a small share of a CPU core answers some of them late.
    double timeout_s = is_heartbeat
                           ? std::max(kReplyTimeout_s, context_.settings.worker_response_timeout_s)
                           : kReplyTimeout_s;
    auto result = co_await reply.wait(timeout_s);
    if (result) co_return *result;
    co_return is_heartbeat ? PeerReply{503, "{}"} : retry_later(context_);
}

void Leader::handle(RequestReceived& message) {
    --queued_requests_;
    queued_bytes_ -= message.bytes;
    switch (message.call.op) {
        case PeerOp::Submit:
            return users_.submit(message.call, message.reply);
        case PeerOp::Status:
            return users_.status(message.call, message.reply);
        case PeerOp::Cancel:
            return users_.cancel(message.call, message.reply);
        case PeerOp::Heartbeat:
            return heartbeat_handler_.handle_heartbeat(message.call, message.reply);
        case PeerOp::Ping:
        case PeerOp::Command:
            break;  // RequestRouter handles these and does not pass them to the leader
    }
    message.reply.set({400, "{}"});
}

void Leader::handle(DependenciesRead& message) {
    for (auto& [id, final_state] : message.final_states) final_states_.insert(id, final_state);
    if (message.for_adoption)
        adoption_.dependencies_read(message);
    else
        users_.dependencies_read(message);
}

void Leader::add_gauges(std::map<std::string, double>& out) const {
    size_t machines_up = 0, downlinks_lost = 0, tasks_placed = 0, tasks_pending = 0;
    for (auto& machine : context_.cluster.machines) {
        machines_up += machine && machine->up;
        downlinks_lost += machine && machine->up && machine->downlink.downlink_lost();
    }
    for (auto& job : context_.cluster.jobs) {
        if (!job) continue;
        tasks_placed += job->placed;
        tasks_pending += job->pending;
    }
    out["jobs_waiting"] = static_cast<double>(context_.cluster.dependencies().waiting_count());
    out["jobs"] = static_cast<double>(context_.cluster.job_index.size());
    out["machines"] = static_cast<double>(context_.cluster.machine_index.size());
    out["machines_up"] = static_cast<double>(machines_up);
    out["machines_deaf"] = static_cast<double>(downlinks_lost);
    out["tasks_placed"] = static_cast<double>(tasks_placed);
    out["tasks_pending"] = static_cast<double>(tasks_pending);
    out["queues_pressed"] = static_cast<double>(forecast_.overloaded_queues());
    auto is_usable_now = usable_predicate(context_);
    for (auto& gauge :
         capacity_gauges(capacity_breakdown(context_.cluster, is_usable_now, context_.now)))
        out[gauge.name] = gauge.value;
    for (auto& gauge : starved_gauges(
             starved_jobs(context_.cluster, is_usable_now, context_.now, kStarvationThreshold_s)))
        out[gauge.name] = gauge.value;
}

void Leader::post(LeaderMessage message) {
    if (context_.stopped) return;
    if (mailbox_.try_send(boost::system::error_code(), std::move(message))) return;
    // This leader would wait forever for the outcome that is lost here. The next leader reads the
    // records again.
    spdlog::error("leader: mailbox full, stepping down");
    context_.term->ended = true;
}

asio::awaitable<void> Leader::run(std::shared_ptr<Leader> self) {
    auto pending = co_await load();
    if (!pending || context_.stopped) co_return;
    become_ready(*pending);
    asio::co_spawn(context_.io, tick_loop(self), asio::detached);
    instance_manager_.start_polling_list();
    adoption_.start_watch();
    while (!context_.stopped) {
        auto [ec, message] = co_await mailbox_.async_receive(asio::as_tuple(asio::use_awaitable));
        if (ec) break;
        context_.now = steady_now();
        std::visit([this](auto& received) { handle(received); }, message);
        if (context_.stopped) break;
        scheduling_loop_.run_if_due();
        stop_sender_.flush_stops();
        log_writer_.flush();
        if (on_quiesced_) finish_transfer_if_quiesced();
    }
}

asio::awaitable<std::optional<PendingRecordsChanged>> Leader::load() {
    StateLoader loader(context_);
    std::optional<PendingRecordsChanged> pending;
    while (!context_.stopped) {
        auto metadata = co_await loader.load();
        if (metadata) {
            scheduling_loop_.set_last_preemption_round(metadata->preemption_rounds);
            instance_manager_.set_recorded_types(metadata->machine_types);
            pending = co_await adoption_.read_all();
        }
        if (pending) break;
        co_await sleep_s(kLoadRetryDelay_s);
    }
    co_return pending;
}

void Leader::become_ready(const PendingRecordsChanged& pending) {
    context_.now = steady_now();
    // The cloud's list may not contain machines yet that an earlier leader has provisioned. Without
    // this delay, this leader would provision them again.
    if (!context_.cluster.jobs.empty())
        instance_manager_.defer_scale_out(context_.term->won_at + 2 * context_.settings.list_lag_s);
    next_preemption_at_ = context_.now + context_.properties.preemption_round_s / 2;
    ready_ = true;
    spdlog::info("leader: ready token={} jobs={} machines={}", context_.term->fencing_token,
                 context_.cluster.job_index.size(), context_.cluster.machine_index.size());
    for (Index job_index = 0; job_index < context_.cluster.jobs.size(); ++job_index) {
        if (!context_.cluster.jobs[job_index]) continue;
        auto& job = *context_.cluster.jobs[job_index];
        job.submitted_steady = context_.now - std::max(0.0, wall_now() - job.submitted_wall);
        job.ready_steady = context_.now - std::max(0.0, wall_now() - job.ready_wall);
        task_lifecycle_.reconcile_job(job_index);
    }
    context_.cluster.propagate_priorities_and_deadlines();
    if (!pending.events.empty())
        spdlog::info("leader: adopting {} pending records", pending.events.size());
    adoption_.apply_changes(pending);
}

asio::awaitable<void> Leader::tick_loop(std::shared_ptr<Leader> self) {
    (void)self;
    while (!context_.stopped) {
        co_await sleep_s(kTickInterval_s);
        post(TimerTick{});
    }
}

void Leader::handle(TimerTick&) {
    heartbeat_handler_.send_deferred(true);
    adoption_.adopt_due();
    if (context_.now >= next_machine_check_at_) {
        next_machine_check_at_ = context_.now + kMachineCheckInterval_s;
        instance_manager_.check_machines();
        stop_sender_.repeat_stops();
    }
    if (context_.now >= next_preemption_at_) {
        next_preemption_at_ = context_.now + context_.properties.preemption_round_s;
        scheduling_loop_.run_preemption_round();
    }
    if (context_.now >= next_autoscale_at_) {
        next_autoscale_at_ = context_.now + kAutoscaleInterval_s;
        if (context_.properties.overload_enabled) forecast_.observe(context_.cluster, context_.now);
        instance_manager_.autoscale();
        log_capacity();
        context_.scheduling_needed = true;  // back-offs and quarantines may have expired
    }
}

// Logs why jobs wait, as an aid to debugging.
void Leader::log_capacity() {
    if (!spdlog::should_log(spdlog::level::debug) || context_.now < next_capacity_log_at_) return;
    next_capacity_log_at_ = context_.now + kCapacityLogInterval_s;
    spdlog::debug("capacity: {}", capacity_summary(capacity_breakdown(
                                      context_.cluster, usable_predicate(context_), context_.now)));
    for (auto& [key, queue] : forecast_.queues())
        if (queue.waiting_jobs > 0)
            spdlog::debug(
                "queue: class {} of team {}, {} jobs waiting, {} of them abandon a deadline, "
                "{:.0f} units in use, {:.0f} left, drains in {:.0f}s of {:.0f}s",
                context_.cluster.names.classes.name(key.job_class),
                context_.cluster.names.teams.name(key.team), queue.waiting_jobs,
                queue.jobs_abandoning_deadline, queue.used_units, queue.units_after_higher_priority,
                queue.drain_s, queue.target_s);
}

void Leader::handle(ScaleOutFinished& message) {
    instance_manager_.handle(message);
    next_autoscale_at_ = std::min(next_autoscale_at_, context_.now + kAutoscaleRepeatDelay_s);
}

// Leadership transfer.

void Leader::transfer_leadership(std::function<void()> on_quiesced) {
    if (!ready_) return on_quiesced();
    post(TransferRequested{std::move(on_quiesced)});
}

void Leader::handle(TransferRequested& message) {
    on_quiesced_ = std::move(message.on_quiesced);
    quiesce_deadline_ = context_.now + kMaxQuiesce_s;
    // New requests are no longer accepted. As at the end of any term, requests in progress complete
    // or their senders repeat them to the next leader.
    ready_ = false;
}

// Transfers the leadership once all queued records are written, or at the deadline. The next
// leader would have to repeat the work behind records that are not written.
void Leader::finish_transfer_if_quiesced() {
    if (log_writer_.busy() && context_.now < quiesce_deadline_) return;
    auto on_quiesced = std::exchange(on_quiesced_, nullptr);
    on_quiesced();
}

}  // namespace weirmill
