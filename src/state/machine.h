// A machine: the reports of its worker and of the cloud, and the leader's decisions about it.
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

// Times are of the steady clock in seconds.
struct Machine {
    std::string name, addr;
    Index type = kNone, zone = kNone;
    bool spot = false;

    // Resources, tasks and images.
    Resources size, used;
    std::vector<TaskRef> tasks;  // placed tasks, each of which may still be on the machine
    // Entries of the last heartbeat that report exits or tasks that were not expected here.
    std::vector<UnexpectedTask> unexpected_tasks;
    std::vector<Index> cached_images;  // images seen on the machine, most recently used last
    double empty_since = 0;

    // Reported by the worker.
    bool up = false;  // The worker has sent a heartbeat to this leader.
    uint64_t agent_epoch = 0, heartbeat_seq = 0;
    bool saw_fencing_token = false;  // The worker is known to have seen this leader's token.
    DownlinkState downlink;
    double last_heartbeat = 0, last_answer = 0;
    double last_direct_heartbeat = 0;  // last heartbeat that reached this controller unrelayed
    std::string relayed_by;            // controller that relayed the last heartbeat; empty: none
    double commands_sent_at = -1e9;    // last call of this leader to the worker's /commands
    double interruption_at = -1;       // announced interruption of a spot instance; < 0: none

    // Reported by the cloud.
    bool listed = false, missing = false;
    MachineStatus status = MachineStatus::Booting;
    double added_at = 0, requested_at = 0, missing_since = 0, up_at = 0;

    // Decided by this leader.
    bool provisioned_here = false;  // This leader requested the machine.
    bool terminating = false;       // The machine is being terminated.
    bool abandoned = false;         // Its boot failed or its lease expired; it is not used again.
    bool draining = false;          // Its tasks are moved to others, then it is terminated.
    Index reserved_for = kNone;     // index of a job
    double reserved_until = 0;

    // Task failures that count against the machine.
    double quarantined_until = 0;
    int fault_count = 0;
    std::set<Index> faulty_jobs;  // jobs whose tasks failed here

    Resources free_resources() const { return size - used; }
    bool reserved(double now) const { return reserved_for != kNone && reserved_until > now; }
    bool has_image(Index image) const {
        return std::ranges::find(cached_images, image) != cached_images.end();
    }
};

// Returns when all tasks that may be on the machine have certainly ended
// (liveness/worker_lease.h). `won_at`: when this leader won its term.
inline double worker_lease_expiry(const Settings& s, const Machine& m, double won_at) {
    return worker_lease_expiry(
        s, WorkerContact{m.last_heartbeat, m.last_answer, m.saw_fencing_token}, won_at);
}

}  // namespace weirmill
