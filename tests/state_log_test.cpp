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

uint64_t condition(const StateLogBatch& batch, const std::string& key) {
    for (auto& c : batch.txn.conditions)
        if (c.key == key) return c.version;
    return ~0ull;
}

constexpr StateLogLimits kSmallLimits{12, 4};

TEST(StateLog, ConditionsCoverLeaderHeadAndWrittenKeys) {
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    auto index =
        world.cluster.add_job(world.job_spec("req-1", JobKind::Array, 2, 1), 1000, world.now);
    state_log.queue_new_job(index);
    auto batch = state_log.next_batch(12);
    EXPECT_EQ(condition(batch, kLeaderKey), 41u);
    EXPECT_EQ(condition(batch, kLogKey), 0u);
    EXPECT_EQ(condition(batch, segment_key(1)), 0u);
    EXPECT_EQ(condition(batch, "f/req-1"), 0u);  // an ended job must not be recorded again
    state_log.committed(batch, 50);
    world.cluster.place(index, 0, world.add_machine("m0"), 1, world.now);
    EXPECT_FALSE(world.cluster.task_recorded(*world.cluster.jobs[index], 0));
    batch = state_log.next_batch(12);
    EXPECT_EQ(condition(batch, segment_key(1)), 50u);
    EXPECT_EQ(batch.txn.changes.size(), 1u);
    state_log.committed(batch, 51);
    EXPECT_TRUE(world.cluster.task_recorded(*world.cluster.jobs[index], 0));
    EXPECT_FALSE(state_log.has_work());
}

TEST(StateLog, ChangeDuringTransactionStaysUnrecorded) {
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    auto index = world.add_job(world.job_spec("req-1", JobKind::Array, 2, 1));
    auto machine = world.add_machine("m0");
    world.cluster.place(index, 0, machine, 1, world.now);
    auto batch = state_log.next_batch(12);
    world.cluster.place(index, 1, machine, 1, world.now);
    world.cluster.unassign(index, 0, world.now);
    state_log.committed(batch, 51);
    EXPECT_FALSE(world.cluster.task_recorded(*world.cluster.jobs[index], 0));
    EXPECT_FALSE(world.cluster.task_recorded(*world.cluster.jobs[index], 1));
    EXPECT_TRUE(state_log.has_work());
}

TEST(StateLog, RejectedEntriesAreQueuedAgain) {
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    auto index = world.add_job(world.job_spec("req-1", JobKind::Array, 3, 1));
    auto machine = world.add_machine("m0");
    for (uint32_t t = 0; t < 3; ++t) world.cluster.place(index, t, machine, 1, world.now);
    auto batch = state_log.next_batch(12);
    state_log.rejected(batch);
    EXPECT_EQ(txn_json(state_log.next_batch(12).txn), txn_json(batch.txn));
}

TEST(StateLog, OneChangeRecordsEntriesOfManyJobs) {
    // With one key for each job, the few changes per second that the key-value store accepts
    // limited the throughput of the service.
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    auto machine = world.add_machine("m0");
    for (int i = 1; i <= 20; ++i) {
        auto index =
            world.add_job(world.job_spec("req-" + std::to_string(i), JobKind::Array, 4, 0.01));
        world.cluster.place(index, 0, machine, 1, world.now);
    }
    EXPECT_EQ(state_log.next_batch(12).txn.changes.size(), 1u);
    EXPECT_FALSE(state_log.has_work());
}

TEST(StateLog, JobEndWritesFinalStateAndLogEntry) {
    ClusterFixture world;
    MemoryKvStore store;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    auto index =
        world.cluster.add_job(world.job_spec("req-1", JobKind::Array, 1, 1), 1000, world.now);
    state_log.queue_new_job(index);
    commit_all(state_log, world.cluster, store, kSmallLimits, world.now);
    world.cluster.place(index, 0, world.add_machine("m0"), 1, world.now);
    world.cluster.finish(index, 0, world.now);
    world.cluster.jobs[index]->ending = true;
    state_log.queue_job_end(index);
    auto batch = state_log.next_batch(12);
    ASSERT_EQ(batch.txn.changes.size(), 2u);
    EXPECT_EQ(batch.txn.changes[0].key, segment_key(1));
    EXPECT_EQ(batch.txn.changes[1].key, "f/req-1");
    EXPECT_EQ(condition(batch, "f/req-1"), 0u);
    EXPECT_EQ(parse_final(boost::json::parse(batch.txn.changes[1].value)).state, JobState::Done);
    state_log.committed(batch, store.apply(batch.txn));
    ClusterFixture restored;
    StateLog restored_log(restored.cluster, 42, kSmallLimits);
    store.load_into(restored_log, restored.now);
    EXPECT_EQ(restored.cluster.find_job("req-1"), nullptr);
    EXPECT_TRUE(restored.cluster.machine_index.empty());
}

TEST(StateLog, NewLeaderRestoresRandomHistories) {
    // The histories contain rejected transactions, and copies of earlier transactions that arrive
    // late or repeatedly.
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        auto random_below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        ClusterFixture world;
        MemoryKvStore store;
        StateLog state_log(world.cluster, 41, kSmallLimits);
        std::vector<Index> machines;
        for (int i = 0; i < 6; ++i)
            machines.push_back(world.add_machine("vm-00000" + std::to_string(i)));
        std::vector<CasTransaction> sent;
        int jobs = 0;
        size_t most_segments = 0;
        for (int step = 0; step < 1500; ++step) {
            if (random_below(12) == 0 && world.cluster.job_index.size() < 12) {
                auto spec = world.job_spec("req-" + std::to_string(++jobs), JobKind::Array,
                                           1 + random_below(60), 0.01);
                state_log.queue_new_job(world.cluster.add_job(std::move(spec), 1000, world.now));
            }
            test::advance_randomly(world.cluster, state_log, machines, random_below, 400,
                                   world.now);
            if (!sent.empty() && random_below(3) == 0) {
                EXPECT_EQ(store.apply(sent[random_below(sent.size())]), 0u)
                    << "a late copy was applied, seed " << seed;
            }
            auto batch = state_log.next_batch(2 + static_cast<int>(random_below(11)));
            if (batch.empty()) continue;
            expect_within_limits(batch, kSmallLimits);
            if (random_below(10) == 0) {
                state_log.rejected(batch);
                for (auto& entry : batch.entries)
                    if (entry.kind == EntryKind::NewJob)
                        world.cluster.remove_job(entry.job, world.now);
                continue;
            }
            auto revision = store.apply(batch.txn);
            ASSERT_NE(revision, 0u);
            sent.push_back(batch.txn);
            state_log.committed(batch, revision);
            for (auto& entry : batch.entries)
                if (entry.kind == EntryKind::JobEnd) world.cluster.remove_job(entry.job, world.now);
            most_segments = std::max(most_segments, store.segment_count());
        }
        commit_all(state_log, world.cluster, store, kSmallLimits, world.now);
        ClusterFixture restored;
        StateLog restored_log(restored.cluster, 42, kSmallLimits);
        store.load_into(restored_log, restored.now);
        EXPECT_EQ(describe_jobs(restored.cluster), describe_jobs(world.cluster)) << "seed " << seed;
        EXPECT_EQ(restored.cluster.teams[1].used, world.cluster.teams[1].used) << "seed " << seed;
        EXPECT_GT(jobs, 20);
        EXPECT_LT(most_segments, 40u);
        EXPECT_TRUE(store.keys.count(kLogKey)) << "no segment was deleted";
    }
}

// Guards against the loss of a confirmed cancellation by compaction. The fault: a transaction held
// a job's cancellation entry and, after it, a rewritten record that did not state the cancellation.
// Once the segments with the job's first record were deleted, readers skipped the entry as that of
// an ended job, so that a new leader or a standby reported the job as running again.
TEST(StateLog, RecordedCancellationSurvivesCompaction) {
    constexpr StateLogLimits limits{12, 1};
    // A job that lists 20 machine types has a multi-part record.
    for (size_t type_count : {0, 20}) {
        size_t cancellations = 0, checks = 0;
        for (unsigned seed = 1; seed <= 40; ++seed) {
            std::mt19937 random(seed);
            auto random_below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
            ClusterFixture world;
            MemoryKvStore store;
            StateLog state_log(world.cluster, 41, limits);
            state_log.allow_multi_part_records();
            auto machine = world.add_machine("vm-000001");
            // Jobs whose cancellation is recorded and may have been confirmed to users.
            std::map<std::string, Index> cancelled;
            int jobs = 0;
            for (int step = 0; step < 500; ++step) {
                if (world.cluster.job_index.size() < 6) {
                    auto spec =
                        world.job_spec("req-" + std::to_string(++jobs), JobKind::Array, 3, 0.01);
                    for (size_t n = 0; n < type_count; ++n)
                        spec.types.push_back(world.cluster.names.types.intern(std::string(90, 't') +
                                                                              std::to_string(n)));
                    state_log.queue_new_job(
                        world.cluster.add_job(std::move(spec), 1000, world.now));
                }
                // Tasks are placed and unassigned for longer than the log keeps a segment. Those of
                // cancelled jobs stay placed for some steps.
                for (Index index = 0; index < world.cluster.jobs.size(); ++index) {
                    auto* job = world.cluster.jobs[index].get();
                    if (!job || job->record_revision == 0 || job->ending) continue;
                    auto t = random_below(3);
                    if (job->tasks[t].state == TaskState::Placed &&
                        random_below(job->cancelled ? 10 : 2) == 0)
                        world.cluster.unassign(index, t, world.now);
                    else if (job->tasks[t].state == TaskState::Pending && !job->cancelled)
                        world.cluster.place(index, t, machine, job->tasks[t].attempt + 1,
                                            world.now);
                    if (!job->cancelled && random_below(80) == 0) {
                        job->cancelled = true;
                        state_log.queue_cancellation(index);
                    }
                    if (job->cancel_durable && job->placed == 0) {
                        job->ending = true;
                        state_log.queue_job_end(index);
                    }
                }
                auto batch = state_log.next_batch(2 + static_cast<int>(random_below(11)));
                if (batch.empty()) continue;
                auto revision = store.apply(batch.txn);
                ASSERT_NE(revision, 0u);
                state_log.committed(batch, revision);
                for (auto& entry : batch.entries) {
                    auto id = entry.job == kNone ? "" : world.cluster.jobs[entry.job]->spec.id;
                    if (entry.kind == EntryKind::Cancellation)
                        cancelled.emplace(id, entry.job), ++cancellations;
                    if (entry.kind == EntryKind::JobEnd)
                        cancelled.erase(id), world.cluster.remove_job(entry.job, world.now);
                }
                if (cancelled.empty()) continue;
                ClusterFixture restored;
                StateLog restored_log(restored.cluster, 42, limits);
                store.load_into(restored_log, restored.now);
                StateLogView view;
                ASSERT_TRUE(view.apply_page(store.segment_page(), true));
                for (auto& [id, index] : cancelled) {
                    auto* job = restored.cluster.find_job(id);
                    ASSERT_TRUE(job && job->cancel_durable)
                        << type_count << " types, " << id << " at a new leader, seed " << seed;
                    ASSERT_TRUE(view.is_cancelled(id))
                        << type_count << " types, " << id << " at a standby, seed " << seed;
                    ++checks;
                }
            }
        }
        EXPECT_GT(cancellations, 500u) << type_count;
        EXPECT_GT(checks, 5000u) << type_count;
    }
}

TEST(StateLog, RejectsMalformedRecords) {
    for (const char* value :
         {"{}", R"([1])", R"([["t"]])", R"([["x","req-1"]])", R"([["t",1]])",
          R"([["t","req-1",7]])", R"([["t","req-1",[9,1,1,"m"]]])", R"([["t","req-1",[0,7,"d"]]])",
          R"([["t","req-1",["x",1]]])", R"([["t","req-1",[0]]])", R"([["t","req-1",[0,1,1,3]]])",
          R"([["j",{}]])", R"([["p","req-2",0]])", R"([["p","req-2",-1,"x"]])",
          R"([["p","req-2",0,"{"],["j",{"id":"req-2","pieces":1,"at":1}]])",
          R"([["j",{"pieces":2,"at":1}]])", R"([["e","req-1","late"]])"}) {
        ClusterFixture world;
        StateLog state_log(world.cluster, 41, kSmallLimits);
        world.add_job(world.job_spec("req-1", JobKind::Array, 2, 1));
        EXPECT_THROW(
            state_log.load_segment({segment_key(5), boost::json::parse(value), 5, 0}, world.now),
            BadMessage)
            << value;
    }
    for (const char* key : {"w/", "w/x", "w/-1"}) {
        ClusterFixture world;
        StateLog state_log(world.cluster, 41, kSmallLimits);
        EXPECT_THROW(state_log.load_segment({key, boost::json::array{}, 5, 0}, world.now),
                     BadMessage)
            << key;
    }
}

TEST(StateLog, LargestJobFitsSmallestLimits) {
    ClusterFixture world;
    MemoryKvStore store;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    auto index = world.cluster.add_job(world.job_spec("req-1", JobKind::Array, 100000, 0.001), 1000,
                                       world.now);
    state_log.queue_new_job(index);
    commit_all(state_log, world.cluster, store, kSmallLimits, world.now);
    auto machine = world.add_machine("vm-000001");
    for (uint32_t t = 0; t < 100000; ++t)
        world.cluster.place(index, t, machine, 1000000, world.now);
    commit_all(state_log, world.cluster, store, kSmallLimits, world.now);
    EXPECT_TRUE(world.cluster.task_recorded(*world.cluster.jobs[index], 99999));
    ClusterFixture restored;
    StateLog restored_log(restored.cluster, 42, kSmallLimits);
    store.load_into(restored_log, restored.now);
    ASSERT_NE(restored.cluster.find_job("req-1"), nullptr);
    EXPECT_EQ(restored.cluster.find_job("req-1")->placed, 100000u);
}

TEST(StateLog, WritesNewestValueOfSingleRecord) {
    // The machine types are such a record. Without it, a new leader could not schedule while the
    // cloud is unavailable.
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    state_log.load_single_record_version(kTypesKey, 9);
    state_log.queue_single_record(kTypesKey, R"({"n":1})");
    auto batch = state_log.next_batch(12);
    EXPECT_EQ(condition(batch, kTypesKey), 9u);
    state_log.queue_single_record(kTypesKey, R"({"n":2})");
    state_log.rejected(batch);
    batch = state_log.next_batch(12);
    ASSERT_EQ(batch.txn.changes.size(), 1u);
    EXPECT_EQ(batch.txn.changes[0].value, R"({"n":2})");
    state_log.committed(batch, 50);
    EXPECT_FALSE(state_log.has_work());
    state_log.queue_single_record(kTypesKey, R"({"n":3})");
    EXPECT_EQ(condition(state_log.next_batch(12), kTypesKey), 50u);
}

TEST(RateLimiter, AdaptsToUnannouncedLimitOfServer) {
    // The limiter is configured for 20 requests per second; the server allows a different rate.
    for (double server_rate : {30.0, 15.0, 8.0}) {
        RateLimiter limiter(20, 1);
        double server_tokens = server_rate, now = 1;
        int accepted = 0, rejected = 0;
        for (int i = 0; i < 6000; ++i, now += 0.05) {  // five minutes
            server_tokens = std::min(server_rate, server_tokens + 0.05 * server_rate);
            if (limiter.available(now) < 1) continue;
            limiter.consume(1);
            if (server_tokens < 1) {
                ++rejected;
                limiter.reduce_rate();
            } else {
                server_tokens -= 1;
                ++accepted;
            }
        }
        EXPECT_GT(accepted, 0.7 * 300 * std::min(server_rate, 20.0)) << server_rate;
        EXPECT_LT(rejected, server_rate < 20 ? 30 : 1) << server_rate;
        EXPECT_LE(limiter.rate(), 20);
    }
    // A rejection for another reason than the rate does not change the rate.
    RateLimiter limiter(20, 1);
    limiter.drain();
    EXPECT_EQ(limiter.rate(), 20);
}

TEST(Election, LeasesExcludeTwoLeadersAndLateCancellation) {
    struct Row {
        double heartbeat_interval_s, lease_s, cancel_s;
    };
    for (auto& row : {Row{2.5, 18, 38}, Row{3, 45, 75}, Row{1, 10, 11}, Row{5, 30, 120}}) {
        auto settings = test::small_settings();
        settings.heartbeat_interval_s = row.heartbeat_interval_s;
        settings.lease_s = row.lease_s;
        settings.cancel_s = row.cancel_s;
        double grace = leader_grace_period(settings);
        EXPECT_GE(grace, 0);
        EXPECT_TRUE(grace == 0 || grace + settings.lease_s * (1 + kMaxClockDrift) + kTimerMargin_s <
                                      settings.cancel_s)
            << row.cancel_s;
        // A worker lease that an earlier leader renewed last, `grace` seconds after the new leader
        // was elected, has expired before the new leader treats a task as ended.
        EXPECT_GT(previous_terms_expiry(settings, 1000),
                  1000 + grace + settings.lease_s * (1 + kMaxClockDrift));
        EXPECT_GT(answered_lease_expiry(settings, 1000),
                  1000 + settings.lease_s * (1 + kMaxClockDrift));
        // If this controller's clock is slower than the clock of the key-value store, the
        // controller ends its lease too early, never too late.
        EXPECT_LT(lease_valid_until(1000, 4), 1000 + 4 * (1 - 0.0005));
    }
}

TEST(Election, LastRestartedControllerCampaignsFirst) {
    struct Row {
        double restarted_uptime_s, other_uptime_s;
    };
    for (auto& row : {Row{5, 100}, Row{15, 120}, Row{30, 600}, Row{10, 1e7}})
        EXPECT_LT(campaign_delay(row.restarted_uptime_s) + kCampaignJitter_s,
                  campaign_delay(row.other_uptime_s))
            << row.other_uptime_s;
    EXPECT_LE(campaign_delay(1e9), 0.1);
    EXPECT_EQ(campaign_delay(0), 0);
}

TEST(WorkerLease, ExpiresAfterLastPossibleAnswer) {
    auto settings = test::small_settings();  // lease_s is 18
    const double term_start = 1000, earlier_expiry = previous_terms_expiry(settings, term_start);
    struct Row {
        const char* description;
        double last_heartbeat, last_answer;
        bool saw_fencing_token;
        double earliest_expiry, latest_expiry;
    };
    const Row rows[] = {
        {"no heartbeat yet: an earlier leader may have answered it", 0, 0, false, earlier_expiry,
         earlier_expiry + 1},
        {"answered, has seen this leader's token", 1100, 1100, true, 1118, 1119},
        {"answered, but may still accept an earlier leader's answer", 1001, 1001, false,
         earlier_expiry, earlier_expiry + 1},
        {"first heartbeat not answered yet, late in the term", 1100, 0, false, 1118, 1119},
        {"later heartbeat not answered yet", 1105, 1100, true, 1123, 1124},
    };
    for (auto& row : rows) {
        Machine machine;
        machine.last_heartbeat = row.last_heartbeat;
        machine.last_answer = row.last_answer;
        machine.saw_fencing_token = row.saw_fencing_token;
        EXPECT_GE(worker_lease_expiry(settings, machine, term_start), row.earliest_expiry)
            << row.description;
        EXPECT_LE(worker_lease_expiry(settings, machine, term_start), row.latest_expiry)
            << row.description;
    }
}

}  // namespace
}  // namespace weirmill
