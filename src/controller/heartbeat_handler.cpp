#include "controller/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include "liveness/downlink.h"
#include "protocol/worker_codec.h"
#include "scheduler/gang_launch.h"

namespace weirmill {

namespace {

constexpr size_t kMaxUnexpectedTasks = 2000;
constexpr double kWarningInterval_s = 10;    // between log lines about invalid heartbeats
constexpr double kMaxResponseDelay_s = 0.6;  // maximum delay of a deferred response

void refuse(ReplyPromise& reply) { reply.set({503, "{}"}); }

}  // namespace

void HeartbeatHandler::handle_heartbeat(PeerCall& call, ReplyPromise& reply) {
    if (context_.term->ended || answering_grace_expired()) return refuse(reply);
    auto heartbeat = parse(call, reply);
    if (!heartbeat) return;
    if (is_terminated_(heartbeat->machine)) return refuse(reply);
    if (is_from_later_term(*heartbeat)) return refuse(reply);
    auto machine_index = context_.cluster.add_machine(heartbeat->machine, context_.now);
    auto& machine = *context_.cluster.machines[machine_index];
    if (is_duplicate(machine, *heartbeat)) return refuse(reply);
    if (!machine.up && !has_returned(machine.downlink, {heartbeat->agent_epoch, heartbeat->seq},
                                     context_.settings, context_.now)) {
        (void)renew_lease(reply, {});
        return;
    }
    record_sender(machine, call, *heartbeat);
    DeferredResponse response{reply, heartbeat->seq, context_.now + kMaxResponseDelay_s, 0};
    size_t tasks_before = machine.tasks.size();
    apply_heartbeat(machine, machine_index, *heartbeat);
    // If tasks have ended, a scheduling pass runs before the response is sent, so that the response
    // can already start the next task. Otherwise that start would wait for the next heartbeat.
    if (machine.tasks.size() < tasks_before) response.required_pass = scheduling_loop_.passes() + 1;
    refuse_deferred(machine_index);
    scheduling_loop_.run_if_due();
    bool defer =
        response.required_pass > scheduling_loop_.passes() || is_waiting_for_records(machine);
    if (context_.lease_valid() && defer)
        deferred_.emplace(machine_index, response);
    else
        respond(machine_index, response);
}

// Returns nothing if the heartbeat is malformed, and refuses it in that case.
std::optional<Heartbeat> HeartbeatHandler::parse(const PeerCall& call, ReplyPromise& reply) {
    try {
        return parse_heartbeat(call.body);
    } catch (const BadMessage& e) {
        context_.metrics.increment("malformed_reports_total");
        if (may_log_warning())
            spdlog::error("worker: refused malformed heartbeat from {}: {}", call.subject,
                          e.what());
    }
    reply.set({400, "{}"});
    return {};
}

bool HeartbeatHandler::is_from_later_term(const Heartbeat& heartbeat) {
    if (heartbeat.fencing_token <= context_.term->fencing_token) return false;
    context_.metrics.increment("reports_of_later_tokens_total");
    if (may_log_warning())
        spdlog::info("worker: {} has seen token={}, newer than ours", heartbeat.machine,
                     heartbeat.fencing_token);
    return true;
}

// Returns whether the heartbeat is a duplicate or has been overtaken by a later one. Its content is
// outdated, its worker no longer waits for the response, and it does not show that the machine is
// reachable. When duplicates were answered, they kept leases from expiring.
bool HeartbeatHandler::is_duplicate(const Machine& machine, const Heartbeat& heartbeat) {
    if (std::pair(heartbeat.agent_epoch, heartbeat.seq) >
        std::pair(machine.agent_epoch, machine.heartbeat_seq))
        return false;
    context_.metrics.increment("report_copies_total");
    return true;
}

void HeartbeatHandler::record_sender(Machine& machine, const PeerCall& call,
                                     const Heartbeat& heartbeat) {
    machine.addr = heartbeat.addr;
    machine.relayed_by = call.sender;
    if (call.sender.empty()) machine.last_direct_heartbeat = context_.now;
    if (machine.type == kNone || machine.size == Resources{})
        context_.cluster.describe_machine(machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
}

// Limits the rate of log lines about invalid heartbeats. Returns true at most once per
// kWarningInterval_s.
bool HeartbeatHandler::may_log_warning() {
    if (context_.now < next_warning_at_) return false;
    next_warning_at_ = context_.now + kWarningInterval_s;
    return true;
}

// Content of heartbeats.

void HeartbeatHandler::apply_heartbeat(Machine& machine, Index machine_index,
                                       const Heartbeat& heartbeat) {
    if (!machine.up) mark_machine_up(machine, heartbeat);
    if (heartbeat.agent_epoch > machine.agent_epoch)
        handle_agent_restart(machine, machine_index, heartbeat.agent_epoch);
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.heartbeat_seq = heartbeat.seq;
    machine.last_heartbeat = context_.now;
    // A worker that has seen our fencing token ignores responses of earlier leaders.
    machine.saw_fencing_token = heartbeat.fencing_token == context_.term->fencing_token;
    record_interruption_notice(machine, heartbeat.interruption_notice_s);
    machine.unexpected_tasks.clear();
    ReportedTasks reported;
    for (auto& status : heartbeat.tasks) reported.emplace(status.job, status.task);
    observe_downlink(machine, heartbeat, reported);
    for (auto& status : heartbeat.tasks) apply_task_status(machine, machine_index, status);
    mark_missing_tasks_lost(machine, machine_index, heartbeat.seq, reported);
    if (heartbeat.interruption_notice_s >= 0)
        task_lifecycle_.prepare_for_interruption(machine_index, heartbeat.interruption_notice_s);
}

void HeartbeatHandler::mark_machine_up(Machine& machine, const Heartbeat& heartbeat) {
    // The first boot of a machine that this leader provisioned shows how long boots take at
    // present.
    if (machine.provisioned_here && machine.up_at == 0)
        context_.cluster.observe_boot_time(machine.type, context_.now - machine.requested_at);
    machine.up = true;
    machine.up_at = context_.now;
    machine.status = MachineStatus::Running;
    if (!machine.terminating) machine.abandoned = false;
    context_.scheduling_needed = true;
    spdlog::info("machine: {} up type={} zone={} spot={} after={:.1f}s", machine.name,
                 heartbeat.type, heartbeat.zone, heartbeat.spot,
                 context_.now - machine.requested_at);
}

// The agent has begun a new epoch: every task that was placed in an older one is gone.
void HeartbeatHandler::handle_agent_restart(Machine& machine, Index machine_index,
                                            uint64_t agent_epoch) {
    auto tasks = machine.tasks;  // a copy, as mark_lost removes tasks from the machine
    for (auto& ref : tasks) {
        auto& task = context_.cluster.jobs[ref.job]->tasks[ref.task];
        if (task.state == TaskState::Placed && task.machine == machine_index &&
            task.agent_epoch < agent_epoch)
            task_lifecycle_.mark_lost(ref.job, ref.task);
    }
    machine.cached_images.clear();
}

// A negative `notice_s` means that there is no notice.
void HeartbeatHandler::record_interruption_notice(Machine& machine, double notice_s) const {
    if (notice_s < 0) return;
    if (machine.interruption_at < 0)
        spdlog::info("machine: {} has an interruption notice, {:.1f}s left", machine.name,
                     notice_s);
    machine.interruption_at = context_.now + notice_s;
}

void HeartbeatHandler::observe_downlink(Machine& machine, const Heartbeat& heartbeat,
                                        const ReportedTasks& reported) {
    DownlinkObservation observation{{heartbeat.agent_epoch, heartbeat.seq},
                                    machine.saw_fencing_token,
                                    machine.relayed_by.empty()};
    // A command that is held up on its way may be carried out late.
    observation.commands_sent = context_.now - machine.commands_sent_at < context_.settings.lease_s;
    for (auto& ref : machine.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase != TaskPhase::NotReported || task.start_seq == 0 ||
            task.start_seq >= heartbeat.seq)
            continue;
        if (reported.contains({job.spec.id, ref.task}))
            observation.launch_confirmed = true;
        else
            observation.launch_missing = true;
    }
    if (!observe_heartbeat(machine.downlink, observation, context_.settings, context_.now)) return;
    context_.metrics.increment("machines_deaf_total");
    spdlog::info("machine: {} does not receive responses, downlink lost", machine.name);
}

void HeartbeatHandler::apply_task_status(Machine& machine, Index machine_index,
                                         const TaskStatus& status) {
    bool exited = status.phase == TaskPhase::Exited;
    bool expected = false;
    auto it = context_.cluster.job_index.find(status.job);
    if (it != context_.cluster.job_index.end() &&
        status.task < context_.cluster.jobs[it->second]->tasks.size()) {
        auto& task = context_.cluster.jobs[it->second]->tasks[status.task];
        expected = task.placed_as(machine_index, status.attempt);
        if (expected && !exited) {
            update_task_phase(machine, it->second, status);
        } else if (expected) {
            task_lifecycle_.handle_exit(it->second, status.task, machine_index, status);
        } else if (exited && status.cause == ExitCause::Done && task.state != TaskState::Done &&
                   status.attempt <= task.attempt) {
            // An attempt that is no longer expected here has completed. Its result is kept.
            spdlog::info("task: {}/{} completed by older attempt {}", status.job, status.task,
                         status.attempt);
        }
    }
    // The response acknowledges exits whose outcome is recorded, and stops tasks that are not
    // expected on this machine.
    if ((exited || !expected) && machine.unexpected_tasks.size() < kMaxUnexpectedTasks)
        machine.unexpected_tasks.push_back({status.job, status.task, status.attempt, exited});
}

void HeartbeatHandler::update_task_phase(Machine& machine, Index job_index,
                                         const TaskStatus& status) {
    auto& job = *context_.cluster.jobs[job_index];
    auto& task = job.tasks[status.task];
    bool is_running = status.phase == TaskPhase::Running;
    if (is_running && task.phase != TaskPhase::Running && task.running_at == 0)
        task.running_at = static_cast<float>(context_.now);
    // The machine has the image of a task that is past fetching. A new leader learns of images in
    // this way.
    if (status.phase != task.phase && status.phase != TaskPhase::Fetching)
        context_.cluster.mark_image_used(machine, job.spec);
    bool job_started = job.running == 0 && is_running;
    context_.cluster.set_phase(job, task, status.phase);
    // The gang's attempt ended while this task was fetching its image.
    if (job.gang_attempt_ending && !task.stopping && status.phase != TaskPhase::Fetching)
        task_lifecycle_.stop_task(job_index, status.task, false);
    if (!job_started) return;
    spdlog::debug(
        "job: {} class={} tasks={} attempt={} running {:.1f}s after it became ready, {:.1f}s after "
        "its placement",
        job.spec.id, context_.cluster.names.classes.name(job.spec.job_class), job.spec.tasks,
        status.attempt, context_.now - job.schedulable_since_steady(),
        context_.now - task.placed_at);
}

// A task that the heartbeat does not list is proven gone only if the worker has seen our fencing
// token, as otherwise a start command of an earlier leader could still arrive, and if the worker
// sent this heartbeat after the one that was answered with our own start command. No earlier leader
// can have started an attempt that this leader placed.
void HeartbeatHandler::mark_missing_tasks_lost(Machine& machine, Index machine_index, uint64_t seq,
                                               const ReportedTasks& reported) {
    auto tasks = machine.tasks;  // a copy, as mark_lost removes tasks from the machine
    for (auto& ref : tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != machine_index) continue;
        if (reported.contains({job.spec.id, ref.task})) continue;
        bool proven_gone = (machine.saw_fencing_token || task.placed_this_term) &&
                           (task.start_seq == 0 || task.start_seq < seq);
        if (!proven_gone) continue;
        // A task that the worker did not start is started again, unless the machine's downlink is
        // lost, as the machine would not receive the new start command either.
        if (task.phase != TaskPhase::NotReported || task.stopping ||
            machine.downlink.downlink_lost())
            task_lifecycle_.mark_lost(ref.job, ref.task);
    }
}

// Responses.

// Returns whether pending writes of records would allow more commands in the response to this
// machine.
bool HeartbeatHandler::is_waiting_for_records(const Machine& machine) const {
    for (auto& ref : machine.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase == TaskPhase::NotReported && !task.stopping &&
            !context_.cluster.task_recorded(job, ref.task))
            return true;
    }
    for (auto& entry : machine.unexpected_tasks) {
        auto* job = context_.cluster.find_job(entry.job);
        if (!job) continue;
        if (entry.task < job->tasks.size() && !context_.cluster.task_recorded(*job, entry.task))
            return true;
    }
    return false;
}

void HeartbeatHandler::respond(Index machine_index, DeferredResponse& response) {
    auto& machine = *context_.cluster.machines[machine_index];
    std::vector<Command> commands;
    if (context_.lease_valid())
        for (auto& entry : machine.unexpected_tasks)
            if (auto command = command_for_unexpected(machine_index, entry))
                commands.push_back(std::move(*command));
    for (auto& ref : machine.tasks)
        if (auto command = command_for_placed(machine, ref, response.seq))
            commands.push_back(std::move(*command));
    if (!renew_lease(response.reply, commands)) return;
    machine.last_answer = context_.now;
    record_response(machine.downlink, {machine.agent_epoch, response.seq},
                    machine.saw_fencing_token, context_.now);
}

// Returns the command for an entry of the last heartbeat that the cluster state does not have as a
// running task of this machine: a stop, or the acknowledgement of an exit.
std::optional<Command> HeartbeatHandler::command_for_unexpected(Index machine_index,
                                                                const UnexpectedTask& entry) const {
    auto* job = context_.cluster.find_job(entry.job);
    bool known = job && entry.task < job->tasks.size();
    bool expected = known && job->tasks[entry.task].placed_as(machine_index, entry.attempt);
    if (expected) return {};
    if (!entry.exited) return Command{CommandOp::Stop, entry.job, entry.task, entry.attempt, 0};
    // The worker forgets an acknowledged attempt, so its outcome must be recorded first.
    if (known && (job->ending || !context_.cluster.task_recorded(*job, entry.task))) return {};
    return Command{CommandOp::AcknowledgeExit, entry.job, entry.task, entry.attempt, 0};
}

bool HeartbeatHandler::may_start(const Machine& machine, const TaskRef& ref) const {
    auto& job = *context_.cluster.jobs[ref.job];
    auto& task = job.tasks[ref.task];
    if (task.phase != TaskPhase::NotReported || !context_.lease_valid() || !job.active())
        return false;
    if (task.agent_epoch != machine.agent_epoch) return false;
    if (machine.interruption_at >= 0 || machine.terminating) return false;
    if (!context_.cluster.task_recorded(job, ref.task)) return false;
    return task.start_seq > 0 ||
           may_launch(context_.cluster, job, ref.task, context_.settings.gang_wait_s,
                      context_.settings.heartbeat_interval_s, context_.now);
}

// Returns the command for a task that is placed on the machine: a stop, a start or nothing. Updates
// the task if it is started. `seq` is the sequence number of the heartbeat that is answered.
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

// Responds to a heartbeat with status 200, which renews the worker's lease. No other function does
// so. Refuses the heartbeat and returns false if the grace period is over, which may have happened
// while the response was deferred.
bool HeartbeatHandler::renew_lease(ReplyPromise& reply, const std::vector<Command>& commands) {
    if (context_.term->ended || answering_grace_expired()) {
        refuse(reply);
        return false;
    }
    reply.set({200, heartbeat_response(context_.term->fencing_token, commands), 0,
               context_.term->fencing_token});
    return true;
}

void HeartbeatHandler::send_deferred(bool include_expired) {
    for (auto it = deferred_.begin(); it != deferred_.end();) {
        auto* machine = context_.cluster.machines[it->first].get();
        auto& response = it->second;
        bool expired = include_expired && context_.now >= response.deadline;
        if (!machine) {
            refuse(response.reply);
        } else if (expired || (response.required_pass <= scheduling_loop_.passes() &&
                               !is_waiting_for_records(*machine))) {
            respond(it->first, response);
        } else {
            ++it;
            continue;
        }
        it = deferred_.erase(it);
    }
}

void HeartbeatHandler::refuse_deferred(Index machine) {
    auto it = deferred_.find(machine);
    if (it == deferred_.end()) return;
    refuse(it->second.reply);
    deferred_.erase(it);
}

void HeartbeatHandler::redirect_deferred() {
    for (auto& [machine_index, response] : deferred_)
        response.reply.set({421, redirect_response("")});
    deferred_.clear();
}

}  // namespace weirmill
