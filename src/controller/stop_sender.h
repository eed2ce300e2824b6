// Stops that go straight to the workers, beside those in heartbeat responses. One object for each
// leadership term, used on the leader's executor only.
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

// Sends commands straight to a worker. False: it did not answer, and may carry them out or not.
// `timeout_s`: seconds to wait for the worker's answer.
boost::asio::awaitable<bool> send_commands(boost::asio::io_context* io, std::string addr,
                                           std::string body, double timeout_s);

// Passes a call on to the controller with this name. False: it did not carry the call out, as far
// as is known.
using PeerRelay =
    std::function<boost::asio::awaitable<bool>(std::string controller, PeerCall call)>;

// Sends stop commands to workers. A stop is also part of each heartbeat response until the task is
// gone, so one that is lost here costs time only.
class StopSender {
  public:
    explicit StopSender(LeaderContext& context) : context_(context) {}

    // For workers whose heartbeats another controller relays. Without it, stops are sent from here
    // alone.
    void set_relay(PeerRelay relay) { relay_ = std::move(relay); }

    // Queues a stop for the worker of this machine; sent by the next flush_stops().
    void queue_stop(Index machine, Command stop) { queued_[machine].push_back(std::move(stop)); }
    // The machine is gone: what is queued for it is not sent.
    void drop_stops(Index machine) { queued_.erase(machine); }
    // Sends what is queued, over stop_sockets() sockets at a time; the rest waits for the next
    // call. Called after each message of the leader's mailbox.
    void flush_stops();
    // Sends stops for the tasks of cancelled jobs on machines without heartbeats: to each once a
    // heartbeat interval, over stop_sockets() sockets at a time. Where workers answer so slowly
    // that these do not come free, to as many machines in each interval. Called twice a second.
    void repeat_stops();

  private:
    // Sockets that are in use for stops, or may be as soon as a peer has refused to relay.
    using SocketCount = std::shared_ptr<size_t>;
    // Where a worker is reached.
    struct Route {
        std::string addr;
        std::string relayed_by;          // name of the controller that relays for it; empty: none
        bool by_any_controller = false;  // where it can't be reached, by each controller in turn
    };
    boost::asio::awaitable<void> send_stops(std::shared_ptr<void> keep_alive, Route route,
                                            std::string body);
    boost::asio::awaitable<void> send_and_count(std::shared_ptr<void> keep_alive, Route route,
                                                std::string body, SocketCount in_use);
    boost::asio::awaitable<bool> relay_stops(std::string controller, std::string addr,
                                             std::string body);
    void start_sending(Route route, std::string body, const SocketCount& in_use);
    void flush_to(bool silent, size_t max_sockets);
    [[nodiscard]] bool is_silent(const Machine& machine) const;
    [[nodiscard]] bool may_repeat_one_more() const;
    [[nodiscard]] bool needs_repeated_stops(const Machine& machine) const;
    [[nodiscard]] uint64_t latest_agent_epoch(const Machine& machine) const;
    [[nodiscard]] std::vector<Command> stops_of_cancelled_jobs(const Machine& machine,
                                                               uint64_t agent_epoch) const;

    LeaderContext& context_;
    PeerRelay relay_;
    std::map<Index, std::vector<Command>> queued_;  // by machine
    // First and repeated stops have sockets of their own: those that are repeated go to workers
    // that may not answer, and others must not wait for them.
    SocketCount flush_sockets_ = std::make_shared<size_t>(0);
    SocketCount repeat_sockets_ = std::make_shared<size_t>(0);
    // Repeated stops. Times on the steady clock, seconds.
    std::map<Index, double> next_repeat_;  // by machine: not before
    size_t repeat_cursor_ = 0;             // machines get their stops in turn
    double repeat_interval_ends_ = 0;
    size_t repeated_in_interval_ = 0;
};

}  // namespace weirmill
