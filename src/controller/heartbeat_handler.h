// Handles the heartbeats of workers. One object exists for each leadership term, and it is used on
// the leader's executor only.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "controller/leader_context.h"
#include "controller/scheduling_loop.h"
#include "controller/task_lifecycle.h"
#include "protocol/types.h"
#include "state/cluster_state.h"

namespace weirmill {

// Applies heartbeats to the cluster state and responds to them. A response with status 200 renews
// the worker's lease and carries the commands for its machine: tasks to start, tasks to stop, and
// exits that are acknowledged. A response is deferred for a short time while the records that its
// commands depend on are being written to the key-value store.
class HeartbeatHandler {
  public:
    // `is_terminated` returns whether the machine with the given name was terminated.
    HeartbeatHandler(LeaderContext& context, TaskLifecycle& task_lifecycle,
                     SchedulingLoop& scheduling_loop,
                     std::function<bool(const std::string&)> is_terminated)
        : context_(context),
          task_lifecycle_(task_lifecycle),
          scheduling_loop_(scheduling_loop),
          is_terminated_(std::move(is_terminated)) {}

    // Handles a heartbeat and responds to it, immediately or later. Status 400 means that the
    // heartbeat is malformed; 503 means that it was refused and the lease is not renewed.
    void handle_heartbeat(PeerCall& call, ReplyPromise& reply);
    // Sends the deferred responses that have nothing left to wait for. With `include_expired`, also
    // sends those that have reached their maximum delay.
    void send_deferred(bool include_expired);
    // Refuses the heartbeat whose response to this machine is deferred, if there is one. Called
    // when the machine is gone or has sent a later heartbeat.
    void refuse_deferred(Index machine);
    // Tells all workers with a deferred response to look for the next leader. Called when the
    // leadership term is over.
    void redirect_deferred();
    // Returns whether the leader's lease has been invalid for longer than the grace period in which
    // heartbeats are still answered.
    [[nodiscard]] bool answering_grace_expired() const {
        return context_.now >
               context_.term->lease_valid_until + leader_grace_period(context_.settings);
    }

  private:
    // A response that waits for records to be written and for a scheduling pass.
    struct DeferredResponse {
        ReplyPromise reply;
        uint64_t seq = 0;            // sequence number of the heartbeat
        double deadline = 0;         // latest time to respond; steady clock, seconds
        uint64_t required_pass = 0;  // number of the scheduling pass to wait for
    };
    // The tasks that a heartbeat lists, as pairs of a job id and a task index.
    using ReportedTasks = std::set<std::pair<std::string_view, uint32_t>>;

    [[nodiscard]] std::optional<Heartbeat> parse(const PeerCall& call, ReplyPromise& reply);
    [[nodiscard]] bool is_from_later_term(const Heartbeat& heartbeat);
    [[nodiscard]] bool is_duplicate(const Machine& machine, const Heartbeat& heartbeat);
    void record_sender(Machine& machine, const PeerCall& call, const Heartbeat& heartbeat);
    [[nodiscard]] bool may_log_warning();

    void apply_heartbeat(Machine& machine, Index machine_index, const Heartbeat& heartbeat);
    void mark_machine_up(Machine& machine, const Heartbeat& heartbeat);
    void handle_agent_restart(Machine& machine, Index machine_index, uint64_t agent_epoch);
    void record_interruption_notice(Machine& machine, double notice_s) const;
    void observe_downlink(Machine& machine, const Heartbeat& heartbeat,
                          const ReportedTasks& reported);
    void apply_task_status(Machine& machine, Index machine_index, const TaskStatus& status);
    void update_task_phase(Machine& machine, Index job_index, const TaskStatus& status);
    void mark_missing_tasks_lost(Machine& machine, Index machine_index, uint64_t seq,
                                 const ReportedTasks& reported);

    [[nodiscard]] bool is_waiting_for_records(const Machine& machine) const;
    void respond(Index machine_index, DeferredResponse& response);
    [[nodiscard]] std::optional<Command> command_for_unexpected(Index machine_index,
                                                                const UnexpectedTask& entry) const;
    [[nodiscard]] bool may_start(const Machine& machine, const TaskRef& ref) const;
    [[nodiscard]] std::optional<Command> command_for_placed(const Machine& machine,
                                                            const TaskRef& ref, uint64_t seq);
    [[nodiscard]] bool renew_lease(ReplyPromise& reply, const std::vector<Command>& commands);

    LeaderContext& context_;
    TaskLifecycle& task_lifecycle_;
    SchedulingLoop& scheduling_loop_;
    std::function<bool(const std::string&)> is_terminated_;
    std::map<Index, DeferredResponse> deferred_;  // by machine index
    double next_warning_at_ = 0;                  // steady clock, seconds
};

}  // namespace weirmill
