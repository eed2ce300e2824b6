#include "controller/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include "liveness/downlink.h"
#include "protocol/worker_codec.h"
#include "scheduler/gang_launch.h"

namespace weirmill {

namespace {

constexpr size_t kMaxUnexpectedTasks = 2000;
constexpr double kWarningPause_s = 10;      // between lines about heartbeats that make no sense
constexpr double kMaxResponseHold_s = 0.6;  // a response waits this long for records at most

void refuse(ReplyPromise& reply) { reply.set({503, "{}"}); }

}  // namespace

void HeartbeatHandler::heartbeat(PeerCall& call, ReplyPromise& reply) {
    if (context_.term->ended || past_grace()) return refuse(reply);
    auto heartbeat = parse(call, reply);
    if (!heartbeat) return;
    if (is_terminated_(heartbeat->machine)) return refuse(reply);
    if (from_later_term(*heartbeat)) return refuse(reply);
    auto index = context_.cluster.add_machine(heartbeat->machine, context_.now);
    auto& machine = *context_.cluster.machines[index];
    if (is_copy(machine, *heartbeat)) return refuse(reply);
    if (!machine.up && !has_returned(machine.downlink, {heartbeat->agent_epoch, heartbeat->seq},
                                     context_.settings, context_.now)) {
        (void)renew_lease(reply, {});
        return;
    }
    note_sender(machine, call, *heartbeat);
    HeldResponse held{reply, heartbeat->seq, context_.now + kMaxResponseHold_s, 0};
    size_t before = machine.tasks.size();
    apply_heartbeat(machine, index, *heartbeat);
    // What came free is offered to a scheduling pass before the response goes: without it, the next
    // task's start waited for the next regular heartbeat.
    if (machine.tasks.size() < before) held.after_pass = scheduling_loop_.passes() + 1;
    drop_held(index);
    scheduling_loop_.run_if_due();
    bool hold = held.after_pass > scheduling_loop_.passes() || waits_for_records(machine);
    if (context_.lease_valid() && hold)
        held_.emplace(index, held);
    else
        respond_to_heartbeat(index, held);
}

// Nothing: it is malformed, and answered.
std::optional<Heartbeat> HeartbeatHandler::parse(const PeerCall& call, ReplyPromise& reply) {
    try {
        return parse_heartbeat(call.body);
    } catch (const BadMessage& e) {
        context_.metrics.increment("malformed_reports_total");
        if (warning_due())
            spdlog::error("worker: malformed report from {} refused: {}", call.subject, e.what());
    }
    reply.set({400, "{}"});
    return {};
}

bool HeartbeatHandler::from_later_term(const Heartbeat& heartbeat) {
    if (heartbeat.fencing_token <= context_.term->fencing_token) return false;
    context_.metrics.increment("reports_of_later_tokens_total");
    if (warning_due())
        spdlog::info("worker: {} has seen token={}, later than ours", heartbeat.machine,
                     heartbeat.fencing_token);
    return true;
}

// A copy, or late: what it says is old, its worker has given up on the response, and the machine
// need not be reachable for it to arrive. Counted as answered, copies once kept a lease from
// running out.
bool HeartbeatHandler::is_copy(const Machine& machine, const Heartbeat& heartbeat) {
    if (std::pair(heartbeat.agent_epoch, heartbeat.seq) >
        std::pair(machine.agent_epoch, machine.seq))
        return false;
    context_.metrics.increment("report_copies_total");
    return true;
}

void HeartbeatHandler::note_sender(Machine& machine, const PeerCall& call,
                                   const Heartbeat& heartbeat) {
    machine.addr = heartbeat.addr;
    machine.relayed_by = call.sender;
    if (call.sender.empty()) machine.direct_at = context_.now;
    if (machine.type == kNone || machine.size == Resources{})
        context_.cluster.describe_machine(machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
}

bool HeartbeatHandler::warning_due() {
    if (context_.now < next_warning_) return false;
    next_warning_ = context_.now + kWarningPause_s;
    return true;
}

// ---- what a heartbeat says ----

void HeartbeatHandler::apply_heartbeat(Machine& machine, Index index, const Heartbeat& heartbeat) {
    if (!machine.up) machine_up(machine, heartbeat);
    if (heartbeat.agent_epoch > machine.agent_epoch)
        agent_restarted(machine, index, heartbeat.agent_epoch);
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.seq = heartbeat.seq;
    machine.last_heartbeat = context_.now;
    // From here on this worker takes no answer of an earlier leader.
    machine.saw_fencing_token = heartbeat.fencing_token == context_.term->fencing_token;
    note_interruption(machine, heartbeat.interruption_notice_s);
    machine.unexpected_tasks.clear();
    ReportedTasks reported;
    for (auto& status : heartbeat.tasks) reported.emplace(status.job, status.task);
    observe_downlink(machine, heartbeat, reported);
    for (auto& status : heartbeat.tasks) apply_task_status(machine, index, status);
    lose_missing_tasks(machine, index, heartbeat.seq, reported);
    if (heartbeat.interruption_notice_s >= 0)
        task_lifecycle_.drain_machine(index, heartbeat.interruption_notice_s);
}

void HeartbeatHandler::machine_up(Machine& machine, const Heartbeat& heartbeat) {
    // Provisioned by this leader and up for the first time: its boot shows how long boots take at
    // present.
    if (machine.provisioned_here && machine.up_at == 0)
        context_.cluster.learn_boot(machine.type, context_.now - machine.requested_at);
    machine.up = true;
    machine.up_at = context_.now;
    machine.status = MachineStatus::Running;
    if (!machine.terminating) machine.abandoned = false;
    context_.scheduling_needed = true;
    spdlog::info("machine: {} up type={} zone={} spot={} after={:.1f}s", machine.name,
                 heartbeat.type, heartbeat.zone, heartbeat.spot,
                 context_.now - machine.requested_at);
}

// A newer agent epoch: everything placed in an older one is gone.
void HeartbeatHandler::agent_restarted(Machine& machine, Index index, uint64_t agent_epoch) {
    auto tasks = machine.tasks;  // lose_task changes the machine's own
    for (auto& ref : tasks) {
        auto& task = context_.cluster.jobs[ref.job]->tasks[ref.task];
        if (task.state == TaskState::Placed && task.machine == index &&
            task.agent_epoch < agent_epoch)
            task_lifecycle_.lose_task(ref.job, ref.task);
    }
    machine.images.clear();
}

// Negative: there is no notice.
void HeartbeatHandler::note_interruption(Machine& machine, double notice_s) const {
    if (notice_s < 0) return;
    if (machine.interruption_at < 0)
        spdlog::info("machine: {} has an interruption notice, {:.1f}s left", machine.name,
                     notice_s);
    machine.interruption_at = context_.now + notice_s;
}

void HeartbeatHandler::observe_downlink(Machine& machine, const Heartbeat& heartbeat,
                                        const ReportedTasks& reported) {
    DownlinkObservation seen{{heartbeat.agent_epoch, heartbeat.seq},
                             machine.saw_fencing_token,
                             machine.relayed_by.empty()};
    for (auto& ref : machine.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase != TaskPhase::NotReported || task.start_seq == 0 ||
            task.start_seq >= heartbeat.seq)
            continue;
        if (reported.contains({job.spec.id, ref.task}))
            seen.start_taken = true;
        else
            seen.start_missing = true;
    }
    if (!observe_heartbeat(machine.downlink, seen, context_.settings, context_.now)) return;
    context_.metrics.increment("machines_deaf_total");
    spdlog::info("machine: {} downlink lost", machine.name);
}

void HeartbeatHandler::apply_task_status(Machine& machine, Index index, const TaskStatus& status) {
    bool exited = status.phase == TaskPhase::Exited;
    bool expected = false;
    auto it = context_.cluster.job_index.find(status.job);
    if (it != context_.cluster.job_index.end() &&
        status.task < context_.cluster.jobs[it->second]->tasks.size()) {
        auto& task = context_.cluster.jobs[it->second]->tasks[status.task];
        expected = task.placed_as(index, status.attempt);
        if (expected && !exited) {
            task_progressed(machine, it->second, status);
        } else if (expected) {
            task_lifecycle_.task_exited(it->second, status.task, index, status);
        } else if (exited && status.cause == ExitCause::Done && task.state != TaskState::Done &&
                   status.attempt <= task.attempt) {
            // An older attempt completed after all; its result is kept.
            spdlog::info("task: {}/{} done by an older attempt {}", status.job, status.task,
                         status.attempt);
        }
    }
    // Exited entries are acknowledged once their outcome is recorded; anything unexpected is
    // stopped.
    if ((exited || !expected) && machine.unexpected_tasks.size() < kMaxUnexpectedTasks)
        machine.unexpected_tasks.push_back({status.job, status.task, status.attempt, exited});
}

void HeartbeatHandler::task_progressed(Machine& machine, Index index, const TaskStatus& status) {
    auto& job = *context_.cluster.jobs[index];
    auto& task = job.tasks[status.task];
    bool runs = status.phase == TaskPhase::Running;
    if (runs && task.phase != TaskPhase::Running && task.running_at == 0)
        task.running_at = static_cast<float>(context_.now);
    // The image is there, whoever saw it fetched: a new leader learns so from what runs.
    if (status.phase != task.phase && status.phase != TaskPhase::Fetching)
        context_.cluster.saw_image(machine, job.spec);
    bool began = job.running == 0 && runs;
    context_.cluster.set_phase(job, task, status.phase);
    // It was left to fetch its image.
    if (job.gang_ending && !task.stopping && status.phase != TaskPhase::Fetching)
        task_lifecycle_.stop_task(index, status.task, false);
    if (!began) return;
    spdlog::debug(
        "job: {} class={} tasks={} attempt={} runs {:.1f}s after it came, placed {:.1f}s ago",
        job.spec.id, context_.cluster.names.classes.name(job.spec.job_class), job.spec.tasks,
        status.attempt, context_.now - job.came_at(), context_.now - task.placed_at);
}

// A task that the heartbeat does not name is proven gone only if the worker has seen our fencing
// token, as an earlier leader's start could else still arrive, and if this heartbeat was sent after
// our own start was answered. Of an attempt that this leader placed there is no earlier start.
void HeartbeatHandler::lose_missing_tasks(Machine& machine, Index index, uint64_t seq,
                                          const ReportedTasks& reported) {
    auto tasks = machine.tasks;  // lose_task changes the machine's own
    for (auto& ref : tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != index) continue;
        if (reported.contains({job.spec.id, ref.task})) continue;
        bool proof = (machine.saw_fencing_token || task.placed_this_term) &&
                     (task.start_seq == 0 || task.start_seq < seq);
        if (!proof) continue;
        // One that was not taken is started again, unless the machine's downlink is lost: then it
        // would not receive that either.
        if (task.phase != TaskPhase::NotReported || task.stopping ||
            machine.downlink.downlink_lost())
            task_lifecycle_.lose_task(ref.job, ref.task);
    }
}

// ---- responses ----

// Whether the response to this machine would gain from records on their way.
bool HeartbeatHandler::waits_for_records(const Machine& machine) const {
    for (auto& ref : machine.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase == TaskPhase::NotReported && !task.stopping &&
            !context_.cluster.recorded(job, ref.task))
            return true;
    }
    for (auto& entry : machine.unexpected_tasks) {
        auto* job = context_.cluster.find_job(entry.job);
        if (!job) continue;
        if (entry.task < job->tasks.size() && !context_.cluster.recorded(*job, entry.task))
            return true;
    }
    return false;
}

void HeartbeatHandler::respond_to_heartbeat(Index index, HeldResponse& held) {
    auto& machine = *context_.cluster.machines[index];
    std::vector<Command> commands;
    if (context_.lease_valid())
        for (auto& entry : machine.unexpected_tasks)
            if (auto command = command_for_unexpected(index, entry))
                commands.push_back(std::move(*command));
    for (auto& ref : machine.tasks)
        if (auto command = command_for_placed(machine, ref, held.seq))
            commands.push_back(std::move(*command));
    if (!renew_lease(held.reply, commands)) return;
    machine.last_answer = context_.now;
    record_response(machine.downlink, {machine.agent_epoch, held.seq}, machine.saw_fencing_token,
                    context_.now);
}

// For what the last heartbeat named and the cluster state does not have there as running.
std::optional<Command> HeartbeatHandler::command_for_unexpected(Index machine,
                                                                const UnexpectedTask& entry) const {
    auto* job = context_.cluster.find_job(entry.job);
    bool known = job && entry.task < job->tasks.size();
    bool expected = known && job->tasks[entry.task].placed_as(machine, entry.attempt);
    if (expected) return {};
    if (!entry.exited) return Command{CommandOp::Stop, entry.job, entry.task, entry.attempt, 0};
    // Once acknowledged, the worker no longer knows the attempt: its outcome must stand recorded.
    if (known && (job->ending || !context_.cluster.recorded(*job, entry.task))) return {};
    return Command{CommandOp::AcknowledgeExit, entry.job, entry.task, entry.attempt, 0};
}

bool HeartbeatHandler::may_start(const Machine& machine, const TaskRef& ref) const {
    auto& job = *context_.cluster.jobs[ref.job];
    auto& task = job.tasks[ref.task];
    if (task.phase != TaskPhase::NotReported || !context_.lease_valid() || !job.active())
        return false;
    if (task.agent_epoch != machine.agent_epoch) return false;
    if (machine.interruption_at >= 0 || machine.terminating) return false;
    if (!context_.cluster.recorded(job, ref.task)) return false;
    return task.start_seq > 0 ||
           may_launch(context_.cluster, job, ref.task, context_.settings.gang_wait_s,
                      context_.settings.heartbeat_interval_s, context_.now);
}

// `seq`: of the heartbeat that is answered. A start is noted at the task.
std::optional<Command> HeartbeatHandler::command_for_placed(const Machine& machine,
                                                            const TaskRef& ref, uint64_t seq) {
    auto& job = *context_.cluster.jobs[ref.job];
    auto& task = job.tasks[ref.task];
    if (task.stopping) {
        if (task.phase == TaskPhase::Saving && task.graceful) return {};
        return Command{CommandOp::Stop, job.spec.id, ref.task, task.attempt,
                       stop_grace_s(job, task)};
    }
    if (!may_start(machine, ref)) return {};
    if (task.start_seq == 0) task.placed_at = static_cast<float>(context_.now);
    task.start_seq = seq;
    return Command{CommandOp::Start, job.spec.id, ref.task, task.attempt, 0};
}

// The only way in which a heartbeat is answered with 200, which renews its worker's lease. One that
// was held while the grace ran out is not, either. False: it was refused.
bool HeartbeatHandler::renew_lease(ReplyPromise& reply, const std::vector<Command>& commands) {
    if (context_.term->ended || past_grace()) {
        refuse(reply);
        return false;
    }
    reply.set({200, heartbeat_response(context_.term->fencing_token, commands), 0,
               context_.term->fencing_token});
    return true;
}

void HeartbeatHandler::release_held(bool due_only) {
    for (auto it = held_.begin(); it != held_.end();) {
        auto* machine = context_.cluster.machines[it->first].get();
        auto& held = it->second;
        bool due = due_only && context_.now >= held.until;
        if (!machine) {
            refuse(held.reply);
        } else if (due ||
                   (held.after_pass <= scheduling_loop_.passes() && !waits_for_records(*machine))) {
            respond_to_heartbeat(it->first, held);
        } else {
            ++it;
            continue;
        }
        it = held_.erase(it);
    }
}

void HeartbeatHandler::drop_held(Index machine) {
    auto it = held_.find(machine);
    if (it == held_.end()) return;
    refuse(it->second.reply);
    held_.erase(it);
}

void HeartbeatHandler::redirect_held() {
    for (auto& [machine, held] : held_) held.reply.set({421, redirect_response("")});
    held_.clear();
}

}  // namespace weirmill
