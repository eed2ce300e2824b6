// A model check of the doors' records: every interleaving of two doors, two leaders and one job,
// with answers that are lost and transactions that are executed again at any later time. The doors'
// transactions are the real ones (state/pending_records.h); those of the leaders are held to the
// ledger's by DoorRecords.TheLeadersTransactionsAreThoseOfTheModel. Each condition is then taken
// away on its own, and the model must find what that one guards against.
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

// Keys of the state service: who leads, the job's door record and final state, and a segment for
// each leader.
enum Key : uint8_t { kLeads, kDoor, kFinal, kSegmentA, kSegmentB, kKeys };
// What they hold.
enum : uint8_t { kNothing, kAccepted, kAcceptedCancelled, kRequest };  // kDoor
enum : uint8_t { kDone = 1, kEndedCancelled };                         // kFinal
enum : uint8_t { kTold = 1, kCancel = 2, kEnd = 4 };                   // segments, as bits
// What the user was told, as bits.
enum : uint8_t { kSaidAccepted = 1, kSaidCancelled = 2, kSaidDone = 4 };

enum Kind : uint8_t { kAccept, kDoorCancel, kNewJob, kLogCancel, kFinish, kForget, kKinds };
const char* const kKindNames[] = {"accept", "door cancel", "new job", "cancel", "finish", "forget"};
const char* const kKeyNames[] = {"leadership", "door record", "final state", "segment", "segment"};

struct Txn {
    uint8_t conditions[kKeys];  // version, or kAny
    uint8_t values[kKeys];      // or kKeep
    uint8_t kind, executed;
};
constexpr uint8_t kAny = 255, kKeep = 255;

// One byte each, so that states compare as memory.
struct DoorNode {
    uint8_t step, seen, standby, pending_version, answered_by_log, submits, cancels, asks,
        cancelling;
    uint8_t in_flight, ended_when_sent, drops_when_sent;
    Txn txn;
};
struct LeaderNode {
    uint8_t loaded;  // 0 not yet, 1 the log, 2 the door records too
    uint8_t job;     // Alive etc. below
    uint8_t inbox, inbox_version,
        own_version;  // the door record as last read; the version of its own segment
    uint8_t started, in_flight, kind, submits, cancels, seen, cancel_seen, from_door;
    Txn txn;
};
enum : uint8_t { kUnknown, kAlive, kAliveCancelled, kOver };  // LeaderNode::job

struct State {
    uint8_t value[kKeys], version[kKeys], last[kKeys];
    uint8_t confirmed;
    uint8_t drops;      // how often the log's segments were dropped after the job's end
    uint8_t late_left;  // so many more late executions, of any of the copies below
    DoorNode doors[2];
    LeaderNode leaders[2];
    Txn late[10];
    uint8_t lates;
};
static_assert(std::is_trivially_copyable_v<State>);

// Steps of a standby controller: read_* are those of StandbyService::look_up, in this order.
enum : uint8_t { kIdle, kSending, kAcceptedNow, kReadDoor, kReadLog, kReadFinal };

class Model {
  public:
    struct Condition {
        std::vector<Kind> of;
        Key on;
        bool taken(Kind kind, int key) const {
            bool segment = on == kSegmentA && key == kSegmentB;
            return (key == on || segment) && std::find(of.begin(), of.end(), kind) != of.end();
        }
    };
    std::optional<Condition> without;
    // What users ask of each door: submissions, cancellations, questions; and late executions in
    // one history.
    std::array<std::array<uint8_t, 3>, 2> asked{{{1, 0, 0}, {0, 0, 1}}};
    uint8_t late_executions = 1, leader_cancels = 1;
    std::array<uint8_t, 2> leader_submits{1, 1};
    size_t most_states = 30'000'000;

    // What went wrong first, or nothing.
    std::string run() {
        State first;
        std::memset(&first, 0, sizeof first);
        first.value[kLeads] = first.version[kLeads] = first.last[kLeads] = 1;
        first.leaders[0].loaded = 2;
        first.late_left = late_executions;
        for (int i = 0; i < 2; ++i) {
            first.doors[i].submits = asked[i][0];
            first.doors[i].cancels = asked[i][1];
            first.doors[i].asks = asked[i][2];
        }
        for (int i = 0; i < 2; ++i) first.leaders[i].submits = leader_submits[i];
        first.leaders[1].cancels = leader_cancels;
        push(first);
        while (!queue_.empty() && wrong_.empty() && seen_.size() < most_states) {
            State s = queue_.front();
            queue_.pop_front();
            next(s);
        }
        return wrong_;
    }
    size_t states() const { return seen_.size(); }
    bool complete() const { return queue_.empty() || !wrong_.empty(); }

  private:
    void push(State s) {
        if (!wrong_.empty()) return;
        check(s);
        tidy(s);
        // Two hashes of a state stand for it.
        std::string_view bytes(reinterpret_cast<const char*>(&s), sizeof s);
        uint64_t second = 1469598103934665603ull;
        for (unsigned char c : bytes) second = (second ^ c) * 1099511628211ull;
        if (seen_.emplace(std::hash<std::string_view>()(bytes), second).second) queue_.push_back(s);
    }
    void fail(const std::string& what) {
        if (wrong_.empty()) wrong_ = what;
    }

    static bool told_in_log(const State& s) {
        return (s.value[kSegmentA] | s.value[kSegmentB]) & kTold;
    }
    static bool ended_in_log(const State& s) {
        return (s.value[kSegmentA] | s.value[kSegmentB]) & kEnd;
    }
    static bool live(const State& s) { return told_in_log(s) && !ended_in_log(s); }
    static bool cancelled_in_log(const State& s) {
        return (s.value[kSegmentA] | s.value[kSegmentB]) & kCancel;
    }

    void check(const State& s) {
        bool is_pending = s.value[kDoor] == kAccepted || s.value[kDoor] == kAcceptedCancelled;
        if (s.confirmed && !is_pending && !live(s) && !s.value[kFinal])
            fail("an accepted job is nowhere");
        if ((s.value[kSegmentA] & kTold) && (s.value[kSegmentB] & kTold))
            fail("two leaders took the job for new");
        if (live(s) && s.value[kFinal]) fail("a job that has ended is alive");
        if ((s.confirmed & kSaidCancelled) && s.value[kFinal] == kDone)
            fail("called cancelled, and done in the end");
    }

    // What a user is told, against what the user knew when the request began.
    void tell(State& s, uint8_t knew, uint8_t what, bool unknown = false) {
        if (unknown) {
            if (knew) fail("an accepted job is called unknown");
            return;
        }
        if (what == kSaidAccepted && (knew & (kSaidCancelled | kSaidDone)))
            fail("went back to waiting");
        if (what == kSaidCancelled && (knew & kSaidDone)) fail("done, then cancelled");
        if (what == kSaidDone && (knew & kSaidCancelled)) fail("cancelled, then done");
        s.confirmed |= what;
    }

    bool execute(State& s, Txn& t) {
        for (int k = 0; k < kKeys; ++k)
            if (t.conditions[k] != kAny && t.conditions[k] != s.version[k]) return false;
        // What makes a new door record may be: the log holds the job, or its cancellation, by then,
        // and the record is deleted again.
        bool makes = t.kind == kAccept || (t.kind == kDoorCancel && t.values[kDoor] == kRequest);
        if (t.executed && !makes) fail("a copy is executed again");
        t.executed = 1;
        for (int k = 0; k < kKeys; ++k) {
            if (t.values[k] == kKeep) continue;
            bool deleted = k == kDoor && t.values[k] == kNothing;
            if (k == kDoor && s.value[k] == kRequest && deleted && live(s) && !cancelled_in_log(s))
                fail("a request to cancel is lost");
            s.value[k] = t.values[k];
            s.version[k] = deleted ? 0 : ++s.last[k];
        }
        return true;
    }
    // It may be executed again, or only now, at any later time.
    void leave_copy(State& s, const Txn& t) {
        if (s.lates == std::size(s.late)) return fail("the model has too little room");
        s.late[s.lates++] = t;
    }
    // Copies that can do nothing any more, as versions never come back, are dropped; their order
    // does not matter.
    static void tidy(State& s) {
        auto dead = [&](const Txn& t) {
            if (s.late_left == 0) return true;
            for (int k = 0; k < kKeys; ++k) {
                auto c = t.conditions[k];
                bool again = c == 0 && (k == kDoor || s.last[k] == 0);
                if (c != kAny && c != s.version[k] && c <= s.last[k] && !again) return true;
            }
            return false;
        };
        auto* end = std::remove_if(s.late, s.late + s.lates, dead);
        std::sort(s.late, end, [](auto& a, auto& b) { return std::memcmp(&a, &b, sizeof a) < 0; });
        end = std::unique(s.late, end,
                          [](auto& a, auto& b) { return std::memcmp(&a, &b, sizeof a) == 0; });
        s.lates = static_cast<uint8_t>(end - s.late);
        std::memset(static_cast<void*>(end), 0, (std::size(s.late) - s.lates) * sizeof(Txn));
    }

    static Txn empty() {
        Txn t;
        std::memset(&t, kAny, sizeof t);
        t.executed = 0;
        return t;
    }
    void take_away(Txn& t, Kind kind) const {
        t.kind = kind;
        for (int k = 0; without && k < kKeys; ++k)
            if (without->taken(kind, k)) t.conditions[k] = kAny;
    }
    // The real transactions of doors, as the model's.
    Txn of(const CasTransaction& real, Kind kind, uint8_t door_value) const {
        Txn t = empty();
        auto key = [](const std::string& k) { return k == pending_key(kJob) ? kDoor : kFinal; };
        for (auto& c : real.conditions) t.conditions[key(c.key)] = static_cast<uint8_t>(c.version);
        for (auto& c : real.changes) t.values[key(c.key)] = door_value;
        take_away(t, kind);
        return t;
    }

    void next(const State& s) {
        for (int i = 0; i < 2; ++i) standby(s, i);
        for (int i = 0; i < 2; ++i) leader(s, i);
        for (int i = 0; i < s.lates; ++i) {
            State n = s;
            --n.late_left;
            if (execute(n, n.late[i])) push(n);
        }
        // Once the job is over, its segments are dropped: only its final state tells of it then.
        if (ended_in_log(s) && s.value[kFinal] && s.drops == 0) {
            State n = s;
            ++n.drops;
            for (auto k : {kSegmentA, kSegmentB}) {
                n.value[k] = 0;
                n.version[k] = ++n.last[k];
            }
            for (int i = 0; i < 2; ++i) {
                // The leader that dropped them goes on with new ones, and forgets the job with
                // time.
                auto& l = n.leaders[i];
                if (l.in_flight || l.loaded == 0 || s.value[kLeads] != i + 1) continue;
                l.own_version = n.version[i == 0 ? kSegmentA : kSegmentB];
                l.job = kUnknown;
            }
            push(n);
        }
        // The lease of the first ends, and the second leads. From here the first starts nothing.
        if (s.value[kLeads] == 1) {
            State n = s;
            n.value[kLeads] = 2;
            n.version[kLeads] = ++n.last[kLeads];
            push(n);
        }
    }

    // ---- doors ----

    void look(DoorNode& d, uint8_t step = kReadDoor) { d.step = step; }
    void idle(DoorNode& d) {
        auto keep = d;
        std::memset(&d, 0, sizeof d);
        d.submits = keep.submits;
        d.cancels = keep.cancels;
        d.asks = keep.asks;
    }

    void standby(const State& s, int i) {
        auto& d = s.doors[i];
        State n = s;
        auto& m = n.doors[i];
        switch (d.step) {
            case kIdle:
                if (d.submits) {
                    State a = s;
                    auto& x = a.doors[i];
                    --x.submits;
                    x.seen = s.confirmed;
                    x.step = kSending;
                    x.in_flight = kAccept;
                    x.ended_when_sent = ended_in_log(s);
                    x.drops_when_sent = s.drops;
                    x.txn = of(accept_transaction(kJob, {boost::json::object{}, 1, false}), kAccept,
                               kAccepted);
                    push(a);
                }
                if (d.cancels) {
                    State a = s;
                    auto& x = a.doors[i];
                    --x.cancels;
                    x.seen = s.confirmed;
                    x.cancelling = 1;
                    look(x);
                    push(a);
                }
                if (d.asks) {
                    State a = s;
                    auto& x = a.doors[i];
                    --x.asks;
                    x.seen = s.confirmed;
                    look(x);
                    push(a);
                }
                return;
            case kSending: {
                Txn t = d.txn;
                // The answer is lost: the user is told to come back, and the transaction is
                // executed later or not.
                State lost = s;
                leave_copy(lost, t);
                idle(lost.doors[i]);
                push(lost);
                bool ok = execute(n, t);  // and its copy is known as such
                leave_copy(n, t);
                if (d.in_flight == kAccept) {
                    m.step = ok ? kAcceptedNow : kReadDoor;
                } else if (ok) {
                    m.cancelling = 2;
                    look(m);
                } else {
                    idle(m);
                }
                return push(n);
            }
            case kAcceptedNow:  // StandbyService::submit, after its record
                if (live(s))
                    tell(n, d.seen, cancelled_in_log(s) ? kSaidCancelled : kSaidAccepted);
                else if (d.drops_when_sent == s.drops && (d.ended_when_sent || !ended_in_log(s)))
                    // Otherwise StateLogView::may_have_ended: it is to come back.
                    tell(n, d.seen, kSaidAccepted);
                idle(m);
                return push(n);
            case kReadDoor:
                m.standby = s.value[kDoor];
                m.pending_version = s.version[kDoor];
                m.step = kReadLog;
                return push(n);
            case kReadLog:
                if (live(s)) {
                    decide(n, i, true, cancelled_in_log(s), 0);
                } else {
                    m.step = kReadFinal;
                }
                return push(n);
            case kReadFinal:
                decide(n, i, false, false, s.value[kFinal]);
                return push(n);
            default:
                return;
        }
    }

    // The real decision on what was read.
    void decide(State& n, int i, bool alive, bool cancelled, uint8_t ended) {
        auto& d = n.doors[i];
        JobReads seen;
        StateLogView::Job job;
        if (d.standby != kNothing) {
            PendingRecord record;
            if (d.standby != kRequest) record.job = boost::json::object{};
            record.cancelled = d.standby != kAccepted;
            seen.pending = record;
        }
        if (alive) {
            seen.live = &job;
            seen.live_cancelled = cancelled;
        }
        if (ended)
            seen.ended = FinalState{ended == kDone ? JobState::Done : JobState::Cancelled, 0};
        auto where = job_standing(seen);
        bool open = where.state == JobState::Queued || where.state == JobState::Running;
        bool cancels = d.cancelling != 0;
        auto reply = standby_reply(kJob, where, cancels ? PeerOp::Cancel : PeerOp::Status);
        bool may_cancel =
            open && (where.place == JobPlace::Pending || where.place == JobPlace::Log);
        if (d.cancelling == 1 && may_cancel && (d.standby == kAccepted || d.standby == kNothing)) {
            // StandbyService::cancel
            PendingRecord record;
            if (d.standby == kAccepted) record.job = boost::json::object{};
            d.txn = of(cancel_transaction(kJob, d.pending_version, record), kDoorCancel,
                       d.standby == kAccepted ? kAcceptedCancelled : kRequest);
            d.in_flight = kDoorCancel;
            d.step = kSending;
            return;
        }
        if (reply.status == 404) tell(n, d.seen, 0, true);
        if (reply.status == 200)
            tell(n, d.seen,
                 where.state == JobState::Done        ? kSaidDone
                 : where.state == JobState::Cancelled ? kSaidCancelled
                                                      : kSaidAccepted);
        idle(d);
    }

    // ---- leaders ----

    Txn leaders(const State& s, int i, Kind kind) const {
        (void)s;
        Txn t = empty();
        auto& l = s.leaders[i];
        Key segment = i == 0 ? kSegmentA : kSegmentB;
        t.conditions[kLeads] = static_cast<uint8_t>(i + 1);
        if (kind == kForget) {
            t.conditions[kDoor] = l.inbox_version;
            t.values[kDoor] = kNothing;
            take_away(t, kind);
            return t;
        }
        t.conditions[segment] = l.own_version;
        if (kind == kNewJob || kind == kFinish) t.conditions[kFinal] = 0;
        if (kind == kNewJob) t.conditions[kDoor] = l.from_door ? l.inbox_version : 0;
        return t;
    }
    void send(State& n, int i, Kind kind, uint8_t text, uint8_t final_value = kKeep) {
        auto& l = n.leaders[i];
        l.txn = leaders(n, i, kind);
        if (kind != kForget) {
            l.txn.values[i == 0 ? kSegmentA : kSegmentB] = text;
            l.txn.values[kFinal] = final_value;
            take_away(l.txn, kind);
        }
        l.in_flight = 1;
        l.kind = kind;
        push(n);
    }

    void leader(const State& s, int i) {
        auto& l = s.leaders[i];
        uint8_t fencing_token = static_cast<uint8_t>(i + 1);
        uint8_t own = s.value[i == 0 ? kSegmentA : kSegmentB];
        // A transaction under way is executed even when its sender no longer leads.
        if (l.in_flight) {
            State n = s;
            auto& m = n.leaders[i];
            Txn t = l.txn;
            bool ok = execute(n, t);
            leave_copy(n, t);
            m.in_flight = 0;
            outcome(n, i, ok);
            push(n);
            return;  // one at a time
        }
        if (s.value[kLeads] != fencing_token) return;
        if (l.loaded < 2) {
            State n = s;
            auto& m = n.leaders[i];
            if (l.loaded == 0) {
                m.job = !told_in_log(s)       ? kUnknown
                        : ended_in_log(s)     ? kOver
                        : cancelled_in_log(s) ? kAliveCancelled
                                              : kAlive;
                m.own_version = s.version[i == 0 ? kSegmentA : kSegmentB];
            } else {
                m.inbox = s.value[kDoor];
                m.inbox_version = s.version[kDoor];
            }
            ++m.loaded;
            return push(n);
        }
        if (l.inbox_version != s.version[kDoor]) {  // the watch
            State n = s;
            n.leaders[i].inbox = s.value[kDoor];
            n.leaders[i].inbox_version = s.version[kDoor];
            push(n);
        }
        bool recorded_cancel = l.job == kAliveCancelled;
        if (l.job == kUnknown && l.inbox == kNothing && l.submits) {
            State n = s;
            --n.leaders[i].submits;
            n.leaders[i].seen = s.confirmed;
            n.leaders[i].from_door = 0;
            send(n, i, kNewJob, own | kTold);
        }
        if (l.job == kUnknown &&
            (l.inbox == kAccepted || l.inbox == kAcceptedCancelled)) {  // Leader::collect
            State n = s;
            n.leaders[i].from_door = 1;
            send(n, i, kNewJob,
                 static_cast<uint8_t>(own | kTold | (l.inbox == kAcceptedCancelled ? kCancel : 0)));
        }
        bool asked_by_door = l.inbox == kAcceptedCancelled || l.inbox == kRequest;
        if (l.job == kAlive && (l.cancels || asked_by_door)) {
            State n = s;
            n.leaders[i].cancel_seen = s.confirmed;
            n.leaders[i].from_door = asked_by_door;
            if (!asked_by_door) --n.leaders[i].cancels;
            send(n, i, kLogCancel, own | kCancel);
        }
        if (l.job == kAlive && !l.started) {
            if (s.confirmed & kSaidCancelled) return fail("a task of a cancelled job is started");
            State n = s;
            n.leaders[i].started = 1;
            push(n);
        }
        if ((l.job == kAlive && l.started) || recorded_cancel) {
            State n = s;
            send(n, i, kFinish, own | kEnd, recorded_cancel ? kEndedCancelled : kDone);
        }
        bool requested = (l.inbox == kRequest || l.inbox == kAcceptedCancelled) && l.job == kAlive;
        if (l.inbox != kNothing && !requested && (l.job != kUnknown || l.inbox == kRequest)) {
            State n = s;
            send(n, i, kForget, 0);
        }
        // What it answers: from its tables, or from what it reads in the order door record, final
        // state, tables.
        State n = s;
        if (l.job == kAlive) tell(n, s.confirmed, kSaidAccepted);
        if (l.job == kAliveCancelled) tell(n, s.confirmed, kSaidCancelled);
        if (l.job == kUnknown && l.inbox == kNothing && !s.value[kDoor]) {
            if (s.value[kFinal])
                tell(n, s.confirmed, s.value[kFinal] == kDone ? kSaidDone : kSaidCancelled);
            else
                tell(n, s.confirmed, 0, true);
        }
        if (l.job == kOver && s.value[kFinal])
            tell(n, s.confirmed, s.value[kFinal] == kDone ? kSaidDone : kSaidCancelled);
        push(n);
    }

    void outcome(State& n, int i, bool ok) {
        auto& l = n.leaders[i];
        bool lease_valid = n.value[kLeads] == i + 1;
        if (ok && l.kind != kForget) l.own_version = n.version[i == 0 ? kSegmentA : kSegmentB];
        bool was_cancelled = l.job == kAliveCancelled;
        switch (l.kind) {
            case kNewJob:
                if (ok) {
                    bool cancelled = l.txn.values[i == 0 ? kSegmentA : kSegmentB] & kCancel;
                    l.job = cancelled ? kAliveCancelled : kAlive;
                    if (!l.from_door && lease_valid) tell(n, l.seen, kSaidAccepted);
                } else if (n.value[kFinal]) {
                    l.job = kOver;
                }
                break;
            case kLogCancel:
                if (!ok) break;
                l.job = kAliveCancelled;
                if (!l.from_door && lease_valid) tell(n, l.cancel_seen, kSaidCancelled);
                break;
            case kFinish:
                if (!ok) break;
                l.job = kOver;
                l.started = 0;
                if (lease_valid) tell(n, n.confirmed, was_cancelled ? kSaidCancelled : kSaidDone);
                break;
            default:
                if (ok) l.inbox = kNothing, l.inbox_version = 0;
        }
        l.from_door = l.seen = l.cancel_seen = 0;
        std::memset(&l.txn, 0, sizeof l.txn);
    }

    std::deque<State> queue_;
    struct Mixed {
        size_t operator()(const std::pair<uint64_t, uint64_t>& p) const { return p.first; }
    };
    std::unordered_set<std::pair<uint64_t, uint64_t>, Mixed> seen_;
    std::string wrong_;
};

// What users ask of the two doors at the most, besides a submission at each leader and a
// cancellation at the second.
struct Asked {
    const char* what;
    std::array<std::array<uint8_t, 3>, 2> doors;
    uint8_t leader_cancels = 1;
    std::array<uint8_t, 2> leader_submits{1, 1};
    Model model() const {
        Model m;
        m.asked = doors;
        m.leader_cancels = leader_cancels;
        m.leader_submits = leader_submits;
        return m;
    }
};
const Asked kAsked[] = {
    {"both doors are asked to take it", {{{1, 0, 0}, {1, 0, 0}}}},
    {"one takes it, the other is asked of it", {{{1, 0, 0}, {0, 0, 1}}}},
    {"one takes it and cancels it", {{{1, 1, 0}, {0, 0, 0}}}},
    {"one takes it, the other cancels it", {{{1, 0, 0}, {0, 1, 0}}}, 0, {0, 1}},
    {"one cancels it, the other is asked of it", {{{0, 1, 0}, {0, 0, 1}}}},
};

TEST(StandbyModel, NoInterleavingTellsAnythingOlderOrLosesAJob) {
    for (auto& row : kAsked) {
        Model model = row.model();
        EXPECT_EQ(model.run(), "") << row.what;
        EXPECT_TRUE(model.complete()) << row.what << " " << model.states();
        printf("%s: %zu states\n", row.what, model.states());
    }
}

TEST(StandbyModel, EachConditionIsNeeded) {
    const std::pair<const char*, Model::Condition> conditions[] = {
        {"a door's acceptance without the door record", {{kAccept}, kDoor}},
        {"a door's acceptance without the final state", {{kAccept}, kFinal}},
        {"a door's cancellation without the door record", {{kDoorCancel}, kDoor}},
        {"the leader's without the leadership", {{kNewJob, kLogCancel, kFinish, kForget}, kLeads}},
        {"the leader's without the segment", {{kNewJob, kLogCancel, kFinish}, kSegmentA}},
        {"a new job without the final state", {{kNewJob}, kFinal}},
        {"a new job without the door record", {{kNewJob}, kDoor}},
        {"a deletion without the door record", {{kForget}, kDoor}},
    };
    for (auto& [name, condition] : conditions) {
        std::string wrong;
        size_t states = 0;
        const char* what = "";
        for (auto& row : kAsked) {
            if (!wrong.empty()) break;
            Model model = row.model();
            model.without = condition;
            what = row.what;
            wrong = model.run();
            states += model.states();
        }
        EXPECT_NE(wrong, "") << name;
        printf("%s: %s, %s (%zu states)\n", name, what, wrong.c_str(), states);
    }
}

}  // namespace
}  // namespace weirmill
