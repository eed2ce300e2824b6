#include "liveness/downlink.h"

#include <algorithm>

namespace weirmill {

namespace {

constexpr uint32_t kMaxMissed = 2;  // one answer may be lost, or come too late
constexpr uint32_t kMinSteady = 2;
constexpr uint32_t kMinReturned = 3;
constexpr double kMinPace = 0.4;  // of the time between heartbeats
// Between two heartbeats in a row: requests to /commands and /status count as well.
constexpr uint64_t kMaxSeqStep = 20;
constexpr double kLeaseMargin = 0.02;  // of a lease: clock drift, and heartbeats that come late
constexpr double kLateMargin_s = 0.5;

// The worker sends its heartbeats to this controller alone. Without answers it would have gone to
// every other controller before it came back to this one.
bool stays_here(const DownlinkState& state, const DownlinkObservation& heartbeat, const Settings& s,
                double now) {
    if (s.peers.empty() || !heartbeat.direct || state.direct_at <= 0) return false;
    double around_s = static_cast<double>(s.peers.size() + 1) *
                      (s.worker_response_timeout_s + s.worker_failover_delay_s);
    return now - state.direct_at < around_s - kLateMargin_s;
}

// Of a worker that has begun a new epoch since it was answered. Had it received that answer, its
// lease would hold until `valid_until` at least: the answered heartbeat was sent no earlier than
// its patience before.
DownlinkEvidence new_epoch_evidence(const DownlinkState& state, const Settings& s, double now) {
    double sent_at = state.answered_at - s.worker_response_timeout_s;
    double valid_until = sent_at + s.lease_s * (1 - kLeaseMargin) - kLateMargin_s;
    return now < valid_until ? DownlinkEvidence::Lost : DownlinkEvidence::Nothing;
}

// An epoch does not outlive its lease unanswered.
bool epoch_outlived_lease(const DownlinkState& state, const DownlinkObservation& heartbeat,
                          const Settings& s, double now) {
    if (heartbeat.order.agent_epoch != state.agent_epoch || state.epoch_since <= 0) return false;
    double longest_s = s.lease_s * (1 + kLeaseMargin) + s.worker_response_timeout_s + kLateMargin_s;
    return now - state.epoch_since > longest_s;
}

}  // namespace

DownlinkEvidence classify_evidence(const DownlinkState& before,
                                   const DownlinkObservation& heartbeat, const Settings& s,
                                   double now) {
    if (heartbeat.start_taken) return DownlinkEvidence::Received;
    if (before.told_fencing_token && heartbeat.our_fencing_token) return DownlinkEvidence::Received;
    bool answered = before.answered_at > 0;
    if (answered && heartbeat.order.agent_epoch > before.answered.agent_epoch)
        return new_epoch_evidence(before, s, now);
    bool token_missing = before.told_fencing_token && !heartbeat.our_fencing_token;
    bool follows = answered && heartbeat.order > before.answered;
    if (follows && (heartbeat.start_missing || token_missing)) return DownlinkEvidence::Missed;
    if (epoch_outlived_lease(before, heartbeat, s, now)) return DownlinkEvidence::Received;
    bool steady = stays_here(before, heartbeat, s, now) && before.steady + 1 >= kMinSteady;
    return steady ? DownlinkEvidence::Received : DownlinkEvidence::Nothing;
}

bool observe_heartbeat(DownlinkState& state, const DownlinkObservation& heartbeat,
                       const Settings& s, double now) {
    auto evidence = classify_evidence(state, heartbeat, s, now);
    state.steady = stays_here(state, heartbeat, s, now) ? state.steady + 1 : 0;
    state.direct_at = heartbeat.direct ? now : 0;
    if (heartbeat.order.agent_epoch != state.agent_epoch) {
        state.agent_epoch = heartbeat.order.agent_epoch;
        state.epoch_since = now;
    }
    switch (evidence) {
        case DownlinkEvidence::Nothing:
            break;
        case DownlinkEvidence::Received:
            state.missed = 0;
            state.lost_since = 0;
            break;
        case DownlinkEvidence::Missed:
            ++state.missed;
            break;
        case DownlinkEvidence::Lost:
            state.missed += kMaxMissed;
            break;
    }
    if (state.missed < kMaxMissed || state.downlink_lost()) return false;
    state.lost_since = now;
    return true;
}

void record_response(DownlinkState& state, const HeartbeatOrder& heartbeat, bool our_fencing_token,
                     double now) {
    state.answered = heartbeat;
    state.answered_at = now;
    state.told_fencing_token = !our_fencing_token;
}

bool has_returned(DownlinkState& state, const HeartbeatOrder& heartbeat, const Settings& s,
                  double now) {
    if (heartbeat > state.former) return true;
    double gap_s = now - state.back_at;
    bool in_pace = gap_s > kMinPace * s.heartbeat_interval_s && gap_s < s.lease_s;
    bool near = heartbeat.agent_epoch - state.back.agent_epoch <= 1 &&
                heartbeat.seq - state.back.seq <= kMaxSeqStep;
    bool next = state.backs > 0 && heartbeat > state.back && near && in_pace;
    state.backs = next ? state.backs + 1 : 1;
    state.back = heartbeat;
    state.back_at = now;
    return state.backs >= kMinReturned;
}

void reset_downlink(DownlinkState& state, const HeartbeatOrder& last) {
    auto former = std::max(state.former, last);
    state = {};
    state.former = former;
}

bool should_replace_unreachable(const DownlinkState& state, double replacement_s,
                                size_t downlink_lost, size_t up, const Settings& s, double now) {
    if (!state.downlink_lost() || 2 * downlink_lost > up) return false;
    return now - state.lost_since > s.lease_s + replacement_s;
}

}  // namespace weirmill
