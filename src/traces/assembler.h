// Makes jobs of a trace's events.
//
// Owns: the jobs that are open, the machines that are there, the keys of jobs that are over, and
// the newest time. What it keeps grows with the jobs that are open at once; of a job that is over
// only its key stays (a bit to 16 bytes in a compressed bitmap), as a second job of that key must
// be refused.
//
// Order: in formats with a time, an event up to `back_s` older than the newest is put at the
// newest; an older one is refused. One record with a time far ahead must not have all that follow
// refused: after kResync refusals in a row which are in order among themselves, time goes on from
// there.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <roaring/roaring64map.hh>
#include <string>
#include <unordered_map>
#include <vector>

#include "traces/event.h"

namespace weirmill::traces {

// Where a record stands.
struct Where {
    uint32_t file = 0;     // index among the inputs
    uint64_t line = 0;     // of its first byte
    uint64_t element = 0;  // of the input's array; 0: it is none
};

// A job of which nothing more comes.
struct TraceJob {
    std::string key;
    Where where;  // of its first record
    Facts facts;
    double run_s = kNoTime;  // of its longest task; NaN: not told
    Refusal refusal;         // reason None: nothing speaks against it yet
};

class Assembler {
  public:
    using Sink = std::function<void(TraceJob&&)>;
    struct Notes {
        uint64_t times_put_right = 0;  // events put at the newest time
        uint64_t time_resyncs = 0;
        uint64_t machines_undeclared =
            0;  // uses of a machine that the trace did not declare, though others
        uint64_t machines_removed_in_use = 0;
    };
    static constexpr int kResync = 8;

    Assembler(bool numeric_keys, double back_s, Sink sink)
        : numeric_(numeric_keys), back_s_(back_s), sink_(std::move(sink)) {}
    // Reason None: the record is part of its job or machine.
    Refusal take(Event& event, Where where);
    // No event is left: every open job ends here.
    void finish();
    const Notes& notes() const { return notes_; }
    size_t open() const { return open_.size(); }

  private:
    struct Task {
        double since = kNoTime;  // running since
        uint32_t machine = 0;    // 1 + index; 0: none
        bool ended = false;
    };
    struct Open {
        uint64_t order = 0;
        TraceJob job;
        std::string group;
        std::unordered_map<int64_t, Task> tasks;
        double over_s = kNoTime;  // when its end was told
    };
    struct Machine {
        bool there = false;
        double told_s = kNoTime;
        uint32_t running = 0;
    };

    Refusal in_time(Event& event);
    Refusal machine_event(const Event& event);
    Refusal task_event(const Event& event, Open& open);
    uint32_t use(const std::string& machine);
    void leave(Task& task);
    void ran(Open& open, double from, double to);
    uint64_t mark(const std::string& key) const;
    void close_over();
    void close_first();
    void close(Open&& open);

    bool numeric_;
    double back_s_;
    Sink sink_;
    uint64_t order_ = 0;
    std::unordered_map<std::string, Open> open_;
    std::deque<std::pair<double, std::string>> over_;  // jobs whose end was told, in order of time
    std::unordered_map<std::string, Facts> groups_;
    std::unordered_map<std::string, uint32_t> machine_index_;
    std::vector<Machine> machines_;
    bool machines_told_ = false;
    Roaring64Map closed_;
    double newest_ = kNoTime, refused_s_ = kNoTime;
    int refused_in_row_ = 0;
    Notes notes_;
};

}  // namespace weirmill::traces
