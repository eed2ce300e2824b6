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

// Without a heartbeat for so many of its intervals, a machine gets its stops directly.
constexpr double kMissedHeartbeats = 1.5;
constexpr double kWorkerTimeout_s = 2.0;
constexpr size_t kMaxWorkerAnswerBytes = size_t{1024} * 1024;

}  // namespace

// A stop is sent straight to its worker as well, so that a gang receives it within gang_peer_s. A
// late copy does no harm: it names the attempt, and the agent epoch must still match. Workers that
// may not answer come last and get half of the sockets, so that the others need not wait for them.
void StopSender::flush_stops() {
    if (queued_.empty()) return;
    auto max_sockets = static_cast<size_t>(stop_sockets(context_.settings));
    flush_to(false, max_sockets);
    flush_to(true, max_sockets / 2);
}

void StopSender::flush_to(bool silent, size_t max_sockets) {
    for (auto it = queued_.begin(); it != queued_.end() && *flush_sockets_ < max_sockets;) {
        const auto* machine = context_.cluster.machines[it->first].get();
        if (!machine || !machine->up || machine->addr.empty()) {
            it = queued_.erase(it);
            continue;
        }
        if (is_silent(*machine) != silent) {
            ++it;
            continue;
        }
        start_sending(
            {machine->addr, machine->relayed_by, false},
            command_request(context_.term->fencing_token, machine->agent_epoch, it->second),
            flush_sockets_);
        it = queued_.erase(it);
    }
}

// Tasks of cancelled jobs on machines that send no heartbeats here are stopped where they are,
// again and again until they are proven gone: an earlier leader that can't know of the cancellation
// may still answer their workers. The agent epoch is the one that the placement was recorded with;
// in a newer one they are gone. The command shows the worker our fencing token, so from then on it
// drops what the earlier leader answers.
void StopSender::repeat_stops() {
    if (context_.now >= repeat_interval_ends_) {
        repeat_interval_ends_ = context_.now + context_.settings.heartbeat_interval_s;
        repeated_in_interval_ = 0;
    }
    std::erase_if(next_repeat_, [&](auto& entry) { return context_.now >= entry.second; });
    size_t count = context_.cluster.machines.size();
    for (size_t n = 0; n < count && may_repeat_one_more(); ++n) {
        repeat_cursor_ = (repeat_cursor_ + 1) % count;
        auto index = static_cast<Index>(repeat_cursor_);
        const auto* machine = context_.cluster.machines[index].get();
        if (!machine || next_repeat_.contains(index) || !needs_repeated_stops(*machine)) continue;
        uint64_t agent_epoch = latest_agent_epoch(*machine);
        auto commands = stops_of_cancelled_jobs(*machine, agent_epoch);
        if (commands.empty()) continue;
        next_repeat_[index] = context_.now + context_.settings.heartbeat_interval_s;
        ++repeated_in_interval_;
        context_.metrics.increment("stops_repeated_total");
        start_sending({machine->addr, machine->relayed_by, true},
                      command_request(context_.term->fencing_token, agent_epoch, commands),
                      repeat_sockets_);
    }
}

// Where workers do not answer, sockets come free by their time-outs alone: then there is a turn for
// as many machines in each interval all the same.
bool StopSender::may_repeat_one_more() const {
    auto max_sockets = static_cast<size_t>(stop_sockets(context_.settings));
    return *repeat_sockets_ < max_sockets || repeated_in_interval_ < max_sockets;
}

bool StopSender::needs_repeated_stops(const Machine& machine) const {
    if (machine.addr.empty() || machine.status == MachineStatus::Failed) return false;
    return is_silent(machine);
}

bool StopSender::is_silent(const Machine& machine) const {
    double silent_s = context_.now - std::max(machine.last_heartbeat, context_.term->won);
    return silent_s > kMissedHeartbeats * context_.settings.heartbeat_interval_s;
}

// Of those that this leader knows: the machine's own, or what its tasks were placed in.
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

void StopSender::start_sending(Route route, std::string body, const SocketCount& in_use) {
    ++*in_use;
    asio::co_spawn(context_.io,
                   send_and_count(context_.keep_alive(), std::move(route), std::move(body), in_use),
                   asio::detached);
}

asio::awaitable<void> StopSender::send_and_count(std::shared_ptr<void> keep_alive, Route route,
                                                 std::string body, SocketCount in_use) {
    // Given back however the coroutine ends.
    std::shared_ptr<void> socket(nullptr, [in_use](void*) { --*in_use; });
    co_await send_stops(std::move(keep_alive), std::move(route), std::move(body));
}

// First by the controller that relays for the worker, where there is one: the worker can't be
// reached from here, as it seems.
asio::awaitable<void> StopSender::send_stops(std::shared_ptr<void> keep_alive, Route route,
                                             std::string body) {
    (void)keep_alive;
    // Arguments of awaited calls are named variables (request_router.cpp says why).
    if (!route.relayed_by.empty()) {
        std::string relayed_body = body;
        bool taken = co_await relay_stops(route.relayed_by, route.addr, std::move(relayed_body));
        if (taken) co_return;
    }
    std::string direct_body = body;
    bool answered =
        co_await send_commands(&context_.io, route.addr, std::move(direct_body), kWorkerTimeout_s);
    if (answered || !route.by_any_controller || !relay_) co_return;
    for (auto& peer : context_.settings.peers) {
        if (context_.stopped) co_return;
        if (peer.name == route.relayed_by) continue;
        std::string relayed_body = body;
        bool taken = co_await relay_stops(peer.name, route.addr, std::move(relayed_body));
        if (taken) co_return;
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
        HttpClient worker(*io, Endpoint::parse(addr, "worker"), kMaxWorkerAnswerBytes);
        auto reply = co_await worker.request("POST", paths::kCommands, std::move(body), timeout_s);
        co_return reply.has_value();
    } catch (const SettingsError& e) {
        spdlog::error("worker: bad address {}: {}", addr, e.what());
    }
    co_return false;
}

}  // namespace weirmill
