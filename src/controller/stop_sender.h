// Sends stop commands directly to workers, in addition to those in heartbeat responses. One object
// exists for each leadership term, and it is used on the leader's executor only.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "controller/leader_context.h"
#include "protocol/types.h"
#include "transport/peer_link.h"

namespace weirmill {

// Sends commands directly to the worker at `addr` and returns whether it responded within
// `timeout_s` seconds. A worker that did not respond may still carry out the commands.
boost::asio::awaitable<bool> send_commands(boost::asio::io_context* io, std::string addr,
                                           std::string body, double timeout_s);

// Forwards a call to the controller with this name. Returns whether that controller confirmed that
// it carried out the call.
using PeerRelay =
    std::function<boost::asio::awaitable<bool>(std::string controller, PeerCall call)>;

// Sends stop commands to workers. Each heartbeat response also repeats a stop until the task is
// gone, so a stop command that is lost here only delays the stop.
class StopSender {
  public:
    explicit StopSender(LeaderContext& context) : context_(context) {}

    // Sets the function that forwards stops for workers whose heartbeats arrive through another
    // controller. Without it, this controller sends all stops itself.
    void set_relay(PeerRelay relay) { relay_ = std::move(relay); }

    // Queues a stop for the worker of this machine. The next call of flush_stops() sends it.
    void queue_stop(Index machine, Command stop) { queued_[machine].push_back(std::move(stop)); }
    // Discards the queued stops of a machine that is gone.
    void drop_stops(Index machine) { queued_.erase(machine); }
    // Sends the queued stops over at most stop_sockets() sockets; what remains is sent by later
    // calls. Called after each message of the leader's mailbox.
    void flush_stops();
    // Sends stops for the tasks of cancelled jobs on machines that send no heartbeats, once per
    // heartbeat interval to each machine and over at most stop_sockets() sockets. If all sockets
    // are blocked by workers that do not respond, up to stop_sockets() machines still get their
    // stops in each interval. Called twice a second.
    void repeat_stops();

  private:
    // Number of sockets in use for stops. A stop that is forwarded to a peer counts as well, as it
    // needs a socket if the peer refuses.
    using SocketCount = std::shared_ptr<size_t>;
    // How to reach a worker.
    struct Route {
        std::string addr;
        std::string relayed_by;      // controller that relays the worker's heartbeats; may be empty
        bool try_all_peers = false;  // if the worker can't be reached, ask each peer in turn
    };
    boost::asio::awaitable<void> send_stops(std::shared_ptr<void> keep_alive, Route route,
                                            std::string body);
    boost::asio::awaitable<void> send_and_count(std::shared_ptr<void> keep_alive, Route route,
                                                std::string body, SocketCount sockets);
    boost::asio::awaitable<bool> relay_stops(std::string controller, std::string addr,
                                             std::string body);
    void start_sending(Route route, std::string body, const SocketCount& sockets);
    void flush_queued(bool to_silent_machines, size_t max_sockets);
    [[nodiscard]] bool is_silent(const Machine& machine) const;
    [[nodiscard]] bool may_repeat_another() const;
    [[nodiscard]] bool needs_repeated_stops(const Machine& machine) const;
    [[nodiscard]] uint64_t latest_agent_epoch(const Machine& machine) const;
    [[nodiscard]] std::vector<Command> stops_of_cancelled_jobs(const Machine& machine,
                                                               uint64_t agent_epoch) const;

    LeaderContext& context_;
    PeerRelay relay_;
    std::map<Index, std::vector<Command>> queued_;  // by machine index
    // First stops and repeated stops use separate sockets. Repeated stops go to workers that may
    // not respond, and must not delay first stops.
    SocketCount flush_sockets_ = std::make_shared<size_t>(0);
    SocketCount repeat_sockets_ = std::make_shared<size_t>(0);
    // State of repeated stops. Times on the steady clock, seconds.
    std::map<Index, double> next_repeat_at_;  // earliest time of the next repeat, by machine index
    size_t repeat_cursor_ = 0;                // index of the last machine checked, in round-robin
    double repeat_interval_ends_at_ = 0;
    size_t repeated_in_interval_ = 0;  // number of machines
};

}  // namespace weirmill
