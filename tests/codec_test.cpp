#include <gtest/gtest.h>

#include "fixtures.h"
#include "protocol/cloud_codec.h"
#include "protocol/kv_codec.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"

namespace weirmill {
namespace {

namespace json = boost::json;

json::object valid_submission() {
    return json::parse(
               R"({"name_id":"req-000412","lot_class":"train","consignor":"red","sale_kind":"ensemble",
        "urgency":"high","lots":16,"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,
        "rigs":["g8"],"yard":null,"same_place":true,"scatter":false,"loaners":true,"expected_s":240.0,
        "tally_s":30.0,"bank_s":4.0,"due_s":900.0,"unheard_of":[1,2]})")
        .as_object();
}

TEST(UserCodec, RoundTripsSubmission) {
    test::ClusterFixture world;
    auto first = parse_submission(json::serialize(valid_submission()), world.cluster.names);
    EXPECT_EQ(first.id, "req-000412");
    EXPECT_EQ(first.kind, JobKind::Gang);
    EXPECT_EQ(first.priority, Priority::High);
    EXPECT_EQ(first.demand, (Resources{8000, 1000, 64000}));
    EXPECT_TRUE(first.one_zone && first.spot && !first.spread);
    EXPECT_EQ(first.zone, kNone);
    EXPECT_EQ(world.cluster.names.teams.name(first.team), "red");
    auto again = parse_submission(json::serialize(submission_json(first, world.cluster.names)),
                                  world.cluster.names);
    EXPECT_EQ(json::serialize(submission_json(again, world.cluster.names)),
              json::serialize(submission_json(first, world.cluster.names)));
}

// A valid submission in which one field is replaced.
struct InvalidSubmission {
    const char* field;
    json::value value;  // null: the field is removed
};

TEST(UserCodec, RejectsMalformedSubmissions) {
    const InvalidSubmission cases[] = {
        {"name_id", nullptr},    {"name_id", "job-1"},
        {"name_id", "req-"},     {"name_id", "req-12x"},
        {"name_id", 7},          {"lots", 0},
        {"lots", 100001},        {"lots", -1},
        {"lots", 1.5},           {"lots", "3"},
        {"cores", -1.0},         {"cores", "8"},
        {"cores", nullptr},      {"mem_gb", true},
        {"sale_kind", "batch"},  {"urgency", "urgent"},
        {"rigs", "g8"},          {"rigs", json::array{1}},
        {"same_place", 1},       {"loaners", nullptr},
        {"bundle", ""},          {"due_s", -5.0},
        {"expected_s", nullptr}, {"consignor", nullptr},
    };
    for (auto& test_case : cases) {
        test::ClusterFixture world;
        auto submission = valid_submission();
        test_case.value.is_null() ? (void)submission.erase(test_case.field)
                                  : (void)(submission[test_case.field] = test_case.value);
        EXPECT_THROW(parse_submission(json::serialize(submission), world.cluster.names), BadMessage)
            << test_case.field << " " << test_case.value;
    }
    test::ClusterFixture world;
    for (const char* text : {"", "{", "[]", "7", "null", "{\"name_id\":1e999}"})
        EXPECT_THROW(parse_submission(std::string_view(text), world.cluster.names), BadMessage)
            << text;
    std::string deep(5000, '[');
    EXPECT_THROW(parse_submission(std::string_view(deep), world.cluster.names), BadMessage);
}

TEST(UserCodec, ReadsDependenciesWithoutDuplicates) {
    struct Case {
        json::value awaits;
        std::vector<std::string> dependencies;
    };
    const Case cases[] = {{nullptr, {}},
                          {json::array{}, {}},
                          {json::array{"req-2", "req-1", "req-2"}, {"req-1", "req-2"}}};
    for (auto& test_case : cases) {
        test::ClusterFixture world;
        auto submission = valid_submission();
        submission["awaits"] = test_case.awaits;
        auto spec = parse_submission(json::serialize(submission), world.cluster.names);
        EXPECT_EQ(spec.dependencies, test_case.dependencies) << test_case.awaits;
        EXPECT_EQ(submission_json(spec, world.cluster.names).contains("awaits"),
                  !test_case.dependencies.empty());
    }
}

TEST(WorkerCodec, ParsesHeartbeatsAndRejectsMalformedOnes) {
    auto valid =
        R"({"millstone":"vm-1","addr":"10.1.0.2:9000","rig":"g8","yard":"a","loaners":true,"shift":1,"tick":88,
        "gavel":41,"recall_s":null,"lots":[{"lot":"req-000412/3","try":2,"status":"running"},
        {"lot":"req-000398/0","try":1,"status":"exited","cause":"stopped","kept":true}]})";
    auto heartbeat = parse_heartbeat(valid);
    EXPECT_EQ(heartbeat.machine, "vm-1");
    EXPECT_EQ(heartbeat.seq, 88u);
    EXPECT_LT(heartbeat.interruption_notice_s, 0);
    ASSERT_EQ(heartbeat.tasks.size(), 2u);
    EXPECT_EQ(heartbeat.tasks[0].job, "req-000412");
    EXPECT_EQ(heartbeat.tasks[0].task, 3u);
    EXPECT_EQ(heartbeat.tasks[1].cause, ExitCause::Stopped);
    EXPECT_TRUE(heartbeat.tasks[1].saved);
    const std::pair<const char*, const char*> replacements[] = {
        {"\"shift\":1", "\"shift\":-1"},      {"\"tick\":88", "\"tick\":\"x\""},
        {"req-000412/3", "req-000412"},       {"req-000412/3", "req-000412/x"},
        {"\"running\"", "\"no_such_phase\""}, {"\"stopped\"", "\"no_such_cause\""},
        {"\"lots\":[", "\"lot_s\":["}};
    for (auto& [from, to] : replacements) {
        std::string malformed = valid;
        malformed.replace(malformed.find(from), std::string(from).size(), to);
        EXPECT_THROW(parse_heartbeat(malformed), BadMessage) << to;
    }
}

TEST(WorkerCodec, WritesCommands) {
    std::vector<Command> commands{{CommandOp::Start, "req-1", 4, 2, 0},
                                  {CommandOp::Stop, "req-2", 1, 1, 10},
                                  {CommandOp::AcknowledgeExit, "req-3", 0, 1, 0}};
    auto v = json::parse(heartbeat_response(41, commands)).as_object();
    EXPECT_EQ(v["gavel"], 41);
    EXPECT_EQ(v["orders"].as_array()[0],
              (json::value{{"order", "launch"}, {"lot", "req-1/4"}, {"try", 2}}));
    EXPECT_EQ(
        v["orders"].as_array()[1],
        (json::value{{"order", "stop"}, {"lot", "req-2/1"}, {"try", 1}, {"wind_down_s", 10.0}}));
    EXPECT_EQ(v["orders"].as_array()[2].as_object()["order"], "clear");
    EXPECT_EQ(redirect_response("millstone-2"), R"({"clerk":"millstone-2"})");
    EXPECT_EQ(redirect_response(""), "{}");
}

TEST(CloudCodec, ParsesMachineTypesAndPages) {
    auto types = parse_machine_types(
        R"({"rigs":[{"label":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,
        "fetch_gb_per_s":1.0,"hourly":12.0,"spot_price":4.5,"startup_s":45,"yards":["a","b"]}]})");
    ASSERT_EQ(types.size(), 1u);
    EXPECT_EQ(types[0].size, (Resources{96000, 8000, 768000}));
    EXPECT_TRUE(is_no_capacity_error(R"({"error":"no capacity"})"));
    for (const char* other : {"", "{}", R"({"error":"some other error"})"})
        EXPECT_FALSE(is_no_capacity_error(other)) << other;
    auto page = parse_machine_page(
        R"({"millstones":[{"name_id":"vm-1","addr":"h:1","rig":"g8","yard":"a","loaners":true,
        "status":"failed","age_s":61.5}],"has_next":true})");
    EXPECT_TRUE(page.has_more);
    EXPECT_EQ(page.machines[0].status, MachineStatus::Failed);
    for (const char* malformed : {"{}", "[]", R"({"rigs":[]})", R"({"rigs":[{"label":"x"}]})",
                                  R"({"millstones":[{"name_id":"vm-1"}]})"}) {
        EXPECT_THROW(parse_machine_types(malformed), BadMessage) << malformed;
        EXPECT_THROW(parse_machine_page(malformed), BadMessage) << malformed;
    }
}

TEST(KvCodec, WritesTransactionsAndParsesResponses) {
    CasTransaction txn{{{"a/b", 0}}, {{"a/b", "{\"x\":1}", 7}, {"c/d", "", 0}}};
    EXPECT_EQ(json::parse(txn_json(txn)), json::parse(R"({"when":[{"path":"a/b","stamp":0}],
        "then":[{"write":"a/b","value":{"x":1},"permit":7},{"drop":"c/d"}]})"));
    EXPECT_EQ(parse_failed_conditions(R"({"failed":["a/b"],"ledger":431})"),
              std::vector<std::string>{"a/b"});
    EXPECT_EQ(parse_revision(R"({"ledger":432})"), 432u);
    EXPECT_EQ(parse_kv_item(R"({"path":"a/b","value":{},"stamp":412,"permit":7})").lease, 7u);
    for (const char* malformed : {"", "{}", R"({"ledger":-1})", R"({"ledger":"1"})"})
        EXPECT_THROW(parse_revision(malformed), BadMessage) << malformed;
}

}  // namespace
}  // namespace weirmill
