// The whole service over loopback against stand-ins. Every case waits for conditions, never for a
// time, and what must not happen is noted by the stand-ins when it does.
#include "service.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::Service;

TEST(Service, RunsArraysAndGangsAndAnswersWhatItCannotTake) {
    Service s(1);
    EXPECT_EQ(s.submit("req-1", "array", 3), 201);
    EXPECT_EQ(s.submit("req-2", "ensemble", 2), 201);
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_EQ(s.submit("req-1", "array", 3), 200);  // a retry, however late
    struct Row {
        const char *method, *target;
        std::string body;
        int status;
    };
    auto unknown_team = json::parse(Service::submission("req-7", "array", 1)).as_object();
    unknown_team["consignor"] = "nobody";
    const Row rows[] = {
        {"POST", "/v2/runs", "{", 400},
        {"POST", "/v2/runs", json::serialize(unknown_team), 422},
        {"POST", "/v2/runs", Service::submission("req-8", "array", 1, 100), 422},
        // An id that was accepted is never refused for good, whatever comes under it again.
        {"POST", "/v2/runs", R"({"name_id":"req-1"})", 200},
        {"POST", "/v2/runs", Service::with(Service::submission("req-1", "array", 1), "lots", 0),
         200},
        {"POST", "/v2/runs", Service::submission("req-1", "array", 1, 100), 200},
        {"POST", "/v2/runs", R"({"name_id":"req-9"})", 400},
        {"POST", "/v2/runs", R"({"name_id":"else"})", 400},
        {"GET", "/v2/runs/req-999", "", 404},
        {"GET", "/v2/runs/else", "", 404},
        {"POST", "/v2/runs/req-999/cancel", "", 404},
        {"POST", "/v2/runs/req-1/cancel", "", 200},
        {"POST", "/v2/runs", std::string(70000, 'x'), 413},
        {"POST", "/v1/report", "{}", 400},
        {"DELETE", "/v2/runs", "", 405},
        {"GET", "/elsewhere", "", 404},
        {"GET", "/healthz", "", 200},
        {"GET", "/metrics", "", 200},
    };
    for (auto& row : rows)
        EXPECT_EQ(s.ask(row.method, row.target, row.body).status, row.status)
            << row.target << " " << row.body.substr(0, 80);
    EXPECT_EQ(s.status("req-1"), "done");
    auto metrics = s.ask("GET", "/metrics").body;
    for (const char* line :
         {"weirmill_requests_total{kind=\"submit\",status=\"201\"} 2\n", "weirmill_leading 1\n",
          "weirmill_request_seconds_bucket{kind=\"cancel\",le=\"+Inf\"} 2\n"})
        EXPECT_NE(metrics.find(line), std::string::npos) << line << metrics;
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, AFollowerForwardsAndTakesOverWhenTheLeaderCrashes) {
    Service s(3);
    EXPECT_EQ(s.submit("req-1", "array", 2), 201);
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_EQ(s.submit("req-2", "array", 4, {3.0}), 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-2"); }));
    auto old = s.leader();
    s.crash(old.back() - '0');
    ASSERT_TRUE(s.until([&] { return !s.leader().empty() && s.leader() != old; }));
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_EQ(s.status("req-1"), "done");
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, AControllerThatIsBackAtOnceDoesNotWaitForTheLeaseOfItsFormerLife) {
    // Users and workers used to wait until it was over, which here is longer than a case waits.
    Service::With with;
    with.lease_s = 2 * test::kPatience_s;
    for (int lives : {1, 2}) {
        Service s(1, with);
        EXPECT_EQ(s.submit("req-1", "array", 1), 201);
        EXPECT_TRUE(s.done("req-1"));
        for (int life = 0; life < lives; ++life) {
            s.crash(life);
            s.add_node(0);
        }
        EXPECT_EQ(s.submit("req-2", "array", 1), 201) << lives;
        EXPECT_TRUE(s.done("req-2"));
        EXPECT_EQ(s.status("req-1"), "done");
        EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
    }
}

TEST(Service, AFormerLifesLeadershipIsEndedWhileACampaignIsStillUnsure) {
    // The answers to the campaign and to the end of the former leadership are lost: the key then
    // names this controller under another lease than the one it is unsure of. Nothing may wait for
    // either, nor ask without a pause.
    Service::With with;
    with.lease_s = 2 * test::kPatience_s;
    Service s(1, with);
    EXPECT_EQ(s.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(s.done("req-1"));
    s.crash(0);
    s.state->lose_txn_answers = 3;
    s.add_node(0);
    EXPECT_EQ(s.submit("req-2", "array", 1) / 100, 2);
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, ALateDropOfAFormerLeadershipEndsNoOther) {
    // The transaction names the version of the leadership that it ends; a copy of it finds another.
    Service s(2);
    EXPECT_EQ(s.submit("req-1", "array", 1, {2.0}), 201);
    auto old = s.leader();
    s.crash(old.back() - '0');
    s.state->delay_txns = 1;  // the next is executed late, after its sender gave up
    s.add_node(old.back() - '0');
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_EQ(s.submit("req-2", "array", 2), 201);
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, AFollowerRelaysForAWorkerThatCannotReachTheLeader) {
    Service s(2);
    EXPECT_EQ(s.submit("req-1", "array", 1, {3.0}), 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-1"); }));
    int leader = s.leader().back() - '0';
    for (auto& [n, w] : s.cloud->workers) w->cut_from = leader;
    EXPECT_TRUE(s.done("req-1"));
    auto page = s.ask_node(1 - leader, "GET", "/metrics", "");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("weirmill_requests_total{kind=\"report\",status=\"200\"}"),
              std::string::npos)
        << page->body;
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, ALeaderRefusedByTheStateServiceAloneHandsOverAndServesItsUsersThroughTheOthers) {
    // It used to go on as an unsure leader, and to turn its users away for as long as it was
    // refused.
    Service s(3);
    EXPECT_EQ(s.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(s.done("req-1"));
    auto old = s.leader();
    int refused = old.back() - '0';
    s.state->refused.insert(refused);
    ASSERT_TRUE(s.until([&] { return !s.leader().empty() && s.leader() != old; }));
    std::optional<HttpResponse> reply;
    ASSERT_TRUE(s.until([&] {
        reply = s.ask_node(refused, "POST", "/v2/runs", Service::submission("req-2", "array", 1));
        return reply && reply->status != 503;
    }));
    EXPECT_EQ(reply->status, 201);
    s.state->refused.clear();
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, AJobThatFailsEverywhereStaysAcceptedAndDoesNotEatTheFleet) {
    Service s(1);
    fakes::Job bad;
    bad.fails = true;
    bad.run_s = 0.01;
    EXPECT_EQ(s.submit("req-1", "array", 2, bad), 201);
    ASSERT_TRUE(s.until(
        [&] { return s.cloud->starts["req-1/0"] >= 2 || s.cloud->starts["req-1/1"] >= 2; }));
    EXPECT_EQ(s.submit("req-2", "array", 4), 201);
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_NE(s.status("req-1"), "done");
    EXPECT_EQ(s.ask("GET", "/v2/runs/req-1").status, 200);
    EXPECT_LE(s.cloud->workers.size(), 12u);
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, ATransactionWhoseAnswerIsLostIsNotAppliedTwiceNorForgotten) {
    Service s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(s.done("req-1"));
    s.state->lose_txn_answers = 1;
    int status = s.submit("req-2", "array", 2);  // 503 first, as the outcome is unknown; then known
    EXPECT_TRUE(status == 200 || status == 201) << status;
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, ATransactionAppliedLateChangesNothing) {
    Service s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(s.done("req-1"));
    s.state->delay_txns = 2;
    int status = s.submit("req-2", "array", 2);
    EXPECT_TRUE(status == 200 || status == 201) << status;
    EXPECT_TRUE(s.done("req-2"));
    // What the next leader would read: no job is left, and none was brought back.
    test::World fresh;
    StateLog state_log(fresh.cluster, 1, {12, 4});
    for (auto& [key, value] : s.state->keys())
        if (key.starts_with(kSegmentPrefix)) state_log.load_segment({key, value, 1, 0}, fresh.now);
    state_log.finish_loading(fresh.now);
    EXPECT_TRUE(fresh.cluster.job_index.empty());
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, ASilentMachinesTasksRunElsewhereOnlyAfterItsLease) {
    Service s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {1.0}), 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-1"); }));
    for (auto& [n, w] : s.cloud->workers) w->silent = true;
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_EQ(s.cloud->starts["req-1/0"], 2);
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Service, ACancellationReachesTasksWhoseStartIsUnderWay) {
    Service s(1);
    s.cloud->held_starts = true;
    EXPECT_EQ(s.submit("req-1", "standing", 2, {1000}), 201);
    ASSERT_TRUE(
        s.until([&] { return s.recorded(R"(["t","req-1")") && !s.cloud->workers.empty(); }));
    auto a = s.ask("POST", "/v2/runs/req-1/cancel");
    EXPECT_EQ(a.status, 200);
    EXPECT_EQ(json::parse(a.body).at("status"), "aborted");
    s.cloud->held_starts = false;
    ASSERT_TRUE(s.until([&] { return s.state->keys().count("f/req-1") > 0; }));
    EXPECT_FALSE(s.cloud->on_some_machine("req-1"));
    EXPECT_EQ(s.status("req-1"), "aborted");
    EXPECT_EQ(s.submit("req-1", "standing", 2), 200);
}

TEST(Service, AnOutageOfTheStateServiceIsAnsweredAtOnceAndWorkOutlivesIt) {
    Service s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {2.0}), 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-1"); }));
    s.state->down = true;
    ASSERT_TRUE(s.until([&] {
        auto reply = s.ask_node(0, "POST", "/v2/runs", Service::submission("req-2", "array", 1));
        return reply && reply->status == 503;
    }));
    s.state->end_outage();
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_EQ(s.submit("req-2", "array", 1) / 100, 2);
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Pipelines, EachAnswerToASubmissionThatNamesOthers) {
    Service s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_EQ(s.submit("req-2", "standing", 1, {1000}), 201);
    EXPECT_EQ(s.submit("req-3", "standing", 1, {1000}), 201);
    EXPECT_EQ(s.ask("POST", "/v2/runs/req-3/cancel").status, 200);
    struct Row {
        const char *id, *awaits;
        int status, again;    // and of the same submission repeated
        const char* becomes;  // what the job is called in the end
    };
    const Row rows[] = {
        {"req-11", "null", 201, 200, "done"},
        {"req-12", "[]", 201, 200, "done"},
        {"req-13", R"("req-1")", 400, 400, "404"},
        {"req-14", "{}", 400, 400, "404"},
        {"req-15", "[1]", 400, 400, "404"},
        {"req-16", R"(["req-1",null])", 400, 400, "404"},
        {"req-17", R"([""])", 400, 400, "404"},
        {"req-18", R"(["req-18"])", 422, 422, "404"},
        {"req-19", R"(["req-999"])", 422, 422, "404"},
        {"req-20", R"(["req-1","req-999","req-2"])", 422, 422, "404"},
        {"req-21", R"(["a name that no job has"])", 422, 422, "404"},
        {"req-22", R"(["req-1"])", 201, 200, "done"},
        {"req-23", R"(["req-1","req-1"])", 201, 200, "done"},
        {"req-24", R"(["req-2"])", 201, 200, "queued"},
        {"req-25", R"(["req-2","req-2","req-1"])", 201, 200, "queued"},
        {"req-26", R"(["req-3"])", 201, 200, "aborted"},
        {"req-27", R"(["req-2","req-3"])", 201, 200, "aborted"},
        {"req-28", R"(["req-26"])", 201, 200, "aborted"},
        {"req-29", R"(["req-11","req-22"])", 201, 200, "done"},
    };
    for (auto& row : rows) {
        auto body = Service::with(Service::submission(row.id, "array", 1), "awaits",
                                  json::parse(row.awaits));
        s.cloud->jobs[row.id] = {};
        EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, row.status) << row.id;
        EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, row.again) << row.id;
    }
    for (auto& row : rows)
        EXPECT_TRUE(s.until([&] { return s.status(row.id) == row.becomes; }))
            << row.id << s.status(row.id);
    // What became of those before it does not change the answer to a repetition.
    EXPECT_EQ(s.ask("POST", "/v2/runs/req-2/cancel").status, 200);
    for (const char* id : {"req-24", "req-25"}) {
        EXPECT_EQ(s.status(id), "aborted");
        auto body =
            Service::with(Service::submission(id, "array", 1), "awaits", json::array{"req-2"});
        EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, 200);
    }
    EXPECT_EQ(s.status("req-22"), "done");
    // Whether a job was ever accepted can't be read: the user is told to come back, at once.
    s.state->down = true;
    auto body =
        Service::with(Service::submission("req-30", "array", 1), "awaits", json::array{"req-998"});
    auto reply = s.ask_node(0, "POST", "/v2/runs", body);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 503);
    s.state->end_outage();
    EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, 422);
    EXPECT_TRUE(s.until([&] {
        return s.ask("GET", "/metrics").body.find("weirmill_jobs_waiting 0\n") != std::string::npos;
    }));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Pipelines, StagesRunInOrderAcrossAChangeOfLeader) {
    Service s(3);
    EXPECT_EQ(s.submit_after("req-1", {}, 1.0), 201);
    EXPECT_EQ(s.submit_after("req-2", {"req-1"}), 201);
    EXPECT_EQ(s.submit_after("req-3", {"req-1"}, 0.5), 201);
    EXPECT_EQ(s.submit_after("req-4", {"req-2", "req-3"}), 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-1"); }));
    s.crash_leader();
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-3"); }));
    s.crash_leader();
    EXPECT_EQ(s.submit_after("req-5", {"req-1", "req-4"}),
              201);  // the first is over, and of an earlier leader
    for (const char* id : {"req-1", "req-2", "req-3", "req-4", "req-5"})
        EXPECT_TRUE(s.done(id)) << id;
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(Pipelines, ACancellationIsThatOfAllWhoNeedTheJobWhateverBecomesOfTheLeader) {
    struct Row {
        const char* why;
        bool lose_answer, late, crash, outage;
    };
    const Row rows[] = {
        {"told", false, false, false, false},
        {"its record's answer is lost", true, false, false, false},
        {"its record is executed late", false, true, false, false},
        {"the leader ends at once", false, false, true, false},
        {"the record's answer is lost, and the leader ends at once", true, false, true, false},
        {"an outage begins at once, and the leader ends in it", false, false, true, true}};
    for (auto& row : rows) {
        Service s(2);
        EXPECT_EQ(s.submit_after("req-1", {}, 1000), 201);
        EXPECT_EQ(s.submit_after("req-2", {"req-1"}), 201);
        EXPECT_EQ(s.submit_after("req-3", {"req-2", "req-1"}), 201);
        EXPECT_EQ(s.submit_after("req-4", {}, 1000), 201);
        EXPECT_EQ(s.submit_after("req-5", {"req-4", "req-3"}), 201);
        ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-1"); }));
        s.state->lose_txn_answers = row.lose_answer;
        s.state->delay_txns = row.late;
        auto a = s.ask("POST", "/v2/runs/req-1/cancel");
        EXPECT_EQ(json::parse(a.body).at("status"), "aborted") << row.why;
        EXPECT_EQ(json::parse(s.ask("POST", "/v2/runs/req-1/cancel").body).at("status"), "aborted")
            << row.why;
        s.state->down = row.outage;
        if (row.crash) s.crash(s.leader().back() - '0');
        if (row.outage) s.state->end_outage();
        for (int i = 0; i < 2; ++i)
            for (const char* id : {"req-1", "req-2", "req-3", "req-5"})
                EXPECT_EQ(s.status(id), "aborted") << id << " " << row.why;
        EXPECT_NE(s.status("req-4"), "aborted") << row.why;
        for (const char* id : {"req-1", "req-2", "req-3", "req-5"})
            EXPECT_TRUE(s.until([&] { return s.state->keys().count(final_key(id)) > 0; })) << id;
        EXPECT_EQ(
            s.cloud->starts["req-2/0"] + s.cloud->starts["req-3/0"] + s.cloud->starts["req-5/0"],
            0);
        EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
    }
}

TEST(Pipelines, ACancellationAnsweredDoneLetsTheNextStagesGoOn) {
    Service s(1);
    EXPECT_EQ(s.submit_after("req-1", {}), 201);
    EXPECT_EQ(s.submit_after("req-2", {"req-1"}), 201);
    EXPECT_TRUE(s.done("req-1"));
    EXPECT_EQ(json::parse(s.ask("POST", "/v2/runs/req-1/cancel").body).at("status"), "done");
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
}

TEST(LowerLimits, ALongJobThatEndedIsKnownToALeaderThatCouldNotRecordIt) {
    Service s(1);
    auto body = Service::submission("req-1", "array", 1);
    json::array rigs{"std"};
    for (int i = 0; i < 15; ++i) rigs.emplace_back(std::string(90, 'x') + std::to_string(i));
    body = Service::with(body, "rigs", rigs);
    s.cloud->jobs["req-1"] = {};
    EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, 201);
    EXPECT_TRUE(s.done("req-1"));
    s.base.value_kb = 1;
    s.crash(0);
    s.add_node(1);
    EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, 200);
    body = Service::with(body, "name_id", "req-2");
    EXPECT_EQ(s.ask("POST", "/v2/runs", body).status, 400);
    EXPECT_EQ(s.status("req-1"), "done");
}

TEST(LowerLimits, ATransactionWithoutAnAnswerIsUnknownEvenWhenItsNextCopyIsRefused) {
    // The second copy comes back as malformed, since the limits fell meanwhile. That says nothing
    // of the first: taken for not executed, what it told would have been told again beside it.
    for (bool late : {false, true}) {
        Service s(1);
        EXPECT_EQ(s.submit("req-1", "array", 1), 201);
        EXPECT_TRUE(s.done("req-1"));
        (late ? s.state->delay_txns : s.state->lose_txn_answers) = 1;
        s.state->next_value_bytes = 1100;
        s.cloud->jobs["req-2"] = {};
        auto body = Service::submission("req-2", "array", 1);
        body = Service::with(body, "lot_class", json::string(180, 'c'));
        body = Service::with(body, "rigs",
                             json::array{"std", json::string(100, 'x'), json::string(100, 'y'),
                                         json::string(100, 'z'), json::string(99, 'x')});
        body = Service::with(body, "bundle", json::string(180, 'b'));
        int status = s.ask("POST", "/v2/runs", body).status;
        EXPECT_TRUE(status == 200 || status == 201) << status;
        EXPECT_TRUE(s.done("req-2"));
        EXPECT_GT(s.state->too_large, 0);
        // From here on all goes in what the state service takes.
        for (int i = 3; i < 12; ++i)
            EXPECT_EQ(s.submit("req-" + std::to_string(i), "array", 3), 201) << i;
        for (int i = 3; i < 12; ++i) EXPECT_TRUE(s.done("req-" + std::to_string(i))) << i;
        EXPECT_TRUE(s.cloud->broken.empty()) << s.cloud->broken[0];
    }
}

}  // namespace
}  // namespace weirmill
