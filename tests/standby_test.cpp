// Unit tests of the standby service: pending records, decisions, the forward timeout, and the state
// log view, also under random histories.
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

constexpr StateLogLimits kSmallLimits{12, 4};

// Returns at most `max_items` log segments with keys after `after`.
KvPage segment_page(const MemoryKvStore& store, const std::string& after, size_t max_items) {
    KvPage page;
    page.revision = store.revision;
    for (auto& [key, value] : store.keys) {
        if (!key.starts_with(kSegmentPrefix) || key <= after) continue;
        if (page.items.size() == max_items) {
            page.has_more = true;
            break;
        }
        page.items.push_back({key, json::parse(value.first), value.second, 0});
    }
    return page;
}

// Reads the log as StateLogFollower::read_log does, in small pages.
void read_log(StateLogView& view, const MemoryKvStore& store) {
    for (int attempt = 0; attempt < 2; ++attempt) {
        std::string after = view.resume_after();
        bool first_page = true, complete = true;
        for (bool more = true; more && complete; first_page = false) {
            auto page = segment_page(store, after, 3);
            complete = view.apply_page(page, first_page);
            more = page.has_more;
            if (more) after = page.items.back().key;
        }
        if (complete) return;
        view.clear();
    }
    FAIL() << "the log was not read in two attempts";
}

TEST(PendingRecords, LeaderTransactionsMatchTheModel) {
    // tests/standby_model_test.cpp assumes these conditions.
    struct Row {
        uint64_t pending_version;
        std::map<std::string, uint64_t> conditions;
    };
    for (auto& row :
         {Row{0, {{"leader", 41}, {"log", 0}, {segment_key(1), 0}, {"f/req-1", 0}, {"d/req-1", 0}}},
          Row{7,
              {{"leader", 41}, {"log", 0}, {segment_key(1), 0}, {"f/req-1", 0}, {"d/req-1", 7}}}}) {
        ClusterFixture world;
        StateLog state_log(world.cluster, 41, kSmallLimits);
        auto job =
            world.cluster.add_job(world.job_spec("req-1", JobKind::Array, 2, 1), 1000, world.now);
        state_log.queue_new_job(job, row.pending_version);
        auto batch = state_log.next_batch(12);
        std::map<std::string, uint64_t> conditions;
        for (auto& condition : batch.txn.conditions) conditions[condition.key] = condition.version;
        EXPECT_EQ(conditions, row.conditions);
        state_log.committed(batch, 50);
        state_log.queue_pending_deletion("d/req-1", 7);
        batch = state_log.next_batch(12);
        conditions.clear();
        for (auto& condition : batch.txn.conditions) conditions[condition.key] = condition.version;
        EXPECT_EQ(conditions,
                  (std::map<std::string, uint64_t>{{"leader", 41}, {"log", 0}, {"d/req-1", 7}}));
        ASSERT_EQ(batch.txn.changes.size(), 1u);
        EXPECT_TRUE(batch.txn.changes[0].value.empty());
        // Deletions of pending records take at least one and at most half of a transaction's
        // changes. The rest is left for users' requests.
        state_log.rejected(batch);
        for (int i = 2; i <= 20; ++i)
            state_log.queue_pending_deletion("d/req-" + std::to_string(i), 7);
        EXPECT_EQ(state_log.next_batch(3).txn.changes.size(), 1u);
        EXPECT_EQ(state_log.next_batch(12).txn.changes.size(), 6u);
    }
}

TEST(PendingRecords, ManyAdoptedJobsStayWithinTransactionLimits) {
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, kSmallLimits);
    MemoryKvStore store;
    for (int i = 0; i < 300; ++i) {
        auto id = "req-" + std::to_string(i);
        store.keys[pending_key(id)] = {"{}", 5};
        state_log.queue_new_job(
            world.cluster.add_job(world.job_spec(id, JobKind::Array, 1, 0.01), 1000, world.now), 5);
        state_log.queue_pending_deletion(pending_key(id), 5);
    }
    test::commit_all(state_log, world.cluster, store, kSmallLimits, world.now);
    EXPECT_TRUE(store.keys.lower_bound(kPendingPrefix) == store.keys.lower_bound("d0"))
        << "pending records are left";
    ClusterFixture new_world;
    StateLog loaded(new_world.cluster, 42, kSmallLimits);
    store.load_into(loaded, new_world.now);
    EXPECT_EQ(new_world.cluster.job_index.size(), 300u);
}

TEST(PendingRecords, RoundTripAndRejectMalformedRecords) {
    ClusterFixture world;
    PendingRecord record{
        submission_json(world.job_spec("req-1", JobKind::Gang, 3, 2), world.cluster.names), 1234.5,
        true};
    auto parsed = parse_pending_record(json::parse(pending_record(record)));
    EXPECT_EQ(parsed.job, record.job);
    EXPECT_EQ(parsed.submitted_wall, 1234.5);
    EXPECT_TRUE(parsed.cancelled && parsed.accepted());
    EXPECT_FALSE(parse_pending_record(json::parse(pending_record({nullptr, 0, true}))).accepted());
    for (const char* bad : {"[]", "{}", R"({"job":{}})", R"({"job":{},"at":-1})",
                            R"({"cancelled":false})", R"({"cancelled":3})"})
        EXPECT_THROW(parse_pending_record(json::parse(bad)), BadMessage) << bad;
}

TEST(StandbyDecisions, LatestRecordDeterminesTheAnswer) {
    PendingRecord accepted{json::object{}, 1, false}, cancelled{json::object{}, 1, true},
        request{nullptr, 0, true};
    StateLogView::Job waiting, running;
    running.placed = 2;
    running.done = 1;
    struct Row {
        const char* name;
        JobRecords records;
        JobLocation location;
        JobState state;
        int submit, status, cancel;  // HTTP status of the answer to each request
    };
    auto records = [](std::optional<PendingRecord> pending,
                      const StateLogView::Job* logged = nullptr, bool cancelled_in_log = false,
                      std::optional<FinalState> final_state = {}) {
        return JobRecords{std::move(pending), logged, cancelled_in_log, final_state};
    };
    FinalState done{JobState::Done, 3}, aborted{JobState::Cancelled, 0};
    const Row rows[] = {
        {"never accepted", records({}), JobLocation::NotFound, JobState::Queued, 404, 404, 404},
        {"accepted by a standby", records(accepted), JobLocation::Pending, JobState::Queued, 200,
         200, 503},
        {"cancelled at a standby", records(cancelled), JobLocation::Pending, JobState::Cancelled,
         200, 200, 200},
        {"cancellation request for a job that was not found", records(request),
         JobLocation::CancelRequestOnly, JobState::Queued, 503, 503, 503},
        {"in the log", records({}, &waiting), JobLocation::Log, JobState::Queued, 200, 200, 503},
        {"running", records({}, &running), JobLocation::Log, JobState::Running, 200, 200, 503},
        {"running, pending record not deleted yet", records(accepted, &running), JobLocation::Log,
         JobState::Running, 200, 200, 503},
        {"running, cancelled at a standby", records(cancelled, &running), JobLocation::Log,
         JobState::Running, 200, 200, 503},
        {"running, cancelled by the leader", records(request, &running, true), JobLocation::Log,
         JobState::Cancelled, 200, 200, 200},
        {"done", records({}, nullptr, false, done), JobLocation::Ended, JobState::Done, 200, 200,
         200},
        {"done before the cancellation at a standby", records(cancelled, nullptr, false, done),
         JobLocation::Ended, JobState::Done, 200, 200, 200},
        {"cancelled and ended, pending record not deleted yet",
         records(accepted, nullptr, false, aborted), JobLocation::Ended, JobState::Cancelled, 200,
         200, 200},
    };
    for (auto& row : rows) {
        auto status = resolve_job_status(row.records);
        EXPECT_EQ(status.location, row.location) << row.name;
        EXPECT_EQ(status.state, row.state) << row.name;
        EXPECT_EQ(standby_reply("req-1", status, PeerOp::Submit).status, row.submit) << row.name;
        EXPECT_EQ(standby_reply("req-1", status, PeerOp::Status).status, row.status) << row.name;
        EXPECT_EQ(standby_reply("req-1", status, PeerOp::Cancel).status, row.cancel) << row.name;
    }
}

TEST(StandbyDecisions, EveryControllerMustHaveAnAdopterRecord) {
    auto settings = test::small_settings();
    settings.peers = {{"node-1", "a", {}}, {"node-2", "b", {}}};
    struct Row {
        std::vector<std::string> adopters;
        bool all_adopt;
    };
    for (auto& row : {Row{{}, false}, Row{{"node-0"}, false}, Row{{"node-1", "node-2"}, false},
                      Row{{"node-0", "node-1"}, false}, Row{{"node-0", "node-1", "node-2"}, true},
                      Row{{"node-0", "node-1", "node-2", "node-9"}, true}}) {
        KvPage page;
        for (auto& name : row.adopters)
            page.items.push_back({adopter_key(name), json::object{}, 1, 0});
        EXPECT_EQ(all_controllers_adopt(settings, page), row.all_adopt) << row.adopters.size();
    }
}

TEST(ForwardTimeout, FollowsResponseTimesWithinBounds) {
    struct Row {
        const char* name;
        std::vector<double> response_times;  // seconds
        double min_timeout, max_timeout;     // seconds
    };
    const Row rows[] = {
        {"no responses", {}, 0.3, 0.3},
        {"constant and short", std::vector<double>(50, 0.01), 0.08, 0.08},
        {"constant", std::vector<double>(50, 0.2), 0.2, 0.25},
        {"occasionally slow", {0.03, 0.03, 0.25, 0.03, 0.03, 0.03, 0.25, 0.03}, 0.2, 0.6},
        {"very slow", std::vector<double>(20, 5.0), 0.6, 0.6},
    };
    for (auto& row : rows) {
        ForwardTimeout timeout;
        for (double response_time_s : row.response_times)
            timeout.record_response_time(response_time_s);
        EXPECT_GE(timeout.timeout_s(), row.min_timeout) << row.name;
        EXPECT_LE(timeout.timeout_s(), row.max_timeout) << row.name;
    }
}

TEST(StateLogView, MatchesTheClusterStateDespiteCompaction) {
    for (unsigned seed = 1; seed <= 12; ++seed) {
        std::mt19937 random(seed);
        auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        ClusterFixture world;
        MemoryKvStore store;
        StateLog state_log(world.cluster, 41, kSmallLimits);
        // `frequent` is read often, `rare` so seldom that it misses whole segments.
        StateLogView frequent, rare;
        std::vector<Index> machines;
        for (int i = 0; i < 4; ++i)
            machines.push_back(world.add_machine("vm-00000" + std::to_string(i)));
        int jobs = 0, comparisons = 0, compactions = 0;
        uint64_t last_ends_read = 0;
        std::set<std::string> ended;
        for (int step = 0; step < 1200; ++step) {
            if (below(8) == 0 && world.cluster.job_index.size() < 10)
                state_log.queue_new_job(
                    world.cluster.add_job(world.job_spec("req-" + std::to_string(++jobs),
                                                         JobKind::Array, 1 + below(50), 0.01),
                                          1000, world.now));
            test::advance_randomly(world.cluster, state_log, machines, below, 300, world.now);
            auto batch = state_log.next_batch(2 + static_cast<int>(below(11)));
            if (batch.empty()) continue;
            auto revision = store.apply(batch.txn);
            ASSERT_NE(revision, 0u);
            compactions += batch.first_segment != 0 && batch.txn.changes.back().key == kLogKey;
            state_log.committed(batch, revision);
            for (auto& entry : batch.entries) {
                if (entry.kind != EntryKind::JobEnd) continue;
                ended.insert(world.cluster.jobs[entry.job]->spec.id);
                world.cluster.remove_job(entry.job, world.now);
            }
            if (below(3) == 0) {
                read_log(frequent, store);
                // The frequently read view knows every end since its last read.
                for (auto& id : ended)
                    EXPECT_TRUE(frequent.may_have_ended(id, last_ends_read))
                        << id << " seed " << seed;
                ended.clear();
                last_ends_read = frequent.job_ends_read();
            }
            if (below(400) != 0) continue;
            test::commit_all(state_log, world.cluster, store, kSmallLimits, world.now);
            read_log(frequent, store);
            read_log(rare, store);
            ended.clear();
            last_ends_read = frequent.job_ends_read();
            ++comparisons;
            for (auto* view : {&frequent, &rare}) {
                EXPECT_EQ(view->job_count(), world.cluster.job_index.size()) << "seed " << seed;
                for (auto& [id, index] : world.cluster.job_index) {
                    auto* viewed = view->find(id);
                    auto& job = *world.cluster.jobs[index];
                    ASSERT_NE(viewed, nullptr) << id;
                    EXPECT_EQ(viewed->done, job.done) << id << " seed " << seed;
                    EXPECT_EQ(viewed->placed, job.placed) << id << " seed " << seed;
                    EXPECT_EQ(view->is_cancelled(id), job.cancel_durable) << id;
                }
            }
        }
        EXPECT_GT(comparisons, 0) << seed;
        EXPECT_GT(compactions, 0) << seed;
    }
}

TEST(StateLogView, DetectsMissingSegments) {
    auto page = [](std::initializer_list<uint64_t> numbers) {
        KvPage p;
        for (auto n : numbers) p.items.push_back({segment_key(n), json::array{}, n, 0});
        return p;
    };
    struct Row {
        const char* name;
        KvPage first, second;
        bool first_page, applied;
    };
    const Row rows[] = {
        {"the newest segment again", page({3, 4}), page({4}), true, true},
        {"the newest segment and more", page({3, 4}), page({4, 5, 6}), true, true},
        {"the newest segment is deleted", page({3, 4}), page({5, 6}), true, false},
        {"all segments are deleted", page({3, 4}), page({}), true, false},
        {"the next page", page({3, 4}), page({5}), false, true},
        {"a gap between pages", page({3, 4}), page({6}), false, false},
        {"a gap within a page", page({3, 4}), page({4, 6}), true, false},
    };
    for (auto& row : rows) {
        StateLogView view;
        ASSERT_TRUE(view.apply_page(row.first, true));
        EXPECT_EQ(view.apply_page(row.second, row.first_page), row.applied) << row.name;
    }
}

TEST(StateLogView, ClearMakesEarlierEndsUncertain) {
    StateLogView view;
    auto ends_read = view.job_ends_read();
    EXPECT_FALSE(view.may_have_ended("req-1", ends_read));
    view.clear();
    EXPECT_TRUE(view.may_have_ended("req-1", ends_read));
}

TEST(StateLogView, CancellationAppliesToDependentJobs) {
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
    EXPECT_TRUE(view.is_cancelled("req-1"));
    EXPECT_TRUE(view.is_cancelled("req-2"));
    EXPECT_TRUE(view.is_cancelled("req-3"));
    EXPECT_FALSE(view.is_cancelled("req-4"));
    for (const char* bad :
         {R"([[1,"x"]])", R"([["j",{}]])", R"([["t",5]])", R"([["z","req-1"]])",
          R"([["t","req-4",[7,1]]])", R"([["p","req-5"]])", R"([["t","req-4",[0,3,"d"]]])"}) {
        StateLogView copy = view;
        KvPage next;
        next.items.push_back({segment_key(2), json::parse(bad), 2, 0});
        EXPECT_THROW((void)copy.apply_page(next, false), BadMessage) << bad;
    }
}

}  // namespace
}  // namespace weirmill
