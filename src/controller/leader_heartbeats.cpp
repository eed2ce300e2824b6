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

bool Leader::usable(const Machine& m) const {
    return m.up && !m.terminating && !m.abandoned && !m.draining && m.interruption_at < 0 &&
           m.quarantined_until <= now_ && now_ - m.last_heartbeat < silence_s() &&
           !m.downlink.downlink_lost() && m.type < cluster_.types.size() &&
           cluster_.types[m.type].offered;
}

void Leader::heartbeat(PeerCall& call, Reply& reply) {
    if (term_->ended || past_grace()) return reply.set({503, "{}"});
    Heartbeat r;
    try {
        r = parse_heartbeat(call.body);
    } catch (const BadMessage& e) {
        metrics_.count("malformed_reports_total");
        if (now_ >= next_warning_) {
            next_warning_ = now_ + kWarning_s;
            spdlog::error("worker: malformed report from {} refused: {}", call.subject, e.what());
        }
        return reply.set({400, "{}"});
    }
    if (gone_.count(r.machine)) return reply.set({503, "{}"});
    if (r.fencing_token > term_->fencing_token) {
        metrics_.count("reports_of_later_tokens_total");
        if (now_ >= next_warning_) {
            next_warning_ = now_ + kWarning_s;
            spdlog::info("worker: {} has seen token={}, later than ours", r.machine,
                         r.fencing_token);
        }
        return reply.set({503, "{}"});
    }
    auto index = cluster_.add_machine(r.machine, now_);
    auto& m = *cluster_.machines[index];
    if (std::pair(r.agent_epoch, r.seq) <= std::pair(m.agent_epoch, m.seq)) {
        // A copy, or late: what it says is old, its worker has given up on the answer, and a
        // machine is not there for it. Taken for answered, copies once kept a lease from being
        // counted to its end.
        metrics_.count("report_copies_total");
        return reply.set({503, "{}"});
    }
    if (!m.up && !has_returned(m.downlink, {r.agent_epoch, r.seq}, settings_, now_)) {
        renew_lease(reply, {});
        return;
    }
    m.addr = r.addr;
    m.relayed_by = call.sender;
    if (call.sender.empty()) m.direct_at = now_;
    if (m.type == kNone || m.size == Resources{})
        cluster_.describe_machine(m, r.type, r.zone, r.spot);
    Held held{reply, r.seq, now_ + kMaxResponseHold_s, 0};
    size_t before = m.tasks.size();
    apply_heartbeat(m, index, r);
    // What came free is offered to a scheduling pass before the answer goes: without it, the next
    // task's start waited for the next regular report.
    if (m.tasks.size() < before) held.passes = passes_ + 1;
    if (auto it = held_.find(index); it != held_.end()) {
        it->second.reply.set({503, "{}"});
        held_.erase(it);
    }
    if (dirty_ && now_ >= next_schedule_) schedule();
    if (lease_valid(now_) && (held.passes > passes_ || unsettled(m)))
        held_.emplace(index, held);
    else
        respond_to_heartbeat(index, held);
}

void Leader::apply_heartbeat(Machine& m, Index index, const Heartbeat& r) {
    if (!m.up) {
        // Rented by this leader and up for the first time: its boot tells how boots go at present.
        if (m.provisioned_here && m.up_at == 0) cluster_.learn_boot(m.type, now_ - m.requested_at);
        m.up = true;
        m.up_at = now_;
        m.status = MachineStatus::Running;
        if (!m.terminating) m.abandoned = false;
        dirty_ = true;
        spdlog::info("machine: {} up type={} zone={} spot={} after={:.1f}s", m.name, r.type, r.zone,
                     r.spot, now_ - m.requested_at);
    }
    if (r.agent_epoch > m.agent_epoch) {
        // A newer session: everything placed in an older one is gone.
        auto tasks = m.tasks;
        for (auto& ref : tasks) {
            auto& task = cluster_.jobs[ref.job]->tasks[ref.task];
            if (task.state == TaskState::Placed && task.machine == index &&
                task.agent_epoch < r.agent_epoch)
                lose_task(ref.job, ref.task);
        }
        m.images.clear();
    }
    m.agent_epoch = r.agent_epoch;
    m.seq = r.seq;
    m.last_heartbeat = now_;
    // From here on no earlier leader's answer is taken by this worker.
    m.saw_fencing_token = r.fencing_token == term_->fencing_token;
    if (r.interruption_notice_s >= 0) {
        if (m.interruption_at < 0)
            spdlog::info("machine: {} is taken back in {:.1f}s", m.name, r.interruption_notice_s);
        m.interruption_at = now_ + r.interruption_notice_s;
    }
    m.unexpected_tasks.clear();
    std::set<std::pair<std::string_view, uint32_t>> present;
    for (auto& t : r.tasks) present.emplace(t.job, t.task);
    DownlinkObservation heard{{r.agent_epoch, r.seq}, m.saw_fencing_token, m.relayed_by.empty()};
    for (auto& ref : m.tasks) {
        auto& job = *cluster_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase != TaskPhase::Unseen || task.start_seq == 0 || task.start_seq >= r.seq)
            continue;
        (present.count({job.spec.id, ref.task}) ? heard.start_taken : heard.start_missing) = true;
    }
    if (observe_heartbeat(m.downlink, heard, settings_, now_)) {
        metrics_.count("machines_deaf_total");
        spdlog::info("machine: {} does not hear its answers", m.name);
    }
    for (auto& t : r.tasks) apply_task_status(m, index, t);
    auto tasks = m.tasks;
    for (auto& ref : tasks) {
        auto& job = *cluster_.jobs[ref.job];
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
            lose_task(ref.job, ref.task);
    }
    if (r.interruption_notice_s >= 0) drain(index, r.interruption_notice_s);
}

void Leader::apply_task_status(Machine& m, Index index, const TaskStatus& t) {
    bool exited = t.phase == TaskPhase::Exited;
    auto it = cluster_.job_index.find(t.job);
    bool expected = false;
    if (it != cluster_.job_index.end()) {
        auto& job = *cluster_.jobs[it->second];
        if (t.task < job.tasks.size()) {
            auto& task = job.tasks[t.task];
            expected = task.placed_as(index, t.attempt);
            if (expected && !exited) {
                if (t.phase == TaskPhase::Running && task.phase != TaskPhase::Running &&
                    task.running_at == 0)
                    task.running_at = static_cast<float>(now_);
                // The image is there, whoever saw it fetched: a new leader learns so from what
                // runs.
                if (t.phase != task.phase && t.phase != TaskPhase::Fetching)
                    cluster_.saw_image(m, job.spec);
                bool began = job.running == 0 && t.phase == TaskPhase::Running;
                cluster_.set_phase(job, task, t.phase);
                if (job.gang_ending && !task.stopping && t.phase != TaskPhase::Fetching)
                    stop_task(it->second, t.task, false);  // it was left to fetch its image
                if (began)
                    spdlog::debug(
                        "job: {} class={} tasks={} attempt={} runs {:.1f}s after it came, placed "
                        "{:.1f}s ago",
                        job.spec.id, cluster_.names.classes.name(job.spec.job_class),
                        job.spec.tasks, t.attempt, now_ - job.came_at(), now_ - task.placed_at);
            } else if (expected) {
                task_exited(it->second, t.task, index, t);
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
        auto& job = *cluster_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase == TaskPhase::Unseen && !task.stopping && !cluster_.recorded(job, ref.task))
            return true;
    }
    for (auto& e : m.unexpected_tasks) {
        auto it = cluster_.job_index.find(e.job);
        if (it == cluster_.job_index.end()) continue;
        auto& job = *cluster_.jobs[it->second];
        if (e.task < job.tasks.size() && !cluster_.recorded(job, e.task)) return true;
    }
    return false;
}

void Leader::respond_to_heartbeat(Index index, Held& held) {
    auto& m = *cluster_.machines[index];
    std::vector<Command> commands;
    bool may_start = lease_valid(now_);
    if (may_start) {
        for (auto& e : m.unexpected_tasks) {
            auto it = cluster_.job_index.find(e.job);
            if (!e.exited) {
                bool expected = false;
                if (it != cluster_.job_index.end() &&
                    e.task < cluster_.jobs[it->second]->tasks.size()) {
                    auto& task = cluster_.jobs[it->second]->tasks[e.task];
                    expected = task.placed_as(index, e.attempt);
                }
                if (!expected) commands.push_back({CommandOp::Stop, e.job, e.task, e.attempt, 0});
                continue;
            }
            if (it != cluster_.job_index.end()) {
                auto& job = *cluster_.jobs[it->second];
                if (e.task < job.tasks.size()) {
                    auto& task = job.tasks[e.task];
                    // Once cleared, the worker no longer knows the attempt: its outcome must stand
                    // recorded.
                    if (job.ending || !cluster_.recorded(job, e.task)) continue;
                    if (task.placed_as(index, e.attempt)) continue;
                }
            }
            commands.push_back({CommandOp::AcknowledgeExit, e.job, e.task, e.attempt, 0});
        }
    }
    for (auto& ref : m.tasks) {
        auto& job = *cluster_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.stopping) {
            if (task.phase == TaskPhase::Saving && task.graceful) continue;
            commands.push_back(
                {CommandOp::Stop, job.spec.id, ref.task, task.attempt, stop_grace_s(job, task)});
        } else if (task.phase == TaskPhase::Unseen && may_start && job.active() &&
                   task.agent_epoch == m.agent_epoch && m.interruption_at < 0 && !m.terminating &&
                   cluster_.recorded(job, ref.task) &&
                   (task.start_seq > 0 || may_launch(cluster_, job, ref.task, settings_.gang_wait_s,
                                                     settings_.heartbeat_interval_s, now_))) {
            if (task.start_seq == 0) task.placed_at = static_cast<float>(now_);
            task.start_seq = held.seq;
            commands.push_back({CommandOp::Start, job.spec.id, ref.task, task.attempt, 0});
        }
    }
    if (!renew_lease(held.reply, commands)) return;
    m.last_answer = now_;
    record_response(m.downlink, {m.agent_epoch, held.seq}, m.saw_fencing_token, now_);
}

// The only way in which a report is answered with 200, which renews its worker's lease. One that
// was held while the grace ran out is not, either.
bool Leader::renew_lease(Reply& reply, const std::vector<Command>& commands) {
    if (term_->ended || past_grace()) {
        reply.set({503, "{}"});
        return false;
    }
    reply.set({200, heartbeat_response(term_->fencing_token, commands), 0, term_->fencing_token});
    return true;
}

void Leader::release_held(bool due_only) {
    for (auto it = held_.begin(); it != held_.end();) {
        auto* m = cluster_.machines[it->first].get();
        if (!m) {
            it->second.reply.set({503, "{}"});
            it = held_.erase(it);
        } else if ((due_only && now_ >= it->second.until) ||
                   (it->second.passes <= passes_ && !unsettled(*m))) {
            respond_to_heartbeat(it->first, it->second);
            it = held_.erase(it);
        } else {
            ++it;
        }
    }
}

}  // namespace weirmill
