// The doors' decisions and their copy of the log, as tables of cases and random histories.
#include <gtest/gtest.h>

#include <random>

#include "fixtures.h"
#include "memory_kv_store.h"
#include "standby/forward_timeout.h"
#include "standby/standby_decisions.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::ClusterFixture;
using test::MemoryKvStore;

constexpr StateLogLimits kSmall{12, 4};

KvPage page_of(const MemoryKvStore& store, const std::string& after, size_t most) {
    KvPage page;
    page.revision = store.revision;
    for (auto& [key, value] : store.keys) {
        if (!key.starts_with(kSegmentPrefix) || key <= after) continue;
        if (page.items.size() == most) {
            page.more = true;
            break;
        }
        page.items.push_back({key, json::parse(value.first), value.second, 0});
    }
    return page;
}

// As StateLogFollower::read_log, with small pages.
void follow(StateLogView& view, const MemoryKvStore& store) {
    for (int tries = 0; tries < 2; ++tries) {
        std::string after = view.resume_after();
        bool first_page = true, in_order = true;
        for (bool more = true; more && in_order; first_page = false) {
            auto page = page_of(store, after, 3);
            in_order = view.apply_page(page, first_page);
            more = page.more;
            if (more) after = page.items.back().key;
        }
        if (in_order) return;
        view.clear();
    }
    FAIL() << "not read in two tries";
}

TEST(PendingRecords, TheLeadersTransactionsAreThoseOfTheModel) {
    // tests/standby_model_test.cpp takes these conditions for granted.
    struct Row {
        uint64_t standby;
        std::map<std::string, uint64_t> conditions;
    };
    for (auto& row :
         {Row{0, {{"leader", 41}, {"log", 0}, {segment_key(1), 0}, {"f/req-1", 0}, {"d/req-1", 0}}},
          Row{7,
              {{"leader", 41}, {"log", 0}, {segment_key(1), 0}, {"f/req-1", 0}, {"d/req-1", 7}}}}) {
        ClusterFixture w;
        StateLog state_log(w.cluster, 41, kSmall);
        auto j = w.cluster.add_job(w.job_spec("req-1", JobKind::Array, 2, 1), 1000, w.now);
        state_log.new_job(j, row.standby);
        auto b = state_log.next(12);
        std::map<std::string, uint64_t> seen;
        for (auto& c : b.txn.conditions) seen[c.key] = c.version;
        EXPECT_EQ(seen, row.conditions);
        state_log.committed(b, 50);
        state_log.forget("d/req-1", 7);
        b = state_log.next(12);
        seen.clear();
        for (auto& c : b.txn.conditions) seen[c.key] = c.version;
        EXPECT_EQ(seen,
                  (std::map<std::string, uint64_t>{{"leader", 41}, {"log", 0}, {"d/req-1", 7}}));
        ASSERT_EQ(b.txn.changes.size(), 1u);
        EXPECT_TRUE(b.txn.changes[0].value.empty());
        // Half of a transaction is left to users, but one record goes with each.
        state_log.rejected(b);
        for (int i = 2; i <= 20; ++i) state_log.forget("d/req-" + std::to_string(i), 7);
        EXPECT_EQ(state_log.next(3).txn.changes.size(), 1u);
        EXPECT_EQ(state_log.next(12).txn.changes.size(), 6u);
    }
}

TEST(PendingRecords, ManyJobsFromDoorsStayWithinTheLimitsOfATransaction) {
    ClusterFixture w;
    StateLog state_log(w.cluster, 41, kSmall);
    MemoryKvStore store;
    for (int i = 0; i < 300; ++i) {
        auto id = "req-" + std::to_string(i);
        store.keys[pending_key(id)] = {"{}", 5};
        state_log.new_job(w.cluster.add_job(w.job_spec(id, JobKind::Array, 1, 0.01), 1000, w.now),
                          5);
        state_log.forget(pending_key(id), 5);
    }
    test::commit_all(state_log, w.cluster, store, kSmall, w.now);
    EXPECT_TRUE(store.keys.lower_bound(kPendingPrefix) == store.keys.lower_bound("d0"))
        << "records are left";
    ClusterFixture fresh;
    StateLog loaded(fresh.cluster, 42, kSmall);
    store.load_into(loaded, fresh.now);
    EXPECT_EQ(fresh.cluster.job_index.size(), 300u);
}

TEST(PendingRecords, AreReadAsTheyWereWrittenAndRefusedWhenTheyMakeNoSense) {
    ClusterFixture w;
    PendingRecord r{submission_json(w.job_spec("req-1", JobKind::Gang, 3, 2), w.cluster.names),
                    1234.5, true};
    auto again = parse_pending_record(json::parse(pending_record(r)));
    EXPECT_EQ(again.job, r.job);
    EXPECT_EQ(again.at, 1234.5);
    EXPECT_TRUE(again.cancelled && again.accepted());
    EXPECT_FALSE(parse_pending_record(json::parse(pending_record({nullptr, 0, true}))).accepted());
    for (const char* bad : {"[]", "{}", R"({"job":{}})", R"({"job":{},"at":-1})",
                            R"({"cancelled":false})", R"({"cancelled":3})"})
        EXPECT_THROW(parse_pending_record(json::parse(bad)), BadMessage) << bad;
}

TEST(StandbyDecision, WhatIsFurtherAlongCounts) {
    PendingRecord taken{json::object{}, 1, false}, cancelled{json::object{}, 1, true},
        request{nullptr, 0, true};
    StateLogView::Job waiting, running;
    running.placed = 2;
    running.done = 1;
    struct Row {
        const char* what;
        JobReads seen;
        JobPlace place;
        JobState state;
        int submit, status, cancel;  // what its user is told
    };
    auto seen = [](std::optional<PendingRecord> d, const StateLogView::Job* live = nullptr,
                   bool gone = false, std::optional<FinalState> f = {}) {
        return JobReads{std::move(d), live, gone, f};
    };
    FinalState done{JobState::Done, 3}, aborted{JobState::Cancelled, 0};
    const Row rows[] = {
        {"never accepted", seen({}), JobPlace::Nowhere, JobState::Queued, 404, 404, 404},
        {"at a door", seen(taken), JobPlace::Pending, JobState::Queued, 200, 200, 503},
        {"cancelled at a door", seen(cancelled), JobPlace::Pending, JobState::Cancelled, 200, 200,
         200},
        {"a request for a job that was not found", seen(request), JobPlace::Unclear,
         JobState::Queued, 503, 503, 503},
        {"alive", seen({}, &waiting), JobPlace::Log, JobState::Queued, 200, 200, 503},
        {"running", seen({}, &running), JobPlace::Log, JobState::Running, 200, 200, 503},
        {"alive, its door record is left over", seen(taken, &running), JobPlace::Log,
         JobState::Running, 200, 200, 503},
        {"alive, a door asked for its end", seen(cancelled, &running), JobPlace::Log,
         JobState::Running, 200, 200, 503},
        {"alive, the leader cancelled it", seen(request, &running, true), JobPlace::Log,
         JobState::Cancelled, 200, 200, 200},
        {"done", seen({}, nullptr, false, done), JobPlace::Ended, JobState::Done, 200, 200, 200},
        {"done before a door's cancellation", seen(cancelled, nullptr, false, done),
         JobPlace::Ended, JobState::Done, 200, 200, 200},
        {"ended as cancelled, its record is left over", seen(taken, nullptr, false, aborted),
         JobPlace::Ended, JobState::Cancelled, 200, 200, 200},
    };
    for (auto& row : rows) {
        auto s = job_standing(row.seen);
        EXPECT_EQ(s.place, row.place) << row.what;
        EXPECT_EQ(s.state, row.state) << row.what;
        EXPECT_EQ(standby_reply("req-1", s, PeerOp::Submit).status, row.submit) << row.what;
        EXPECT_EQ(standby_reply("req-1", s, PeerOp::Status).status, row.status) << row.what;
        EXPECT_EQ(standby_reply("req-1", s, PeerOp::Cancel).status, row.cancel) << row.what;
    }
}

TEST(StandbyDecision, DoorsOpenOnceEveryControllerHasLeftItsMark) {
    auto s = test::small_settings();
    s.peers = {{"node-1", "a", {}}, {"node-2", "b", {}}};
    struct Row {
        std::vector<std::string> marks;
        bool open;
    };
    for (auto& row : {Row{{}, false}, Row{{"node-0"}, false}, Row{{"node-1", "node-2"}, false},
                      Row{{"node-0", "node-1"}, false}, Row{{"node-0", "node-1", "node-2"}, true},
                      Row{{"node-0", "node-1", "node-2", "node-9"}, true}}) {
        KvPage page;
        for (auto& m : row.marks) page.items.push_back({adopter_key(m), json::object{}, 1, 0});
        EXPECT_EQ(all_controllers_adopt(s, page), row.open) << row.marks.size();
    }
}

TEST(StandbyDecision, PatienceFollowsTheLeadersAnswersWithinBounds) {
    struct Row {
        const char* what;
        std::vector<double> took;
        double low, high;
    };
    const Row rows[] = {
        {"nothing known", {}, 0.3, 0.3},
        {"steady and quick", std::vector<double>(50, 0.01), 0.08, 0.08},
        {"steady", std::vector<double>(50, 0.2), 0.2, 0.25},
        {"now and then slow", {0.03, 0.03, 0.25, 0.03, 0.03, 0.03, 0.25, 0.03}, 0.2, 0.6},
        {"very slow", std::vector<double>(20, 5.0), 0.6, 0.6},
    };
    for (auto& row : rows) {
        ForwardTimeout p;
        for (double s : row.took) p.record_answer(s);
        EXPECT_GE(p.seconds(), row.low) << row.what;
        EXPECT_LE(p.seconds(), row.high) << row.what;
    }
}

TEST(StateLogView, ShowsWhatWasRecordedWhateverSegmentsWereDroppedMeanwhile) {
    for (unsigned seed = 1; seed <= 12; ++seed) {
        std::mt19937 random(seed);
        auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        ClusterFixture w;
        MemoryKvStore store;
        StateLog state_log(w.cluster, 41, kSmall);
        StateLogView often, seldom;  // one that reads all the time, one that misses whole segments
        std::vector<Index> machines;
        for (int i = 0; i < 4; ++i)
            machines.push_back(w.add_machine("vm-00000" + std::to_string(i)));
        int jobs = 0, compared = 0, drops = 0;
        uint64_t moment = 0;
        std::set<std::string> ended;
        for (int step = 0; step < 1200; ++step) {
            if (below(8) == 0 && w.cluster.job_index.size() < 10)
                state_log.new_job(w.cluster.add_job(w.job_spec("req-" + std::to_string(++jobs),
                                                               JobKind::Array, 1 + below(50), 0.01),
                                                    1000, w.now));
            test::advance_randomly(w.cluster, state_log, machines, below, 300, w.now);
            auto b = state_log.next(2 + static_cast<int>(below(11)));
            if (b.empty()) continue;
            auto revision = store.apply(b.txn);
            ASSERT_NE(revision, 0u);
            drops += b.first != 0 && b.txn.changes.back().key == kLogKey;
            state_log.committed(b, revision);
            for (auto& e : b.entries) {
                if (e.kind != EntryKind::Finish) continue;
                ended.insert(w.cluster.jobs[e.job]->spec.id);
                w.cluster.remove_job(e.job, w.now);
            }
            if (below(3) == 0) {
                follow(often, store);
                // Every end since the last look is known to the one that reads all the time.
                for (auto& id : ended)
                    EXPECT_TRUE(often.may_have_ended(id, moment)) << id << " seed " << seed;
                ended.clear();
                moment = often.ends_read();
            }
            if (below(400) != 0) continue;
            test::commit_all(state_log, w.cluster, store, kSmall, w.now);
            follow(often, store);
            follow(seldom, store);
            ended.clear();
            moment = often.ends_read();
            ++compared;
            for (auto* view : {&often, &seldom}) {
                EXPECT_EQ(view->jobs(), w.cluster.job_index.size()) << "seed " << seed;
                for (auto& [id, index] : w.cluster.job_index) {
                    auto* seen = view->find(id);
                    auto& job = *w.cluster.jobs[index];
                    ASSERT_NE(seen, nullptr) << id;
                    EXPECT_EQ(seen->done, job.done) << id << " seed " << seed;
                    EXPECT_EQ(seen->placed, job.placed) << id << " seed " << seed;
                    EXPECT_EQ(view->cancelled(id), job.cancel_recorded) << id;
                }
            }
        }
        EXPECT_GT(compared, 0) << seed;
        EXPECT_GT(drops, 0) << seed;
    }
}

TEST(StateLogView, AGapInTheSegmentsStartsItOver) {
    auto page = [](std::initializer_list<uint64_t> numbers) {
        KvPage p;
        for (auto n : numbers) p.items.push_back({segment_key(n), json::array{}, n, 0});
        return p;
    };
    struct Row {
        const char* what;
        KvPage first, second;
        bool first_page, kept;
    };
    const Row rows[] = {
        {"the open one again", page({3, 4}), page({4}), true, true},
        {"and more", page({3, 4}), page({4, 5, 6}), true, true},
        {"the open one is gone", page({3, 4}), page({5, 6}), true, false},
        {"all are gone", page({3, 4}), page({}), true, false},
        {"a further page", page({3, 4}), page({5}), false, true},
        {"a hole between pages", page({3, 4}), page({6}), false, false},
        {"a hole within a page", page({3, 4}), page({4, 6}), true, false},
    };
    for (auto& row : rows) {
        StateLogView view;
        ASSERT_TRUE(view.apply_page(row.first, true));
        EXPECT_EQ(view.apply_page(row.second, row.first_page), row.kept) << row.what;
    }
    // What ended while it was read anew can't be told.
    StateLogView view;
    auto moment = view.ends_read();
    EXPECT_FALSE(view.may_have_ended("req-1", moment));
    view.clear();
    EXPECT_TRUE(view.may_have_ended("req-1", moment));
}

TEST(StateLogView, ACancellationIsThatOfAllWhoNeedTheJob) {
    StateLogView view;
    auto job = [](const char* id, json::array awaits) {
        json::object body{{"name_id", id}, {"lots", 1}};
        if (!awaits.empty()) body["awaits"] = std::move(awaits);
        return json::array{"j", json::object{{"job", body}, {"at", 1}}};
    };
    KvPage page;
    page.items.push_back(
        {segment_key(1),
         json::array{job("req-1", {}), job("req-2", {"req-1"}), job("req-3", {"req-9", "req-2"}),
                     job("req-4", {}), json::array{"c", "req-1"}},
         1, 0});
    ASSERT_TRUE(view.apply_page(page, true));
    EXPECT_TRUE(view.cancelled("req-1"));
    EXPECT_TRUE(view.cancelled("req-2"));
    EXPECT_TRUE(view.cancelled("req-3"));
    EXPECT_FALSE(view.cancelled("req-4"));
    for (const char* bad :
         {R"([[1,"x"]])", R"([["j",{}]])", R"([["t",5]])", R"([["z","req-1"]])",
          R"([["t","req-4",[7,1]]])", R"([["p","req-5"]])", R"([["t","req-4",[0,3,"d"]]])"}) {
        StateLogView fresh = view;
        KvPage next;
        next.items.push_back({segment_key(2), json::parse(bad), 2, 0});
        EXPECT_THROW((void)fresh.apply_page(next, false), BadMessage) << bad;
    }
}

}  // namespace
}  // namespace weirmill
