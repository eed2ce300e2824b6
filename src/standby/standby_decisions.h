// Decisions of a door: pure functions of what was read, in the order in which records move.
#pragma once
#include <cmath>
#include <optional>
#include <string>

#include "standby/state_log_view.h"
#include "state/pending_records.h"
#include "state/state_log_codec.h"
#include "transport/peer_link.h"

namespace weirmill {

// What was read of a job: its door record first, then the log, then its final state. Records move
// in this order, so a job that was accepted before the first read is found by one of them; what is
// further along counts.
struct JobReads {
    std::optional<PendingRecord> standby;
    const StateLogView::Job* live = nullptr;
    bool live_cancelled = false;
    std::optional<FinalState> ended;  // not read where the log holds the job
};

struct JobStanding {
    enum class At : uint8_t {
        Nowhere,         // it was never accepted
        Unclear,         // a door's request for a job that is nowhere else: another read must tell
        StandbyService,  // accepted by a door, and not collected yet
        Log,             // alive
        Ended,
    } at = At::Nowhere;
    JobState state = JobState::Queued;
    uint32_t done = 0, running = 0;
};

JobStanding standing(const JobReads& seen);

// What a user is told who asks `op` of the job; a cancellation that does not hold yet is not told
// as one. 503: not now.
PeerReply standby_reply(const std::string& id, const JobStanding& s, PeerOp op);

// Doors open only where every controller collects what they take: each of them has left its mark.
bool all_controllers_adopt(const Settings& settings, const KvPage& marks);

// How long a door waits for the leader's answer before it acts itself: some deviations above the
// usual time, as a retransmission timer has it. The bounds are in seconds.
class ForwardTimeout {
  public:
    void took(double s) {
        if (mean_ == 0) {
            mean_ = s;
            deviation_ = s / 2;
            return;
        }
        deviation_ += (std::abs(s - mean_) - deviation_) / 4;
        mean_ += (s - mean_) / 8;
    }
    double seconds() const {
        return mean_ == 0 ? kFirst : std::min(kMax, std::max(kMin, mean_ + 4 * deviation_));
    }

  private:
    static constexpr double kFirst = 0.3, kMin = 0.08, kMax = 0.6;
    double mean_ = 0, deviation_ = 0;
};

}  // namespace weirmill
