// The workers that report to a controller that does not lead. It owns what is remembered of each:
// when it was redirected to the leader, whether it came back, and for how long its heartbeats are
// relayed to the leader. Times are seconds of the steady clock; for the io_context's one thread.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "config/settings.h"

namespace weirmill {

class WorkerRoster {
  public:
    explicit WorkerRoster(const Settings& settings);

    // Decides on the heartbeat of a worker that has seen the fencing token `seen`, while the leader
    // has `leader` (0: nobody leads). True: the worker can't use the leader, and its heartbeats are
    // to be relayed for now; false: it is redirected to the leader.
    [[nodiscard]] bool should_relay(const std::string& machine, uint64_t seen, uint64_t leader,
                                    double now);
    // A relayed heartbeat was not answered: the worker is told to look elsewhere.
    void end_relay(const std::string& machine);
    // Workers that came within `window_s` and can't use the leader with this fencing token; 0: any.
    [[nodiscard]] uint32_t stranded(uint64_t leader, double window_s, double now) const;
    // Workers whose heartbeats are relayed now.
    [[nodiscard]] size_t relayed(double now) const;

  private:
    struct Worker {
        double redirected_at = -1e9;
        uint64_t redirected_to = 0;  // fencing token of that leader
        int redirects = 0;           // to that leader, in short succession
        double relay_until = 0;
        double relay_span_s = 0;  // length of the current or last relay
        double stranded_at = -1e9;
        uint64_t stranded_with = 0;  // fencing token of the leader that it can't use
    };
    bool came_back(const Worker& w, uint64_t leader, double now) const;
    bool redirected_lately(const Worker& w, uint64_t leader, double now) const;
    void begin_relay(Worker& w, double now) const;
    void redirect(Worker& w, uint64_t leader, double now) const;

    const Settings& settings_;
    std::unordered_map<std::string, Worker> workers_;
};

}  // namespace weirmill
