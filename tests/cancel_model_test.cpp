// Model check of cancellations in discrete time steps: a leader that the key-value store refuses,
// the next leader, a standby controller, and a worker that runs a task of the job. The model
// explores every schedule of refusals, one outage of the key-value store (leases have their full
// duration again afterwards), renewals that are answered late or never, a transaction that is
// executed late, heartbeats to either leader, and the time at which the user gets the confirmation.
// The grace period, the lease validity and the margins come from the production functions. The
// tests check two things. In no schedule does the task stay on its machine for longer than cancel_s
// after the confirmation. With a grace period one step longer than the longest that holds, or with
// any one guard disabled at that length, some schedule breaks this bound (docs/design.md,
// "Cancellations and the grace").
#include <gtest/gtest.h>

#include <array>
#include <bit>
#include <cmath>
#include <deque>
#include <iostream>
#include <unordered_set>

#include "fixtures.h"
#include "leadership/election.h"

namespace weirmill {
namespace {

// The rules that keep the bound. The model can disable one of them.
enum Guard : uint8_t {
    kAllGuards,
    kCountFromRequest,      // the lease counts from the renewal request, not from its response
    kMissingLeaseEndsTerm,  // a renewal of a lease that no longer exists ends the term
    kStopOnRequest,  // the leader stops tasks when the cancellation is requested, not once its
                     // record is known to be written
    kStandbyConfirmsRecorded,  // a standby confirms recorded cancellations only, not those that it
                               // has asked the leader to record
    kUnconfirmedLeaderStops,   // a leader whose lease is not confirmed still stops cancelled tasks
    kHeldResponseRechecked,    // a held response is checked again before it is sent
    kRecordChecksToken,  // the transaction of a cancellation is conditional on the fencing token
    kLowerTokenDropped,  // protocol: a worker ignores responses with a lower token than it has seen
};
const char* const kGuardNames[] = {"nothing",
                                   "counting from the request",
                                   "the end of the term with its lease",
                                   "stops on request",
                                   "confirmation of recorded cancellations only",
                                   "stops by a leader with an unconfirmed lease",
                                   "the check of held responses",
                                   "the token condition of the record",
                                   "dropping lower tokens"};

struct Times {
    double step_s;       // duration of a model step
    double lease_s;      // lease of the leader
    double grace_s = 0;  // grace period of a leader whose lease is not confirmed
};

// Times are in model steps.
struct State {
    uint8_t time;
    uint8_t outage, refused;           // 0: not yet, 1: now, 2: over
    uint8_t key_owner, lease_ends;     // owner of the leader key (0: none, 1: old leader, 2: next
                                       // leader) and end of its lease
    uint8_t confirmed_from, renewing;  // old leader: request time that its lease counts from, and
                                       // request time of a pending renewal plus 1
    uint8_t term_ended, stopping;      // old leader: its term has ended; it stops the task
    uint8_t txn;                       // cancellation by the old leader: 1: sent, 2: executed
    // Next leader: request time that its lease counts from; it leads; it knows the cancellation.
    uint8_t next_confirmed_from, next_leads, next_knows;
    uint8_t recorded, confirmed;  // the cancellation; `confirmed` is the time plus 1
    // Worker: its last answered heartbeat, its highest fencing token, and whether the task is
    // there.
    uint8_t last_report, fencing_token, task;
    uint8_t padding[6];  // up to a whole number of 64-bit words
};
static_assert(std::has_unique_object_representations_v<State> && sizeof(State) == 24);
using Words = std::array<uint64_t, 3>;
struct HashWords {
    size_t operator()(const Words& w) const {
        return ((w[0] * 0x9E3779B97F4A7C15u ^ w[1]) * 0xC2B2AE3D27D4EB4Fu ^ w[2]) *
               0x165667B19E3779F9u;
    }
};

class Model {
  public:
    Model(const Settings& s, Times times, Guard disabled_guard)
        : settings_(s), times_(times), disabled_guard_(disabled_guard) {
        lease_steps_ = static_cast<int>(std::lround(times.lease_s / times.step_s));
        worker_lease_steps_ =
            static_cast<int>(std::floor(s.lease_s * (1 + kMaxClockDrift) / times.step_s));
        cancel_steps_ = static_cast<int>(std::floor(s.cancel_s / times.step_s));
    }
    // Returns whether the task outlives the bound in some schedule.
    bool violates_bound() {
        State first{};
        first.key_owner = first.fencing_token = first.task = 1;
        first.lease_ends = static_cast<uint8_t>(lease_steps_);
        push(first);
        while (!queue_.empty() && !violated_) {
            State s = queue_.back();
            queue_.pop_back();
            step(s);
        }
        return violated_;
    }
    size_t states() const { return visited_.size(); }

  private:
    bool enabled(Guard g) const { return disabled_guard_ != g; }
    double lease_valid_until_step(int requested_at) const {
        return lease_valid_until(requested_at * times_.step_s, times_.lease_s) / times_.step_s;
    }
    bool lease_valid(int requested_at, int t) const {
        return t < lease_valid_until_step(requested_at);
    }
    bool answers_heartbeats(int requested_at, int t) const {
        return t <= lease_valid_until_step(requested_at) + times_.grace_s / times_.step_s;
    }
    // The old leader's lease is last confirmed, and the user cancels, within these first steps.
    // Later times would only shift the same schedules.
    int horizon() const { return lease_steps_ + 3; }
    // Maps states that can no longer differ in their outcome to one state. Events that could only
    // end the task sooner are not modelled: the old leader learns of the record or of the next
    // leader, or the next leader loses its term. The worker reports to the old leader whenever that
    // leader would keep the task.
    void normalize(State& s) const {
        if (s.term_ended) s.confirmed_from = s.renewing = 0;
        if (!s.next_leads) s.next_confirmed_from = s.next_knows = 0;
        if (!s.key_owner) s.lease_ends = 0;
        if (s.confirmed && s.recorded) s.txn = 0;
        if (s.confirmed && s.time > horizon() && !s.renewing)
            s.outage = s.refused = s.key_owner = s.lease_ends = 0;
        if (keeps_task(s)) s.last_report = s.time;
    }
    bool keeps_task(const State& s) const {
        if (s.term_ended || s.stopping) return false;
        if (s.fencing_token > 1 && enabled(kLowerTokenDropped)) return false;
        return answers_heartbeats(s.confirmed_from, s.time) ||
               (!enabled(kHeldResponseRechecked) &&
                answers_heartbeats(s.confirmed_from, s.time - 1));
    }

    void push(State s) {
        if (!s.task || violated_) return;
        if (s.confirmed && s.time > s.confirmed - 1 + cancel_steps_) {
            violated_ = true;
            return;
        }
        if (!s.confirmed && s.time > horizon() + cancel_steps_) return;
        normalize(s);
        if (visited_.insert(std::bit_cast<Words>(s)).second) queue_.push_back(s);
    }
    template <class F>
    void push_changed(const State& s, F&& change) {
        State n = s;
        change(n);
        push(n);
    }

    void step(const State& s) {
        int t = s.time;
        bool state_service_up = s.outage != 1;
        push_changed(s, [&](State& n) {  // time passes
            ++n.time;
            if (n.time > n.last_report + worker_lease_steps_) n.task = 0;
            if (state_service_up && n.key_owner && n.time >= n.lease_ends) n.key_owner = 0;
        });
        if (t <= horizon()) {
            if (s.outage == 0) push_changed(s, [](State& n) { n.outage = 1; });
            if (s.refused == 0) push_changed(s, [](State& n) { n.refused = 1; });
        }
        if (s.outage == 1)
            push_changed(s, [&](State& n) {
                n.outage = 2;
                n.lease_ends = static_cast<uint8_t>(t + lease_steps_);
            });
        if (s.refused == 1) push_changed(s, [](State& n) { n.refused = 2; });
        old_leader(s, t, state_service_up);
        next_leader(s, t, state_service_up);
        // The cancellation by the old leader is executed, at any time after it was sent.
        if (s.txn == 1 && state_service_up && (s.key_owner == 1 || !enabled(kRecordChecksToken)))
            push_changed(s, [](State& n) { n.txn = 2, n.recorded = 1; });
        // A standby reads the record and confirms the cancellation to the user.
        if (state_service_up && !s.confirmed && s.recorded)
            push_changed(s, [&](State& n) { n.confirmed = static_cast<uint8_t>(t + 1); });
        if (state_service_up && !s.confirmed && !enabled(kStandbyConfirmsRecorded))
            push_changed(s, [&](State& n) { n.confirmed = static_cast<uint8_t>(t + 1); });
    }

    void old_leader(const State& s, int t, bool state_service_up) {
        if (s.term_ended) return;
        bool service_reachable = state_service_up && s.refused != 1;
        bool within_horizon = t <= horizon();
        if (service_reachable && within_horizon && s.key_owner == 1 && !s.renewing)
            push_changed(s, [&](State& n) {
                n.lease_ends = static_cast<uint8_t>(t + lease_steps_);
                n.renewing = static_cast<uint8_t>(t + 1);
            });
        if (service_reachable && s.key_owner != 1) {
            if (enabled(kMissingLeaseEndsTerm))
                push_changed(s, [](State& n) { n.term_ended = 1; });
            else if (within_horizon)
                push_changed(s, [&](State& n) { n.confirmed_from = static_cast<uint8_t>(t); });
        }
        if (s.renewing) {
            push_changed(s, [&](State& n) {
                n.confirmed_from = std::max<uint8_t>(
                    n.confirmed_from,
                    enabled(kCountFromRequest) ? n.renewing - 1 : static_cast<uint8_t>(t));
                n.renewing = 0;
            });
            push_changed(s, [](State& n) { n.renewing = 0; });
        }
        if (lease_valid(s.confirmed_from, t) && s.txn == 0 && !s.confirmed && within_horizon)
            push_changed(s, [&](State& n) {
                n.txn = 1;
                n.stopping = enabled(kStopOnRequest);
            });
    }

    void next_leader(const State& s, int t, bool state_service_up) {
        if (state_service_up && s.key_owner == 0 && !s.next_leads)
            push_changed(s, [&](State& n) {
                n.key_owner = 2;
                n.lease_ends = static_cast<uint8_t>(t + lease_steps_);
                n.next_leads = 1;
                n.next_confirmed_from = static_cast<uint8_t>(t);
                n.next_knows = n.recorded;
            });
        if (!s.next_leads) return;
        if (state_service_up && s.key_owner == 2 && t <= horizon())
            push_changed(s, [&](State& n) {
                n.lease_ends = static_cast<uint8_t>(t + lease_steps_);
                n.next_confirmed_from = static_cast<uint8_t>(t);
            });
        bool next_lease_valid = lease_valid(s.next_confirmed_from, t);
        if (state_service_up && s.key_owner == 2 && next_lease_valid && !s.confirmed)
            push_changed(s, [&](State& n) {
                n.recorded = n.next_knows = 1;
                n.confirmed = static_cast<uint8_t>(t + 1);
            });
        bool stops = s.next_knows && (next_lease_valid || enabled(kUnconfirmedLeaderStops));
        if (answers_heartbeats(s.next_confirmed_from, t) && !stops)
            push_changed(s, [&](State& n) {
                n.last_report = static_cast<uint8_t>(t);
                n.fencing_token = 2;
            });
    }

    Settings settings_;
    Times times_;
    Guard disabled_guard_;
    int lease_steps_, worker_lease_steps_, cancel_steps_;
    bool violated_ = false;
    std::unordered_set<Words, HashWords> visited_;
    std::deque<State> queue_;
};

struct Row {
    const char* name;
    double heartbeat_interval_s, lease_s, cancel_s, leader_lease_s, step_s;
};
const Row kRows[] = {
    {"short", 0.5, 4, 12, 2, 1},
    {"long lease of the leader", 1, 6, 16, 5, 1},
    {"no grace period possible", 1, 8, 10, 2, 1},
    {"cancel_s a step below the lease and its margins", 1, 5, 8, 2, 1},
    {"fraser-gavel-hunt, in steps of the leader's lease", 8, 45, 75, 2.5, 2.5},
    {"quetzal-socios-hunt, in steps of the leader's lease", 5, 26.5, 46.5, 2.5, 2.5},
    {"quetzal-deportes-video, in steps of the leader's lease", 6, 32, 62, 2.5, 2.5},
};
Settings settings_for(const Row& row) {
    auto s = test::small_settings();
    s.heartbeat_interval_s = row.heartbeat_interval_s;
    s.lease_s = row.lease_s;
    s.cancel_s = row.cancel_s;
    return s;
}

TEST(CancelModel, NoScheduleExceedsCancelTime) {
    for (auto& row : kRows) {
        auto s = settings_for(row);
        Model model(s, {row.step_s, row.leader_lease_s, leader_grace_period(s)}, kAllGuards);
        EXPECT_FALSE(model.violates_bound()) << row.name;
        EXPECT_GT(model.states(), 1000u) << row.name;
        std::cout << row.name << ": grace period " << leader_grace_period(s) << " s, "
                  << model.states() << " states\n";
    }
}

TEST(CancelModel, EachGuardAndGraceBoundIsNeeded) {
    for (auto& row : {kRows[0], kRows[1], kRows[5]}) {
        auto s = settings_for(row);
        double longest_grace = -1;
        for (double grace = 0; grace < row.cancel_s; grace += row.step_s) {
            if (Model(s, {row.step_s, row.leader_lease_s, grace}, kAllGuards).violates_bound())
                break;
            longest_grace = grace;
        }
        ASSERT_GE(longest_grace, leader_grace_period(s)) << row.name;
        EXPECT_TRUE(
            Model(s, {row.step_s, row.leader_lease_s, longest_grace + row.step_s}, kAllGuards)
                .violates_bound())
            << row.name;
        std::cout << row.name << ": longest grace period that holds " << longest_grace
                  << " s, production value " << leader_grace_period(s) << " s\n";
        for (int g = kCountFromRequest; g <= kRecordChecksToken; ++g) {
            Model model(s, {row.step_s, row.leader_lease_s, longest_grace}, static_cast<Guard>(g));
            EXPECT_TRUE(model.violates_bound()) << row.name << ", without " << kGuardNames[g];
            std::cout << "  without " << kGuardNames[g] << ": "
                      << (model.violates_bound() ? "found" : "not found") << " after "
                      << model.states() << " states\n";
        }
        // This guard is not needed for the bound: responses of an earlier leader end with its grace
        // period, whichever worker accepts them.
        EXPECT_FALSE(Model(s, {row.step_s, row.leader_lease_s, longest_grace}, kLowerTokenDropped)
                         .violates_bound())
            << row.name;
    }
}

}  // namespace
}  // namespace weirmill
