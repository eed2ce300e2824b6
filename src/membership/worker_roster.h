// Tracks the workers that report to a controller that does not lead. For each worker it records
// when the worker was redirected to the leader, whether it returned, and for how long its
// heartbeats are relayed to the leader. Times are in seconds of the steady clock. Not thread-safe:
// to be used on the thread of the io_context.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "config/settings.h"

namespace weirmill {

class WorkerRoster {
  public:
    explicit WorkerRoster(const Settings& settings);

    // Decides how to handle a heartbeat of a worker whose highest fencing token is `worker_token`.
    // `leader_token` is the token of the current leader, or 0 if there is none. Returns true if the
    // worker can't use the leader and its heartbeats are to be relayed for now, and false if the
    // worker is to be redirected to the leader.
    [[nodiscard]] bool should_relay(const std::string& machine, uint64_t worker_token,
                                    uint64_t leader_token, double now);
    // Ends the relay after a relayed heartbeat got no answer and the worker was redirected to
    // another controller.
    void end_relay(const std::string& machine);
    // Returns the number of workers that reported within the last `window_s` and can't use the
    // leader with this fencing token. A token of 0 counts the workers of every leader.
    [[nodiscard]] uint32_t workers_without_leader(uint64_t leader_token, double window_s,
                                                  double now) const;
    // Returns the number of workers whose heartbeats are relayed at present.
    [[nodiscard]] size_t relayed_workers(double now) const;

  private:
    struct Worker {
        double redirected_at = -1e9;
        uint64_t redirected_to_token = 0;  // fencing token of the leader it was redirected to
        int redirects = 0;                 // to that leader, in short succession
        double relay_until = 0;
        double relay_duration_s = 0;      // of the current or last relay
        uint64_t relay_leader_token = 0;  // fencing token of the leader that it was for
        double leader_unreachable_at = -1e9;
        uint64_t unreachable_leader_token = 0;  // fencing token of the leader that it can't use
    };
    bool returned_after_redirect(const Worker& worker, uint64_t leader_token, double now) const;
    bool recently_redirected(const Worker& worker, uint64_t leader_token, double now) const;
    void begin_relay(Worker& worker, uint64_t leader_token, double now) const;
    static void reset_relay(Worker& worker);
    void redirect(Worker& worker, uint64_t leader_token, double now) const;

    const Settings& settings_;
    std::unordered_map<std::string, Worker> workers_;
};

}  // namespace weirmill
