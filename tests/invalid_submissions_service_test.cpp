// Tests that the leader, a follower that forwards to it and a standby controller reject invalid
// submissions with the status of the protocol. With the id of an accepted job, the response to the
// same body is the status of that job.
#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::FaultScenarioFixture;
using test::isolated_peers;
using test::ServiceFixture;

TEST(InvalidSubmissions, RejectedAtEveryNode) {
    struct Row {
        const char* field;
        json::value value;  // null removes the field
        int status;
    };
    std::vector<Row> rows;
    for (const char* field : {"lot_class", "consignor", "sale_kind", "urgency", "lots", "cores",
                              "accelerators", "mem_gb", "bundle", "size_gb", "same_place",
                              "scatter", "loaners", "expected_s", "tally_s", "bank_s"}) {
        rows.push_back({field, nullptr, 400});
        rows.push_back({field, json::object{}, 400});
    }
    const Row others[] = {
        {"lots", 0, 400},
        {"lots", 100001, 400},
        {"lots", 2.5, 400},
        {"lots", "2", 400},
        {"cores", -1.0, 400},
        {"mem_gb", -0.5, 400},
        {"expected_s", -1.0, 400},
        {"due_s", "soon", 400},
        {"sale_kind", "one", 400},
        {"urgency", "most", 400},
        {"rigs", json::array{}, 400},
        {"rigs", json::array{7}, 400},
        {"yard", 7, 400},
        {"loaners", "no", 400},
        {"awaits", "req-1", 400},
        {"consignor", "nobody", 422},
        {"cores", 8.5, 422},
        {"accelerators", 1.0, 422},
        {"mem_gb", 64.5, 422},
        {"rigs", json::array{"other"}, 422},
        {"yard", "elsewhere", 422},
        {"awaits", json::array{"req-99999"}, 422},
    };
    rows.insert(rows.end(), std::begin(others), std::end(others));
    for (bool forwards : {true, false}) {
        FaultScenarioFixture service(2, forwards ? ServiceFixture::Options{} : isolated_peers());
        auto leader = static_cast<size_t>(service.leader_index());
        int n = 1000;
        auto status_at = [&](size_t node, const std::string& body) {
            int status = 503;
            service.wait_until([&] {
                auto reply = service.request_node(node, "POST", "/v2/runs", body);
                status = reply ? reply->status : 503;
                return status != 503;
            });
            return status;
        };
        auto submission_with = [&](const Row& row, const std::string& id) {
            auto body = json::parse(ServiceFixture::submission_body(id, "array", 2)).as_object();
            if (row.value.is_null())
                body.erase(row.field);
            else
                body[row.field] = row.value;
            return json::serialize(body);
        };
        for (size_t node : {leader, 1 - leader}) {
            SCOPED_TRACE(node == leader ? "leader" : forwards ? "follower" : "standby");
            for (auto& row : rows) {
                auto id = "req-" + std::to_string(++n);
                EXPECT_EQ(status_at(node, submission_with(row, id)), row.status)
                    << row.field << " " << row.value;
                EXPECT_EQ(service.job_status(id), "404") << row.field << " " << row.value;
                EXPECT_EQ(status_at(node, submission_with(row, "req-1")), 200)
                    << row.field << " " << row.value;
            }
            // The team limit of 32 CPUs applies to all tasks of a gang or service, but to each task
            // of an array by itself.
            for (auto [kind, status] : {std::pair{"ensemble", 422}, std::pair{"standing", 422},
                                        std::pair{"array", 201}}) {
                auto id = "req-" + std::to_string(++n);
                service.cloud->jobs[id] = {};
                auto body = ServiceFixture::with_field(
                    ServiceFixture::submission_body(id, kind, 33), "consignor", "red");
                EXPECT_EQ(status_at(node, body), status) << kind;
            }
            for (const char* body :
                 {"", "{", "7", "[]", "null", R"({"name_id":7})", R"({"name_id":"else"})", "{}"})
                EXPECT_EQ(status_at(node, body), 400) << body;
        }
    }
}

}  // namespace
}  // namespace weirmill
