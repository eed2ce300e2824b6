// The leader: reports from workers, and the answers held for records.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/leader.h"
#include "liveness/downlink.h"
#include "protocol/worker_codec.h"
#include "scheduler/gang_launch.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxUnexpectedTasks = 2000;
constexpr double kWarning_s = 10;           // between lines about reports that make no sense
constexpr double kMaxResponseHold_s = 0.6;  // a report waits this long for records at most

}  // namespace

void Leader::heartbeat(PeerCall& call, ReplyPromise& reply) {
    if (context_.term->ended || past_grace()) return reply.set({503, "{}"});
    Heartbeat r;
    try {
        r = parse_heartbeat(call.body);
    } catch (const BadMessage& e) {
        context_.metrics.count("malformed_reports_total");
        if (context_.now >= next_warning_) {
            next_warning_ = context_.now + kWarning_s;
            spdlog::error("worker: malformed report from {} refused: {}", call.subject, e.what());
        }
        return reply.set({400, "{}"});
    }
    if (gone_.count(r.machine)) return reply.set({503, "{}"});
    if (r.fencing_token > context_.term->fencing_token) {
        context_.metrics.count("reports_of_later_tokens_total");
        if (context_.now >= next_warning_) {
            next_warning_ = context_.now + kWarning_s;
            spdlog::info("worker: {} has seen token={}, later than ours", r.machine,
                         r.fencing_token);
        }
        return reply.set({503, "{}"});
    }
    auto index = context_.cluster.add_machine(r.machine, context_.now);
    auto& m = *context_.cluster.machines[index];
    if (std::pair(r.agent_epoch, r.seq) <= std::pair(m.agent_epoch, m.seq)) {
        // A copy, or late: what it says is old, its worker has given up on the answer, and a
        // machine is not there for it. Taken for answered, copies once kept a lease from being
        // counted to its end.
        context_.metrics.count("report_copies_total");
        return reply.set({503, "{}"});
    }
    if (!m.up &&
        !has_returned(m.downlink, {r.agent_epoch, r.seq}, context_.settings, context_.now)) {
        renew_lease(reply, {});
        return;
    }
    m.addr = r.addr;
    m.relayed_by = call.sender;
    if (call.sender.empty()) m.direct_at = context_.now;
    if (m.type == kNone || m.size == Resources{})
        context_.cluster.describe_machine(m, r.type, r.zone, r.spot);
    Held held{reply, r.seq, context_.now + kMaxResponseHold_s, 0};
    size_t before = m.tasks.size();
    apply_heartbeat(m, index, r);
    // What came free is offered to a scheduling pass before the answer goes: without it, the next
    // task's start waited for the next regular report.
    if (m.tasks.size() < before) held.passes = scheduling_loop_.passes() + 1;
    if (auto it = held_.find(index); it != held_.end()) {
        it->second.reply.set({503, "{}"});
        held_.erase(it);
    }
    scheduling_loop_.run_if_due();
    if (lease_valid(context_.now) && (held.passes > scheduling_loop_.passes() || unsettled(m)))
        held_.emplace(index, held);
    else
        respond_to_heartbeat(index, held);
}

void Leader::apply_heartbeat(Machine& m, Index index, const Heartbeat& r) {
    if (!m.up) {
        // Rented by this leader and up for the first time: its boot tells how boots go at present.
        if (m.provisioned_here && m.up_at == 0)
            context_.cluster.learn_boot(m.type, context_.now - m.requested_at);
        m.up = true;
        m.up_at = context_.now;
        m.status = MachineStatus::Running;
        if (!m.terminating) m.abandoned = false;
        context_.scheduling_needed = true;
        spdlog::info("machine: {} up type={} zone={} spot={} after={:.1f}s", m.name, r.type, r.zone,
                     r.spot, context_.now - m.requested_at);
    }
    if (r.agent_epoch > m.agent_epoch) {
        // A newer session: everything placed in an older one is gone.
        auto tasks = m.tasks;
        for (auto& ref : tasks) {
            auto& task = context_.cluster.jobs[ref.job]->tasks[ref.task];
            if (task.state == TaskState::Placed && task.machine == index &&
                task.agent_epoch < r.agent_epoch)
                task_lifecycle_.lose_task(ref.job, ref.task);
        }
        m.images.clear();
    }
    m.agent_epoch = r.agent_epoch;
    m.seq = r.seq;
    m.last_heartbeat = context_.now;
    // From here on no earlier leader's answer is taken by this worker.
    m.saw_fencing_token = r.fencing_token == context_.term->fencing_token;
    if (r.interruption_notice_s >= 0) {
        if (m.interruption_at < 0)
            spdlog::info("machine: {} is taken back in {:.1f}s", m.name, r.interruption_notice_s);
        m.interruption_at = context_.now + r.interruption_notice_s;
    }
    m.unexpected_tasks.clear();
    std::set<std::pair<std::string_view, uint32_t>> present;
    for (auto& t : r.tasks) present.emplace(t.job, t.task);
    DownlinkObservation heard{{r.agent_epoch, r.seq}, m.saw_fencing_token, m.relayed_by.empty()};
    for (auto& ref : m.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase != TaskPhase::Unseen || task.start_seq == 0 || task.start_seq >= r.seq)
            continue;
        (present.count({job.spec.id, ref.task}) ? heard.start_taken : heard.start_missing) = true;
    }
    if (observe_heartbeat(m.downlink, heard, context_.settings, context_.now)) {
        context_.metrics.count("machines_deaf_total");
        spdlog::info("machine: {} does not hear its answers", m.name);
    }
    for (auto& t : r.tasks) apply_task_status(m, index, t);
    auto tasks = m.tasks;
    for (auto& ref : tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != index) continue;
        if (present.count({job.spec.id, ref.task})) continue;
        // Not there. That is proof only if the worker has seen our token, as an earlier leader's
        // start could else still arrive, and if this report was sent after our own start was
        // answered. Of an attempt that this leader placed there is no earlier start.
        bool proof = (m.saw_fencing_token || task.placed_this_term) &&
                     (task.start_seq == 0 || task.start_seq < r.seq);
        if (!proof) continue;
        // One that was not taken is launched again, unless the machine does not hear that either.
        if (task.phase != TaskPhase::Unseen || task.stopping || m.downlink.downlink_lost())
            task_lifecycle_.lose_task(ref.job, ref.task);
    }
    if (r.interruption_notice_s >= 0) task_lifecycle_.drain_machine(index, r.interruption_notice_s);
}

void Leader::apply_task_status(Machine& m, Index index, const TaskStatus& t) {
    bool exited = t.phase == TaskPhase::Exited;
    auto it = context_.cluster.job_index.find(t.job);
    bool expected = false;
    if (it != context_.cluster.job_index.end()) {
        auto& job = *context_.cluster.jobs[it->second];
        if (t.task < job.tasks.size()) {
            auto& task = job.tasks[t.task];
            expected = task.placed_as(index, t.attempt);
            if (expected && !exited) {
                if (t.phase == TaskPhase::Running && task.phase != TaskPhase::Running &&
                    task.running_at == 0)
                    task.running_at = static_cast<float>(context_.now);
                // The image is there, whoever saw it fetched: a new leader learns so from what
                // runs.
                if (t.phase != task.phase && t.phase != TaskPhase::Fetching)
                    context_.cluster.saw_image(m, job.spec);
                bool began = job.running == 0 && t.phase == TaskPhase::Running;
                context_.cluster.set_phase(job, task, t.phase);
                if (job.gang_ending && !task.stopping && t.phase != TaskPhase::Fetching)
                    task_lifecycle_.stop_task(it->second, t.task,
                                              false);  // it was left to fetch its image
                if (began)
                    spdlog::debug(
                        "job: {} class={} tasks={} attempt={} runs {:.1f}s after it came, placed "
                        "{:.1f}s ago",
                        job.spec.id, context_.cluster.names.classes.name(job.spec.job_class),
                        job.spec.tasks, t.attempt, context_.now - job.came_at(),
                        context_.now - task.placed_at);
            } else if (expected) {
                task_lifecycle_.task_exited(it->second, t.task, index, t);
            } else if (exited && t.cause == ExitCause::Done && task.state != TaskState::Done &&
                       t.attempt <= task.attempt) {
                // An older attempt completed after all; its result is kept.
                spdlog::info("task: {}/{} done by an older attempt {}", t.job, t.task, t.attempt);
            }
        }
    }
    // Exited entries are cleared once their outcome is recorded; anything unexpected is stopped.
    if ((exited || !expected) && m.unexpected_tasks.size() < kMaxUnexpectedTasks)
        m.unexpected_tasks.push_back({t.job, t.task, t.attempt, exited});
}

// Whether the answer to this machine's report would gain from records on their way.
bool Leader::unsettled(const Machine& m) const {
    for (auto& ref : m.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase == TaskPhase::Unseen && !task.stopping &&
            !context_.cluster.recorded(job, ref.task))
            return true;
    }
    for (auto& e : m.unexpected_tasks) {
        auto it = context_.cluster.job_index.find(e.job);
        if (it == context_.cluster.job_index.end()) continue;
        auto& job = *context_.cluster.jobs[it->second];
        if (e.task < job.tasks.size() && !context_.cluster.recorded(job, e.task)) return true;
    }
    return false;
}

void Leader::respond_to_heartbeat(Index index, Held& held) {
    auto& m = *context_.cluster.machines[index];
    std::vector<Command> commands;
    bool may_start = lease_valid(context_.now);
    if (may_start) {
        for (auto& e : m.unexpected_tasks) {
            auto it = context_.cluster.job_index.find(e.job);
            if (!e.exited) {
                bool expected = false;
                if (it != context_.cluster.job_index.end() &&
                    e.task < context_.cluster.jobs[it->second]->tasks.size()) {
                    auto& task = context_.cluster.jobs[it->second]->tasks[e.task];
                    expected = task.placed_as(index, e.attempt);
                }
                if (!expected) commands.push_back({CommandOp::Stop, e.job, e.task, e.attempt, 0});
                continue;
            }
            if (it != context_.cluster.job_index.end()) {
                auto& job = *context_.cluster.jobs[it->second];
                if (e.task < job.tasks.size()) {
                    auto& task = job.tasks[e.task];
                    // Once cleared, the worker no longer knows the attempt: its outcome must stand
                    // recorded.
                    if (job.ending || !context_.cluster.recorded(job, e.task)) continue;
                    if (task.placed_as(index, e.attempt)) continue;
                }
            }
            commands.push_back({CommandOp::AcknowledgeExit, e.job, e.task, e.attempt, 0});
        }
    }
    for (auto& ref : m.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.stopping) {
            if (task.phase == TaskPhase::Saving && task.graceful) continue;
            commands.push_back(
                {CommandOp::Stop, job.spec.id, ref.task, task.attempt, stop_grace_s(job, task)});
        } else if (task.phase == TaskPhase::Unseen && may_start && job.active() &&
                   task.agent_epoch == m.agent_epoch && m.interruption_at < 0 && !m.terminating &&
                   context_.cluster.recorded(job, ref.task) &&
                   (task.start_seq > 0 ||
                    may_launch(context_.cluster, job, ref.task, context_.settings.gang_wait_s,
                               context_.settings.heartbeat_interval_s, context_.now))) {
            if (task.start_seq == 0) task.placed_at = static_cast<float>(context_.now);
            task.start_seq = held.seq;
            commands.push_back({CommandOp::Start, job.spec.id, ref.task, task.attempt, 0});
        }
    }
    if (!renew_lease(held.reply, commands)) return;
    m.last_answer = context_.now;
    record_response(m.downlink, {m.agent_epoch, held.seq}, m.saw_fencing_token, context_.now);
}

// The only way in which a report is answered with 200, which renews its worker's lease. One that
// was held while the grace ran out is not, either.
bool Leader::renew_lease(ReplyPromise& reply, const std::vector<Command>& commands) {
    if (context_.term->ended || past_grace()) {
        reply.set({503, "{}"});
        return false;
    }
    reply.set({200, heartbeat_response(context_.term->fencing_token, commands), 0,
               context_.term->fencing_token});
    return true;
}

void Leader::release_held(bool due_only) {
    for (auto it = held_.begin(); it != held_.end();) {
        auto* m = context_.cluster.machines[it->first].get();
        if (!m) {
            it->second.reply.set({503, "{}"});
            it = held_.erase(it);
        } else if ((due_only && context_.now >= it->second.until) ||
                   (it->second.passes <= scheduling_loop_.passes() && !unsettled(*m))) {
            respond_to_heartbeat(it->first, it->second);
            it = held_.erase(it);
        } else {
            ++it;
        }
    }
}

}  // namespace weirmill
