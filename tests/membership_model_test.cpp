// Model check of leadership transfers: every interleaving of two controllers that campaign, lead,
// place one task, answer two workers and transfer the leadership. Transactions and responses to
// workers may be executed late, transactions also twice, and they may arrive through any relay. The
// conditions of the transfer are those of the production transaction. The test then disables each
// condition on its own and expects the model to find a violation. Clocks are not modelled: the
// lease of a controller that considers it valid has not expired (leadership_term.h,
// lease_valid_until).
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

// The conditions that keep the invariants. The model can disable one of them.
enum Condition : uint8_t {
    kAllConditions,
    kTransferChecksToken,   // the transfer is conditional on the version of the leader key
    kTermEndsFirst,         // the term has ended before the transfer is sent
    kTermNeverResumed,      // the term stays ended whatever the response to the transfer
    kPlacementChecksToken,  // a placement is conditional on the version of the leader key
    kProofWithOurToken,     // a heartbeat proves an end only if the worker has seen our token
    kProofAfterOurLaunch,   // and only if it was sent after the response with our own launch
    kRecordedBeforeLaunch,  // a launch is sent only for a recorded placement
};
const char* const kConditionNames[] = {"nothing",
                                       "the token condition of the transfer",
                                       "the end of the term before the transfer",
                                       "never resuming an ended term",
                                       "the token condition of a placement",
                                       "proof only with our token",
                                       "proof only after our launch",
                                       "recording before the launch"};

constexpr int kNodes = 2, kMachines = 2, kMaxTokens = 3, kMaxMessages = 3, kMaxLogVersion = 2;

// A transaction or a response to a worker that is in flight. It is executed at any time, and a
// transaction possibly twice.
struct Message {
    enum Kind : uint8_t { kNone, kTransfer, kPlacement, kLaunch } kind;
    uint8_t fencing_token, machine;
    uint8_t log_version;  // placement: the log version that the transaction is conditional on
};

struct State {
    uint8_t key_version, last_version;  // version of the leader key (0: none), and the last version
    uint8_t key_owner;                  // the node whose lease the key is attached to
    uint8_t placed;                     // the recorded machine of the task, 0: none
    uint8_t log_version;                // increased by one transaction of one leader at a time
    struct Node {
        uint8_t fencing_token, leads, lease_valid, lease_exists, term_ended, transferred;
        uint8_t assigned_machine;  // where the node believes the task to be
        uint8_t recorded;          // the node knows that this placement is recorded
        uint8_t log_version;       // as last known to the node
        uint8_t launched;          // the node has answered that machine with a launch
    } nodes[kNodes];
    // By machine: the highest token seen, and whether the task is there.
    uint8_t token_seen[kMachines], task_present[kMachines];
    uint8_t repeats_left;  // number of transactions that may still be executed a second time
    Message messages[kMaxMessages];
};
static_assert(std::is_trivially_copyable_v<State>);

class Model {
  public:
    explicit Model(Condition disabled) : disabled_(disabled) {
        auto transaction = transfer_transaction(kLeaderKey, 7, {"a", "b", 1, 1});
        transfer_checks_token_ =
            transaction.conditions == std::vector<KvCondition>{{kLeaderKey, 7}};
    }
    std::string run() {
        State first;
        std::memset(&first, 0, sizeof first);
        first.repeats_left = 1;
        push(first);
        while (!queue_.empty() && violation_.empty()) {
            State s = queue_.front();
            queue_.pop_front();
            step(s);
        }
        return violation_;
    }
    size_t states() const { return visited_.size(); }

  private:
    bool enabled(Condition c) const { return disabled_ != c; }
    void push(const State& s) {
        if (!violation_.empty()) return;
        int leaders = 0, running = 0;
        for (auto& n : s.nodes) leaders += may_act(n);
        for (auto present : s.task_present) running += present;
        if (leaders > 1) violation_ = "two controllers lead";
        if (running > 1) violation_ = "the task runs twice";
        State normalized = s;
        for (auto& c : normalized.messages)
            if (has_no_effect(s, c)) c = {};
        std::sort(std::begin(normalized.messages), std::end(normalized.messages),
                  [](auto& a, auto& b) { return std::memcmp(&a, &b, sizeof a) > 0; });
        if (visited_.emplace(reinterpret_cast<const char*>(&normalized), sizeof normalized).second)
            queue_.push_back(normalized);
    }
    static bool may_act(const State::Node& n) { return n.leads && n.lease_valid && !n.term_ended; }
    // Whether executing the message can no longer change anything: tokens and versions only grow.
    bool has_no_effect(const State& s, const Message& c) const {
        if (c.kind == Message::kTransfer)
            return enabled(kTransferChecksToken) && s.key_version != c.fencing_token;
        if (c.kind == Message::kPlacement)
            return s.log_version != c.log_version ||
                   (enabled(kPlacementChecksToken) && s.key_version != c.fencing_token);
        return c.kind == Message::kLaunch && c.fencing_token < s.token_seen[c.machine - 1];
    }
    static void send(State& s, Message c) {
        for (auto& message : s.messages)
            if (message.kind == Message::kNone) {
                message = c;
                return;
            }
    }
    static bool has_room(const State& s) {
        for (auto& message : s.messages)
            if (message.kind == Message::kNone) return true;
        return false;
    }

    void step(const State& s) {
        for (int i = 0; i < kNodes; ++i) step_node(s, i);
        for (int k = 0; k < kMaxMessages; ++k) {
            if (s.messages[k].kind == Message::kNone) continue;
            State n = s;
            auto c = n.messages[k];
            execute(n, c);
            // The transaction may be executed again later.
            if (n.repeats_left > 0 && c.kind != Message::kLaunch) {
                State repeated = n;
                --repeated.repeats_left;
                push(repeated);
            }
            n.messages[k] = {};
            push(n);
        }
        for (int m = 0; m < kMachines; ++m) {
            if (!s.task_present[m]) continue;
            // The task or the worker's lease ends, and no controller knows it yet.
            State n = s;
            n.task_present[m] = 0;
            push(n);
        }
    }

    void execute(State& s, const Message& c) {
        switch (c.kind) {
            case Message::kTransfer:
                if (enabled(kTransferChecksToken) && transfer_checks_token_ &&
                    s.key_version != c.fencing_token)
                    return;
                s.key_version = 0;
                return;
            case Message::kPlacement:
                if (enabled(kPlacementChecksToken) && s.key_version != c.fencing_token) return;
                if (s.log_version != c.log_version) return;  // docs/design.md, "The log"
                s.placed = c.machine;
                ++s.log_version;
                for (auto& n : s.nodes)
                    if (n.fencing_token == c.fencing_token && n.assigned_machine == c.machine) {
                        n.recorded = 1;
                        n.log_version = s.log_version;
                    }
                return;
            case Message::kLaunch:
                // protocol, "Tokens": a worker ignores a response with a lower token than it has
                // seen.
                if (c.fencing_token < s.token_seen[c.machine - 1]) return;
                s.token_seen[c.machine - 1] = c.fencing_token;
                s.task_present[c.machine - 1] = 1;
                return;
            default:
                return;
        }
    }

    void step_node(const State& s, int i) {
        auto& me = s.nodes[i];
        // The node wins a campaign and reads the records.
        if (!me.leads && s.key_version == 0 && s.last_version < kMaxTokens) {
            State n = s;
            auto& x = n.nodes[i];
            x = {};
            n.key_version = ++n.last_version;
            n.key_owner = static_cast<uint8_t>(i);
            x.fencing_token = n.key_version;
            x.leads = x.lease_valid = x.lease_exists = 1;
            x.assigned_machine = n.placed;
            x.log_version = n.log_version;
            x.recorded = 1;
            push(n);
        }
        if (!me.leads) return;
        auto push_changed = [&](auto change) {
            State n = s;
            change(n, n.nodes[i]);
            push(n);
        };
        // No renewal succeeds for long enough.
        if (me.lease_valid) push_changed([](State&, State::Node& x) { x.lease_valid = 0; });
        // A renewal succeeds; it does not check the key.
        if (me.lease_exists && !me.term_ended && !me.lease_valid)
            push_changed([](State&, State::Node& x) { x.lease_valid = 1; });
        // The lease expires.
        if (me.lease_exists && (!me.lease_valid || me.term_ended))
            push_changed([i](State& n, State::Node& x) {
                x.lease_exists = 0;
                if (n.key_version != 0 && n.key_owner == i && n.key_version == x.fencing_token)
                    n.key_version = 0;
            });
        if (!me.lease_exists && !me.lease_valid)
            push_changed([](State&, State::Node& x) { x = {}; });
        if (me.term_ended)
            push_changed([](State&, State::Node& x) {
                x.leads = 0;
                x.lease_valid = 0;
            });
        if (may_act(me) && !me.transferred && has_room(s))
            push_changed([&](State& n, State::Node& x) {
                x.transferred = 1;
                if (enabled(kTermEndsFirst)) x.term_ended = 1;
                send(n, {Message::kTransfer, x.fencing_token, 0, 0});
            });
        // The transfer got no response, and the key still exists.
        if (!enabled(kTermNeverResumed) && me.term_ended && s.key_version == me.fencing_token)
            push_changed([](State&, State::Node& x) { x.term_ended = 0; });
        if (!may_act(me)) return;
        // Placements and responses of a leader.
        for (uint8_t m = 1; m <= kMachines; ++m) {
            bool proof = me.assigned_machine != 0 && !s.task_present[me.assigned_machine - 1] &&
                         (!enabled(kProofWithOurToken) ||
                          s.token_seen[me.assigned_machine - 1] == me.fencing_token) &&
                         (!enabled(kProofAfterOurLaunch) || !me.launched);
            if (m != me.assigned_machine && (me.assigned_machine == 0 || proof) && me.recorded &&
                s.log_version < kMaxLogVersion && has_room(s))
                push_changed([&](State& n, State::Node& x) {
                    x.assigned_machine = m;
                    x.launched = 0;
                    x.recorded = 0;
                    send(n, {Message::kPlacement, x.fencing_token, m, x.log_version});
                });
            // A response without commands, direct or relayed.
            if (s.token_seen[m - 1] < me.fencing_token)
                push_changed(
                    [&](State& n, State::Node& x) { n.token_seen[m - 1] = x.fencing_token; });
        }
        if (me.assigned_machine != 0 && !me.launched &&
            (me.recorded || !enabled(kRecordedBeforeLaunch)) && has_room(s))
            push_changed([&](State& n, State::Node& x) {
                x.launched = 1;
                send(n, {Message::kLaunch, x.fencing_token, x.assigned_machine, 0});
            });
    }

    Condition disabled_;
    bool transfer_checks_token_ = false;
    std::set<std::string> visited_;
    std::deque<State> queue_;
    std::string violation_;
};

TEST(TransferModel, InvariantsHoldAndEachConditionIsNeeded) {
    Model complete(kAllConditions);
    EXPECT_EQ(complete.run(), "");
    EXPECT_GT(complete.states(), 100000u);
    std::cout << complete.states() << " states\n";
    for (int c = kTransferChecksToken; c <= kRecordedBeforeLaunch; ++c) {
        Model model(static_cast<Condition>(c));
        auto violation = model.run();
        EXPECT_NE(violation, "") << "without " << kConditionNames[c];
        std::cout << "without " << kConditionNames[c] << ": " << violation << " after "
                  << model.states() << " states\n";
    }
}

}  // namespace
}  // namespace weirmill
