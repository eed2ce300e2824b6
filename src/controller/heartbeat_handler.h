// Heartbeats of workers and the responses to them. One object for each leadership term, used on the
// leader's executor only.
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

// Applies heartbeats to the cluster state and answers them. A response with status 200 renews the
// worker's lease and carries the commands for the machine: starts and stops of tasks, and which
// exits it may forget. Where records that the commands wait for are on their way to the key-value
// store, the response is held for a moment.
class HeartbeatHandler {
  public:
    // `is_terminated`: the machine with this name is known to be gone for good.
    HeartbeatHandler(LeaderContext& context, TaskLifecycle& task_lifecycle,
                     SchedulingLoop& scheduling_loop,
                     std::function<bool(const std::string&)> is_terminated)
        : context_(context),
          task_lifecycle_(task_lifecycle),
          scheduling_loop_(scheduling_loop),
          is_terminated_(std::move(is_terminated)) {}

    // Takes a heartbeat, and answers it now or later. Status 503: not taken, and the lease is not
    // renewed; 400: malformed.
    void heartbeat(PeerCall& call, ReplyPromise& reply);
    // Sends the held responses that nothing is to be waited for any more. `due_only`: also those
    // that have been held for as long as they may be.
    void release_held(bool due_only);
    // The machine is gone, or has sent a later heartbeat: what is held for it is refused.
    void drop_held(Index machine);
    // The leadership term is over: workers are to look for the next leader.
    void redirect_held();
    // The lease has not been valid for so long that heartbeats may not be answered any more.
    [[nodiscard]] bool past_grace() const {
        return context_.now >
               context_.term->lease_valid_until + leader_grace_period(context_.settings);
    }

  private:
    // A response that waits for records, and for a scheduling pass.
    struct HeldResponse {
        ReplyPromise reply;
        uint64_t seq = 0;         // of the heartbeat
        double until = 0;         // steady clock, seconds
        uint64_t after_pass = 0;  // number of the scheduling pass
    };
    // The tasks that a heartbeat names.
    using ReportedTasks = std::set<std::pair<std::string_view, uint32_t>>;

    [[nodiscard]] std::optional<Heartbeat> parse(const PeerCall& call, ReplyPromise& reply);
    [[nodiscard]] bool from_later_term(const Heartbeat& heartbeat);
    [[nodiscard]] bool is_copy(const Machine& machine, const Heartbeat& heartbeat);
    void note_sender(Machine& machine, const PeerCall& call, const Heartbeat& heartbeat);
    [[nodiscard]] bool warning_due();

    void apply_heartbeat(Machine& machine, Index index, const Heartbeat& heartbeat);
    void machine_up(Machine& machine, const Heartbeat& heartbeat);
    void agent_restarted(Machine& machine, Index index, uint64_t agent_epoch);
    void note_interruption(Machine& machine, double notice_s) const;
    void observe_downlink(Machine& machine, const Heartbeat& heartbeat,
                          const ReportedTasks& reported);
    void apply_task_status(Machine& machine, Index index, const TaskStatus& status);
    void task_progressed(Machine& machine, Index index, const TaskStatus& status);
    void lose_missing_tasks(Machine& machine, Index index, uint64_t seq,
                            const ReportedTasks& reported);

    [[nodiscard]] bool waits_for_records(const Machine& machine) const;
    void respond_to_heartbeat(Index index, HeldResponse& held);
    [[nodiscard]] std::optional<Command> command_for_unexpected(Index machine,
                                                                const UnexpectedTask& entry) const;
    [[nodiscard]] bool may_start(const Machine& machine, const TaskRef& ref) const;
    [[nodiscard]] std::optional<Command> command_for_placed(const Machine& machine,
                                                            const TaskRef& ref, uint64_t seq);
    [[nodiscard]] bool renew_lease(ReplyPromise& reply, const std::vector<Command>& commands);

    LeaderContext& context_;
    TaskLifecycle& task_lifecycle_;
    SchedulingLoop& scheduling_loop_;
    std::function<bool(const std::string&)> is_terminated_;
    std::map<Index, HeldResponse> held_;  // by machine
    double next_warning_ = 0;             // steady clock, seconds
};

}  // namespace weirmill
