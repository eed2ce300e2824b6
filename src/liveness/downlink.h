// Detects a lost downlink: the heartbeats of a worker arrive, but this leader's responses and
// commands do not reach the worker. Tasks that the worker is to launch then never start, and its
// lease expires although each heartbeat was answered.
//
// Pure functions of what the heartbeats of a worker show and a given time. They never conclude that
// a task is gone, as only the end of a lease proves that (liveness/worker_lease.h,
// docs/failures.md). Times are in seconds of the steady clock.
#pragma once
#include <cstddef>
#include <cstdint>
#include <utility>

#include "config/settings.h"

namespace weirmill {

// Position of a heartbeat among all heartbeats of its worker. The agent epoch increases when the
// worker restarts or its lease expires, and `seq` increases with each heartbeat of an epoch.
struct HeartbeatOrder {
    uint64_t agent_epoch = 0, seq = 0;
    auto operator<=>(const HeartbeatOrder&) const = default;
};

// State of the downlink to one worker. A time of 0 means that the event has not happened yet.
struct DownlinkState {
    uint32_t missed_answers = 0;  // consecutive responses that the worker did not receive
    // Consecutive heartbeats that the worker would not send without receiving responses.
    uint32_t consecutive_direct = 0;
    // Consecutive answered heartbeats after which the worker reported to another controller.
    uint32_t departures = 0;
    HeartbeatOrder last_heartbeat;
    double served_at = 0;         // the last response that the worker did not leave after
    double lost_since = 0;        // 0: the worker receives responses, as far as is known
    uint64_t agent_epoch = 0;     // of the last heartbeat
    double epoch_started_at = 0;  // arrival of the first heartbeat of that epoch
    HeartbeatOrder answered;      // the last heartbeat that was answered with status 200
    double answered_at = 0;       // time of that response
    // That heartbeat showed an older fencing token than the one in the response.
    bool sent_new_fencing_token = false;
    // Arrival of the last heartbeat if it came without a relay, else 0.
    double last_direct_at = 0;
    // State of has_returned() after the worker's lease has expired: the newest heartbeat from
    // before the expiry, and the consecutive heartbeats since then that are no newer than that one.
    HeartbeatOrder last_before_expiry, return_candidate;
    uint32_t return_count = 0;
    double return_candidate_at = 0;
    bool downlink_lost() const { return lost_since > 0; }
    // The worker keeps leaving this controller although its heartbeats are answered, so it is not
    // served here. A single answer may be lost or come too late.
    bool leaves_after_answers() const { return departures >= 2; }
};

// What a heartbeat shows that is newer than all earlier ones.
struct DownlinkObservation {
    HeartbeatOrder order;
    bool saw_fencing_token = false;  // the highest token that the worker has seen is this leader's
    bool direct = false;             // the heartbeat reached this controller without a relay
    // Of the tasks launched with responses to earlier heartbeats, at least one is reported.
    bool launch_confirmed = false;
    // Of the tasks launched with responses to earlier heartbeats, at least one is not reported.
    bool launch_missing = false;
    // Commands were sent to the worker lately; its responses to them also increase `seq`.
    bool commands_sent = false;
};

enum class DownlinkEvidence : uint8_t {
    None,
    Received,  // the worker receives responses
    Missed,    // the worker did not receive the last response
    Lost,      // the lease expired although it was renewed: several responses were not received
};

// Classifies a heartbeat. `before` is the state before this heartbeat.
[[nodiscard]] DownlinkEvidence classify_evidence(const DownlinkState& before,
                                                 const DownlinkObservation& heartbeat,
                                                 const Settings& s, double now);
// Applies a heartbeat to the state. Returns true if the downlink counts as lost from now on.
[[nodiscard]] bool observe_heartbeat(DownlinkState& state, const DownlinkObservation& heartbeat,
                                     const Settings& s, double now);
// Records that a response with status 200 is sent.
void record_response(DownlinkState& state, const HeartbeatOrder& heartbeat, bool saw_fencing_token,
                     double now);

// Returns whether a heartbeat from a machine whose lease has expired proves that the worker is
// alive. A heartbeat that is newer than all from before the expiry proves it. An older one may be a
// delayed copy or come from a worker that has restarted its counters, so several consecutive ones,
// in order and at the rate of heartbeats, are required. Until then the machine does not count as
// up.
[[nodiscard]] bool has_returned(DownlinkState& state, const HeartbeatOrder& heartbeat,
                                const Settings& s, double now);
// Resets the state after the lease has expired. `last` is the last heartbeat before the expiry.
void reset_downlink(DownlinkState& state, const HeartbeatOrder& last);

// Returns whether a machine with a lost downlink is to be terminated. It is, once it has cost as
// much as a replacement would. It is not if more than half of the machines have lost their
// downlinks, as the link of this controller has then probably failed. `replacement_s` is how long a
// new machine takes. `downlink_lost` and `machines_up` are numbers of machines.
[[nodiscard]] bool should_replace_without_downlink(const DownlinkState& state, double replacement_s,
                                                   size_t downlink_lost, size_t machines_up,
                                                   const Settings& s, double now);

}  // namespace weirmill
