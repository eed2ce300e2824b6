#include "liveness/downlink.h"

#include <algorithm>

namespace weirmill {

namespace {

// A single response may be lost or come too late.
constexpr uint32_t kMissedAnswersForLoss = 2;
constexpr uint32_t kMinConsecutiveDirect = 2;
constexpr uint32_t kMinReturnHeartbeats = 3;
// Minimum time between consecutive heartbeats, as a share of their interval.
constexpr double kMinIntervalShare = 0.4;
// Maximum difference between consecutive heartbeats: requests to /commands and /status also
// increase `seq`.
constexpr uint64_t kMaxSeqStep = 20;
// Share of a lease that allows for clock drift and late heartbeats.
constexpr double kLeaseMargin = 0.02;
// Allowance for the time that a heartbeat takes to arrive.
constexpr double kArrivalMargin_s = 0.5;

// Returns whether the worker sends its heartbeats to this controller only. Without responses it
// would have tried every other controller before it tried this one again.
bool uses_only_this_controller(const DownlinkState& state, const DownlinkObservation& heartbeat,
                               const Settings& s, double now) {
    if (s.peers.empty() || !heartbeat.direct || state.last_direct_at <= 0) return false;
    double full_cycle_s = static_cast<double>(s.peers.size() + 1) *
                          (s.worker_response_timeout_s + s.worker_failover_delay_s);
    return now - state.last_direct_at < full_cycle_s - kArrivalMargin_s;
}

// Classifies a new epoch of a worker that was answered in an earlier one. The answered heartbeat
// was sent at most `worker_response_timeout_s` before the response. If the worker had received the
// response, its lease would be valid until `valid_until` or later, and no new epoch could have
// started before.
DownlinkEvidence new_epoch_evidence(const DownlinkState& state, const Settings& s, double now) {
    double sent_at = state.answered_at - s.worker_response_timeout_s;
    double valid_until = sent_at + s.lease_s * (1 - kLeaseMargin) - kArrivalMargin_s;
    return now < valid_until ? DownlinkEvidence::Lost : DownlinkEvidence::None;
}

// Returns whether the worker has reported elsewhere since its last heartbeat here was answered.
// With that answer it would have stayed, and its next heartbeat would be the next in sequence.
bool departed_after_answer(const DownlinkState& state, const DownlinkObservation& heartbeat) {
    return state.answered_at > 0 && state.answered == state.last_heartbeat &&
           heartbeat.order.agent_epoch == state.answered.agent_epoch &&
           heartbeat.order.seq > state.answered.seq + 1;
}

// Returns whether the epoch has lasted longer than a lease, which is only possible if the worker
// receives responses.
bool epoch_outlived_lease(const DownlinkState& state, const DownlinkObservation& heartbeat,
                          const Settings& s, double now) {
    if (heartbeat.order.agent_epoch != state.agent_epoch || state.epoch_started_at <= 0)
        return false;
    double max_epoch_s =
        s.lease_s * (1 + kLeaseMargin) + s.worker_response_timeout_s + kArrivalMargin_s;
    return now - state.epoch_started_at > max_epoch_s;
}

// After commands nothing follows from the sequence, and what was known before remains.
void observe_departure(DownlinkState& state, const DownlinkObservation& heartbeat) {
    if (!heartbeat.commands_sent)
        state.departures = departed_after_answer(state, heartbeat) ? state.departures + 1 : 0;
    if (state.departures == 0) state.served_at = state.answered_at;
    state.last_heartbeat = heartbeat.order;
}

}  // namespace

DownlinkEvidence classify_evidence(const DownlinkState& before,
                                   const DownlinkObservation& heartbeat, const Settings& s,
                                   double now) {
    if (heartbeat.launch_confirmed) return DownlinkEvidence::Received;
    if (before.sent_new_fencing_token && heartbeat.saw_fencing_token)
        return DownlinkEvidence::Received;
    bool answered = before.answered_at > 0;
    if (answered && heartbeat.order.agent_epoch > before.answered.agent_epoch)
        return new_epoch_evidence(before, s, now);
    bool token_missing = before.sent_new_fencing_token && !heartbeat.saw_fencing_token;
    bool newer = answered && heartbeat.order > before.answered;
    if (newer && (heartbeat.launch_missing || token_missing)) return DownlinkEvidence::Missed;
    if (epoch_outlived_lease(before, heartbeat, s, now)) return DownlinkEvidence::Received;
    bool receives_answers = uses_only_this_controller(before, heartbeat, s, now) &&
                            before.consecutive_direct + 1 >= kMinConsecutiveDirect;
    return receives_answers ? DownlinkEvidence::Received : DownlinkEvidence::None;
}

bool observe_heartbeat(DownlinkState& state, const DownlinkObservation& heartbeat,
                       const Settings& s, double now) {
    auto evidence = classify_evidence(state, heartbeat, s, now);
    observe_departure(state, heartbeat);
    state.consecutive_direct =
        uses_only_this_controller(state, heartbeat, s, now) ? state.consecutive_direct + 1 : 0;
    state.last_direct_at = heartbeat.direct ? now : 0;
    if (heartbeat.order.agent_epoch != state.agent_epoch) {
        state.agent_epoch = heartbeat.order.agent_epoch;
        state.epoch_started_at = now;
    }
    switch (evidence) {
        case DownlinkEvidence::None:
            break;
        case DownlinkEvidence::Received:
            state.missed_answers = 0;
            state.lost_since = 0;
            break;
        case DownlinkEvidence::Missed:
            ++state.missed_answers;
            break;
        case DownlinkEvidence::Lost:
            state.missed_answers += kMissedAnswersForLoss;
            break;
    }
    if (state.missed_answers < kMissedAnswersForLoss || state.downlink_lost()) return false;
    state.lost_since = now;
    return true;
}

void record_response(DownlinkState& state, const HeartbeatOrder& heartbeat, bool saw_fencing_token,
                     double now) {
    state.answered = heartbeat;
    state.answered_at = now;
    state.sent_new_fencing_token = !saw_fencing_token;
}

bool has_returned(DownlinkState& state, const HeartbeatOrder& heartbeat, const Settings& s,
                  double now) {
    if (heartbeat > state.last_before_expiry) return true;
    double gap_s = now - state.return_candidate_at;
    bool at_heartbeat_rate =
        gap_s > kMinIntervalShare * s.heartbeat_interval_s && gap_s < s.lease_s;
    bool close_in_sequence = heartbeat.agent_epoch - state.return_candidate.agent_epoch <= 1 &&
                             heartbeat.seq - state.return_candidate.seq <= kMaxSeqStep;
    bool consecutive = state.return_count > 0 && heartbeat > state.return_candidate &&
                       close_in_sequence && at_heartbeat_rate;
    state.return_count = consecutive ? state.return_count + 1 : 1;
    state.return_candidate = heartbeat;
    state.return_candidate_at = now;
    return state.return_count >= kMinReturnHeartbeats;
}

void reset_downlink(DownlinkState& state, const HeartbeatOrder& last) {
    auto last_before_expiry = std::max(state.last_before_expiry, last);
    state = {};
    state.last_before_expiry = last_before_expiry;
}

bool should_replace_without_downlink(const DownlinkState& state, double replacement_s,
                                     size_t downlink_lost, size_t machines_up, const Settings& s,
                                     double now) {
    if (!state.downlink_lost() || 2 * downlink_lost > machines_up) return false;
    return now - state.lost_since > s.lease_s + replacement_s;
}

}  // namespace weirmill
