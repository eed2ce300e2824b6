#include "standby/standby_decisions.h"

#include <algorithm>

#include "protocol/user_codec.h"

namespace weirmill {

namespace {

JobStatus status_from_final_state(const FinalState& final_state) {
    JobStatus status;
    status.location = JobLocation::Ended;
    status.state = final_state.state;
    status.done = final_state.done_tasks;
    return status;
}

JobStatus status_from_log(const StateLogView::Job& logged, bool cancelled) {
    JobStatus status;
    status.location = JobLocation::Log;
    status.done = logged.done;
    status.running = logged.placed;
    status.state = logged.placed > 0 ? JobState::Running : JobState::Queued;
    if (cancelled) status.state = JobState::Cancelled;
    return status;
}

JobStatus status_from_pending(const PendingRecord& pending) {
    JobStatus status;
    status.location = pending.accepted() ? JobLocation::Pending : JobLocation::CancelRequestOnly;
    if (pending.accepted() && pending.cancelled) status.state = JobState::Cancelled;
    return status;
}

}  // namespace

JobStatus resolve_job_status(const JobRecords& records) {
    if (records.final_state) return status_from_final_state(*records.final_state);
    if (records.logged) return status_from_log(*records.logged, records.cancelled_in_log);
    if (records.pending) return status_from_pending(*records.pending);
    return {};
}

PeerReply standby_reply(const std::string& id, const JobStatus& status, PeerOp op) {
    PeerReply retry_reply{503, R"({"error":"not now"})", 1, 0};
    if (status.location == JobLocation::CancelRequestOnly) return retry_reply;
    if (status.location == JobLocation::NotFound) return {404, "{}"};
    if (op == PeerOp::Status)
        return {200, job_status_json(id, status.state, status.done, status.running)};
    if (op == PeerOp::Cancel && status.queued_or_running()) return retry_reply;
    return {200, job_state_json(id, status.state)};
}

bool all_controllers_adopt(const Settings& settings, const KvPage& adopter_records) {
    auto adopts = [&](const std::string& name) {
        return std::ranges::any_of(adopter_records.items,
                                   [&](auto& item) { return item.key == adopter_key(name); });
    };
    return adopts(settings.name) &&
           std::ranges::all_of(settings.peers, [&](auto& peer) { return adopts(peer.name); });
}

}  // namespace weirmill
