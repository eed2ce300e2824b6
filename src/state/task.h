// A task of a job, and its place.
//
// State transitions (ClusterState::place, unassign, finish; state/task_placement.cpp), each of
// which is to be recorded in the state log:
//
//   Pending --place--> Placed         a start command may be sent once this is recorded
//   Placed --unassign--> Pending      it certainly runs no more, and is to run again
//   Placed, Pending --finish--> Done  final
//
// A placed task is taken to be on its machine until that is proven wrong: by an exit that the
// worker reports, or by the end of the worker's lease.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/types.h"

namespace weirmill {

enum class TaskState : uint8_t { Pending, Placed, Done };

struct Task {
    uint32_t attempt = 0;      // counts placements
    Index machine = kNone;     // while Placed
    uint32_t agent_epoch = 0;  // of that machine, when the task was placed
    uint64_t change = 0;       // the cluster state's change number at this task's last change
    uint64_t start_seq = 0;    // the heartbeat that was answered with its start, 0: none yet
    // Steady clock, seconds. placed_at: once it is launched, when that was.
    float placed_at = 0, running_at = 0;
    TaskState state = TaskState::Pending;
    TaskPhase phase = TaskPhase::NotReported;
    bool stopping = false;          // it is to stop
    bool graceful = false;          // stopping: with time to save a checkpoint
    bool placed_this_term = false;  // placed by this leader: no other has launched this attempt
    bool placed_as(Index on, uint64_t as_attempt) const {
        return state == TaskState::Placed && machine == on && attempt == as_attempt;
    }
};

struct TaskRef {
    Index job = kNone;
    uint32_t task = 0;
    bool operator==(const TaskRef&) const = default;
};

// A change of a task that is to be recorded; stale once the task has changed again.
struct TaskChange {
    TaskRef ref;
    uint64_t change = 0;
};

// An entry of a heartbeat that does not belong to a task expected on the machine, or an exit.
struct UnexpectedTask {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    bool exited = true;
};

}  // namespace weirmill
