// Messages of the leader's mailbox: requests, and the outcomes of asynchronous calls that its
// components have started. The leader handles them one at a time.
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

// Receives the reply to a user, worker or peer.
using ReplyPromise = OneShot<PeerReply>;

// A request of a user or a worker, received by this node or forwarded by a peer.
struct RequestReceived {
    PeerCall call;
    ReplyPromise reply;
    size_t bytes = 0;  // size of the body, which counts towards the limit on queued requests
};

// The final state of a job that is not in the cluster state was read from the key-value store for a
// request.
struct FinalStateRead {
    PeerCall call;
    ReplyPromise reply;
    KvResult<KvItem> result;
    PeerReply reply_if_absent;  // the reply if there is no final state
};

// The final states of jobs that a new job depends on were read.
struct DependenciesRead {
    PeerCall call;
    ReplyPromise reply;
    std::vector<std::pair<std::string, FinalState>> final_states;  // by job id
    std::string never_accepted_id;  // a job that has no final state; empty: none
    bool complete = false;          // all final states were read
    bool for_adoption = false;      // the new job was accepted by a standby controller
};

// The outcome of a state log transaction is known.
struct TransactionFinished {
    StateLogBatch batch;
    KvResult<uint64_t> result;
};

// A state log transaction got no response: it may have been applied, or may be applied later.
struct TransactionOutcomeUnknown {};

// Pending records of standby controllers were added, changed or deleted.
struct PendingRecordsChanged {
    std::vector<KvEvent> events;
    bool complete = false;  // `events` lists all existing records, not only the changed ones
};

struct MachineTypesRead {
    std::vector<MachineType> types;
};

struct MachineListRead {
    std::vector<ListedMachine> machines;
};

// The cloud responded to a provisioning request.
struct MachinesProvisioned {
    ScaleOutRequest request;
    std::vector<std::string> names;
};

// All requests of one scale-out pass are complete.
struct ScaleOutFinished {};

struct MachinesTerminated {
    std::vector<std::string> names;
    bool confirmed = false;  // if false, the machines may or may not be terminated
};

struct TimerTick {};

// The leadership is to be transferred to another controller. `on_quiesced` is called once the work
// in progress is complete.
struct TransferRequested {
    std::function<void()> on_quiesced;
};

using LeaderMessage =
    std::variant<TimerTick, RequestReceived, FinalStateRead, DependenciesRead, TransactionFinished,
                 TransactionOutcomeUnknown, PendingRecordsChanged, MachineTypesRead,
                 MachineListRead, MachinesProvisioned, ScaleOutFinished, MachinesTerminated,
                 TransferRequested>;

}  // namespace weirmill
