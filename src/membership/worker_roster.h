// The workers that come to a controller that does not lead. It owns what is remembered of each:
// when it was sent to the leader, whether it came back, and for how long its reports are relayed.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "config/settings.h"

namespace weirmill {

class WorkerRoster {
  public:
    explicit WorkerRoster(const Settings& settings);

    // What to do with the report of a worker that has seen `seen`, while the leader has `leader`
    // (0: nobody leads). True: it can't do with the leader, its reports are to be relayed for now.
    bool relays(const std::string& machine, uint64_t seen, uint64_t leader, double now);
    // A relayed report was not answered: the worker looks elsewhere.
    void gave_up(const std::string& machine);
    // Workers that came within `window_s` and can't do with this leader; 0: with whichever led.
    uint32_t stranded(uint64_t leader, double window_s, double now) const;
    size_t relayed(double now) const;

  private:
    struct Worker {
        double sent_at = -1e9;  // to the leader with the token `sent`
        uint64_t sent = 0;
        int times = 0;
        double relay_until = 0, relay_span = 0;
        double stranded_at = -1e9;
        uint64_t stranded = 0;
    };
    const Settings& settings_;
    std::unordered_map<std::string, Worker> workers_;
};

}  // namespace weirmill
