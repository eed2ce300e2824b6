// A machine: what its worker reported, what the cloud reported, and what the leader does with it.
#pragma once
#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "liveness/downlink.h"
#include "liveness/worker_lease.h"
#include "state/task.h"

namespace weirmill {

// Times are of the steady clock, seconds.
struct Machine {
    std::string name, addr;
    Index type = kNone, zone = kNone;
    bool spot = false;

    // What it holds.
    Resources size, used;
    std::vector<TaskRef> tasks;  // all that may be on it
    // Of the last heartbeat: exited entries, and tasks not expected there.
    std::vector<UnexpectedTask> unexpected_tasks;
    std::vector<Index> images;  // observed, most recent last
    double empty_since = 0;

    // What its worker reported.
    bool up = false;  // has sent a heartbeat to this leader
    uint64_t agent_epoch = 0, seq = 0;
    bool saw_fencing_token = false;  // the worker is known to have seen this leader's
    DownlinkState downlink;
    double last_heartbeat = 0, last_answer = 0;
    double direct_at = 0;    // the last heartbeat that came to this controller itself
    std::string relayed_by;  // the controller that passed on the last one; empty: it came directly
    double interruption_at = -1;  // of a spot instance that was given notice; < 0: none

    // What the cloud reported.
    bool listed = false, missing = false;
    MachineStatus status = MachineStatus::Booting;
    double added = 0, requested_at = 0, missing_since = 0, up_at = 0;

    // What this leader does with it.
    bool provisioned_here = false;  // it was requested by this leader
    bool terminating = false;       // it is being given back
    bool abandoned = false;         // given up: a failed boot, or an expired lease
    bool draining = false;          // its tasks move elsewhere, then it is given back
    Index reserved_for = kNone;     // a job
    double reserved_until = 0;

    // Failures of tasks, held against the machine.
    double quarantined_until = 0;
    int faults = 0;
    std::set<Index> faulty_jobs;

    Resources room() const { return size - used; }
    bool reserved(double now) const { return reserved_for != kNone && reserved_until > now; }
    bool has_image(Index image) const { return std::ranges::find(images, image) != images.end(); }
};

// When all that may be on the machine is certainly gone (liveness/worker_lease.h).
inline double worker_lease_expiry(const Settings& s, const Machine& m, double won) {
    return worker_lease_expiry(
        s, WorkerContact{m.last_heartbeat, m.last_answer, m.saw_fencing_token}, won);
}

}  // namespace weirmill
