#include "liveness/downlink.h"

#include <algorithm>

namespace weirmill {

namespace {
constexpr uint32_t kMissed = 2;  // one answer may be lost, or come too late
constexpr uint32_t kSteady = 2;
constexpr uint32_t kBacks = 3;
constexpr double kPace = 0.4;  // of the time between reports, at least
constexpr uint64_t kTicks =
    20;  // between two reports in a row: /commands and /status count as well
constexpr double kMargin = 0.02;  // of a lease: drift, and reports that come late
constexpr double kMargin_s = 0.5;

// Unanswered, it would have gone to every other controller before it came back to this one.
bool stays(const DownlinkState& h, const DownlinkObservation& r, const Settings& s, double now) {
    double around =
        static_cast<double>(s.peers.size() + 1) * (s.worker_patience_s + s.worker_next_s);
    return !s.peers.empty() && r.direct && h.direct_at > 0 &&
           now - h.direct_at < around - kMargin_s;
}

}  // namespace

DownlinkEvidence classify_evidence(const DownlinkState& h, const DownlinkObservation& r,
                                   const Settings& s, double now) {
    if (r.start_taken || (h.told_fencing_token && r.our_fencing_token))
        return DownlinkEvidence::Received;
    bool newer_session = r.order.agent_epoch > h.answered.agent_epoch;
    if (h.answered_at > 0 && newer_session) {
        // Had it taken that answer, its lease would still stand: it was sent no earlier than its
        // patience before.
        double stands = h.answered_at - s.worker_patience_s + s.lease_s * (1 - kMargin) - kMargin_s;
        return now < stands ? DownlinkEvidence::Lost : DownlinkEvidence::Nothing;
    }
    bool follows = h.answered_at > 0 && r.order > h.answered;
    if (follows && (r.start_missing || (h.told_fencing_token && !r.our_fencing_token)))
        return DownlinkEvidence::Missed;
    // A session does not outlive its lease unanswered.
    double most = s.lease_s * (1 + kMargin) + s.worker_patience_s + kMargin_s;
    if (r.order.agent_epoch == h.agent_epoch && h.epoch_since > 0 && now - h.epoch_since > most)
        return DownlinkEvidence::Received;
    return stays(h, r, s, now) && h.steady + 1 >= kSteady ? DownlinkEvidence::Received
                                                          : DownlinkEvidence::Nothing;
}

bool observe_heartbeat(DownlinkState& h, const DownlinkObservation& r, const Settings& s,
                       double now) {
    auto evidence = classify_evidence(h, r, s, now);
    h.steady = stays(h, r, s, now) ? h.steady + 1 : 0;
    h.direct_at = r.direct ? now : 0;
    if (r.order.agent_epoch != h.agent_epoch)
        h.agent_epoch = r.order.agent_epoch, h.epoch_since = now;
    if (evidence == DownlinkEvidence::Received) h.missed = 0, h.lost_since = 0;
    if (evidence == DownlinkEvidence::Missed) ++h.missed;
    if (evidence == DownlinkEvidence::Lost) h.missed += kMissed;
    if (h.missed < kMissed || h.downlink_lost()) return false;
    h.lost_since = now;
    return true;
}

void record_response(DownlinkState& h, const HeartbeatOrder& heartbeat, bool our_fencing_token,
                     double now) {
    h.answered = heartbeat;
    h.answered_at = now;
    h.told_fencing_token = !our_fencing_token;
}

bool has_returned(DownlinkState& h, const HeartbeatOrder& heartbeat, const Settings& s,
                  double now) {
    if (heartbeat > h.former) return true;
    double gap = now - h.back_at;
    bool near =
        heartbeat.agent_epoch - h.back.agent_epoch <= 1 && heartbeat.seq - h.back.seq <= kTicks;
    bool next = h.backs > 0 && heartbeat > h.back && near && gap > kPace * s.heartbeat_interval_s &&
                gap < s.lease_s;
    h.backs = next ? h.backs + 1 : 1;
    h.back = heartbeat;
    h.back_at = now;
    return h.backs >= kBacks;
}

void reset_downlink(DownlinkState& h, const HeartbeatOrder& last) {
    auto former = std::max(h.former, last);
    h = {};
    h.former = former;
}

bool should_replace_unreachable(const DownlinkState& h, double replacement_s, size_t downlink_lost,
                                size_t up, const Settings& s, double now) {
    return h.downlink_lost() && 2 * downlink_lost <= up &&
           now - h.lost_since > s.lease_s + replacement_s;
}

}  // namespace weirmill
