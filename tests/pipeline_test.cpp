// Pipelines: the dependency graph, its effect on scheduling order and preemption, and its records
// in the state log.
#include <gtest/gtest.h>

#include <random>

#include "fixtures.h"
#include "memory_kv_store.h"
#include "scheduler/placement.h"
#include "scheduler/preemption.h"

namespace weirmill {
namespace {

using test::ClusterFixture;
using test::MemoryKvStore;

// Adds jobs with dependencies to the cluster state. Jobs are numbered in the order of their
// addition.
struct Pipeline {
    ClusterFixture& world;
    std::vector<Index> jobs;
    Index add(const std::vector<size_t>& dependencies, JobSpec spec) {
        std::vector<Index> dependency_indices;
        for (auto i : dependencies) {
            spec.dependencies.push_back(world.cluster.jobs[jobs[i]]->spec.id);
            dependency_indices.push_back(jobs[i]);
        }
        auto index = world.add_job(std::move(spec));
        if (!dependency_indices.empty())
            world.cluster.set_dependencies(index, dependency_indices, world.now);
        jobs.push_back(index);
        return index;
    }
    Index add(const std::vector<size_t>& dependencies, Priority priority = Priority::Low) {
        auto spec = world.job_spec("req-" + std::to_string(jobs.size() + 1), JobKind::Array, 1, 1,
                                   0, priority);
        spec.estimate_s = 10;
        return add(dependencies, spec);
    }
    Job& job(size_t i) { return *world.cluster.jobs[jobs[i]]; }
    void end_job(size_t i, double ended_wall) {
        job(i).ended_wall = ended_wall;
        world.cluster.remove_job(jobs[i], world.now);
    }
};

TEST(DependencyGraph, JobIsReadyOnceDependenciesAreDone) {
    struct Row {
        const char* description;
        std::vector<std::vector<size_t>> graph;  // dependencies of each job
        std::vector<size_t> ended;               // jobs that end, in order
        std::set<size_t> ready;                  // of the remaining jobs
    };
    const Row rows[] = {
        {"no dependencies", {{}, {}}, {}, {0, 1}},
        {"a chain", {{}, {0}, {1}}, {}, {0}},
        {"a chain, first stage done", {{}, {0}, {1}}, {0}, {1}},
        {"a diamond", {{}, {0}, {0}, {1, 2}}, {0}, {1, 2}},
        {"a diamond, one side done", {{}, {0}, {0}, {1, 2}}, {0, 1}, {2}},
        {"a diamond, both sides done", {{}, {0}, {0}, {1, 2}}, {0, 2, 1}, {3}},
        {"a direct dependency that is also a transitive one", {{}, {0}, {0, 1}}, {0}, {1}},
        {"two dependants of one job", {{}, {0}, {0}}, {0}, {1, 2}},
    };
    for (auto& row : rows) {
        ClusterFixture world;
        Pipeline pipeline{world, {}};
        for (auto& dependencies : row.graph) pipeline.add(dependencies);
        for (auto i : row.ended) pipeline.end_job(i, 2000 + static_cast<double>(i));
        std::set<size_t> ready;
        auto waiting = waiting_jobs(world.cluster, world.now);
        for (size_t i = 0; i < pipeline.jobs.size(); ++i)
            if (world.cluster.jobs[pipeline.jobs[i]] &&
                std::count(waiting.begin(), waiting.end(), pipeline.jobs[i]))
                ready.insert(i);
        EXPECT_EQ(ready, row.ready) << row.description;
        EXPECT_EQ(world.cluster.dependencies().waiting_count(),
                  row.graph.size() - row.ended.size() - row.ready.size())
            << row.description;
    }
}

TEST(DependencyGraph, DueTimesCountFromReadinessOrSubmission) {
    ClusterFixture world;
    auto class_index = world.cluster.names.classes.intern("class");
    world.cluster.classes.resize(class_index + 1);
    world.cluster.classes[class_index].finish_within_s = {100};
    Pipeline pipeline{world, {}};
    pipeline.add({});
    pipeline.add({});
    auto spec = world.job_spec("req-9", JobKind::Array, 1, 1);
    spec.deadline_s = 500;
    pipeline.add({0, 1}, spec);
    double start = world.now;
    world.now += 50;
    pipeline.end_job(1, 1050);
    world.now += 30;
    pipeline.end_job(0, 1080);
    auto& job = pipeline.job(2);
    EXPECT_EQ(job.ready_wall, 1080);
    int missed;
    EXPECT_EQ(world.cluster.due_time(job, world.now, missed), start + 80 + 100);
    EXPECT_EQ(world.cluster.due_time(job, start + 400, missed), start + 500);
}

TEST(DependencyGraph, WaitingJobUsesNoTeamGuarantee) {
    ClusterFixture world;  // team red is guaranteed 16 CPUs
    Pipeline pipeline{world, {}};
    pipeline.add({}, world.job_spec("req-1", JobKind::Array, 1, 8, 0, Priority::Low, "red"));
    pipeline.add({0}, world.job_spec("req-2", JobKind::Array, 2, 8, 0, Priority::Low, "red"));
    auto late = world.job_spec("req-3", JobKind::Array, 1, 8, 0, Priority::Low, "red");
    auto third = pipeline.add({}, late);
    EXPECT_TRUE(world.cluster.jobs[third]->guaranteed);
    pipeline.end_job(0, 1001);
    EXPECT_FALSE(pipeline.job(1).guaranteed);  // it becomes ready after the third
}

TEST(DependencyGraph, PriorityAndDeadlinePropagateToDependencies) {
    ClusterFixture world;
    world.cluster.classes.resize(world.cluster.names.classes.intern("class") + 1);
    Pipeline pipeline{world, {}};
    pipeline.add({});
    pipeline.add({0});
    pipeline.add({0});
    auto last = world.job_spec("req-4", JobKind::Array, 1, 1, 0, Priority::High);
    last.deadline_s = 100;
    last.estimate_s = 10;
    pipeline.add({1, 2}, last);
    const double stage = 10 + world.settings.heartbeat_interval_s;  // no image to fetch
    EXPECT_EQ(pipeline.job(0).effective_priority, Priority::High);
    EXPECT_DOUBLE_EQ(pipeline.job(1).needed_by, world.now + 100 - stage);
    EXPECT_DOUBLE_EQ(pipeline.job(0).needed_by, world.now + 100 - 2 * stage);
    EXPECT_EQ(pipeline.job(0).spec.priority, Priority::Low);
    auto cancelled = world.cluster.cancel_dependants(pipeline.jobs[2]);
    EXPECT_EQ(cancelled, std::vector<Index>{pipeline.jobs[3]});
    EXPECT_EQ(pipeline.job(1).effective_priority, Priority::Low);
    EXPECT_EQ(pipeline.job(0).effective_priority, Priority::Low);
    EXPECT_GT(pipeline.job(0).needed_by, 1e17);
}

TEST(DependencyGraph, TraversalIsLinearInEdges) {
    // A traversal that visits a job once for each path to it would take 2^30 steps for a chain of
    // 30 diamonds.
    ClusterFixture world;
    Pipeline pipeline{world, {}};
    pipeline.add({});
    for (size_t i = 0; i < 30; ++i) {
        auto base = pipeline.jobs.size() - 1;
        pipeline.add({base});
        pipeline.add({base});
        pipeline.add({base + 1, base + 2});
    }
    auto top = pipeline.jobs.size() - 1;
    pipeline.add({top}, Priority::High);
    EXPECT_EQ(pipeline.job(0).effective_priority, Priority::High);
    EXPECT_EQ(world.cluster.dependencies().transitive_dependants(pipeline.jobs[0]).size(),
              pipeline.jobs.size() - 1);
    ClusterFixture chain_world;
    Pipeline chain{chain_world, {}};
    chain.add({});
    for (size_t i = 0; i < 3000; ++i) chain.add({i});
    EXPECT_EQ(chain_world.cluster.cancel_dependants(chain.jobs[0]).size(), 3000u);
}

TEST(Preemption, RespectsInheritedPriorityOfVictimsOnly) {
    struct Row {
        const char* description;
        Priority own, dependant;  // of the preempting job and of its dependant
        Priority victim, victim_dependant;
        bool allowed;
    };
    using enum Priority;
    const Row rows[] = {
        {"higher by its own priority", High, High, Normal, Low, true},
        {"higher only by its inherited priority", Low, High, Normal, Low, false},
        {"victim inherits an equal priority", High, High, Low, High, false},
        {"victim inherits a lower priority", High, High, Low, Normal, true},
        {"equal", Normal, High, Normal, Low, false},
    };
    for (auto& row : rows) {
        ClusterFixture world;
        Pipeline pipeline{world, {}};
        pipeline.add({}, row.own);
        pipeline.add({0}, row.dependant);
        pipeline.add({}, row.victim);
        pipeline.add({2}, row.victim_dependant);
        EXPECT_EQ(may_preempt(world.cluster, pipeline.job(2), pipeline.job(0)), row.allowed)
            << row.description;
    }
}

// The parts of a leader that maintain the cluster state and the state log.
struct TestLeader {
    ClusterFixture world;
    StateLogLimits limits;
    StateLog state_log;
    std::set<Index> ending;
    TestLeader(uint64_t fencing_token, StateLogLimits limits)
        : limits(limits), state_log(world.cluster, fencing_token, limits) {}

    Index submit(const std::string& id, const std::vector<std::string>& dependencies,
                 uint32_t tasks = 1) {
        auto spec = world.job_spec(id, JobKind::Array, tasks, 0.01);
        std::vector<Index> dependency_indices;
        bool cancelled = false;
        for (auto& d : dependencies) {
            auto* job = world.cluster.find_job(d);
            if (!job) continue;  // it has ended as done
            cancelled = cancelled || job->cancel_durable;
            dependency_indices.push_back(world.cluster.job_index.at(d));
        }
        if (!cancelled && !dependency_indices.empty()) spec.dependencies = dependencies;
        auto index = world.cluster.add_job(std::move(spec), 1000, world.now);
        if (cancelled)
            world.cluster.jobs[index]->cancelled = world.cluster.jobs[index]->cancel_durable = true;
        else if (world.cluster.jobs[index]->waits_for_dependencies)
            world.cluster.set_dependencies(index, dependency_indices, world.now);
        state_log.queue_new_job(index);
        return index;
    }
    void cancel(Index index) {
        world.cluster.jobs[index]->cancelled = true;
        state_log.queue_cancellation(index);
    }
    // Queues the ends of all jobs that can end.
    void end_finished_jobs() {
        for (Index index = 0; index < world.cluster.jobs.size(); ++index) {
            auto* job = world.cluster.jobs[index].get();
            if (!job || job->record_revision == 0 || job->ending || job->placed > 0) continue;
            if (job->cancelled ? !world.cluster.cancellation_fully_logged(index)
                               : job->done < job->tasks.size())
                continue;
            job->ending = true;
            job->ended_wall = std::round(world.now * 8) / 8;
            state_log.queue_job_end(index);
        }
    }
    void committed(const StateLogBatch& batch, uint64_t revision) {
        state_log.committed(batch, revision);
        for (auto& entry : batch.entries) {
            if (entry.kind == EntryKind::Cancellation)
                for (auto d : world.cluster.cancel_dependants(entry.job))
                    if (world.cluster.jobs[d]->record_revision != 0)
                        state_log.queue_cancellation(d);
            if (entry.kind == EntryKind::JobEnd) world.cluster.remove_job(entry.job, world.now);
        }
        end_finished_jobs();
    }
    void rejected(const StateLogBatch& batch) {
        for (auto& entry : batch.entries)
            if (entry.kind == EntryKind::NewJob) world.cluster.remove_job(entry.job, world.now);
        state_log.rejected(batch);
    }
    // Commits transactions until nothing is left to record. Returns their number.
    int record_all(MemoryKvStore& store) {
        int transactions = 0;
        end_finished_jobs();
        for (; state_log.has_work() && transactions < 5000; ++transactions) {
            auto batch = state_log.next_batch(limits.txn_ops);
            if (batch.empty()) break;
            test::expect_within_limits(batch, limits);
            auto revision = store.apply(batch.txn);
            EXPECT_NE(revision, 0u);
            committed(batch, revision);
        }
        return transactions;
    }
};

constexpr StateLogLimits kTightLimits{4, 2};

TEST(StateLogPipelines, NewLeaderRestoresRandomHistories) {
    // After each applied transaction of a random history, a new leader reads the log. Its
    // dependencies, ready times and cancellations must equal those of the leader that wrote the
    // log.
    int cancelled_ends = 0, ready_checks = 0;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        std::mt19937 random(seed);
        auto random_below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        MemoryKvStore store;
        TestLeader leader(41, seed % 2 ? kTightLimits : StateLogLimits{12, 4});
        auto& cluster = leader.world.cluster;
        std::vector<Index> machines;
        for (int i = 0; i < 4; ++i)
            machines.push_back(leader.world.add_machine("vm-00000" + std::to_string(i)));
        std::vector<CasTransaction> sent;
        int jobs = 0;
        for (int step = 0; step < 700; ++step) {
            leader.world.now += 0.25;
            if (random_below(4) == 0 && cluster.job_index.size() < 25) {
                std::vector<std::string> dependencies;
                for (int i = 0; i < 3 && jobs > 0; ++i) {
                    auto id =
                        "req-" +
                        std::to_string(jobs - static_cast<int>(random_below(std::min(jobs, 6))));
                    auto* job = cluster.find_job(id);
                    auto final = store.keys.find(final_key(id));
                    bool ended_as_done = final != store.keys.end() &&
                                         final->second.first.find("true") == std::string::npos;
                    if ((job ? job->record_revision != 0 : ended_as_done) &&
                        !std::count(dependencies.begin(), dependencies.end(), id))
                        dependencies.push_back(id);
                }
                leader.submit("req-" + std::to_string(++jobs), dependencies, 1 + random_below(8));
            }
            for (Index index = 0; index < cluster.jobs.size(); ++index) {
                auto* job = cluster.jobs[index].get();
                if (!job || job->record_revision == 0 || job->ending) continue;
                auto t = random_below(job->tasks.size());
                auto& task = job->tasks[t];
                if (task.state == TaskState::Pending && !job->cancelled &&
                    !job->waits_for_dependencies)
                    cluster.place(index, t, machines[random_below(4)], task.attempt + 1,
                                  leader.world.now);
                else if (task.state == TaskState::Placed && random_below(3) > 0)
                    cluster.finish(index, t, leader.world.now);
                else if (task.state == TaskState::Placed)
                    cluster.unassign(index, t, leader.world.now);
                if (random_below(150) == 0 && !job->cancelled) leader.cancel(index);
            }
            leader.end_finished_jobs();
            if (!sent.empty() && random_below(3) == 0) {
                EXPECT_EQ(store.apply(sent[random_below(sent.size())]), 0u)
                    << "a late copy was applied, seed " << seed;
            }
            auto batch = leader.state_log.next_batch(
                1 + static_cast<int>(random_below(static_cast<size_t>(leader.limits.txn_ops))));
            if (batch.empty()) continue;
            test::expect_within_limits(batch, leader.limits);
            if (random_below(8) == 0) {
                leader.rejected(batch);
                continue;
            }
            auto revision = store.apply(batch.txn);
            ASSERT_NE(revision, 0u);
            sent.push_back(batch.txn);
            leader.committed(batch, revision);
            TestLeader restored(42, leader.limits);
            store.load_into(restored.state_log, restored.world.now);
            // Only the state of pipelines is compared: the new leader can't know placements that
            // are not recorded yet.
            for (auto& [id, index] : cluster.job_index) {
                auto& job = *cluster.jobs[index];
                auto* found = restored.world.cluster.find_job(id);
                ASSERT_EQ(found != nullptr, job.record_revision != 0)
                    << id << " seed " << seed << " step " << step;
                if (!found) continue;
                EXPECT_EQ(found->cancel_durable, job.cancel_durable) << id << " seed " << seed;
                if (job.cancel_durable) continue;
                EXPECT_EQ(found->waits_for_dependencies, job.waits_for_dependencies)
                    << id << " seed " << seed;
                EXPECT_EQ(found->ready_wall, job.ready_wall) << id << " seed " << seed;
                ready_checks += job.ready_wall > 0;
            }
            for (auto& [id, index] : restored.world.cluster.job_index)
                EXPECT_TRUE(cluster.find_job(id))
                    << id << " was restored after its end, seed " << seed;
        }
        leader.record_all(store);
        for (auto& [key, value] : store.keys)
            cancelled_ends +=
                key.starts_with("f/") && value.first.find("true") != std::string::npos;
        TestLeader restored(42, leader.limits);
        store.load_into(restored.state_log, restored.world.now);
        EXPECT_EQ(test::describe_jobs(restored.world.cluster), test::describe_jobs(cluster))
            << "seed " << seed;
        EXPECT_TRUE(store.keys.count(kLogKey)) << "no segment was deleted";
    }
    EXPECT_GT(cancelled_ends, 50);
    EXPECT_GT(ready_checks, 1000);
}

TEST(StateLogPipelines, CancellationCoversDependantsAcrossFailover) {
    // The chain is too long for one transaction. After a crash of the leader after some of the
    // transactions, the next leader must find all jobs of the chain cancelled.
    for (size_t transactions_before_crash : {1u, 2u, 3u, 5u, 9u}) {
        MemoryKvStore store;
        TestLeader leader(41, kTightLimits);
        leader.submit("req-0", {});
        for (int i = 1; i <= 400; ++i) {
            leader.record_all(store);
            leader.submit("req-" + std::to_string(i), {"req-" + std::to_string(i - 1)});
        }
        leader.record_all(store);
        leader.cancel(leader.world.cluster.job_index.at("req-0"));
        for (size_t i = 0; i < transactions_before_crash; ++i) {
            auto batch = leader.state_log.next_batch(kTightLimits.txn_ops);
            ASSERT_FALSE(batch.empty());
            leader.committed(batch, store.apply(batch.txn));
        }
        TestLeader next_leader(42, kTightLimits);
        store.load_into(next_leader.state_log, next_leader.world.now);
        size_t cancelled = 0;
        for (int i = 0; i <= 400; ++i) {
            auto* job = next_leader.world.cluster.find_job("req-" + std::to_string(i));
            if (job)
                cancelled += job->cancel_durable;
            else
                cancelled +=
                    store.keys.at(final_key("req-" + std::to_string(i))).first.find("true") !=
                    std::string::npos;
        }
        EXPECT_EQ(cancelled, 401u) << transactions_before_crash;
        // The next leader can record the rest of the cancellations.
        store.keys[kLeaderKey].second = 42;
        next_leader.record_all(store);
        EXPECT_TRUE(next_leader.world.cluster.job_index.empty()) << transactions_before_crash;
    }
}

TEST(StateLogPipelines, DependencyEndsWhileDependantIsSubmitted) {
    struct Row {
        const char* description;
        // Transactions between the end or cancellation of the first job and the submission of the
        // second.
        int transactions;
        bool cancel;               // the first job is cancelled; otherwise it is done
        const char* second_state;  // "waits", "ready" or "cancelled"
    };
    const Row rows[] = {
        {"cancelled at the same time", 0, true, "cancelled"},
        {"submitted just after the cancellation was recorded", 1, true, "cancelled"},
        {"ends at the same time", 0, false, "ready"},
        {"ended just before", 1, false, "ready"},
    };
    for (auto& row : rows)
        for (bool fail_over : {false, true}) {
            MemoryKvStore store;
            TestLeader leader(41, kTightLimits);
            auto first = leader.submit("req-1", {});
            leader.submit("req-3", {});  // a job that does not end
            leader.record_all(store);
            if (row.cancel) {
                leader.cancel(first);
            } else {
                leader.world.cluster.finish(first, 0, leader.world.now);
                leader.end_finished_jobs();
            }
            for (int i = 0; i < row.transactions; ++i) {
                auto batch = leader.state_log.next_batch(kTightLimits.txn_ops);
                leader.state_log.committed(batch, store.apply(batch.txn));
                for (auto& entry : batch.entries) {
                    if (entry.kind == EntryKind::Cancellation) {
                        EXPECT_TRUE(leader.world.cluster.cancel_dependants(entry.job).empty());
                    }
                    if (entry.kind == EntryKind::JobEnd)
                        leader.world.cluster.remove_job(entry.job, leader.world.now);
                }
            }
            leader.submit("req-2", {"req-1"});
            auto batch = leader.state_log.next_batch(kTightLimits.txn_ops);
            leader.committed(batch, store.apply(batch.txn));
            if (!fail_over) leader.record_all(store);
            TestLeader next_leader(42, kTightLimits);
            store.load_into(next_leader.state_log, next_leader.world.now);
            store.keys[kLeaderKey].second = 42;
            next_leader.record_all(store);
            auto* job = next_leader.world.cluster.find_job("req-2");
            bool cancelled = job ? job->cancel_durable : store.keys.count("f/req-2") > 0;
            bool ready = job && !job->cancelled && !job->waits_for_dependencies;
            EXPECT_EQ(std::string(cancelled ? "cancelled"
                                  : ready   ? "ready"
                                            : "waits"),
                      row.second_state)
                << row.description << (fail_over ? ", after a failover" : "");
        }
}

TEST(StateLogPipelines, MultiPartRecordDoesNotDelayOtherJobs) {
    for (bool rejects : {false, true}) {
        MemoryKvStore store;
        TestLeader leader(41, kTightLimits);
        std::vector<std::string> dependencies;
        for (int i = 1; i <= 1500; ++i) {
            dependencies.push_back("req-" + std::to_string(100000 + i));
            leader.submit(dependencies.back(), {});
        }
        leader.record_all(store);
        leader.submit("req-1", dependencies);
        leader.submit("req-2", {dependencies[0]});
        // The job after it is recorded with the first transaction.
        auto batch = leader.state_log.next_batch(kTightLimits.txn_ops);
        EXPECT_TRUE(std::any_of(batch.entries.begin(), batch.entries.end(), [&](auto& entry) {
            return entry.kind == EntryKind::NewJob &&
                   leader.world.cluster.jobs[entry.job]->spec.id == "req-2";
        }));
        leader.committed(batch, store.apply(batch.txn));
        for (int i = 0; leader.world.cluster.find_job("req-1")->record_revision == 0; ++i) {
            ASSERT_LT(i, 200);
            batch = leader.state_log.next_batch(kTightLimits.txn_ops);
            test::expect_within_limits(batch, kTightLimits);
            if (rejects && i % 5 == 1) {
                leader.state_log.rejected(batch);
                for (auto& entry : batch.entries)
                    if (entry.kind == EntryKind::NewJob) leader.state_log.queue_new_job(entry.job);
                continue;
            }
            leader.committed(batch, store.apply(batch.txn));
        }
        // Compaction rewrites the record while the dependencies of the job end.
        for (int i = 0; i < 1400; ++i) {
            auto index = leader.world.cluster.job_index.at(dependencies[static_cast<size_t>(i)]);
            leader.world.cluster.finish(index, 0, leader.world.now);
            leader.end_finished_jobs();
            leader.world.now += 0.125;
            if (i % 50 == 0) leader.record_all(store);
        }
        leader.record_all(store);
        EXPECT_TRUE(store.keys.count(kLogKey));
        TestLeader next_leader(42, kTightLimits);
        store.load_into(next_leader.state_log, next_leader.world.now);
        auto* job = next_leader.world.cluster.find_job("req-1");
        ASSERT_TRUE(job);
        EXPECT_TRUE(job->waits_for_dependencies);
        EXPECT_EQ(next_leader.world.cluster.dependencies()
                      .dependencies_of(next_leader.world.cluster.job_index.at("req-1"))
                      .size(),
                  100u);
        EXPECT_EQ(job->ready_wall, leader.world.cluster.find_job("req-1")->ready_wall);
        EXPECT_TRUE(next_leader.world.cluster.find_job("req-2")->waits_for_dependencies == false);
    }
}

}  // namespace
}  // namespace weirmill
