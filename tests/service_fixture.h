// Fixture for tests that run real controllers over loopback against fakes of the state service, the
// cloud and its workers. Each controller has an io_context of its own, so that it can crash alone.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "controller/request_router.h"
#include "fakes/fakes.h"
#include "fakes/faulty_link.h"
#include "fixtures.h"
#include "history.h"

namespace weirmill::test {

namespace asio = boost::asio;
namespace json = boost::json;

// Limit of each wait for a condition.
inline constexpr double kTestTimeout_s = 60;

struct ServiceFixture {
    // Runs the fakes. Destroyed last, since connections of the controllers refer to the fakes.
    asio::io_context io{1};
    Settings base_settings = small_settings();
    Properties base_properties;
    std::vector<std::unique_ptr<Settings>> node_settings;
    std::vector<std::unique_ptr<Properties>> node_properties;
    std::vector<std::unique_ptr<asio::io_context>> node_io;
    std::unique_ptr<fakes::StateService> state_service;
    std::unique_ptr<fakes::Cloud> cloud;
    std::vector<std::unique_ptr<RequestRouter>> nodes;
    std::vector<bool> alive;

    struct Options {
        bool standby_enabled = false;
        bool peers_refused = false;  // controllers never reach each other
        int unstarted_peers = 0;     // configured controllers that never ran this version
        double write_rps = 40;
        int txn_ops = 12;
        // Enables membership and puts a FaultyLink into each connection between processes. The
        // lease of the workers is 6 s instead of 2 s.
        bool faulty_links = false;
        // Heartbeat interval, response timeout and failover delay of the workers have the ratios of
        // the protocol (8 s, 4 s and 1 s). Only with `faulty_links`.
        bool protocol_ratios = false;
        double election_lease_s = 1.5;
        double worker_timeout_s = 4;         // how long a worker waits for a response
        std::set<int> without_membership{};  // controllers of a version without link records
    };
    // Links between two controllers, by the index of the calling and of the called controller.
    std::map<std::pair<int, int>, std::unique_ptr<fakes::FaultyLink>> peer_links;
    // Links from each controller to the state service, and from the workers to each controller.
    std::vector<std::unique_ptr<fakes::FaultyLink>> kv_links, worker_links;

    explicit ServiceFixture(int count) : ServiceFixture(count, Options{}) {}
    ServiceFixture(int count, Options options) {
        // The environment variable WEIRMILL_TEST_LOG turns on the logs of the controllers.
        spdlog::set_level(std::getenv("WEIRMILL_TEST_LOG") ? spdlog::level::debug
                                                           : spdlog::level::off);
        base_settings.heartbeat_interval_s = 0.1;
        base_settings.lease_s = 2;
        base_settings.cancel_s = 6;
        base_settings.list_lag_s = 0.2;
        base_settings.cloud_rps = 50;
        base_settings.state_write_rps = options.write_rps;
        base_settings.txn_ops = options.txn_ops;
        base_properties.standby_enabled = options.standby_enabled;
        base_properties.election_lease_s = options.election_lease_s;
        base_properties.preemption_round_s = 0.5;
        base_properties.idle_keep_boots = 100;
        state_service = std::make_unique<fakes::StateService>(io);
        cloud = std::make_unique<fakes::Cloud>(io, base_settings);
        base_settings.cloud = cloud->endpoint();
        base_settings.worker_response_timeout_s = options.worker_timeout_s;
        if (options.faulty_links) {
            base_settings.lease_s = 6;
            base_settings.cancel_s = 14;
            base_settings.worker_response_timeout_s = 0.4;
            base_settings.worker_failover_delay_s = 0.1;
            base_settings.ping_interval_s = 0.1;
        }
        if (options.protocol_ratios) {
            base_settings.heartbeat_interval_s = 8 * base_settings.worker_failover_delay_s;
            cloud->workers_retry_soon = true;
        }
        for (int i = 0; i < count; ++i) add_node(i, options);
        for (int i = 0; i < count; ++i)
            for (int k = 0; k < count; ++k)
                if (i != k)
                    node_settings[i]->peers.push_back(
                        {node_settings[k]->name,
                         "a",
                         {"127.0.0.1", options.peers_refused
                                           ? uint16_t{1}
                                           : peer_port(i, k, options.faulty_links)}});
        for (auto& s : node_settings)
            for (int k = 0; k < options.unstarted_peers; ++k)
                s->peers.push_back({"stranger-" + std::to_string(k), "a", {"127.0.0.1", 1}});
    }
    ~ServiceFixture() {
        // The tasks of a gang complete together, yet the fake workers note each task by itself, so
        // the completion time of a gang is not known.
        for (auto& [task, at] : cloud->task_completed_at) {
            auto job = task.substr(0, task.rfind('/'));
            if (cloud->jobs[job].gang ||
                cloud->completed_tasks[job] < static_cast<int>(cloud->jobs[job].tasks))
                continue;
            history.job_ended_at[job] = std::max(history.job_ended_at[job], at);
        }
        EXPECT_EQ(history.find_violation(), "");
        // A test may end while operations are pending. Their coroutines are destroyed with the
        // io_contexts and access these objects once more, so the objects are leaked on purpose.
        for (auto& n : nodes) n.release();
        for (auto& [ends, faulty_link] : peer_links) faulty_link.release();
        for (auto* links : {&kv_links, &worker_links})
            for (auto& faulty_link : *links) faulty_link.release();
        state_service.release();
        cloud.release();
    }

    // Returns the port on which controller `from` reaches controller `to`.
    uint16_t peer_port(int from, int to, bool through_faulty_link) {
        Endpoint at{"127.0.0.1", nodes[to]->peer_port()};
        if (!through_faulty_link) return at.port;
        return (peer_links[{from, to}] = std::make_unique<fakes::FaultyLink>(io, at))
            ->endpoint()
            .port;
    }
    // Starts a controller named node-`i`; a restarted controller is a further entry of `nodes`.
    void add_node(int i) { add_node(i, Options{}); }
    void add_node(int i, const Options& options) {
        node_settings.push_back(std::make_unique<Settings>(base_settings));
        node_settings.back()->name = "node-" + std::to_string(i);
        node_settings.back()->state = state_service->endpoint_for(i);
        if (options.faulty_links) {
            kv_links.push_back(
                std::make_unique<fakes::FaultyLink>(io, node_settings.back()->state));
            node_settings.back()->state = kv_links.back()->endpoint();
        }
        auto own = base_properties;
        own.membership_enabled = options.faulty_links && !options.without_membership.count(i);
        node_properties.push_back(std::make_unique<Properties>(own));
        node_io.push_back(std::make_unique<asio::io_context>(1));
        nodes.push_back(std::make_unique<RequestRouter>(*node_io.back(), *node_settings.back(),
                                                        *node_properties.back()));
        alive.push_back(true);
        Endpoint api{"127.0.0.1", nodes.back()->api_port()};
        if (options.faulty_links) {
            worker_links.push_back(std::make_unique<fakes::FaultyLink>(io, api));
            api = worker_links.back()->endpoint();
        }
        cloud->controllers.push_back(api);
        cloud->controller_names.push_back(node_settings.back()->name);
    }
    // Stops the controller as SIGKILL does, but its sockets stay open and silent.
    void crash(int i) { alive[i] = false; }

    // Runs the ready handlers of all live controllers and of the fakes.
    void poll_once() {
        for (size_t i = 0; i < node_io.size(); ++i)
            if (alive[i]) node_io[i]->poll();
        io.run_one_for(std::chrono::milliseconds(1));
    }
    // Returns whether the condition holds before kTestTimeout_s is over.
    bool wait_until(const std::function<bool()>& condition) {
        for (double end = steady_now() + kTestTimeout_s; steady_now() < end;) {
            if (condition()) return true;
            poll_once();
        }
        return false;
    }
    // Asks the live controllers in turn until one answers with a status other than 503.
    HttpResponse request_any_node(const char* method, const std::string& target,
                                  const std::string& body = "") {
        for (double end = steady_now() + kTestTimeout_s; steady_now() < end;) {
            for (size_t i = 0; i < nodes.size(); ++i) {
                if (!alive[i]) continue;
                auto reply = request_node(i, method, target, body);
                if (reply && reply->status != 503) return *reply;
            }
            for (int k = 0; k < 50; ++k) poll_once();
        }
        return {};
    }
    // A request in flight. `finished` is set once it is answered or has timed out.
    struct PendingRequest {
        bool finished = false;
        std::optional<HttpResponse> response;
        // Returns the job status of a successful response, or an empty string.
        std::string job_status() const {
            if (!response || response->status / 100 != 2) return "";
            return std::string(json::parse(response->body).at("status").as_string());
        }
    };
    // Sends a request without waiting for its response. Requests about jobs are recorded in
    // `history`, which the destructor checks.
    std::shared_ptr<PendingRequest> send_request(size_t i, const char* method,
                                                 const std::string& target,
                                                 const std::string& body = "") {
        auto client = std::make_shared<HttpClient>(io, Endpoint{"127.0.0.1", nodes[i]->api_port()},
                                                   1024 * 1024);
        auto out = std::make_shared<PendingRequest>();
        auto entry = record_request(i, method, target, body);
        asio::co_spawn(
            io,
            [](ServiceFixture* self, std::shared_ptr<HttpClient> client, const char* method,
               std::string target, std::string body, std::shared_ptr<PendingRequest> out,
               size_t entry) -> asio::awaitable<void> {
                out->response = co_await client->request(method, target, body, 5);
                out->finished = true;
                if (entry != kNotRecorded && out->response) {
                    auto& record = self->history.requests[entry];
                    record.answered_at = steady_now();
                    record.status = out->response->status;
                    record.job_status = out->job_status();
                }
            }(this, client, method, target, body, out, entry),
            asio::detached);
        return out;
    }
    // Sends a request to one controller and waits for its response.
    std::optional<HttpResponse> request_node(size_t i, const char* method,
                                             const std::string& target, const std::string& body) {
        auto pending = send_request(i, method, target, body);
        wait_until([&] { return pending->finished; });
        return pending->response;
    }
    static constexpr size_t kNotRecorded = ~size_t{0};
    // Adds the request to `history`. Returns its index, or kNotRecorded if it concerns no job.
    size_t record_request(size_t node, const std::string& method, const std::string& target,
                          const std::string& body) {
        RequestRecord record;
        record.sent_at = steady_now();
        record.node = "node-" + std::to_string(node);
        if (target == "/v2/runs" && method == "POST") {
            boost::system::error_code error;
            auto v = json::parse(body, error);
            if (error || !v.is_object() || !v.as_object().contains("name_id") ||
                !v.at("name_id").is_string())
                return kNotRecorded;
            record.kind = RequestKind::Submission;
            record.job = std::string(v.at("name_id").as_string());
            if (auto* awaits = v.as_object().if_contains("awaits"); awaits && awaits->is_array()) {
                auto& dependencies = history.dependencies[record.job];
                dependencies.clear();
                for (auto& d : awaits->as_array())
                    if (d.is_string()) dependencies.emplace_back(d.as_string());
            }
        } else if (target.starts_with("/v2/runs/")) {
            record.job = target.substr(9);
            record.kind =
                record.job.ends_with("/cancel") ? RequestKind::Cancellation : RequestKind::Poll;
            if (record.kind == RequestKind::Cancellation) record.job.resize(record.job.size() - 7);
        } else {
            return kNotRecorded;
        }
        history.requests.push_back(std::move(record));
        return history.requests.size() - 1;
    }
    RequestHistory history;
    // Records a submission, and optionally a cancellation, that a controller accepted which the
    // test simulates by writing to the state service itself.
    void record_external_submission(const std::string& id, bool cancelled = false) {
        double now = steady_now();
        history.requests.push_back(
            {RequestKind::Submission, id, now, now, 201, "queued", "the test"});
        if (cancelled)
            history.requests.push_back(
                {RequestKind::Cancellation, id, now, now, 0, "", "the test"});
    }
    // Returns the JSON body of a submission.
    static std::string submission_body(const std::string& id, const std::string& kind, int tasks,
                                       double cpus = 1) {
        return json::serialize(json::object{{"name_id", id},
                                            {"lot_class", "c"},
                                            {"consignor", "blue"},
                                            {"sale_kind", kind},
                                            {"urgency", "normal"},
                                            {"lots", tasks},
                                            {"cores", cpus},
                                            {"accelerators", 0.0},
                                            {"mem_gb", 1.0},
                                            {"bundle", "i"},
                                            {"size_gb", 1.0},
                                            {"same_place", false},
                                            {"scatter", false},
                                            {"loaners", true},
                                            {"expected_s", 1.0},
                                            {"tally_s", 0.0},
                                            {"bank_s", 0.0}});
    }
    // Submits a job whose tasks behave as `job` says; returns the HTTP status.
    int submit(const std::string& id, const std::string& kind, int tasks, fakes::Job job = {}) {
        job.gang = kind == "ensemble";
        job.tasks = static_cast<uint32_t>(tasks);
        auto body = submission_body(id, kind, tasks);
        if (!job.dependencies.empty())
            body = with_field(body, "awaits", json::value_from(job.dependencies));
        cloud->jobs[id] = std::move(job);
        return request_any_node("POST", "/v2/runs", body).status;
    }
    int submit_with_dependencies(const std::string& id, std::vector<std::string> dependencies,
                                 double run_s = 0.2) {
        fakes::Job job;
        job.run_s = run_s;
        job.dependencies = std::move(dependencies);
        return submit(id, "array", 2, job);
    }
    // Returns a copy of the JSON object `body` with one field set.
    static std::string with_field(const std::string& body, const char* field, json::value value) {
        auto o = json::parse(body).as_object();
        o[field] = std::move(value);
        return json::serialize(o);
    }
    void crash_leader() {
        auto old_leader = leader_name();
        crash(old_leader.back() - '0');
        EXPECT_TRUE(
            wait_until([&] { return !leader_name().empty() && leader_name() != old_leader; }));
    }
    // Returns the status of a job, or the HTTP status if that is not 200.
    std::string job_status(const std::string& id) {
        auto a = request_any_node("GET", "/v2/runs/" + id);
        return a.status == 200 ? std::string(json::parse(a.body).at("status").as_string())
                               : std::to_string(a.status);
    }
    // Waits until the final state of the job is stored; returns whether that is "done".
    bool wait_until_done(const std::string& id) {
        return wait_until([&] { return state_service->snapshot().count("f/" + id) > 0; }) &&
               job_status(id) == "done";
    }
    // Returns whether a segment of the state log contains this text.
    bool log_contains(const std::string& text) {
        auto keys = state_service->snapshot();
        return std::any_of(keys.begin(), keys.end(), [&](auto& k) {
            return k.first.starts_with(kSegmentPrefix) &&
                   json::serialize(k.second).find(text) != std::string::npos;
        });
    }
    // Returns the name in the leader key, or an empty string if no controller leads.
    std::string leader_name() {
        auto keys = state_service->snapshot();
        auto it = keys.find("leader");
        return it == keys.end() ? "" : std::string(it->second.at("name").as_string());
    }
};

}  // namespace weirmill::test
