// A job that has not ended, with its tasks.
#pragma once
#include <cstdint>
#include <set>
#include <vector>

#include "state/task.h"

namespace weirmill {

// "Never", on any clock; times beyond kLatestTime mean that there is none.
inline constexpr double kNever = 1e18;
inline constexpr double kLatestTime = 1e17;

struct Job {
    JobSpec spec;

    // Times in seconds: submitted, ready and ended are of the time of day, all others of the steady
    // clock of this leader.
    double submitted = 0;
    double seen_at = 0;  // when it was submitted
    // Only of a job that had to wait: when the last of its dependencies ended. All but its deadline
    // counts from there.
    double ready = 0, ready_at = 0;
    double ended = 0;       // its own end, from which its dependants' times count
    double not_before = 0;  // back-off of a job that fails on good machines

    // Kept by the cluster state.
    bool waits = false;  // for a dependency
    // The highest priority of itself and of those that need it, and by when it should end for those
    // to end in time.
    Priority priority = Priority::Low;
    double needed_by = kNever;
    // All of it fitted its team's guarantee beside the team's unfinished jobs when it became ready:
    // it need not wait for other teams.
    bool guaranteed = false;

    // What is recorded of it in the state log.
    uint64_t version = 0;        // the revision that recorded it, 0: not recorded yet
    uint64_t first_segment = 0;  // of the log, that holds its record or the first part of that
    bool cancelled = false;
    // The cancellation is recorded, or implied by the record of a job that it needs: users may be
    // answered so.
    bool cancel_recorded = false;
    bool cancel_logged = false;  // by an entry of its own: those that it needs may leave the log
    bool ending = false;         // its end is queued to be recorded
    bool end_sent = false;       // and may be recorded, although this leader has no answer yet

    std::vector<Task> tasks;
    uint32_t pending = 0, placed = 0, done = 0;  // tasks in each state
    uint32_t running = 0;                        // tasks in TaskPhase::Running
    uint32_t first_pending = 0;                  // no pending task lies below
    bool gang_ending = false;  // the current attempt is over: every task of it must go first
    uint32_t gang_attempt = 0;

    uint32_t failures = 0;
    std::set<Index> failed_on;  // machines
    // Of its deadlines that it could still meet, the first so many are given up in favour of other
    // jobs (scheduler/overload_forecast.h).
    uint32_t abandoned_deadlines = 0;

    bool active() const { return version != 0 && !cancelled && !ending; }
    // Since when it could have been placed: time of day, and steady clock.
    double came() const { return ready > 0 ? ready : submitted; }
    double came_at() const { return ready > 0 ? ready_at : seen_at; }
};

}  // namespace weirmill
