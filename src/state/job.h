// A job that has not ended, with its tasks.
#pragma once
#include <cstdint>
#include <set>
#include <vector>

#include "state/task.h"

namespace weirmill {

// The time "never" on any clock. Any time beyond kLatestTime means "never".
inline constexpr double kNever = 1e18;
inline constexpr double kLatestTime = 1e17;

// Times are in seconds. Those that end in `_wall` are times of day; all others are of this leader's
// steady clock.
struct Job {
    JobSpec spec;

    double submitted_wall = 0;
    double submitted_steady = 0;
    // When the last dependency of the job ended; 0 for a job that did not wait for dependencies.
    // Waiting times and class objectives count from then; the deadline counts from the submission.
    double ready_wall = 0, ready_steady = 0;
    double ended_wall = 0;  // When the job ended. Its dependants may become ready at that time.
    double not_before = 0;  // end of the back-off after failures on healthy machines

    // The cluster state maintains these.
    bool waits_for_dependencies = false;
    // The highest of the priorities of the job and its dependants.
    Priority effective_priority = Priority::Low;
    // When the job must end for its dependants to meet their deadlines.
    double needed_by = kNever;
    // When the job became ready, its whole demand fitted its team's guarantee together with the
    // team's unfinished jobs. Such a job need not wait for other teams.
    bool guaranteed = false;

    // What the state log holds of the job.
    uint64_t record_revision = 0;  // revision that recorded the job; 0: not recorded yet
    uint64_t first_segment = 0;    // log segment with the job's record or its first part
    bool cancelled = false;        // a cancellation was requested or implied
    // The cancellation is recorded, or the recorded cancellation of a dependency implies it. It may
    // be confirmed to users.
    bool cancel_durable = false;
    // The log holds a cancellation entry of the job itself, so that its dependencies may leave the
    // log.
    bool cancel_logged = false;
    bool ending = false;    // The job's end is queued for recording.
    bool end_sent = false;  // The job's end was sent and may be recorded; the result is unknown.

    std::vector<Task> tasks;
    uint32_t pending = 0, placed = 0, done = 0;  // numbers of tasks in each state
    uint32_t running = 0;                        // number of tasks in TaskPhase::Running
    uint32_t first_pending = 0;                  // No task with a lower index is pending.
    // The current attempt of the gang is ending. No task is placed again until all have left their
    // machines.
    bool gang_attempt_ending = false;
    uint32_t gang_attempt = 0;

    uint32_t failures = 0;
    std::set<Index> failed_machines;  // machines on which tasks of the job failed
    // The number of due times that the job could meet but abandons in favour of other jobs, the
    // earliest first (scheduler/overload_forecast.h).
    uint32_t abandoned_deadlines = 0;

    bool active() const { return record_revision != 0 && !cancelled && !ending; }
    // The time since which no dependency keeps the job from being scheduled.
    double schedulable_since_wall() const { return ready_wall > 0 ? ready_wall : submitted_wall; }
    double schedulable_since_steady() const {
        return ready_wall > 0 ? ready_steady : submitted_steady;
    }
};

}  // namespace weirmill
