// Decisions of the standby service, as pure functions of the records that it has read. A job's
// state moves through three records: the pending record, the state log and the final state.
#pragma once
#include <optional>
#include <string>

#include "standby/state_log_view.h"
#include "state/pending_records.h"
#include "state/state_log_codec.h"
#include "transport/peer_link.h"

namespace weirmill {

// The records that were read for one job: first its pending record, then the state log, then its
// final state. A job moves through the records in this order, so reading them in the same order
// finds every job that was accepted before the first read. If several records exist, the latest
// stage applies.
struct JobRecords {
    std::optional<PendingRecord> pending;
    const StateLogView::Job* logged = nullptr;  // null: the log does not hold the job
    bool cancelled_in_log = false;
    std::optional<FinalState> final_state;  // not read if the log holds the job
};

// Where a job is recorded.
enum class JobLocation : uint8_t {
    NotFound,           // the job was never accepted
    CancelRequestOnly,  // only a request to cancel the job was found; it has to be read again
    Pending,            // a standby controller accepted the job, no leader has adopted it yet
    Log,                // the state log holds the job, which has not ended
    Ended,              // the job's final state is recorded
};

struct JobStatus {
    JobLocation location = JobLocation::NotFound;
    JobState state = JobState::Queued;
    uint32_t done = 0, running = 0;  // number of tasks

    // Returns whether the job has neither ended nor been cancelled.
    bool queued_or_running() const {
        return state == JobState::Queued || state == JobState::Running;
    }
};

[[nodiscard]] JobStatus resolve_job_status(const JobRecords& records);

// Returns the answer to a user's request about the job; `op` is Submit, Status or Cancel. Confirms
// a cancellation only once it has taken effect. Status code 503 asks the user to try again.
[[nodiscard]] PeerReply standby_reply(const std::string& id, const JobStatus& status, PeerOp op);

// Returns whether each controller named in the settings has written its adopter record, which
// states that it adopts pending records. Until then no controller may write a pending record.
[[nodiscard]] bool all_controllers_adopt(const Settings& settings, const KvPage& adopter_records);

}  // namespace weirmill
