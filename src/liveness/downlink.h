// Detects a lost downlink: a worker's heartbeats arrive, but this leader's answers and commands do
// not reach it. A task that it is to start never starts, and its lease runs out although each
// heartbeat was answered.
//
// Pure functions of what a worker's heartbeats show and a given time. They never state that a task
// is gone: only the end of a lease proves that (liveness/worker_lease.h, docs/failures.md). Times
// are of the steady clock, seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <utility>

#include "config/settings.h"

namespace weirmill {

// A heartbeat's place in the order of all that its worker has sent. The agent epoch grows when the
// worker starts anew or its lease has run out, `seq` with each heartbeat within an epoch.
struct HeartbeatOrder {
    uint64_t agent_epoch = 0, seq = 0;
    auto operator<=>(const HeartbeatOrder&) const = default;
};

// What is remembered of one worker. Times: 0: none yet.
struct DownlinkState {
    uint32_t missed = 0;       // answers in a row that heartbeats show were not received
    uint32_t steady = 0;       // heartbeats in a row that only a worker that was answered sends
    double lost_since = 0;     // 0: it receives answers, as far as is known
    uint64_t agent_epoch = 0;  // of the last heartbeat
    double epoch_since = 0;    // the first heartbeat of that epoch
    HeartbeatOrder answered;   // the last heartbeat that was answered with 200
    double answered_at = 0;
    bool told_fencing_token = false;  // that heartbeat showed an older token than ours
    double direct_at = 0;  // when the last heartbeat came, if without a relay; 0: it did not
    // Once its lease has run out here: the last heartbeat from before, and those since that are no
    // newer than it, one after the other (has_returned).
    HeartbeatOrder former, back;
    uint32_t backs = 0;
    double back_at = 0;
    bool downlink_lost() const { return lost_since > 0; }
};

// What a newer heartbeat shows.
struct DownlinkObservation {
    HeartbeatOrder order;
    bool our_fencing_token = false;  // the highest token that the worker has seen is ours
    bool direct = false;             // it came to this controller itself
    // Of tasks launched with answers to earlier heartbeats: one is there, one is not.
    bool start_taken = false, start_missing = false;
};

enum class DownlinkEvidence : uint8_t {
    Nothing,
    Received,  // the worker receives answers
    Missed,    // it did not receive the last answer
    Lost,      // its lease ran out although it was answered: more than one answer is missing
};

// `before`: as it was until this heartbeat.
[[nodiscard]] DownlinkEvidence classify_evidence(const DownlinkState& before,
                                                 const DownlinkObservation& heartbeat,
                                                 const Settings& s, double now);
// Takes the heartbeat in. True: the downlink counts as lost from now on.
[[nodiscard]] bool observe_heartbeat(DownlinkState& state, const DownlinkObservation& heartbeat,
                                     const Settings& s, double now);
// An answer with 200 goes out.
void record_response(DownlinkState& state, const HeartbeatOrder& heartbeat, bool our_fencing_token,
                     double now);

// Of a machine whose lease ran out: whether the heartbeat is one of a worker that is there. One
// that is newer than all from before is. Any other may be a late copy, or the worker has begun its
// counts anew: some in a row, in order and at the pace of heartbeats, prove that. Until then a
// machine is not up because of it.
[[nodiscard]] bool has_returned(DownlinkState& state, const HeartbeatOrder& heartbeat,
                                const Settings& s, double now);
// The lease has run out, after this heartbeat: nothing else is remembered.
void reset_downlink(DownlinkState& state, const HeartbeatOrder& last);

// A machine with a lost downlink is given back once it has cost what a new one would, unless there
// are so many of them that it is rather this controller's link that fails. `replacement_s`: how
// long a new machine takes; `downlink_lost`, `up`: how many machines are so.
[[nodiscard]] bool should_replace_unreachable(const DownlinkState& state, double replacement_s,
                                              size_t downlink_lost, size_t up, const Settings& s,
                                              double now);

}  // namespace weirmill
