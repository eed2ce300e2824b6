#include "standby/standby_decisions.h"

#include <algorithm>

#include "protocol/user_codec.h"

namespace weirmill {

namespace {

JobStanding ended_standing(const FinalState& ended) {
    JobStanding s;
    s.place = JobPlace::Ended;
    s.state = ended.state;
    s.done = ended.done;
    return s;
}

JobStanding live_standing(const StateLogView::Job& live, bool cancelled) {
    JobStanding s;
    s.place = JobPlace::Log;
    s.done = live.done;
    s.running = live.placed;
    s.state = live.placed > 0 ? JobState::Running : JobState::Queued;
    if (cancelled) s.state = JobState::Cancelled;
    return s;
}

JobStanding pending_standing(const PendingRecord& pending) {
    JobStanding s;
    s.place = pending.accepted() ? JobPlace::Pending : JobPlace::Unclear;
    if (pending.accepted() && pending.cancelled) s.state = JobState::Cancelled;
    return s;
}

}  // namespace

JobStanding job_standing(const JobReads& reads) {
    if (reads.ended) return ended_standing(*reads.ended);
    if (reads.live) return live_standing(*reads.live, reads.live_cancelled);
    if (reads.pending) return pending_standing(*reads.pending);
    return {};
}

PeerReply standby_reply(const std::string& id, const JobStanding& s, PeerOp op) {
    PeerReply not_now{503, R"({"error":"not now"})", 1, 0};
    if (s.place == JobPlace::Unclear) return not_now;
    if (s.place == JobPlace::Nowhere) return {404, "{}"};
    if (op == PeerOp::Status) return {200, job_status_json(id, s.state, s.done, s.running)};
    if (op == PeerOp::Cancel && s.open()) return not_now;
    return {200, job_state_json(id, s.state)};
}

bool all_controllers_adopt(const Settings& settings, const KvPage& adopters) {
    auto adopts = [&](const std::string& name) {
        return std::ranges::any_of(adopters.items,
                                   [&](auto& item) { return item.key == adopter_key(name); });
    };
    return adopts(settings.name) &&
           std::ranges::all_of(settings.peers, [&](auto& p) { return adopts(p.name); });
}

}  // namespace weirmill
