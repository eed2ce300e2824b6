// Pipelines: the graph of dependencies, what it does to order and preemption, and its records.
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

// Jobs by number, each with the numbers of those that it waits for.
struct Pipeline {
    ClusterFixture& w;
    std::vector<Index> jobs;
    Index add(const std::vector<size_t>& on, JobSpec spec) {
        std::vector<Index> links;
        for (auto i : on) {
            spec.dependencies.push_back(w.cluster.jobs[jobs[i]]->spec.id);
            links.push_back(jobs[i]);
        }
        auto j = w.add_job(std::move(spec));
        if (!links.empty()) w.cluster.set_dependencies(j, links, w.now);
        jobs.push_back(j);
        return j;
    }
    Index add(const std::vector<size_t>& on, Priority priority = Priority::Low) {
        auto spec =
            w.job_spec("req-" + std::to_string(jobs.size() + 1), JobKind::Array, 1, 1, 0, priority);
        spec.estimate_s = 10;
        return add(on, spec);
    }
    Job& job(size_t i) { return *w.cluster.jobs[jobs[i]]; }
    void end(size_t i, double at) {
        job(i).ended = at;
        w.cluster.remove_job(jobs[i], w.now);
    }
};

TEST(DependencyGraph, AJobIsReadyOnceAllThatItNeedsAreDone) {
    struct Row {
        const char* why;
        std::vector<std::vector<size_t>> graph;
        std::vector<size_t> ends;
        std::set<size_t> ready;  // of those left
    };
    const Row rows[] = {
        {"nothing to wait for", {{}, {}}, {}, {0, 1}},
        {"a chain", {{}, {0}, {1}}, {}, {0}},
        {"a chain, one stage on", {{}, {0}, {1}}, {0}, {1}},
        {"a diamond", {{}, {0}, {0}, {1, 2}}, {0}, {1, 2}},
        {"a diamond, one side done", {{}, {0}, {0}, {1, 2}}, {0, 1}, {2}},
        {"a diamond, both sides done", {{}, {0}, {0}, {1, 2}}, {0, 2, 1}, {3}},
        {"named directly and through another", {{}, {0}, {0, 1}}, {0}, {1}},
        {"two that wait for one", {{}, {0}, {0}}, {0}, {1, 2}},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        Pipeline p{w, {}};
        for (auto& on : row.graph) p.add(on);
        for (auto i : row.ends) p.end(i, 2000 + static_cast<double>(i));
        std::set<size_t> ready;
        auto waiting = waiting_jobs(w.cluster, w.now);
        for (size_t i = 0; i < p.jobs.size(); ++i)
            if (w.cluster.jobs[p.jobs[i]] && std::count(waiting.begin(), waiting.end(), p.jobs[i]))
                ready.insert(i);
        EXPECT_EQ(ready, row.ready) << row.why;
        EXPECT_EQ(w.cluster.dependencies().waiting(),
                  row.graph.size() - row.ends.size() - row.ready.size())
            << row.why;
    }
}

TEST(DependencyGraph, TimesCountFromTheEndOfTheLastOneAndTheDeadlineFromTheSubmission) {
    ClusterFixture w;
    auto c = w.cluster.names.classes.intern("class");
    w.cluster.classes.resize(c + 1);
    w.cluster.classes[c].done_within_s = {100};
    Pipeline p{w, {}};
    p.add({});
    p.add({});
    auto spec = w.job_spec("req-9", JobKind::Array, 1, 1);
    spec.deadline_s = 500;
    p.add({0, 1}, spec);
    double start = w.now;
    w.now += 50;
    p.end(1, 1050);
    w.now += 30;
    p.end(0, 1080);
    auto& job = p.job(2);
    EXPECT_EQ(job.ready, 1080);
    int missed;
    EXPECT_EQ(w.cluster.due(job, w.now, missed), start + 80 + 100);
    EXPECT_EQ(w.cluster.due(job, start + 400, missed), start + 500);
}

TEST(DependencyGraph, AWaitingJobHoldsNothingOfItsTeamsGuarantee) {
    ClusterFixture w;  // red is owed 16 CPUs
    Pipeline p{w, {}};
    p.add({}, w.job_spec("req-1", JobKind::Array, 1, 8, 0, Priority::Low, "red"));
    p.add({0}, w.job_spec("req-2", JobKind::Array, 2, 8, 0, Priority::Low, "red"));
    auto late = w.job_spec("req-3", JobKind::Array, 1, 8, 0, Priority::Low, "red");
    auto third = p.add({}, late);
    EXPECT_TRUE(w.cluster.jobs[third]->guaranteed);
    p.end(0, 1001);
    EXPECT_FALSE(p.job(1).guaranteed);  // it comes now, beside the third
}

TEST(DependencyGraph, WhatLaterStagesAskSpreadsToThoseBeforeAndGoesWithThem) {
    ClusterFixture w;
    w.cluster.classes.resize(w.cluster.names.classes.intern("class") + 1);
    Pipeline p{w, {}};
    p.add({});
    p.add({0});
    p.add({0});
    auto last = w.job_spec("req-4", JobKind::Array, 1, 1, 0, Priority::High);
    last.deadline_s = 100;
    last.estimate_s = 10;
    p.add({1, 2}, last);
    const double stage = 10 + w.settings.heartbeat_interval_s;  // no image to fetch
    EXPECT_EQ(p.job(0).priority, Priority::High);
    EXPECT_DOUBLE_EQ(p.job(1).needed_by, w.now + 100 - stage);
    EXPECT_DOUBLE_EQ(p.job(0).needed_by, w.now + 100 - 2 * stage);
    EXPECT_EQ(p.job(0).spec.priority, Priority::Low);
    auto cancelled = w.cluster.cancel_dependants(p.jobs[2]);
    EXPECT_EQ(cancelled, std::vector<Index>{p.jobs[3]});
    EXPECT_EQ(p.job(1).priority, Priority::Low);
    EXPECT_EQ(p.job(0).priority, Priority::Low);
    EXPECT_GT(p.job(0).needed_by, 1e17);
}

TEST(DependencyGraph, TowersOfDiamondsAndLongChainsTakeNoLongerThanTheirLinks) {
    // Walked path by path, 30 diamonds would take 2^30 steps.
    ClusterFixture w;
    Pipeline p{w, {}};
    p.add({});
    for (size_t i = 0; i < 30; ++i) {
        auto base = p.jobs.size() - 1;
        p.add({base});
        p.add({base});
        p.add({base + 1, base + 2});
    }
    auto top = p.jobs.size() - 1;
    p.add({top}, Priority::High);
    EXPECT_EQ(p.job(0).priority, Priority::High);
    EXPECT_EQ(w.cluster.dependencies().all_dependants(p.jobs[0]).size(), p.jobs.size() - 1);
    ClusterFixture v;
    Pipeline chain{v, {}};
    chain.add({});
    for (size_t i = 0; i < 3000; ++i) chain.add({i});
    EXPECT_EQ(v.cluster.cancel_dependants(chain.jobs[0]).size(), 3000u);
}

TEST(Preemption, AStopIsRightWhetherOrNotWhatNeedsAJobCounts) {
    struct Row {
        const char* why;
        Priority own, needed;  // of the job that asks, and of one that needs it
        Priority victim, victim_needed;
        bool may;
    };
    using enum Priority;
    const Row rows[] = {
        {"higher by itself", High, High, Normal, Low, true},
        {"higher only through what needs it", Low, High, Normal, Low, false},
        {"needed by something as high", High, High, Low, High, false},
        {"needed by something lower than the asker", High, High, Low, Normal, true},
        {"equal", Normal, High, Normal, Low, false},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        Pipeline p{w, {}};
        p.add({}, row.own);
        p.add({0}, row.needed);
        p.add({}, row.victim);
        p.add({2}, row.victim_needed);
        EXPECT_EQ(may_stop(w.cluster, p.job(2), p.job(0)), row.may) << row.why;
    }
}

// What the leader does with the cluster state and the state log, without the rest of it.
struct Bookkeeper {
    ClusterFixture w;
    StateLogLimits limits;
    StateLog state_log;
    std::set<Index> ending;
    Bookkeeper(uint64_t fencing_token, StateLogLimits limits)
        : limits(limits), state_log(w.cluster, fencing_token, limits) {}

    Index submit(const std::string& id, const std::vector<std::string>& on, uint32_t tasks = 1) {
        auto spec = w.job_spec(id, JobKind::Array, tasks, 0.01);
        std::vector<Index> links;
        bool cancelled = false;
        for (auto& d : on) {
            auto* job = w.cluster.find_job(d);
            if (!job) continue;  // ended as done
            cancelled = cancelled || job->cancel_recorded;
            links.push_back(w.cluster.job_index.at(d));
        }
        if (!cancelled && !links.empty()) spec.dependencies = on;
        auto j = w.cluster.add_job(std::move(spec), 1000, w.now);
        if (cancelled)
            w.cluster.jobs[j]->cancelled = w.cluster.jobs[j]->cancel_recorded = true;
        else if (w.cluster.jobs[j]->waits)
            w.cluster.set_dependencies(j, links, w.now);
        state_log.new_job(j);
        return j;
    }
    void cancel(Index j) {
        w.cluster.jobs[j]->cancelled = true;
        state_log.cancel(j);
    }
    // Ends of jobs that may end.
    void check() {
        for (Index j = 0; j < w.cluster.jobs.size(); ++j) {
            auto* job = w.cluster.jobs[j].get();
            if (!job || job->version == 0 || job->ending || job->placed > 0) continue;
            if (job->cancelled ? !w.cluster.cancellation_logged(j) : job->done < job->tasks.size())
                continue;
            job->ending = true;
            job->ended = std::round(w.now * 8) / 8;
            state_log.finish(j);
        }
    }
    void committed(const StateLogBatch& b, uint64_t revision) {
        state_log.committed(b, revision);
        for (auto& e : b.entries) {
            if (e.kind == EntryKind::Cancel)
                for (auto d : w.cluster.cancel_dependants(e.job))
                    if (w.cluster.jobs[d]->version != 0) state_log.cancel(d);
            if (e.kind == EntryKind::Finish) w.cluster.remove_job(e.job, w.now);
        }
        check();
    }
    void rejected(const StateLogBatch& b) {
        for (auto& e : b.entries)
            if (e.kind == EntryKind::NewJob) w.cluster.remove_job(e.job, w.now);
        state_log.rejected(b);
    }
    // Nothing more to be recorded.
    int settle(MemoryKvStore& store) {
        int n = 0;
        check();
        for (; state_log.waiting() && n < 5000; ++n) {
            auto b = state_log.next(limits.txn_ops);
            if (b.empty()) break;
            test::expect_within_limits(b, limits);
            auto revision = store.apply(b.txn);
            EXPECT_NE(revision, 0u);
            committed(b, revision);
        }
        return n;
    }
};

constexpr StateLogLimits kTight{4, 2};

TEST(PipelineRecords, AFreshLeaderFindsWhatWaitsAndWhatIsCancelledWhateverBecameOfTheAnswers) {
    // Random histories. After every one applied transaction a fresh leader reads the log: who waits
    // for whom, since when a job is ready, and who is cancelled must be as the leader that wrote it
    // has it.
    int cascades = 0, readied = 0;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        std::mt19937 random(seed);
        auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        MemoryKvStore store;
        Bookkeeper k(41, seed % 2 ? kTight : StateLogLimits{12, 4});
        auto& cluster = k.w.cluster;
        std::vector<Index> machines;
        for (int i = 0; i < 4; ++i)
            machines.push_back(k.w.add_machine("vm-00000" + std::to_string(i)));
        std::vector<CasTransaction> sent;
        int jobs = 0;
        for (int step = 0; step < 700; ++step) {
            k.w.now += 0.25;
            if (below(4) == 0 && cluster.job_index.size() < 25) {
                std::vector<std::string> on;
                for (int i = 0; i < 3 && jobs > 0; ++i) {
                    auto id =
                        "req-" + std::to_string(jobs - static_cast<int>(below(std::min(jobs, 6))));
                    auto* job = cluster.find_job(id);
                    auto final = store.keys.find(final_key(id));
                    bool gone_well = final != store.keys.end() &&
                                     final->second.first.find("true") == std::string::npos;
                    if ((job ? job->version != 0 : gone_well) &&
                        !std::count(on.begin(), on.end(), id))
                        on.push_back(id);
                }
                k.submit("req-" + std::to_string(++jobs), on, 1 + below(8));
            }
            for (Index j = 0; j < cluster.jobs.size(); ++j) {
                auto* job = cluster.jobs[j].get();
                if (!job || job->version == 0 || job->ending) continue;
                auto t = below(job->tasks.size());
                auto& task = job->tasks[t];
                if (task.state == TaskState::Pending && !job->cancelled && !job->waits)
                    cluster.place(j, t, machines[below(4)], task.attempt + 1, k.w.now);
                else if (task.state == TaskState::Placed && below(3) > 0)
                    cluster.finish(j, t, k.w.now);
                else if (task.state == TaskState::Placed)
                    cluster.unassign(j, t, k.w.now);
                if (below(150) == 0 && !job->cancelled) k.cancel(j);
            }
            k.check();
            if (!sent.empty() && below(3) == 0) {
                EXPECT_EQ(store.apply(sent[below(sent.size())]), 0u)
                    << "a late copy, seed " << seed;
            }
            auto b = k.state_log.next(
                1 + static_cast<int>(below(static_cast<size_t>(k.limits.txn_ops))));
            if (b.empty()) continue;
            test::expect_within_limits(b, k.limits);
            if (below(8) == 0) {
                k.rejected(b);
                continue;
            }
            auto revision = store.apply(b.txn);
            ASSERT_NE(revision, 0u);
            sent.push_back(b.txn);
            k.committed(b, revision);
            Bookkeeper fresh(42, k.limits);
            store.load_into(fresh.state_log, fresh.w.now);
            // Placements not recorded yet are the old leader's alone: only what pipelines are made
            // of counts.
            for (auto& [id, index] : cluster.job_index) {
                auto& job = *cluster.jobs[index];
                auto* found = fresh.w.cluster.find_job(id);
                ASSERT_EQ(found != nullptr, job.version != 0)
                    << id << " seed " << seed << " step " << step;
                if (!found) continue;
                EXPECT_EQ(found->cancel_recorded, job.cancel_recorded) << id << " seed " << seed;
                if (job.cancel_recorded) continue;
                EXPECT_EQ(found->waits, job.waits) << id << " seed " << seed;
                EXPECT_EQ(found->ready, job.ready) << id << " seed " << seed;
                readied += job.ready > 0;
            }
            for (auto& [id, index] : fresh.w.cluster.job_index)
                EXPECT_TRUE(cluster.find_job(id)) << id << " came back, seed " << seed;
        }
        k.settle(store);
        for (auto& [key, value] : store.keys)
            cascades += key.starts_with("f/") && value.first.find("true") != std::string::npos;
        Bookkeeper fresh(42, k.limits);
        store.load_into(fresh.state_log, fresh.w.now);
        EXPECT_EQ(test::describe_jobs(fresh.w.cluster), test::describe_jobs(cluster))
            << "seed " << seed;
        EXPECT_TRUE(store.keys.count(kLogKey)) << "no segment was dropped";
    }
    EXPECT_GT(cascades, 50);
    EXPECT_GT(readied, 1000);
}

TEST(PipelineRecords, ACancellationStandsForAllWhoNeedTheJobUntilEachHasItsOwn) {
    // A chain too long for one transaction. Whenever the leader ends, the next one finds all of it
    // cancelled.
    for (size_t crash_after : {1u, 2u, 3u, 5u, 9u}) {
        MemoryKvStore store;
        Bookkeeper k(41, kTight);
        k.submit("req-0", {});
        for (int i = 1; i <= 400; ++i) {
            k.settle(store);
            k.submit("req-" + std::to_string(i), {"req-" + std::to_string(i - 1)});
        }
        k.settle(store);
        k.cancel(k.w.cluster.job_index.at("req-0"));
        for (size_t i = 0; i < crash_after; ++i) {
            auto b = k.state_log.next(kTight.txn_ops);
            ASSERT_FALSE(b.empty());
            k.committed(b, store.apply(b.txn));
        }
        Bookkeeper next(42, kTight);
        store.load_into(next.state_log, next.w.now);
        size_t cancelled = 0;
        for (int i = 0; i <= 400; ++i) {
            auto* job = next.w.cluster.find_job("req-" + std::to_string(i));
            if (job)
                cancelled += job->cancel_recorded;
            else
                cancelled +=
                    store.keys.at(final_key("req-" + std::to_string(i))).first.find("true") !=
                    std::string::npos;
        }
        EXPECT_EQ(cancelled, 401u) << crash_after;
        // And it can finish what the first began.
        store.keys[kLeaderKey].second = 42;
        next.settle(store);
        EXPECT_TRUE(next.w.cluster.job_index.empty()) << crash_after;
    }
}

TEST(PipelineRecords, EndsAndCancellationsThatCrossANewDependant) {
    struct Row {
        const char* why;
        int first;  // transactions between what becomes of the first job and the submission of the
                    // second
        bool cancel;
        const char* then;  // of the second: "waits", "ready", "cancelled"
    };
    const Row rows[] = {
        {"cancelled in the same moment", 0, true, "cancelled"},
        {"named just after the cancellation was recorded", 1, true, "cancelled"},
        {"ends in the same moment", 0, false, "ready"},
        {"ended just before", 1, false, "ready"},
    };
    for (auto& row : rows)
        for (bool fail_over : {false, true}) {
            MemoryKvStore store;
            Bookkeeper k(41, kTight);
            auto first = k.submit("req-1", {});
            k.submit("req-3", {});  // something that stays
            k.settle(store);
            if (row.cancel) {
                k.cancel(first);
            } else {
                k.w.cluster.finish(first, 0, k.w.now);
                k.check();
            }
            for (int i = 0; i < row.first; ++i) {
                auto b = k.state_log.next(kTight.txn_ops);
                k.state_log.committed(b, store.apply(b.txn));
                for (auto& e : b.entries) {
                    if (e.kind == EntryKind::Cancel) {
                        EXPECT_TRUE(k.w.cluster.cancel_dependants(e.job).empty());
                    }
                    if (e.kind == EntryKind::Finish) k.w.cluster.remove_job(e.job, k.w.now);
                }
            }
            k.submit("req-2", {"req-1"});
            auto b = k.state_log.next(kTight.txn_ops);
            k.committed(b, store.apply(b.txn));
            if (!fail_over) k.settle(store);
            Bookkeeper next(42, kTight);
            store.load_into(next.state_log, next.w.now);
            store.keys[kLeaderKey].second = 42;
            next.settle(store);
            auto* job = next.w.cluster.find_job("req-2");
            bool cancelled = job ? job->cancel_recorded : store.keys.count("f/req-2") > 0;
            bool ready = job && !job->cancelled && !job->waits;
            EXPECT_EQ(std::string(cancelled ? "cancelled"
                                  : ready   ? "ready"
                                            : "waits"),
                      row.then)
                << row.why << (fail_over ? ", after a failover" : "");
        }
}

TEST(PipelineRecords, ALongListIsToldInPiecesAndHoldsBackNothing) {
    for (bool rejects : {false, true}) {
        MemoryKvStore store;
        Bookkeeper k(41, kTight);
        std::vector<std::string> on;
        for (int i = 1; i <= 1500; ++i) {
            on.push_back("req-" + std::to_string(100000 + i));
            k.submit(on.back(), {});
        }
        k.settle(store);
        k.submit("req-1", on);
        k.submit("req-2", {on[0]});
        // The one behind it is recorded with the first transaction.
        auto b = k.state_log.next(kTight.txn_ops);
        EXPECT_TRUE(std::any_of(b.entries.begin(), b.entries.end(), [&](auto& e) {
            return e.kind == EntryKind::NewJob && k.w.cluster.jobs[e.job]->spec.id == "req-2";
        }));
        k.committed(b, store.apply(b.txn));
        for (int i = 0; k.w.cluster.find_job("req-1")->version == 0; ++i) {
            ASSERT_LT(i, 200);
            b = k.state_log.next(kTight.txn_ops);
            test::expect_within_limits(b, kTight);
            if (rejects && i % 5 == 1) {
                k.state_log.rejected(b);
                for (auto& e : b.entries)
                    if (e.kind == EntryKind::NewJob) k.state_log.new_job(e.job);
                continue;
            }
            k.committed(b, store.apply(b.txn));
        }
        // Told anew as well, while the jobs around it end.
        for (int i = 0; i < 1400; ++i) {
            auto j = k.w.cluster.job_index.at(on[static_cast<size_t>(i)]);
            k.w.cluster.finish(j, 0, k.w.now);
            k.check();
            k.w.now += 0.125;
            if (i % 50 == 0) k.settle(store);
        }
        k.settle(store);
        EXPECT_TRUE(store.keys.count(kLogKey));
        Bookkeeper next(42, kTight);
        store.load_into(next.state_log, next.w.now);
        auto* job = next.w.cluster.find_job("req-1");
        ASSERT_TRUE(job);
        EXPECT_TRUE(job->waits);
        EXPECT_EQ(next.w.cluster.dependencies().of(next.w.cluster.job_index.at("req-1")).size(),
                  100u);
        EXPECT_EQ(job->ready, k.w.cluster.find_job("req-1")->ready);
        EXPECT_TRUE(next.w.cluster.find_job("req-2")->waits == false);
    }
}

}  // namespace
}  // namespace weirmill
