#include "doors/decide.h"

#include <algorithm>

#include "protocol/user_codec.h"

namespace weirmill {

Standing standing(const Seen& seen) {
    Standing s;
    if (seen.ended) {
        s.at = Standing::At::Ended;
        s.state = seen.ended->state;
        s.done = seen.ended->done;
    } else if (seen.live) {
        s.at = Standing::At::Log;
        s.done = seen.live->done;
        s.running = seen.live->placed;
        s.state = seen.live->placed > 0 ? JobState::Running : JobState::Queued;
        if (seen.live_cancelled) s.state = JobState::Cancelled;
    } else if (seen.door && seen.door->accepted()) {
        s.at = Standing::At::Door;
        if (seen.door->cancelled) s.state = JobState::Cancelled;
    } else if (seen.door) {
        s.at = Standing::At::Unclear;
    }
    return s;
}

PeerReply door_reply(const std::string& id, const Standing& s, PeerOp op) {
    if (s.at == Standing::At::Unclear) return {503, R"({"error":"not now"})", 1, 0};
    if (s.at == Standing::At::Nowhere) return {404, "{}"};
    if (op == PeerOp::Status) return {200, job_status(id, s.state, s.done, s.running)};
    bool open = s.state == JobState::Queued || s.state == JobState::Running;
    if (op == PeerOp::Cancel && open) return {503, R"({"error":"not now"})", 1, 0};
    return {200, job_answer(id, s.state)};
}

bool all_collect(const Settings& settings, const KvPage& marks) {
    auto marked = [&](const std::string& name) {
        return std::any_of(marks.items.begin(), marks.items.end(),
                           [&](auto& item) { return item.key == mark_key(name); });
    };
    return marked(settings.name) && std::all_of(settings.peers.begin(), settings.peers.end(),
                                                [&](auto& p) { return marked(p.name); });
}

}  // namespace weirmill
