// Decisions of the standby service: pure functions of what was read, in the order in which records
// move (pending record, log, final state).
#pragma once
#include <optional>
#include <string>

#include "standby/state_log_view.h"
#include "state/pending_records.h"
#include "state/state_log_codec.h"
#include "transport/peer_link.h"

namespace weirmill {

// What was read of a job: its pending record first, then the log, then its final state. Records
// move in this order, so a job that was accepted before the first read is found by one of them; the
// one that is further along counts.
struct JobReads {
    std::optional<PendingRecord> pending;
    const StateLogView::Job* live = nullptr;  // in the log
    bool live_cancelled = false;
    std::optional<FinalState> ended;  // not read where the log holds the job
};

// Where a job is recorded.
enum class JobPlace : uint8_t {
    Nowhere,  // it was never accepted
    Unclear,  // a cancellation request for a job that is nowhere else: another read must tell
    Pending,  // accepted by a standby controller, not adopted by a leader yet
    Log,      // alive
    Ended,
};

struct JobStanding {
    JobPlace place = JobPlace::Nowhere;
    JobState state = JobState::Queued;
    uint32_t done = 0, running = 0;  // tasks

    // It has not ended, and is not cancelled either.
    bool open() const { return state == JobState::Queued || state == JobState::Running; }
};

[[nodiscard]] JobStanding job_standing(const JobReads& reads);

// The answer to a user's `op` (Submit, Status or Cancel) for the job. A cancellation that does not
// hold yet is not reported as one. 503: not now.
[[nodiscard]] PeerReply standby_reply(const std::string& id, const JobStanding& s, PeerOp op);

// Whether every controller of the settings adopts pending records, as its adopter record says: only
// then may any controller write one.
[[nodiscard]] bool all_controllers_adopt(const Settings& settings, const KvPage& adopters);

}  // namespace weirmill
