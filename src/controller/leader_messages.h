// Messages of the leader's mailbox: requests from outside, and the outcomes of the calls that its
// parts have started. All are handled one after the other by the leader's actor.
#pragma once
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "autoscaler/autoscaler.h"
#include "protocol/types.h"
#include "state/state_log.h"
#include "storage/kv_client.h"
#include "transport/one_shot.h"
#include "transport/peer_link.h"

namespace weirmill {

// Where the answer to a user, worker or peer goes.
using ReplyPromise = OneShot<PeerReply>;

// What a user or a worker asks for, by way of this node or of a peer.
struct RequestReceived {
    PeerCall call;
    ReplyPromise reply;
    size_t bytes = 0;  // of the body, as counted against the limit on queued requests
};

// The final state of a job that is not in the cluster state was read from the key-value store.
struct FinalStateRead {
    PeerCall call;
    ReplyPromise reply;
    KvResult<KvItem> result;
    PeerReply refusal;  // the answer should there be no final state
};

// The final states of jobs that a submission depends on were read.
struct DependenciesRead {
    PeerCall call;
    ReplyPromise reply;
    std::vector<std::pair<std::string, FinalState>> ended;
    std::string missing;  // was never accepted, as the key-value store has it
    bool all = false;     // nothing is left to be read
    bool adopts = false;  // for a job that a standby accepted
};

// The outcome of a state log transaction is known.
struct TransactionFinished {
    StateLogBatch batch;
    KvResult<uint64_t> result;
};

// A state log transaction had no answer: it may have been applied, or may be later.
struct TransactionOutcomeUnknown {};

// Pending records of standby controllers were added, changed or deleted.
struct PendingRecordsChanged {
    std::vector<KvEvent> events;
    bool whole = false;  // all records there are, not only what changed
};

struct MachineTypesRead {
    std::vector<MachineType> types;
};

struct MachineListRead {
    std::vector<ListedMachine> machines;
};

// The cloud answered a request to provision machines.
struct MachinesProvisioned {
    ScaleOutRequest request;
    std::vector<std::string> names;
};

// All requests of one scale-out pass are answered.
struct ScaleOutFinished {};

struct MachinesTerminated {
    std::vector<std::string> names;
    bool done = false;  // false: no answer, they may be gone or not
};

struct TimerTick {};

// The leadership is to go to another controller; `settled` is called once nothing is under way.
struct TransferRequested {
    std::function<void()> settled;
};

using LeaderMessage =
    std::variant<TimerTick, RequestReceived, FinalStateRead, DependenciesRead, TransactionFinished,
                 TransactionOutcomeUnknown, PendingRecordsChanged, MachineTypesRead,
                 MachineListRead, MachinesProvisioned, ScaleOutFinished, MachinesTerminated,
                 TransferRequested>;

}  // namespace weirmill
