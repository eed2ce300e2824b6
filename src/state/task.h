// A task of a job, and its placement.
//
// State transitions (ClusterState::place, unassign and finish in state/task_placement.cpp). Each is
// recorded in the state log:
//
//   Pending --place--> Placed         the start command may be sent once this is recorded
//   Placed --unassign--> Pending      the task has certainly ended on the machine; it runs again
//   Pending, Placed --finish--> Done  final
//
// A placed task is assumed to be on its machine until the worker reports its exit or the worker's
// lease ends.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/types.h"

namespace weirmill {

enum class TaskState : uint8_t { Pending, Placed, Done };

struct Task {
    uint32_t attempt = 0;        // number of placements so far
    Index machine = kNone;       // only while Placed
    uint32_t agent_epoch = 0;    // agent epoch of the machine at the time of the placement
    uint64_t change_number = 0;  // number of this task's last change
    // Sequence number of the heartbeat whose response carried the start command; 0: none yet.
    uint64_t start_seq = 0;
    // Steady clock, seconds. placed_at is the time of the placement and, once the start command is
    // sent, the time of that.
    float placed_at = 0, running_at = 0;
    TaskState state = TaskState::Pending;
    TaskPhase phase = TaskPhase::NotReported;
    bool stopping = false;          // The task is to be stopped.
    bool graceful = false;          // If stopping: the task has time to save a checkpoint.
    bool placed_this_term = false;  // This leader placed it; no other leader started this attempt.
    bool placed_as(Index on_machine, uint64_t as_attempt) const {
        return state == TaskState::Placed && machine == on_machine && attempt == as_attempt;
    }
};

struct TaskRef {
    Index job = kNone;
    uint32_t task = 0;
    bool operator==(const TaskRef&) const = default;
};

// A change of a task that is to be recorded. It is obsolete once the task has changed again.
struct TaskChange {
    TaskRef ref;
    uint64_t number = 0;
};

// An entry of a heartbeat that reports an exit, or a task that is not expected on the machine.
struct UnexpectedTask {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    bool exited = true;
};

}  // namespace weirmill
