// A model check of hand-overs: every interleaving of two controllers that campaign, lead, place one
// task, answer two workers and yield, with transactions and answers to workers executed again or
// late, over whatever relays. The yield's conditions are those of the real transaction. Each
// condition is then taken away on its own, and the model must find what that one guards against.
// Clocks stand for themselves: a controller that is sure of its lease holds one that has not run
// out (leadership_term.h, lease_valid_until).
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <iostream>
#include <set>
#include <string>

#include "leadership/leadership_transfer.h"
#include "state/state_log.h"

namespace weirmill {
namespace {

enum Condition : uint8_t {
    kAll,
    kYieldNamesToken,      // the yield's transaction asks for the key's version
    kEndedBeforeYield,     // the tenure has ended when the yield is sent
    kNeverTakenUpAgain,    // whatever the yield's answer
    kRecordNamesToken,     // a placement's transaction asks for it too
    kProofWithOurToken,    // a report counts as proof only from a worker that has seen our token
    kProofAfterOurStart,   // and one that was sent after our own start was answered
    kRecordedBeforeStart,  // a start goes only for a placement that is recorded
};
const char* const kNames[] = {"nothing",
                              "the yield's token",
                              "the tenure's end before the yield",
                              "no way back into an ended tenure",
                              "the record's token",
                              "proof only with our token",
                              "proof only after our start",
                              "records before starts"};

constexpr int kNodes = 2, kMachines = 2, kMaxTokens = 3, kMaxCopies = 3, kMaxRecords = 2;

struct Copy {  // of a transaction, or of an answer to a worker: executed at any time, a transaction
               // perhaps again
    enum Kind : uint8_t { kNone, kYield, kPlace, kStart } kind;
    uint8_t fencing_token, machine, log;  // log: the version that the transaction asks for
};

struct State {
    uint8_t key, last;  // version of the leader's key (0: none), and the last one given
    uint8_t holder;     // whose lease the key hangs on
    uint8_t placed;     // as recorded: the task's machine, 0 none
    uint8_t log;        // version of the log: one transaction of one leader makes each
    struct Node {
        uint8_t fencing_token, leads, lease_valid, lease, ended, yielded;
        uint8_t knows;     // where it believes the task
        uint8_t recorded;  // that this is recorded
        uint8_t log;       // its version, as last known
        uint8_t started;   // it answered that machine with a start
    } nodes[kNodes];
    uint8_t seen[kMachines],
        on[kMachines];  // by machine: highest token, and whether the task is there
    uint8_t again;      // so many transactions may still be executed a second time
    Copy copies[kMaxCopies];
};
static_assert(std::is_trivially_copyable_v<State>);

class Model {
  public:
    explicit Model(Condition without) : without_(without) {
        auto real = transfer_transaction(kLeaderKey, 7, {"a", "b", 1, 1});
        yield_named_ = real.conditions == std::vector<KvCondition>{{kLeaderKey, 7}};
    }
    std::string run() {
        State first;
        std::memset(&first, 0, sizeof first);
        first.again = 1;
        push(first);
        while (!queue_.empty() && wrong_.empty()) {
            State s = queue_.front();
            queue_.pop_front();
            step(s);
        }
        return wrong_;
    }
    size_t states() const { return seen_.size(); }

  private:
    bool holds(Condition c) const { return without_ != c; }
    void push(const State& s) {
        if (!wrong_.empty()) return;
        int leaders = 0, places = 0;
        for (auto& n : s.nodes) leaders += acts(n);
        for (auto on : s.on) places += on;
        if (leaders > 1) wrong_ = "two lead";
        if (places > 1) wrong_ = "the task runs twice";
        State tidy = s;
        for (auto& c : tidy.copies)
            if (is_void(s, c)) c = {};
        std::sort(std::begin(tidy.copies), std::end(tidy.copies),
                  [](auto& a, auto& b) { return std::memcmp(&a, &b, sizeof a) > 0; });
        if (seen_.emplace(reinterpret_cast<const char*>(&tidy), sizeof tidy).second)
            queue_.push_back(tidy);
    }
    static bool acts(const State::Node& n) { return n.leads && n.lease_valid && !n.ended; }
    // It can do nothing any more: tokens and versions only grow.
    bool is_void(const State& s, const Copy& c) const {
        if (c.kind == Copy::kYield) return holds(kYieldNamesToken) && s.key != c.fencing_token;
        if (c.kind == Copy::kPlace)
            return s.log != c.log || (holds(kRecordNamesToken) && s.key != c.fencing_token);
        return c.kind == Copy::kStart && c.fencing_token < s.seen[c.machine - 1];
    }
    static void send(State& s, Copy c) {
        for (auto& copy : s.copies)
            if (copy.kind == Copy::kNone) {
                copy = c;
                return;
            }
    }
    static bool room(const State& s) {
        for (auto& copy : s.copies)
            if (copy.kind == Copy::kNone) return true;
        return false;
    }

    void step(const State& s) {
        for (int i = 0; i < kNodes; ++i) node(s, i);
        for (int k = 0; k < kMaxCopies; ++k) {
            if (s.copies[k].kind == Copy::kNone) continue;
            State n = s;
            auto c = n.copies[k];
            execute(n, c);
            if (n.again > 0 && c.kind != Copy::kStart) {  // and once more, later
                State more = n;
                --more.again;
                push(more);
            }
            n.copies[k] = {};
            push(n);
        }
        for (int m = 0; m < kMachines; ++m) {
            if (!s.on[m]) continue;
            State n = s;  // it ends there by itself, or its lease ran out: nobody hears of it yet
            n.on[m] = 0;
            push(n);
        }
    }

    void execute(State& s, const Copy& c) {
        switch (c.kind) {
            case Copy::kYield:
                if (holds(kYieldNamesToken) && yield_named_ && s.key != c.fencing_token) return;
                s.key = 0;
                return;
            case Copy::kPlace:
                if (holds(kRecordNamesToken) && s.key != c.fencing_token) return;
                if (s.log != c.log) return;  // docs/design.md, "The log"
                s.placed = c.machine;
                ++s.log;
                for (auto& n : s.nodes)
                    if (n.fencing_token == c.fencing_token && n.knows == c.machine) {
                        n.recorded = 1;
                        n.log = s.log;
                    }
                return;
            case Copy::kStart:
                // protocol, "Tokens": an answer with a lower one than the worker has seen is
                // dropped.
                if (c.fencing_token < s.seen[c.machine - 1]) return;
                s.seen[c.machine - 1] = c.fencing_token;
                s.on[c.machine - 1] = 1;
                return;
            default:
                return;
        }
    }

    void node(const State& s, int i) {
        auto& me = s.nodes[i];
        if (!me.leads && s.key == 0 &&
            s.last < kMaxTokens) {  // it campaigns, wins, and reads the records
            State n = s;
            auto& x = n.nodes[i];
            x = {};
            n.key = ++n.last;
            n.holder = static_cast<uint8_t>(i);
            x.fencing_token = n.key;
            x.leads = x.lease_valid = x.lease = 1;
            x.knows = n.placed;
            x.log = n.log;
            x.recorded = 1;
            push(n);
        }
        if (!me.leads) return;
        auto with = [&](auto change) {
            State n = s;
            change(n, n.nodes[i]);
            push(n);
        };
        if (me.lease_valid)  // no renewal for so long
            with([](State&, State::Node& x) { x.lease_valid = 0; });
        if (me.lease && !me.ended && !me.lease_valid)  // a renewal: it does not look at the key
            with([](State&, State::Node& x) { x.lease_valid = 1; });
        if (me.lease && (!me.lease_valid || me.ended))  // the lease runs out
            with([i](State& n, State::Node& x) {
                x.lease = 0;
                if (n.key != 0 && n.holder == i && n.key == x.fencing_token) n.key = 0;
            });
        if (!me.lease && !me.lease_valid) with([](State&, State::Node& x) { x = {}; });
        if (me.ended)
            with([](State&, State::Node& x) {
                x.leads = 0;
                x.lease_valid = 0;
            });
        if (acts(me) && !me.yielded && room(s))
            with([&](State& n, State::Node& x) {
                x.yielded = 1;
                if (holds(kEndedBeforeYield)) x.ended = 1;
                send(n, {Copy::kYield, x.fencing_token, 0, 0});
            });
        if (!holds(kNeverTakenUpAgain) && me.ended &&
            s.key == me.fencing_token)  // no answer, and the key still stands
            with([](State&, State::Node& x) { x.ended = 0; });
        if (!acts(me)) return;
        // Decisions and answers of a leader.
        for (uint8_t m = 1; m <= kMachines; ++m) {
            bool proof = me.knows != 0 && !s.on[me.knows - 1] &&
                         (!holds(kProofWithOurToken) || s.seen[me.knows - 1] == me.fencing_token) &&
                         (!holds(kProofAfterOurStart) || !me.started);
            if (m != me.knows && (me.knows == 0 || proof) && me.recorded && s.log < kMaxRecords &&
                room(s))
                with([&](State& n, State::Node& x) {
                    x.knows = m;
                    x.started = 0;
                    x.recorded = 0;
                    send(n, {Copy::kPlace, x.fencing_token, m, x.log});
                });
            if (s.seen[m - 1] < me.fencing_token)  // an answer with nothing in it, by any way
                with([&](State& n, State::Node& x) { n.seen[m - 1] = x.fencing_token; });
        }
        if (me.knows != 0 && !me.started && (me.recorded || !holds(kRecordedBeforeStart)) &&
            room(s))
            with([&](State& n, State::Node& x) {
                x.started = 1;
                send(n, {Copy::kStart, x.fencing_token, x.knows, 0});
            });
    }

    Condition without_;
    bool yield_named_ = false;
    std::set<std::string> seen_;
    std::deque<State> queue_;
    std::string wrong_;
};

TEST(TransferModel, NoInterleavingBreaksARuleAndEachConditionIsNeeded) {
    Model whole(kAll);
    EXPECT_EQ(whole.run(), "");
    EXPECT_GT(whole.states(), 100000u);
    std::cout << whole.states() << " states\n";
    for (int c = kYieldNamesToken; c <= kRecordedBeforeStart; ++c) {
        Model model(static_cast<Condition>(c));
        auto wrong = model.run();
        EXPECT_NE(wrong, "") << "without " << kNames[c];
        std::cout << "without " << kNames[c] << ": " << wrong << " after " << model.states()
                  << " states\n";
    }
}

}  // namespace
}  // namespace weirmill
