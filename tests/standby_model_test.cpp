// Model checker for the standby service's records. It explores every interleaving of two standby
// controllers, two leaders and one job, with lost answers and with transactions that are executed
// late or again. The standby controllers' transactions are the real ones
// (state/pending_records.h). The leaders' transactions are modelled here;
// PendingRecords.LeaderTransactionsMatchTheModel in standby_test.cpp checks that the state log's
// transactions have the same conditions. A second test removes each condition in turn and expects
// the model to find the fault that the condition guards against.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <optional>
#include <set>
#include <unordered_set>

#include "fixtures.h"
#include "memory_kv_store.h"
#include "standby/standby_decisions.h"

namespace weirmill {
namespace {

const std::string kJob = "req-1";

// Keys of the key-value store: the leadership, the job's pending record and final state, and a log
// segment for each leader.
enum Key : uint8_t { kLeader, kPending, kFinal, kSegmentA, kSegmentB, kKeyCount };
// The values of these keys.
enum : uint8_t { kAbsent, kAccepted, kAcceptedCancelled, kCancelRequest };  // of kPending
enum : uint8_t { kFinalDone = 1, kFinalCancelled };                         // of kFinal
enum : uint8_t { kJobEntry = 1, kCancelEntry = 2, kEndEntry = 4 };          // of a segment, as bits
// What users were told about the job, as bits.
enum : uint8_t { kReportedAccepted = 1, kReportedCancelled = 2, kReportedDone = 4 };

enum TxnKind : uint8_t { kAccept, kStandbyCancel, kNewJob, kLeaderCancel, kFinish, kDeletePending };

struct Txn {
    uint8_t conditions[kKeyCount];  // the expected version, or kAny
    uint8_t values[kKeyCount];      // the value to write, or kKeep
    uint8_t kind, executed;
};
constexpr uint8_t kAny = 255, kKeep = 255;

// All members are single bytes, so that states can be compared and hashed as memory.
struct StandbyNode {
    uint8_t step, reported_at_start, pending_value, pending_version, submits, cancels, polls;
    uint8_t cancel_phase;  // 1: a cancellation is to be recorded; 2: it is recorded
    uint8_t in_flight, ended_when_sent, deletions_when_sent;
    Txn txn;
};
struct LeaderNode {
    uint8_t loaded;  // 0: nothing; 1: the log; 2: the log and the pending records
    uint8_t job;     // kUnknown to kJobEnded
    uint8_t pending_value, pending_version;  // the pending record as last read
    uint8_t segment_version;                 // of the leader's own segment
    uint8_t started, in_flight, kind, submits, cancels, reported_at_submit, reported_at_cancel,
        from_pending;
    Txn txn;
};
enum : uint8_t { kUnknown, kActive, kActiveCancelled, kJobEnded };  // values of LeaderNode::job

struct State {
    uint8_t value[kKeyCount], version[kKeyCount], last_version[kKeyCount];
    uint8_t reported;              // what users were told
    uint8_t deletions;             // how often the log's segments were deleted after the job's end
    uint8_t late_executions_left;  // how many executions of `late_copies` are still allowed
    StandbyNode standbys[2];
    LeaderNode leaders[2];
    Txn late_copies[10];
    uint8_t late_copy_count;
};
static_assert(std::is_trivially_copyable_v<State>);

// Steps of a standby controller. kReadPending, kReadLog and kReadFinal are the reads of
// StandbyService::look_up, in this order.
enum : uint8_t { kIdle, kSending, kAcceptExecuted, kReadPending, kReadLog, kReadFinal };

class Model {
  public:
    struct Condition {
        std::vector<TxnKind> kinds;  // of the transactions that lose the condition
        Key key;                     // kSegmentA: the segments of both leaders
        bool matches(TxnKind txn_kind, int txn_key) const {
            bool is_segment = key == kSegmentA && txn_key == kSegmentB;
            return (txn_key == key || is_segment) &&
                   std::find(kinds.begin(), kinds.end(), txn_kind) != kinds.end();
        }
    };
    std::optional<Condition> removed_condition;
    // Upper limits of the submissions, cancellations and polls that users send to each standby
    // controller.
    std::array<std::array<uint8_t, 3>, 2> standby_requests{{{1, 0, 0}, {0, 0, 1}}};
    uint8_t late_executions = 1;  // in one history
    uint8_t leader_cancels = 1;   // sent to the second leader
    std::array<uint8_t, 2> leader_submits{1, 1};
    size_t max_states = 30'000'000;

    // Explores all states. Returns the first violation found, or an empty string.
    std::string run() {
        State first;
        std::memset(&first, 0, sizeof first);
        first.value[kLeader] = first.version[kLeader] = first.last_version[kLeader] = 1;
        first.leaders[0].loaded = 2;
        first.late_executions_left = late_executions;
        for (int i = 0; i < 2; ++i) {
            first.standbys[i].submits = standby_requests[i][0];
            first.standbys[i].cancels = standby_requests[i][1];
            first.standbys[i].polls = standby_requests[i][2];
        }
        for (int i = 0; i < 2; ++i) first.leaders[i].submits = leader_submits[i];
        first.leaders[1].cancels = leader_cancels;
        push(first);
        while (!queue_.empty() && violation_.empty() && visited_.size() < max_states) {
            State state = queue_.front();
            queue_.pop_front();
            expand(state);
        }
        return violation_;
    }
    size_t state_count() const { return visited_.size(); }
    bool complete() const { return queue_.empty() || !violation_.empty(); }

  private:
    void push(State state) {
        if (!violation_.empty()) return;
        check_invariants(state);
        normalize_copies(state);
        // Two 64-bit hashes identify a state.
        std::string_view bytes(reinterpret_cast<const char*>(&state), sizeof state);
        uint64_t fnv_hash = 1469598103934665603ull;
        for (unsigned char c : bytes) fnv_hash = (fnv_hash ^ c) * 1099511628211ull;
        if (visited_.emplace(std::hash<std::string_view>()(bytes), fnv_hash).second)
            queue_.push_back(state);
    }
    void fail(const std::string& violation) {
        if (violation_.empty()) violation_ = violation;
    }

    static bool recorded_in_log(const State& state) {
        return (state.value[kSegmentA] | state.value[kSegmentB]) & kJobEntry;
    }
    static bool ended_in_log(const State& state) {
        return (state.value[kSegmentA] | state.value[kSegmentB]) & kEndEntry;
    }
    static bool in_log(const State& state) {
        return recorded_in_log(state) && !ended_in_log(state);
    }
    static bool cancelled_in_log(const State& state) {
        return (state.value[kSegmentA] | state.value[kSegmentB]) & kCancelEntry;
    }

    void check_invariants(const State& state) {
        bool is_pending =
            state.value[kPending] == kAccepted || state.value[kPending] == kAcceptedCancelled;
        if (state.reported && !is_pending && !in_log(state) && !state.value[kFinal])
            fail("an accepted job has no record");
        if ((state.value[kSegmentA] & kJobEntry) && (state.value[kSegmentB] & kJobEntry))
            fail("two leaders recorded the job as new");
        if (in_log(state) && state.value[kFinal])
            fail("a job with a final state is still in the log");
        if ((state.reported & kReportedCancelled) && state.value[kFinal] == kFinalDone)
            fail("reported as cancelled, but ended as done");
    }

    // Checks an answer to a user against what users had been told when the request began, and
    // records it. `unknown`: the answer is that the job does not exist.
    void report(State& state, uint8_t known, uint8_t answer, bool unknown = false) {
        if (unknown) {
            if (known) fail("an accepted job is reported as unknown");
            return;
        }
        if (answer == kReportedAccepted && (known & (kReportedCancelled | kReportedDone)))
            fail("a cancelled or done job is reported as unfinished");
        if (answer == kReportedCancelled && (known & kReportedDone))
            fail("a done job is reported as cancelled");
        if (answer == kReportedDone && (known & kReportedCancelled))
            fail("a cancelled job is reported as done");
        state.reported |= answer;
    }

    bool execute(State& state, Txn& txn) {
        for (int k = 0; k < kKeyCount; ++k)
            if (txn.conditions[k] != kAny && txn.conditions[k] != state.version[k]) return false;
        // Only a copy that creates a pending record may be executed again: by then the log holds
        // the job, or its cancellation, and the record is deleted again.
        bool creates_record = txn.kind == kAccept || (txn.kind == kStandbyCancel &&
                                                      txn.values[kPending] == kCancelRequest);
        if (txn.executed && !creates_record) fail("a transaction is executed twice");
        txn.executed = 1;
        for (int k = 0; k < kKeyCount; ++k) {
            if (txn.values[k] == kKeep) continue;
            bool deleted = k == kPending && txn.values[k] == kAbsent;
            if (k == kPending && state.value[k] == kCancelRequest && deleted && in_log(state) &&
                !cancelled_in_log(state))
                fail("a request to cancel is lost");
            state.value[k] = txn.values[k];
            state.version[k] = deleted ? 0 : ++state.last_version[k];
        }
        return true;
    }
    // Keeps a copy that may be executed at any later time, whether or not the transaction has
    // already been executed.
    void leave_copy(State& state, const Txn& txn) {
        if (state.late_copy_count == std::size(state.late_copies))
            return fail("too many late copies for the model");
        state.late_copies[state.late_copy_count++] = txn;
    }
    // Sorts the late copies, and removes duplicates and those whose conditions can never hold again
    // because versions are never reused.
    static void normalize_copies(State& state) {
        auto never_applies = [&](const Txn& txn) {
            if (state.late_executions_left == 0) return true;
            for (int k = 0; k < kKeyCount; ++k) {
                auto expected = txn.conditions[k];
                bool may_be_absent = expected == 0 && (k == kPending || state.last_version[k] == 0);
                if (expected != kAny && expected != state.version[k] &&
                    expected <= state.last_version[k] && !may_be_absent)
                    return true;
            }
            return false;
        };
        auto* end = std::remove_if(state.late_copies, state.late_copies + state.late_copy_count,
                                   never_applies);
        std::sort(state.late_copies, end,
                  [](auto& a, auto& b) { return std::memcmp(&a, &b, sizeof a) < 0; });
        end = std::unique(state.late_copies, end,
                          [](auto& a, auto& b) { return std::memcmp(&a, &b, sizeof a) == 0; });
        state.late_copy_count = static_cast<uint8_t>(end - state.late_copies);
        std::memset(static_cast<void*>(end), 0,
                    (std::size(state.late_copies) - state.late_copy_count) * sizeof(Txn));
    }

    static Txn empty_transaction() {
        Txn txn;
        std::memset(&txn, kAny, sizeof txn);
        txn.executed = 0;
        return txn;
    }
    // Sets the transaction's kind, and drops the condition that the test removes from this kind.
    void set_kind(Txn& txn, TxnKind kind) const {
        txn.kind = kind;
        for (int k = 0; removed_condition && k < kKeyCount; ++k)
            if (removed_condition->matches(kind, k)) txn.conditions[k] = kAny;
    }
    // Converts a real transaction of a standby controller into the model's form.
    Txn convert(const CasTransaction& transaction, TxnKind kind, uint8_t pending_value) const {
        Txn txn = empty_transaction();
        auto key = [](const std::string& name) {
            return name == pending_key(kJob) ? kPending : kFinal;
        };
        for (auto& condition : transaction.conditions)
            txn.conditions[key(condition.key)] = static_cast<uint8_t>(condition.version);
        for (auto& change : transaction.changes) txn.values[key(change.key)] = pending_value;
        set_kind(txn, kind);
        return txn;
    }

    void expand(const State& state) {
        for (int i = 0; i < 2; ++i) expand_standby(state, i);
        for (int i = 0; i < 2; ++i) expand_leader(state, i);
        for (int i = 0; i < state.late_copy_count; ++i) {
            State next = state;
            --next.late_executions_left;
            if (execute(next, next.late_copies[i])) push(next);
        }
        // Once the job has ended, its segments may be deleted; then only its final state remains.
        if (ended_in_log(state) && state.value[kFinal] && state.deletions == 0) {
            State next = state;
            ++next.deletions;
            for (auto segment : {kSegmentA, kSegmentB}) {
                next.value[segment] = 0;
                next.version[segment] = ++next.last_version[segment];
            }
            for (int i = 0; i < 2; ++i) {
                // The current leader goes on with new segments and has removed the job from its
                // cluster state.
                auto& leader = next.leaders[i];
                if (leader.in_flight || leader.loaded == 0 || state.value[kLeader] != i + 1)
                    continue;
                leader.segment_version = next.version[i == 0 ? kSegmentA : kSegmentB];
                leader.job = kUnknown;
            }
            push(next);
        }
        // The first leader's lease ends and the second one takes over. From here on the first one
        // starts neither tasks nor transactions.
        if (state.value[kLeader] == 1) {
            State next = state;
            next.value[kLeader] = 2;
            next.version[kLeader] = ++next.last_version[kLeader];
            push(next);
        }
    }

    // Standby controllers.

    void start_lookup(StandbyNode& node) { node.step = kReadPending; }
    void finish_request(StandbyNode& node) {
        auto before = node;
        std::memset(&node, 0, sizeof node);
        node.submits = before.submits;
        node.cancels = before.cancels;
        node.polls = before.polls;
    }

    void expand_standby(const State& state, int index) {
        auto& node = state.standbys[index];
        State next = state;
        auto& next_node = next.standbys[index];
        switch (node.step) {
            case kIdle:
                if (node.submits) {
                    State started = state;
                    auto& requester = started.standbys[index];
                    --requester.submits;
                    requester.reported_at_start = state.reported;
                    requester.step = kSending;
                    requester.in_flight = kAccept;
                    requester.ended_when_sent = ended_in_log(state);
                    requester.deletions_when_sent = state.deletions;
                    requester.txn =
                        convert(accept_transaction(kJob, {boost::json::object{}, 1, false}),
                                kAccept, kAccepted);
                    push(started);
                }
                if (node.cancels) {
                    State started = state;
                    auto& requester = started.standbys[index];
                    --requester.cancels;
                    requester.reported_at_start = state.reported;
                    requester.cancel_phase = 1;
                    start_lookup(requester);
                    push(started);
                }
                if (node.polls) {
                    State started = state;
                    auto& requester = started.standbys[index];
                    --requester.polls;
                    requester.reported_at_start = state.reported;
                    start_lookup(requester);
                    push(started);
                }
                return;
            case kSending: {
                Txn txn = node.txn;
                // The answer is lost: the user is asked to try again, and the transaction may be
                // executed later.
                State lost = state;
                leave_copy(lost, txn);
                finish_request(lost.standbys[index]);
                push(lost);
                bool applied = execute(next, txn);  // also marks its copy as executed
                leave_copy(next, txn);
                if (node.in_flight == kAccept) {
                    next_node.step = applied ? kAcceptExecuted : kReadPending;
                } else if (applied) {
                    next_node.cancel_phase = 2;
                    start_lookup(next_node);
                } else {
                    finish_request(next_node);
                }
                return push(next);
            }
            case kAcceptExecuted:  // StandbyService::accept_submission, after its transaction
                if (in_log(state))
                    report(next, node.reported_at_start,
                           cancelled_in_log(state) ? kReportedCancelled : kReportedAccepted);
                else if (node.deletions_when_sent == state.deletions &&
                         (node.ended_when_sent || !ended_in_log(state)))
                    // Else StateLogView::may_have_ended() holds: the user is asked to try again.
                    report(next, node.reported_at_start, kReportedAccepted);
                finish_request(next_node);
                return push(next);
            case kReadPending:
                next_node.pending_value = state.value[kPending];
                next_node.pending_version = state.version[kPending];
                next_node.step = kReadLog;
                return push(next);
            case kReadLog:
                if (in_log(state)) {
                    answer_request(next, index, true, cancelled_in_log(state), 0);
                } else {
                    next_node.step = kReadFinal;
                }
                return push(next);
            case kReadFinal:
                answer_request(next, index, false, false, state.value[kFinal]);
                return push(next);
            default:
                return;
        }
    }

    // Applies the real decision functions to what the controller has read.
    void answer_request(State& next, int index, bool logged, bool cancelled, uint8_t final_value) {
        auto& node = next.standbys[index];
        JobRecords records;
        StateLogView::Job job;
        if (node.pending_value != kAbsent) {
            PendingRecord record;
            if (node.pending_value != kCancelRequest) record.job = boost::json::object{};
            record.cancelled = node.pending_value != kAccepted;
            records.pending = record;
        }
        if (logged) {
            records.logged = &job;
            records.cancelled_in_log = cancelled;
        }
        if (final_value)
            records.final_state =
                FinalState{final_value == kFinalDone ? JobState::Done : JobState::Cancelled, 0};
        auto status = resolve_job_status(records);
        bool cancels = node.cancel_phase != 0;
        auto reply = standby_reply(kJob, status, cancels ? PeerOp::Cancel : PeerOp::Status);
        bool may_cancel = status.queued_or_running() && (status.location == JobLocation::Pending ||
                                                         status.location == JobLocation::Log);
        if (node.cancel_phase == 1 && may_cancel &&
            (node.pending_value == kAccepted || node.pending_value == kAbsent)) {
            // StandbyService::cancel
            PendingRecord record;
            if (node.pending_value == kAccepted) record.job = boost::json::object{};
            node.txn =
                convert(cancel_transaction(kJob, node.pending_version, record), kStandbyCancel,
                        node.pending_value == kAccepted ? kAcceptedCancelled : kCancelRequest);
            node.in_flight = kStandbyCancel;
            node.step = kSending;
            return;
        }
        if (reply.status == 404) report(next, node.reported_at_start, 0, true);
        if (reply.status == 200)
            report(next, node.reported_at_start,
                   status.state == JobState::Done        ? kReportedDone
                   : status.state == JobState::Cancelled ? kReportedCancelled
                                                         : kReportedAccepted);
        finish_request(node);
    }

    // Leaders.

    Txn leader_transaction(const State& state, int index, TxnKind kind) const {
        Txn txn = empty_transaction();
        auto& node = state.leaders[index];
        Key segment = index == 0 ? kSegmentA : kSegmentB;
        txn.conditions[kLeader] = static_cast<uint8_t>(index + 1);
        if (kind == kDeletePending) {
            txn.conditions[kPending] = node.pending_version;
            txn.values[kPending] = kAbsent;
            set_kind(txn, kind);
            return txn;
        }
        txn.conditions[segment] = node.segment_version;
        if (kind == kNewJob || kind == kFinish) txn.conditions[kFinal] = 0;
        if (kind == kNewJob)
            txn.conditions[kPending] = node.from_pending ? node.pending_version : 0;
        return txn;
    }
    void send(State& next, int index, TxnKind kind, uint8_t new_segment_value,
              uint8_t final_value = kKeep) {
        auto& node = next.leaders[index];
        node.txn = leader_transaction(next, index, kind);
        if (kind != kDeletePending) {
            node.txn.values[index == 0 ? kSegmentA : kSegmentB] = new_segment_value;
            node.txn.values[kFinal] = final_value;
            set_kind(node.txn, kind);
        }
        node.in_flight = 1;
        node.kind = kind;
        push(next);
    }

    void expand_leader(const State& state, int index) {
        auto& node = state.leaders[index];
        uint8_t fencing_token = static_cast<uint8_t>(index + 1);
        uint8_t segment_value = state.value[index == 0 ? kSegmentA : kSegmentB];
        // A transaction in flight is executed even if its sender no longer leads.
        if (node.in_flight) {
            State next = state;
            auto& next_node = next.leaders[index];
            Txn txn = node.txn;
            bool applied = execute(next, txn);
            leave_copy(next, txn);
            next_node.in_flight = 0;
            handle_result(next, index, applied);
            push(next);
            return;  // each leader has one transaction in flight at a time
        }
        if (state.value[kLeader] != fencing_token) return;
        if (node.loaded < 2) {
            State next = state;
            auto& next_node = next.leaders[index];
            if (node.loaded == 0) {
                next_node.job = !recorded_in_log(state)   ? kUnknown
                                : ended_in_log(state)     ? kJobEnded
                                : cancelled_in_log(state) ? kActiveCancelled
                                                          : kActive;
                next_node.segment_version = state.version[index == 0 ? kSegmentA : kSegmentB];
            } else {
                next_node.pending_value = state.value[kPending];
                next_node.pending_version = state.version[kPending];
            }
            ++next_node.loaded;
            return push(next);
        }
        if (node.pending_version != state.version[kPending]) {  // update from the watch
            State next = state;
            next.leaders[index].pending_value = state.value[kPending];
            next.leaders[index].pending_version = state.version[kPending];
            push(next);
        }
        bool cancel_recorded = node.job == kActiveCancelled;
        if (node.job == kUnknown && node.pending_value == kAbsent && node.submits) {
            State next = state;
            --next.leaders[index].submits;
            next.leaders[index].reported_at_submit = state.reported;
            next.leaders[index].from_pending = 0;
            send(next, index, kNewJob, segment_value | kJobEntry);
        }
        if (node.job == kUnknown &&
            (node.pending_value == kAccepted ||
             node.pending_value == kAcceptedCancelled)) {  // as PendingAdoption does
            State next = state;
            next.leaders[index].from_pending = 1;
            send(next, index, kNewJob,
                 static_cast<uint8_t>(
                     segment_value | kJobEntry |
                     (node.pending_value == kAcceptedCancelled ? kCancelEntry : 0)));
        }
        bool cancel_requested =
            node.pending_value == kAcceptedCancelled || node.pending_value == kCancelRequest;
        if (node.job == kActive && (node.cancels || cancel_requested)) {
            State next = state;
            next.leaders[index].reported_at_cancel = state.reported;
            next.leaders[index].from_pending = cancel_requested;
            if (!cancel_requested) --next.leaders[index].cancels;
            send(next, index, kLeaderCancel, segment_value | kCancelEntry);
        }
        if (node.job == kActive && !node.started) {
            if (state.reported & kReportedCancelled)
                return fail("a task of a cancelled job is started");
            State next = state;
            next.leaders[index].started = 1;
            push(next);
        }
        if ((node.job == kActive && node.started) || cancel_recorded) {
            State next = state;
            send(next, index, kFinish, segment_value | kEndEntry,
                 cancel_recorded ? kFinalCancelled : kFinalDone);
        }
        bool cancel_outstanding =
            (node.pending_value == kCancelRequest || node.pending_value == kAcceptedCancelled) &&
            node.job == kActive;
        if (node.pending_value != kAbsent && !cancel_outstanding &&
            (node.job != kUnknown || node.pending_value == kCancelRequest)) {
            State next = state;
            send(next, index, kDeletePending, 0);
        }
        // The leader's answer to a poll, from its cluster state, or from the pending record and the
        // final state if the job is not in its cluster state.
        State next = state;
        if (node.job == kActive) report(next, state.reported, kReportedAccepted);
        if (node.job == kActiveCancelled) report(next, state.reported, kReportedCancelled);
        if (node.job == kUnknown && node.pending_value == kAbsent && !state.value[kPending]) {
            if (state.value[kFinal])
                report(next, state.reported,
                       state.value[kFinal] == kFinalDone ? kReportedDone : kReportedCancelled);
            else
                report(next, state.reported, 0, true);
        }
        if (node.job == kJobEnded && state.value[kFinal])
            report(next, state.reported,
                   state.value[kFinal] == kFinalDone ? kReportedDone : kReportedCancelled);
        push(next);
    }

    void handle_result(State& next, int index, bool applied) {
        auto& node = next.leaders[index];
        bool lease_valid = next.value[kLeader] == index + 1;
        if (applied && node.kind != kDeletePending)
            node.segment_version = next.version[index == 0 ? kSegmentA : kSegmentB];
        bool was_cancelled = node.job == kActiveCancelled;
        switch (node.kind) {
            case kNewJob:
                if (applied) {
                    bool cancelled =
                        node.txn.values[index == 0 ? kSegmentA : kSegmentB] & kCancelEntry;
                    node.job = cancelled ? kActiveCancelled : kActive;
                    if (!node.from_pending && lease_valid)
                        report(next, node.reported_at_submit, kReportedAccepted);
                } else if (next.value[kFinal]) {
                    node.job = kJobEnded;
                }
                break;
            case kLeaderCancel:
                if (!applied) break;
                node.job = kActiveCancelled;
                if (!node.from_pending && lease_valid)
                    report(next, node.reported_at_cancel, kReportedCancelled);
                break;
            case kFinish:
                if (!applied) break;
                node.job = kJobEnded;
                node.started = 0;
                if (lease_valid)
                    report(next, next.reported, was_cancelled ? kReportedCancelled : kReportedDone);
                break;
            default:
                if (applied) node.pending_value = kAbsent, node.pending_version = 0;
        }
        node.from_pending = node.reported_at_submit = node.reported_at_cancel = 0;
        std::memset(&node.txn, 0, sizeof node.txn);
    }

    std::deque<State> queue_;
    struct PairHash {
        size_t operator()(const std::pair<uint64_t, uint64_t>& hashes) const {
            return hashes.first;
        }
    };
    std::unordered_set<std::pair<uint64_t, uint64_t>, PairHash> visited_;
    std::string violation_;
};

// Upper limits of the requests that users send, as in Model.
struct Scenario {
    const char* name;
    std::array<std::array<uint8_t, 3>, 2> standby_requests;
    uint8_t leader_cancels = 1;
    std::array<uint8_t, 2> leader_submits{1, 1};
    Model create_model() const {
        Model model;
        model.standby_requests = standby_requests;
        model.leader_cancels = leader_cancels;
        model.leader_submits = leader_submits;
        return model;
    }
};
const Scenario kScenarios[] = {
    {"both standby controllers get the submission", {{{1, 0, 0}, {1, 0, 0}}}},
    {"one gets the submission, the other a poll", {{{1, 0, 0}, {0, 0, 1}}}},
    {"one gets the submission and a cancellation", {{{1, 1, 0}, {0, 0, 0}}}},
    {"one gets the submission, the other a cancellation", {{{1, 0, 0}, {0, 1, 0}}}, 0, {0, 1}},
    {"one gets a cancellation, the other a poll", {{{0, 1, 0}, {0, 0, 1}}}},
};

TEST(StandbyModel, NoInterleavingViolatesAnInvariant) {
    for (auto& scenario : kScenarios) {
        Model model = scenario.create_model();
        EXPECT_EQ(model.run(), "") << scenario.name;
        EXPECT_TRUE(model.complete()) << scenario.name << " " << model.state_count();
        printf("%s: %zu states\n", scenario.name, model.state_count());
    }
}

TEST(StandbyModel, RemovingAnyConditionCausesAViolation) {
    const std::pair<const char*, Model::Condition> conditions[] = {
        {"standby acceptance without the pending record", {{kAccept}, kPending}},
        {"standby acceptance without the final state", {{kAccept}, kFinal}},
        {"standby cancellation without the pending record", {{kStandbyCancel}, kPending}},
        {"leader's transactions without the leadership",
         {{kNewJob, kLeaderCancel, kFinish, kDeletePending}, kLeader}},
        {"leader's transactions without the segment",
         {{kNewJob, kLeaderCancel, kFinish}, kSegmentA}},
        {"new job without the final state", {{kNewJob}, kFinal}},
        {"new job without the pending record", {{kNewJob}, kPending}},
        {"deletion without the pending record", {{kDeletePending}, kPending}},
    };
    for (auto& [name, condition] : conditions) {
        std::string violation;
        size_t state_count = 0;
        const char* scenario_name = "";
        for (auto& scenario : kScenarios) {
            if (!violation.empty()) break;
            Model model = scenario.create_model();
            model.removed_condition = condition;
            scenario_name = scenario.name;
            violation = model.run();
            state_count += model.state_count();
        }
        EXPECT_NE(violation, "") << name;
        printf("%s: %s, %s (%zu states)\n", name, scenario_name, violation.c_str(), state_count);
    }
}

}  // namespace
}  // namespace weirmill
