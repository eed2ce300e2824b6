// Assembles jobs from the events of a trace.
//
// Owns: the open jobs, the machines that are present, the keys of closed jobs, and the newest time.
// Memory grows with the number of jobs that are open at once. Of a closed job only the key is kept
// (between one bit and 16 bytes in a compressed bitmap), because a second job with that key must be
// rejected.
//
// Order of time: in formats with times, an event that is at most `time_tolerance_s` older than the
// newest is moved to the newest time, and an older one is rejected. A single record with a time far
// in the future must not cause the rejection of all records after it: after kRejectionsBeforeResync
// rejections in a row whose times are in order among themselves, the next such record sets the
// newest time.
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

// The position of a record in the inputs.
struct RecordLocation {
    uint32_t file = 0;     // index among the inputs
    uint64_t line = 0;     // number of the line in which the record starts, from 1
    uint64_t element = 0;  // number of the element in a JSON array, from 1; 0: not in an array
};

// A job that is closed: no further event can change it.
struct TraceJob {
    std::string key;
    RecordLocation location;  // of its first record
    JobAttributes attributes;
    double run_s = kUnknown;  // of its longest task; NaN: the trace does not have it
    Rejection rejection;      // reason None: no reason to reject it has been found so far
};

class Assembler {
  public:
    using Sink = std::function<void(TraceJob&&)>;
    struct Counters {
        uint64_t adjusted_times = 0;  // events that were moved to the newest time
        uint64_t time_resyncs = 0;
        // Uses of a machine that the trace does not declare, although it declares others.
        uint64_t undeclared_machine_uses = 0;
        uint64_t machines_removed_in_use = 0;
    };
    static constexpr int kRejectionsBeforeResync = 8;

    Assembler(bool numeric_keys, double time_tolerance_s, Sink sink)
        : numeric_keys_(numeric_keys),
          time_tolerance_s_(time_tolerance_s),
          sink_(std::move(sink)) {}
    // Adds an event to its job or machine. The reason of the result is None if that was possible.
    Rejection add(Event& event, RecordLocation location);
    // Closes every open job. The caller has no further events.
    void finish();
    const Counters& counters() const { return counters_; }
    size_t open_jobs() const { return open_jobs_.size(); }

  private:
    struct Task {
        double running_since_s = kUnknown;
        uint32_t machine = 0;  // index of the machine plus one; 0: none
        bool ended = false;
    };
    struct OpenJob {
        uint64_t declaration_order = 0;
        TraceJob job;
        std::string group;
        std::unordered_map<int64_t, Task> tasks;
        double ended_s = kUnknown;  // time of its JobEnd event
    };
    struct Machine {
        bool present = false;
        double snapshot_s = kUnknown;  // time of the newest MachineSnapshot event
        uint32_t running = 0;          // tasks
    };

    Rejection check_time(Event& event);
    Rejection add_machine_event(const Event& event);
    Rejection add_task_event(const Event& event, OpenJob& open);
    uint32_t start_on_machine(const std::string& machine);
    void leave_machine(Task& task);
    void record_run(OpenJob& open, double from_s, double to_s);
    uint64_t bitmap_key(const std::string& key) const;
    void close_ended_jobs();
    void close_first_ended_job();
    void close(OpenJob&& open);

    bool numeric_keys_;
    double time_tolerance_s_;
    Sink sink_;
    uint64_t declared_jobs_ = 0;
    std::unordered_map<std::string, OpenJob> open_jobs_;
    // Open jobs that had a JobEnd event, with its time, in order of time.
    std::deque<std::pair<double, std::string>> ended_jobs_;
    std::unordered_map<std::string, JobAttributes> groups_;
    std::unordered_map<std::string, uint32_t> machine_index_;
    std::vector<Machine> machines_;
    bool has_machine_events_ = false;
    Roaring64Map closed_jobs_;
    double newest_s_ = kUnknown, last_rejected_s_ = kUnknown;
    int consecutive_rejections_ = 0;
    Counters counters_;
};

}  // namespace weirmill::traces
