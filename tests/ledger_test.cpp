#include <gtest/gtest.h>

#include "coordination/election.h"
#include "coordination/placement.h"
#include "fixtures.h"

namespace weirmill {
namespace {

using test::World;

uint64_t condition(const LedgerBatch& b, const std::string& key) {
    for (auto& c : b.txn.conditions)
        if (c.key == key) return c.version;
    return ~0ull;
}

TEST(Ledger, EveryTransactionDependsOnTheLeadershipAndOnItsKeys) {
    World w;
    Ledger ledger(w.tables, 41, 12);
    auto j = w.tables.add_job(w.spec("req-1", JobKind::Array, 2, 1), 1000, w.now);
    ledger.new_job(j);
    auto b = ledger.next(12);
    EXPECT_EQ(condition(b, kLeaderKey), 41u);
    EXPECT_EQ(condition(b, "j/req-1"), 0u);
    EXPECT_EQ(condition(b, "f/req-1"), 0u);  // a job that has ended is not taken anew
    ledger.committed(b, 50);
    w.tables.place(j, 0, w.machine("m0"), 1, w.now);
    EXPECT_FALSE(w.tables.recorded(*w.tables.jobs[j], 0));
    b = ledger.next(12);
    EXPECT_EQ(condition(b, "t/req-1/0"), 0u);
    EXPECT_EQ(condition(b, "j/req-1"), 50u);  // a late copy can't outlive the job
    ledger.committed(b, 51);
    EXPECT_TRUE(w.tables.recorded(*w.tables.jobs[j], 0));
    EXPECT_FALSE(ledger.waiting());
}

TEST(Ledger, AChangeDuringATransactionIsNotTakenForRecorded) {
    World w;
    Ledger ledger(w.tables, 41, 12);
    auto j = w.job(w.spec("req-1", JobKind::Array, 2, 1));
    auto m = w.machine("m0");
    w.tables.place(j, 0, m, 1, w.now);
    auto b = ledger.next(12);
    w.tables.place(j, 1, m, 1, w.now);
    ledger.committed(b, 51);
    EXPECT_TRUE(w.tables.recorded(*w.tables.jobs[j], 0));
    EXPECT_FALSE(w.tables.recorded(*w.tables.jobs[j], 1));
    EXPECT_TRUE(ledger.waiting());
}

TEST(Ledger, RejectedRecordsWaitAgain) {
    World w;
    Ledger ledger(w.tables, 41, 12);
    auto j = w.job(w.spec("req-1", JobKind::Array, 1, 1));
    w.tables.place(j, 0, w.machine("m0"), 1, w.now);
    auto b = ledger.next(12);
    ledger.rejected(b);
    EXPECT_EQ(txn_json(ledger.next(12).txn), txn_json(b.txn));
}

TEST(Ledger, TheEndOfAJobReplacesItsRecords) {
    World w;
    Ledger ledger(w.tables, 41, 12);
    auto j = w.job(w.spec("req-1", JobKind::Array, 1, 1));
    w.tables.place(j, 0, w.machine("m0"), 1, w.now);
    ledger.committed(ledger.next(12), 51);
    w.tables.finish(j, 0, w.now);
    w.tables.jobs[j]->ending = true;
    ledger.finish(j);
    auto b = ledger.next(12);
    ASSERT_EQ(b.txn.changes.size(), 3u);
    EXPECT_EQ(b.txn.changes[0].key, "f/req-1");
    EXPECT_EQ(parse_final(boost::json::parse(b.txn.changes[0].value)).state, JobState::Done);
    EXPECT_EQ(condition(b, "t/req-1/0"), 51u);
}

TEST(Ledger, AFreshLeaderFindsWhatTheOldOneRecorded) {
    World old;
    Ledger ledger(old.tables, 41, 12);
    auto s = old.spec("req-1", JobKind::Array, 200, 0.1);
    auto j = old.tables.add_job(s, 1000, old.now);
    ledger.new_job(j);
    std::map<std::string, std::string> store;
    auto flush = [&] {
        while (ledger.waiting()) {
            auto b = ledger.next(12);
            EXPECT_LE(b.txn.changes.size(), 12u);
            for (auto& c : b.txn.changes) {
                EXPECT_LE(c.value.size(), 4096u) << c.key;
                store[c.key] = c.value;
            }
            ledger.committed(b, 60);
        }
    };
    flush();
    auto m0 = old.machine("vm-000001"), m1 = old.machine("vm-000002");
    for (uint32_t t = 0; t < 200; ++t) old.tables.place(j, t, t % 2 ? m0 : m1, 1, old.now);
    for (uint32_t t = 0; t < 50; ++t) old.tables.finish(j, t, old.now);
    old.tables.vacate(j, 77, old.now);
    flush();
    World fresh;
    Ledger loaded(fresh.tables, 42, 12);
    for (const char* prefix : {"j/", "t/"})
        for (auto& [key, value] : store)
            if (key.starts_with(prefix)) {
                StateItem item{key, boost::json::parse(value), 60, 0};
                prefix[0] == 'j' ? loaded.load_job(item, fresh.now) : loaded.load_chunk(item, fresh.now);
            }
    auto& job = *fresh.tables.find_job("req-1");
    EXPECT_EQ(job.done, 50u);
    EXPECT_EQ(job.placed, 149u);
    EXPECT_EQ(job.pending, 1u);
    EXPECT_EQ(job.tasks[77].attempt, 1u);  // never to be used again
    EXPECT_EQ(fresh.tables.machines[job.tasks[78].machine]->name, "vm-000002");
    EXPECT_EQ(fresh.tables.teams[job.spec.team].used.cpu, 149 * 100);
}

TEST(Ledger, RefusesRecordsThatMakeNoSense) {
    for (const char* value :
         {"[]", R"({"placed":[[0,1,1,0]]})", R"({"placed":[[9,1,1,0]],"machines":["m"]})",
          R"({"done":[[0,7]]})", R"({"tried":[["x",1]]})", R"({"placed":[[0,1,1,3]],"machines":["m"]})"}) {
        World w;
        Ledger ledger(w.tables, 41, 12);
        w.job(w.spec("req-1", JobKind::Array, 2, 1));
        EXPECT_THROW(ledger.load_chunk({"t/req-1/0", boost::json::parse(value), 5, 0}, w.now), BadMessage)
            << value;
    }
}

TEST(Ledger, TheLargestJobFitsTheSmallestLimits) {
    World w;
    Ledger ledger(w.tables, 41, 12);
    auto j = w.job(w.spec("req-1", JobKind::Array, 100000, 0.001));
    auto m = w.machine("vm-000001");
    for (uint32_t t = 0; t < 100000; ++t) w.tables.place(j, t, m, 1000000, w.now);
    size_t chunks = 0;
    while (ledger.waiting()) {
        auto b = ledger.next(12);
        ASSERT_FALSE(b.empty());
        EXPECT_LE(b.txn.changes.size(), 12u);
        EXPECT_LE(b.txn.conditions.size(), 48u);
        EXPECT_LE(txn_json(b.txn).size(), 64u * 1024);
        for (auto& c : b.txn.changes) EXPECT_LE(c.value.size(), 4096u);
        chunks += b.txn.changes.size();
        ledger.committed(b, 60);
    }
    EXPECT_EQ(chunks, w.tables.jobs[j]->chunks.size());
    // Its end is one transaction; chunks that it can't hold are swept by later ones.
    for (uint32_t t = 0; t < 100000; ++t) w.tables.jobs[j]->tasks[t].state = TaskState::Done;
    w.tables.jobs[j]->ending = true;
    ledger.finish(j);
    size_t swept = 0;
    while (ledger.waiting()) {
        auto b = ledger.next(12);
        ASSERT_FALSE(b.empty());
        for (auto& c : b.txn.changes) swept += c.key.starts_with("t/") && c.value.empty();
        ledger.committed(b, 70);
    }
    EXPECT_EQ(swept, chunks);
}

TEST(Ledger, OfANoteTheNewestValueIsRecorded) {
    // The machine types are such a note: without them a new leader could not decide while the cloud is down.
    World w;
    Ledger ledger(w.tables, 41, 12);
    ledger.load_note(kTypesKey, 9);
    ledger.note(kTypesKey, R"({"n":1})");
    auto b = ledger.next(12);
    EXPECT_EQ(condition(b, kTypesKey), 9u);
    ledger.note(kTypesKey, R"({"n":2})");
    ledger.rejected(b);
    b = ledger.next(12);
    ASSERT_EQ(b.txn.changes.size(), 1u);
    EXPECT_EQ(b.txn.changes[0].value, R"({"n":2})");
    ledger.committed(b, 50);
    EXPECT_FALSE(ledger.waiting());
    ledger.note(kTypesKey, R"({"n":3})");
    EXPECT_EQ(condition(ledger.next(12), kTypesKey), 50u);
}

TEST(Ledger, SweepsChunksOfJobsThatHaveEnded) {
    World w;
    Ledger ledger(w.tables, 41, 12);
    ledger.load_chunk({"t/req-9/0", boost::json::object{}, 7, 0}, w.now);
    auto b = ledger.next(12);
    ASSERT_EQ(b.txn.changes.size(), 1u);
    EXPECT_EQ(b.txn.changes[0].value, "");
    EXPECT_EQ(condition(b, "t/req-9/0"), 7u);
}

TEST(Election, NoTimeIsLeftForTwoLeadersOrALateCancellation) {
    struct Row {
        double report_s, lease_s, cancel_s;
    };
    for (auto& row : {Row{2.5, 18, 38}, Row{3, 45, 75}, Row{1, 10, 11}, Row{5, 30, 120}}) {
        auto s = test::small_settings();
        s.report_s = row.report_s;
        s.lease_s = row.lease_s;
        s.cancel_s = row.cancel_s;
        double grace = answering_grace(s);
        EXPECT_GE(grace, 0);
        EXPECT_TRUE(grace == 0 || grace + s.lease_s * (1 + kDrift) + kMargin_s < s.cancel_s) << row.cancel_s;
        // What an earlier leader answered last, at won + grace, has run out by the time that a task is taken
        // for gone.
        EXPECT_GT(earlier_leader_expiry(s, 1000), 1000 + grace + s.lease_s * (1 + kDrift));
        EXPECT_GT(answered_expiry(s, 1000), 1000 + s.lease_s * (1 + kDrift));
        // A slow clock of ours against a true one of the state service: still sure too short, never too long.
        EXPECT_LT(sure_until(1000, 4), 1000 + 4 * (1 - 0.0005));
    }
}

TEST(Proof, AMachinesLeaseEndsOnlyAfterWhatMayHaveBeenAnswered) {
    auto s = test::small_settings();  // lease 18 s
    const double won = 1000, first = earlier_leader_expiry(s, won);
    struct Row {
        const char* why;
        double report, answer;
        bool saw_token;
        double from, to;  // the lease may be taken for ended between these
    };
    const Row rows[] = {
        {"never heard of: whatever the earlier leader answered last", 0, 0, false, first, first + 1},
        {"answered, knows us", 1100, 1100, true, 1118, 1119},
        {"answered, but may still take an earlier leader's answer", 1001, 1001, false, first, first + 1},
        {"its first report is held, long after we won", 1100, 0, false, 1118, 1119},
        {"a later report is held", 1105, 1100, true, 1123, 1124},
    };
    for (auto& row : rows) {
        Machine m;
        m.last_report = row.report;
        m.last_answer = row.answer;
        m.saw_token = row.saw_token;
        EXPECT_GE(lease_end(s, m, won), row.from) << row.why;
        EXPECT_LE(lease_end(s, m, won), row.to) << row.why;
    }
}

}  // namespace
}  // namespace weirmill
