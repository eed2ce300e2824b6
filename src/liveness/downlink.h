// Whether a worker hears this leader. Its reports may arrive while answers and commands do not:
// then what it is told to start never starts, and its lease runs out although each report was
// answered. Pure functions of what its reports show and a given time; they never say that anything
// is gone (docs/failures.md).
#pragma once
#include <cstdint>
#include <utility>

#include "config/settings.h"

namespace weirmill {

// A report's place in the order of all that its worker has sent.
struct HeartbeatOrder {
    uint64_t agent_epoch = 0, seq = 0;
    auto operator<=>(const HeartbeatOrder&) const = default;
};

// What is remembered of one worker. Times on the steady clock, seconds; 0: none yet.
struct DownlinkState {
    uint32_t missed = 0;       // answers in a row that reports show were not taken
    uint32_t steady = 0;       // reports in a row that only a worker that was answered sends
    double lost_since = 0;     // 0: it hears, as far as is known
    uint64_t agent_epoch = 0;  // of the last report
    double epoch_since = 0;    // the first report of that session
    HeartbeatOrder answered;   // the last report that was answered with 200
    double answered_at = 0;
    bool told_fencing_token = false;  // that report showed an older token than ours
    double direct_at = 0;             // the last report came without a relay, then; 0: it did not
    // Since its lease ran out here: reports that are no newer than those from before, one after the
    // other.
    HeartbeatOrder former, back;
    uint32_t backs = 0;
    double back_at = 0;
    bool downlink_lost() const { return lost_since > 0; }
};

// What a newer report shows.
struct DownlinkObservation {
    HeartbeatOrder order;
    bool our_fencing_token = false;  // the highest token that the worker has seen is ours
    bool direct = false;             // it came to this controller itself
    bool start_taken = false,
         start_missing = false;  // of tasks launched with answers to earlier reports
};

enum class DownlinkEvidence : uint8_t { Nothing, Received, Missed, Lost };

// `before` as it was until this report.
DownlinkEvidence classify_evidence(const DownlinkState& before,
                                   const DownlinkObservation& heartbeat, const Settings& settings,
                                   double now);
// Takes the report in. True: the worker counts as deaf from now on.
bool observe_heartbeat(DownlinkState& downlink, const DownlinkObservation& heartbeat,
                       const Settings& settings, double now);
// An answer with 200 goes out.
void record_response(DownlinkState& downlink, const HeartbeatOrder& heartbeat,
                     bool our_fencing_token, double now);

// Of a machine whose lease ran out: whether the report is one of a worker that is there. One that
// is newer than all from before is; else it may be a late copy, or the worker has begun its counts
// anew: some in a row, in order and at the pace of reports, tell. Until then a machine is not up
// for it.
bool has_returned(DownlinkState& downlink, const HeartbeatOrder& heartbeat,
                  const Settings& settings, double now);
// The lease has run out, after this report: nothing else is remembered.
void reset_downlink(DownlinkState& downlink, const HeartbeatOrder& last);

// A deaf machine is given back once it has cost what a new one would, unless so many are deaf that
// it is rather this controller's link.
bool should_replace_unreachable(const DownlinkState& downlink, double replacement_s,
                                size_t downlink_lost, size_t up, const Settings& settings,
                                double now);

}  // namespace weirmill
