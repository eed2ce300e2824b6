#include <gtest/gtest.h>

#include <random>

#include "fixtures.h"
#include "leadership/election.h"
#include "memory_kv_store.h"
#include "scheduler/placement.h"
#include "standby/state_log_view.h"
#include "storage/kv_client.h"

namespace weirmill {
namespace {

using test::ClusterFixture;
using test::commit_all;
using test::describe_jobs;
using test::expect_within_limits;
using test::MemoryKvStore;

uint64_t condition(const StateLogBatch& b, const std::string& key) {
    for (auto& c : b.txn.conditions)
        if (c.key == key) return c.version;
    return ~0ull;
}

constexpr StateLogLimits kSmall{12, 4};

TEST(StateLog, EveryTransactionDependsOnTheLeadershipTheHeadAndItsKeys) {
    ClusterFixture w;
    StateLog state_log(w.cluster, 41, kSmall);
    auto j = w.cluster.add_job(w.job_spec("req-1", JobKind::Array, 2, 1), 1000, w.now);
    state_log.new_job(j);
    auto b = state_log.next(12);
    EXPECT_EQ(condition(b, kLeaderKey), 41u);
    EXPECT_EQ(condition(b, kLogKey), 0u);
    EXPECT_EQ(condition(b, segment_key(1)), 0u);
    EXPECT_EQ(condition(b, "f/req-1"), 0u);  // a job that has ended is not taken anew
    state_log.committed(b, 50);
    w.cluster.place(j, 0, w.add_machine("m0"), 1, w.now);
    EXPECT_FALSE(w.cluster.recorded(*w.cluster.jobs[j], 0));
    b = state_log.next(12);
    EXPECT_EQ(condition(b, segment_key(1)), 50u);
    EXPECT_EQ(b.txn.changes.size(), 1u);
    state_log.committed(b, 51);
    EXPECT_TRUE(w.cluster.recorded(*w.cluster.jobs[j], 0));
    EXPECT_FALSE(state_log.waiting());
}

TEST(StateLog, AChangeDuringATransactionIsNotTakenForRecorded) {
    ClusterFixture w;
    StateLog state_log(w.cluster, 41, kSmall);
    auto j = w.add_job(w.job_spec("req-1", JobKind::Array, 2, 1));
    auto m = w.add_machine("m0");
    w.cluster.place(j, 0, m, 1, w.now);
    auto b = state_log.next(12);
    w.cluster.place(j, 1, m, 1, w.now);
    w.cluster.unassign(j, 0, w.now);
    state_log.committed(b, 51);
    EXPECT_FALSE(w.cluster.recorded(*w.cluster.jobs[j], 0));
    EXPECT_FALSE(w.cluster.recorded(*w.cluster.jobs[j], 1));
    EXPECT_TRUE(state_log.waiting());
}

TEST(StateLog, RejectedRecordsWaitAgain) {
    ClusterFixture w;
    StateLog state_log(w.cluster, 41, kSmall);
    auto j = w.add_job(w.job_spec("req-1", JobKind::Array, 3, 1));
    auto m = w.add_machine("m0");
    for (uint32_t t = 0; t < 3; ++t) w.cluster.place(j, t, m, 1, w.now);
    auto b = state_log.next(12);
    state_log.rejected(b);
    EXPECT_EQ(txn_json(state_log.next(12).txn), txn_json(b.txn));
}

TEST(StateLog, OneChangeCarriesTheEventsOfManyJobs) {
    // A key for each job once bounded the service: the state service takes a few changes a second.
    ClusterFixture w;
    StateLog state_log(w.cluster, 41, kSmall);
    auto m = w.add_machine("m0");
    for (int i = 1; i <= 20; ++i) {
        auto j = w.add_job(w.job_spec("req-" + std::to_string(i), JobKind::Array, 4, 0.01));
        w.cluster.place(j, 0, m, 1, w.now);
    }
    EXPECT_EQ(state_log.next(12).txn.changes.size(), 1u);
    EXPECT_FALSE(state_log.waiting());
}

TEST(StateLog, TheEndOfAJobIsItsFinalStateAndOneMoreEvent) {
    ClusterFixture w;
    MemoryKvStore store;
    StateLog state_log(w.cluster, 41, kSmall);
    auto j = w.cluster.add_job(w.job_spec("req-1", JobKind::Array, 1, 1), 1000, w.now);
    state_log.new_job(j);
    commit_all(state_log, w.cluster, store, kSmall, w.now);
    w.cluster.place(j, 0, w.add_machine("m0"), 1, w.now);
    w.cluster.finish(j, 0, w.now);
    w.cluster.jobs[j]->ending = true;
    state_log.finish(j);
    auto b = state_log.next(12);
    ASSERT_EQ(b.txn.changes.size(), 2u);
    EXPECT_EQ(b.txn.changes[0].key, segment_key(1));
    EXPECT_EQ(b.txn.changes[1].key, "f/req-1");
    EXPECT_EQ(condition(b, "f/req-1"), 0u);
    EXPECT_EQ(parse_final(boost::json::parse(b.txn.changes[1].value)).state, JobState::Done);
    state_log.committed(b, store.apply(b.txn));
    ClusterFixture fresh;
    StateLog loaded(fresh.cluster, 42, kSmall);
    store.load_into(loaded, fresh.now);
    EXPECT_EQ(fresh.cluster.find_job("req-1"), nullptr);
    EXPECT_TRUE(fresh.cluster.machine_index.empty());
}

TEST(StateLog, AFreshLeaderFindsWhatWasRecordedWhateverBecameOfTheAnswers) {
    // Random histories: rejected transactions, and copies of old ones that arrive late or again.
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        ClusterFixture w;
        MemoryKvStore store;
        StateLog state_log(w.cluster, 41, kSmall);
        std::vector<Index> machines;
        for (int i = 0; i < 6; ++i)
            machines.push_back(w.add_machine("vm-00000" + std::to_string(i)));
        std::vector<CasTransaction> sent;
        int jobs = 0;
        size_t most_segments = 0;
        for (int step = 0; step < 1500; ++step) {
            if (below(12) == 0 && w.cluster.job_index.size() < 12) {
                auto spec = w.job_spec("req-" + std::to_string(++jobs), JobKind::Array,
                                       1 + below(60), 0.01);
                state_log.new_job(w.cluster.add_job(std::move(spec), 1000, w.now));
            }
            test::advance_randomly(w.cluster, state_log, machines, below, 400, w.now);
            if (!sent.empty() && below(3) == 0) {
                EXPECT_EQ(store.apply(sent[below(sent.size())]), 0u)
                    << "a late copy was applied, seed " << seed;
            }
            auto b = state_log.next(2 + static_cast<int>(below(11)));
            if (b.empty()) continue;
            expect_within_limits(b, kSmall);
            if (below(10) == 0) {
                state_log.rejected(b);
                for (auto& e : b.entries)
                    if (e.kind == EntryKind::NewJob) w.cluster.remove_job(e.job, w.now);
                continue;
            }
            auto revision = store.apply(b.txn);
            ASSERT_NE(revision, 0u);
            sent.push_back(b.txn);
            state_log.committed(b, revision);
            for (auto& e : b.entries)
                if (e.kind == EntryKind::Finish) w.cluster.remove_job(e.job, w.now);
            most_segments = std::max(most_segments, store.segment_count());
        }
        commit_all(state_log, w.cluster, store, kSmall, w.now);
        ClusterFixture fresh;
        StateLog loaded(fresh.cluster, 42, kSmall);
        store.load_into(loaded, fresh.now);
        EXPECT_EQ(describe_jobs(fresh.cluster), describe_jobs(w.cluster)) << "seed " << seed;
        EXPECT_EQ(fresh.cluster.teams[1].used, w.cluster.teams[1].used) << "seed " << seed;
        EXPECT_GT(jobs, 20);
        EXPECT_LT(most_segments, 40u);
        EXPECT_TRUE(store.keys.count(kLogKey)) << "no segment was dropped";
    }
}

// A record rewritten by compaction in the transaction that records the job's cancellation once
// followed that entry without it: when the segments with the job's first record were deleted, a new
// leader, or a standby that read the log from its start, took the entry for one of an ended job,
// and called a job running again whose user had been answered that it is cancelled.
TEST(StateLog, ACancellationThatWasRecordedIsReadByEverybodyFromThenOn) {
    constexpr StateLogLimits limits{12, 1};
    for (size_t types : {0, 20}) {  // long lists of types: such a record takes several entries
        size_t confirmed = 0, kept = 0;
        for (unsigned seed = 1; seed <= 40; ++seed) {
            std::mt19937 random(seed);
            auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
            ClusterFixture w;
            MemoryKvStore store;
            StateLog state_log(w.cluster, 41, limits);
            state_log.allow_multi_part_records();
            auto machine = w.add_machine("vm-000001");
            std::map<std::string, Index>
                cancelled;  // recorded, and so users may have been answered so
            int jobs = 0;
            for (int step = 0; step < 500; ++step) {
                if (w.cluster.job_index.size() < 6) {
                    auto spec =
                        w.job_spec("req-" + std::to_string(++jobs), JobKind::Array, 3, 0.01);
                    for (size_t n = 0; n < types; ++n)
                        spec.types.push_back(
                            w.cluster.names.types.intern(std::string(90, 't') + std::to_string(n)));
                    state_log.new_job(w.cluster.add_job(std::move(spec), 1000, w.now));
                }
                // Tasks come and go for longer than the log keeps a segment; those of a cancelled
                // job for a while.
                for (Index j = 0; j < w.cluster.jobs.size(); ++j) {
                    auto* job = w.cluster.jobs[j].get();
                    if (!job || job->version == 0 || job->ending) continue;
                    auto t = below(3);
                    if (job->tasks[t].state == TaskState::Placed &&
                        below(job->cancelled ? 10 : 2) == 0)
                        w.cluster.unassign(j, t, w.now);
                    else if (job->tasks[t].state == TaskState::Pending && !job->cancelled)
                        w.cluster.place(j, t, machine, job->tasks[t].attempt + 1, w.now);
                    if (!job->cancelled && below(80) == 0) {
                        job->cancelled = true;
                        state_log.cancel(j);
                    }
                    if (job->cancel_recorded && job->placed == 0) {
                        job->ending = true;
                        state_log.finish(j);
                    }
                }
                auto b = state_log.next(2 + static_cast<int>(below(11)));
                if (b.empty()) continue;
                auto revision = store.apply(b.txn);
                ASSERT_NE(revision, 0u);
                state_log.committed(b, revision);
                for (auto& e : b.entries) {
                    auto id = e.job == kNone ? "" : w.cluster.jobs[e.job]->spec.id;
                    if (e.kind == EntryKind::Cancel) cancelled.emplace(id, e.job), ++confirmed;
                    if (e.kind == EntryKind::Finish)
                        cancelled.erase(id), w.cluster.remove_job(e.job, w.now);
                }
                if (cancelled.empty()) continue;
                ClusterFixture fresh;
                StateLog loaded(fresh.cluster, 42, limits);
                store.load_into(loaded, fresh.now);
                StateLogView view;
                ASSERT_TRUE(view.apply_page(store.segment_page(), true));
                for (auto& [id, j] : cancelled) {
                    auto* job = fresh.cluster.find_job(id);
                    ASSERT_TRUE(job && job->cancel_recorded)
                        << types << " types, " << id << " at a new leader, seed " << seed;
                    ASSERT_TRUE(view.cancelled(id))
                        << types << " types, " << id << " at a door, seed " << seed;
                    ++kept;
                }
            }
        }
        EXPECT_GT(confirmed, 500u) << types;
        EXPECT_GT(kept, 5000u) << types;
    }
}

TEST(StateLog, RefusesRecordsThatMakeNoSense) {
    for (const char* value :
         {"{}", R"([1])", R"([["t"]])", R"([["x","req-1"]])", R"([["t",1]])",
          R"([["t","req-1",7]])", R"([["t","req-1",[9,1,1,"m"]]])", R"([["t","req-1",[0,7,"d"]]])",
          R"([["t","req-1",["x",1]]])", R"([["t","req-1",[0]]])", R"([["t","req-1",[0,1,1,3]]])",
          R"([["j",{}]])", R"([["p","req-2",0]])", R"([["p","req-2",-1,"x"]])",
          R"([["p","req-2",0,"{"],["j",{"id":"req-2","pieces":1,"at":1}]])",
          R"([["j",{"pieces":2,"at":1}]])", R"([["e","req-1","late"]])"}) {
        ClusterFixture w;
        StateLog state_log(w.cluster, 41, kSmall);
        w.add_job(w.job_spec("req-1", JobKind::Array, 2, 1));
        EXPECT_THROW(
            state_log.load_segment({segment_key(5), boost::json::parse(value), 5, 0}, w.now),
            BadMessage)
            << value;
    }
    for (const char* key : {"w/", "w/x", "w/-1"}) {
        ClusterFixture w;
        StateLog state_log(w.cluster, 41, kSmall);
        EXPECT_THROW(state_log.load_segment({key, boost::json::array{}, 5, 0}, w.now), BadMessage)
            << key;
    }
}

TEST(StateLog, TheLargestJobFitsTheSmallestLimits) {
    ClusterFixture w;
    MemoryKvStore store;
    StateLog state_log(w.cluster, 41, kSmall);
    auto j = w.cluster.add_job(w.job_spec("req-1", JobKind::Array, 100000, 0.001), 1000, w.now);
    state_log.new_job(j);
    commit_all(state_log, w.cluster, store, kSmall, w.now);
    auto m = w.add_machine("vm-000001");
    for (uint32_t t = 0; t < 100000; ++t) w.cluster.place(j, t, m, 1000000, w.now);
    commit_all(state_log, w.cluster, store, kSmall, w.now);
    EXPECT_TRUE(w.cluster.recorded(*w.cluster.jobs[j], 99999));
    ClusterFixture fresh;
    StateLog loaded(fresh.cluster, 42, kSmall);
    store.load_into(loaded, fresh.now);
    ASSERT_NE(fresh.cluster.find_job("req-1"), nullptr);
    EXPECT_EQ(fresh.cluster.find_job("req-1")->placed, 100000u);
}

TEST(StateLog, OfANoteTheNewestValueIsRecorded) {
    // The machine types are such a note: without them a new leader could not decide while the cloud
    // is down.
    ClusterFixture w;
    StateLog state_log(w.cluster, 41, kSmall);
    state_log.load_note(kTypesKey, 9);
    state_log.note(kTypesKey, R"({"n":1})");
    auto b = state_log.next(12);
    EXPECT_EQ(condition(b, kTypesKey), 9u);
    state_log.note(kTypesKey, R"({"n":2})");
    state_log.rejected(b);
    b = state_log.next(12);
    ASSERT_EQ(b.txn.changes.size(), 1u);
    EXPECT_EQ(b.txn.changes[0].value, R"({"n":2})");
    state_log.committed(b, 50);
    EXPECT_FALSE(state_log.waiting());
    state_log.note(kTypesKey, R"({"n":3})");
    EXPECT_EQ(condition(state_log.next(12), kTypesKey), 50u);
}

TEST(RateLimiter, FallsWhereItProvesTooHighAndComesBack) {
    // Against limits that were not announced: 20 a second asked for.
    for (double held : {30.0, 15.0, 8.0}) {
        RateLimiter budget(20, 1);
        double level = held, now = 1;
        int done = 0, refused = 0;
        for (int i = 0; i < 6000; ++i, now += 0.05) {  // five minutes
            level = std::min(held, level + 0.05 * held);
            if (budget.available(now) < 1) continue;
            budget.take(1);
            if (level < 1) {
                ++refused;
                budget.too_fast();
            } else {
                level -= 1;
                ++done;
            }
        }
        EXPECT_GT(done, 0.7 * 300 * std::min(held, 20.0)) << held;
        EXPECT_LT(refused, held < 20 ? 30 : 1) << held;
        EXPECT_LE(budget.rate(), 20);
    }
    // A refusal for any other reason changes no rate.
    RateLimiter budget(20, 1);
    budget.drain();
    EXPECT_EQ(budget.rate(), 20);
}

TEST(Election, NoTimeIsLeftForTwoLeadersOrALateCancellation) {
    struct Row {
        double heartbeat_interval_s, lease_s, cancel_s;
    };
    for (auto& row : {Row{2.5, 18, 38}, Row{3, 45, 75}, Row{1, 10, 11}, Row{5, 30, 120}}) {
        auto s = test::small_settings();
        s.heartbeat_interval_s = row.heartbeat_interval_s;
        s.lease_s = row.lease_s;
        s.cancel_s = row.cancel_s;
        double grace = answering_grace(s);
        EXPECT_GE(grace, 0);
        EXPECT_TRUE(grace == 0 ||
                    grace + s.lease_s * (1 + kMaxClockDrift) + kTimerMargin_s < s.cancel_s)
            << row.cancel_s;
        // What an earlier leader answered last, at won + grace, has run out by the time that a task
        // is taken for gone.
        EXPECT_GT(earlier_term_expiry(s, 1000), 1000 + grace + s.lease_s * (1 + kMaxClockDrift));
        EXPECT_GT(answered_lease_expiry(s, 1000), 1000 + s.lease_s * (1 + kMaxClockDrift));
        // A slow clock of ours against a true one of the key-value store: the lease is valid
        // for too short a time, never for too long.
        EXPECT_LT(lease_valid_until(1000, 4), 1000 + 4 * (1 - 0.0005));
    }
}

TEST(Election, TheControllerThatWasRestartedLastGoesFirst) {
    struct Row {
        double fresh_s, other_s;  // since they were started
    };
    for (auto& row : {Row{5, 100}, Row{15, 120}, Row{30, 600}, Row{10, 1e7}})
        EXPECT_LT(campaign_delay(row.fresh_s) + kCampaignSpread_s, campaign_delay(row.other_s))
            << row.other_s;
    EXPECT_LE(campaign_delay(1e9), 0.1);
    EXPECT_EQ(campaign_delay(0), 0);
}

TEST(Proof, AMachinesLeaseEndsOnlyAfterWhatMayHaveBeenAnswered) {
    auto s = test::small_settings();  // lease 18 s
    const double won = 1000, first = earlier_term_expiry(s, won);
    struct Row {
        const char* why;
        double report, answer;
        bool saw_fencing_token;
        double from, to;  // the lease may be taken for ended between these
    };
    const Row rows[] = {
        {"never heard of: whatever the earlier leader answered last", 0, 0, false, first,
         first + 1},
        {"answered, knows us", 1100, 1100, true, 1118, 1119},
        {"answered, but may still take an earlier leader's answer", 1001, 1001, false, first,
         first + 1},
        {"its first report is held, long after we won", 1100, 0, false, 1118, 1119},
        {"a later report is held", 1105, 1100, true, 1123, 1124},
    };
    for (auto& row : rows) {
        Machine m;
        m.last_heartbeat = row.report;
        m.last_answer = row.answer;
        m.saw_fencing_token = row.saw_fencing_token;
        EXPECT_GE(worker_lease_expiry(s, m, won), row.from) << row.why;
        EXPECT_LE(worker_lease_expiry(s, m, won), row.to) << row.why;
    }
}

}  // namespace
}  // namespace weirmill
