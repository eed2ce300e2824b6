#include "standby/standby_decisions.h"

#include <algorithm>

#include "protocol/user_codec.h"

namespace weirmill {

JobStanding standing(const JobReads& seen) {
    JobStanding s;
    if (seen.ended) {
        s.at = JobStanding::At::Ended;
        s.state = seen.ended->state;
        s.done = seen.ended->done;
    } else if (seen.live) {
        s.at = JobStanding::At::Log;
        s.done = seen.live->done;
        s.running = seen.live->placed;
        s.state = seen.live->placed > 0 ? JobState::Running : JobState::Queued;
        if (seen.live_cancelled) s.state = JobState::Cancelled;
    } else if (seen.standby && seen.standby->accepted()) {
        s.at = JobStanding::At::StandbyService;
        if (seen.standby->cancelled) s.state = JobState::Cancelled;
    } else if (seen.standby) {
        s.at = JobStanding::At::Unclear;
    }
    return s;
}

PeerReply standby_reply(const std::string& id, const JobStanding& s, PeerOp op) {
    if (s.at == JobStanding::At::Unclear) return {503, R"({"error":"not now"})", 1, 0};
    if (s.at == JobStanding::At::Nowhere) return {404, "{}"};
    if (op == PeerOp::Status) return {200, job_status(id, s.state, s.done, s.running)};
    bool open = s.state == JobState::Queued || s.state == JobState::Running;
    if (op == PeerOp::Cancel && open) return {503, R"({"error":"not now"})", 1, 0};
    return {200, job_answer(id, s.state)};
}

bool all_controllers_adopt(const Settings& settings, const KvPage& marks) {
    auto marked = [&](const std::string& name) {
        return std::any_of(marks.items.begin(), marks.items.end(),
                           [&](auto& item) { return item.key == adopter_key(name); });
    };
    return marked(settings.name) && std::all_of(settings.peers.begin(), settings.peers.end(),
                                                [&](auto& p) { return marked(p.name); });
}

}  // namespace weirmill
