#include "controller/stop_sender.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "config/capacity.h"
#include "protocol/paths.h"
#include "protocol/worker_codec.h"
#include "transport/http_client.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

// A machine counts as silent after this number of heartbeat intervals without a heartbeat.
constexpr double kSilentAfterIntervals = 1.5;
constexpr double kWorkerTimeout_s = 2.0;
constexpr size_t kMaxWorkerResponseBytes = size_t{1024} * 1024;

}  // namespace

// Stops are also sent directly to the worker so that all tasks of a gang receive them within
// gang_peer_s. A late duplicate has no effect: it names the attempt, and the worker checks the
// agent epoch. Silent workers come last and get at most half of the sockets, as they may not
// respond and must not delay the others.
void StopSender::flush_stops() {
    if (queued_.empty()) return;
    auto max_sockets = static_cast<size_t>(stop_sockets(context_.settings));
    flush_queued(false, max_sockets);
    flush_queued(true, max_sockets / 2);
}

void StopSender::flush_queued(bool to_silent_machines, size_t max_sockets) {
    for (auto it = queued_.begin(); it != queued_.end() && *flush_sockets_ < max_sockets;) {
        auto* machine = context_.cluster.machines[it->first].get();
        if (!machine || !machine->up || machine->addr.empty()) {
            it = queued_.erase(it);
            continue;
        }
        if (is_silent(*machine) != to_silent_machines) {
            ++it;
            continue;
        }
        machine->commands_sent_at = context_.now;
        start_sending(
            {machine->addr, machine->relayed_by, false},
            command_request(context_.term->fencing_token, machine->agent_epoch, it->second),
            flush_sockets_);
        it = queued_.erase(it);
    }
}

// Stops are repeated to machines that send no heartbeats to this leader until the tasks are proven
// gone: an earlier leader that does not know of the cancellation may still answer their heartbeats.
// The commands carry the agent epoch that the placement was recorded with; in a newer epoch the
// tasks are gone. They also carry this leader's fencing token, so that the worker ignores responses
// of the earlier leader from then on.
void StopSender::repeat_stops() {
    if (context_.now >= repeat_interval_ends_at_) {
        repeat_interval_ends_at_ = context_.now + context_.settings.heartbeat_interval_s;
        repeated_in_interval_ = 0;
    }
    std::erase_if(next_repeat_at_, [&](auto& entry) { return context_.now >= entry.second; });
    size_t count = context_.cluster.machines.size();
    for (size_t checked = 0; checked < count && may_repeat_another(); ++checked) {
        repeat_cursor_ = (repeat_cursor_ + 1) % count;
        auto index = static_cast<Index>(repeat_cursor_);
        auto* machine = context_.cluster.machines[index].get();
        if (!machine || next_repeat_at_.contains(index) || !needs_repeated_stops(*machine))
            continue;
        uint64_t agent_epoch = latest_agent_epoch(*machine);
        auto commands = stops_of_cancelled_jobs(*machine, agent_epoch);
        if (commands.empty()) continue;
        next_repeat_at_[index] = context_.now + context_.settings.heartbeat_interval_s;
        ++repeated_in_interval_;
        machine->commands_sent_at = context_.now;
        context_.metrics.increment("stops_repeated_total");
        start_sending({machine->addr, machine->relayed_by, true},
                      command_request(context_.term->fencing_token, agent_epoch, commands),
                      repeat_sockets_);
    }
}

// If workers do not respond, sockets only become free when requests time out. The second condition
// still gives each heartbeat interval its share of machines in that case.
bool StopSender::may_repeat_another() const {
    auto max_sockets = static_cast<size_t>(stop_sockets(context_.settings));
    return *repeat_sockets_ < max_sockets || repeated_in_interval_ < max_sockets;
}

bool StopSender::needs_repeated_stops(const Machine& machine) const {
    if (machine.addr.empty() || machine.status == MachineStatus::Failed) return false;
    return is_silent(machine);
}

bool StopSender::is_silent(const Machine& machine) const {
    double silent_s = context_.now - std::max(machine.last_heartbeat, context_.term->won_at);
    return silent_s > kSilentAfterIntervals * context_.settings.heartbeat_interval_s;
}

// Returns the latest agent epoch that this leader knows: that of the machine's last heartbeat or
// one in which a task was placed on it.
uint64_t StopSender::latest_agent_epoch(const Machine& machine) const {
    uint64_t agent_epoch = machine.up ? machine.agent_epoch : 0;
    for (auto& ref : machine.tasks)
        agent_epoch = std::max<uint64_t>(
            agent_epoch, context_.cluster.jobs[ref.job]->tasks[ref.task].agent_epoch);
    return agent_epoch;
}

std::vector<Command> StopSender::stops_of_cancelled_jobs(const Machine& machine,
                                                         uint64_t agent_epoch) const {
    std::vector<Command> commands;
    for (auto& ref : machine.tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (job.cancelled && task.agent_epoch == agent_epoch)
            commands.push_back({CommandOp::Stop, job.spec.id, ref.task, task.attempt, 0});
    }
    return commands;
}

void StopSender::start_sending(Route route, std::string body, const SocketCount& sockets) {
    ++*sockets;
    asio::co_spawn(
        context_.io,
        send_and_count(context_.keep_alive(), std::move(route), std::move(body), sockets),
        asio::detached);
}

asio::awaitable<void> StopSender::send_and_count(std::shared_ptr<void> keep_alive, Route route,
                                                 std::string body, SocketCount sockets) {
    // Releases the socket when the coroutine ends, also by an exception.
    std::shared_ptr<void> socket_guard(nullptr, [sockets](void*) { --*sockets; });
    co_await send_stops(std::move(keep_alive), std::move(route), std::move(body));
}

// If another controller relays the worker's heartbeats, asks that one first, as this controller
// probably can't reach the worker itself.
asio::awaitable<void> StopSender::send_stops(std::shared_ptr<void> keep_alive, Route route,
                                             std::string body) {
    (void)keep_alive;
    // Arguments of awaited calls are named variables; request_router.cpp gives the reason.
    if (!route.relayed_by.empty()) {
        std::string relayed_body = body;
        bool relayed = co_await relay_stops(route.relayed_by, route.addr, std::move(relayed_body));
        if (relayed) co_return;
    }
    std::string direct_body = body;
    bool responded =
        co_await send_commands(&context_.io, route.addr, std::move(direct_body), kWorkerTimeout_s);
    if (responded || !route.try_all_peers || !relay_) co_return;
    for (auto& peer : context_.settings.peers) {
        if (context_.stopped) co_return;
        if (peer.name == route.relayed_by) continue;
        std::string relayed_body = body;
        bool relayed = co_await relay_stops(peer.name, route.addr, std::move(relayed_body));
        if (relayed) co_return;
    }
}

asio::awaitable<bool> StopSender::relay_stops(std::string controller, std::string addr,
                                              std::string body) {
    if (!relay_) co_return false;
    PeerCall call{PeerOp::Command, std::move(addr), std::move(body)};
    co_return co_await relay_(std::move(controller), std::move(call));
}

asio::awaitable<bool> send_commands(asio::io_context* io, std::string addr, std::string body,
                                    double timeout_s) {
    try {
        HttpClient worker(*io, Endpoint::parse(addr, "worker"), kMaxWorkerResponseBytes);
        auto response =
            co_await worker.request("POST", paths::kCommands, std::move(body), timeout_s);
        co_return response.has_value();
    } catch (const SettingsError& e) {
        spdlog::error("worker: invalid address {}: {}", addr, e.what());
    }
    co_return false;
}

}  // namespace weirmill
