// The whole service over loopback against stand-ins: some controllers, each with an io_context of
// its own, that can crash, and cases that wait for conditions, never for a time.
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

inline constexpr double kTestTimeout_s = 60;

struct ServiceFixture {
    // The stand-ins end last: connections of the controllers hold on to them.
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

    // What the controllers take from each other's addresses; `cut`: they refuse each other for
    // good.
    struct Options {
        bool standby_enabled = false, peers_refused = false;
        int unstarted_peers = 0;  // further controllers that never were started with this version
        double write_rps = 40;
        int txn_ops = 12;
        bool faulty_links =
            false;  // membership, and every link between the processes goes over a cable of its own
        double election_lease_s = 1.5;       // of the leadership
        double worker_timeout_s = 4;         // of workers, for an answer
        std::set<int> without_membership{};  // controllers whose version says nothing of links
    };
    // What a controller calls, or is called over; see fakes/faulty_link.h.
    std::map<std::pair<int, int>, std::unique_ptr<fakes::FaultyLink>> peer_links;  // from, to
    std::vector<std::unique_ptr<fakes::FaultyLink>> kv_links, worker_links;
    explicit ServiceFixture(int count) : ServiceFixture(count, Options{}) {}
    ServiceFixture(int count, Options with) {
        // WEIRMILL_TEST_LOG: what the controllers log, when a case fails.
        spdlog::set_level(std::getenv("WEIRMILL_TEST_LOG") ? spdlog::level::debug
                                                           : spdlog::level::off);
        base_settings.heartbeat_interval_s = 0.1;
        base_settings.lease_s = 2;
        base_settings.cancel_s = 6;
        base_settings.list_lag_s = 0.2;
        base_settings.cloud_rps = 50;
        base_settings.state_write_rps = with.write_rps;
        base_settings.txn_ops = with.txn_ops;
        base_properties.standby_enabled = with.standby_enabled;
        base_properties.election_lease_s = with.election_lease_s;
        base_properties.preemption_round_s = 0.5;
        base_properties.idle_keep_boots = 100;
        state_service = std::make_unique<fakes::StateService>(io);
        cloud = std::make_unique<fakes::Cloud>(io, base_settings);
        base_settings.cloud = cloud->endpoint();
        base_settings.worker_patience_s = with.worker_timeout_s;
        if (with.faulty_links) {
            base_settings.lease_s = 6;
            base_settings.cancel_s = 14;
            base_settings.worker_patience_s = 0.4;
            base_settings.worker_next_s = 0.1;
            base_settings.ping_s = 0.1;
        }
        for (int i = 0; i < count; ++i) add_node(i, with);
        for (int i = 0; i < count; ++i)
            for (int k = 0; k < count; ++k)
                if (i != k)
                    node_settings[i]->peers.push_back(
                        {node_settings[k]->name,
                         "a",
                         {"127.0.0.1",
                          with.peers_refused ? uint16_t{1} : peer_port(i, k, with.faulty_links)}});
        for (auto& s : node_settings)
            for (int k = 0; k < with.unstarted_peers; ++k)
                s->peers.push_back({"stranger-" + std::to_string(k), "a", {"127.0.0.1", 1}});
    }
    ~ServiceFixture() {
        // Tasks of a gang are done together, each by its own worker's clock: of these, nothing is
        // known.
        for (auto& [task, at] : cloud->task_completed_at) {
            auto job = task.substr(0, task.rfind('/'));
            if (cloud->jobs[job].gang ||
                cloud->completed_tasks[job] < static_cast<int>(cloud->jobs[job].tasks))
                continue;
            history.job_ended_at[job] = std::max(history.job_ended_at[job], at);
        }
        EXPECT_EQ(history.find_violation(), "");
        // The cases end in the middle of things: what still waits is dropped with its io_context.
        // So are connections between the stand-ins and the cables, whose coroutines look at them
        // once more.
        for (auto& n : nodes) n.release();
        for (auto& [ends, faulty_link] : peer_links) faulty_link.release();
        for (auto* cables : {&kv_links, &worker_links})
            for (auto& faulty_link : *cables) faulty_link.release();
        state_service.release();
        cloud.release();
    }

    uint16_t peer_port(int from, int to, bool through_faulty_link) {
        Endpoint at{"127.0.0.1", nodes[to]->peer_port()};
        if (!through_faulty_link) return at.port;
        return (peer_links[{from, to}] = std::make_unique<fakes::FaultyLink>(io, at))
            ->endpoint()
            .port;
    }
    void add_node(int i) { add_node(i, Options{}); }
    void add_node(int i, const Options& with) {
        node_settings.push_back(std::make_unique<Settings>(base_settings));
        node_settings.back()->name = "node-" + std::to_string(i);
        node_settings.back()->state = state_service->endpoint_for(i);
        if (with.faulty_links) {
            kv_links.push_back(
                std::make_unique<fakes::FaultyLink>(io, node_settings.back()->state));
            node_settings.back()->state = kv_links.back()->endpoint();
        }
        auto own = base_properties;
        own.membership_enabled = with.faulty_links && !with.without_membership.count(i);
        node_properties.push_back(std::make_unique<Properties>(own));
        node_io.push_back(std::make_unique<asio::io_context>(1));
        nodes.push_back(std::make_unique<RequestRouter>(*node_io.back(), *node_settings.back(),
                                                        *node_properties.back()));
        alive.push_back(true);
        Endpoint api{"127.0.0.1", nodes.back()->api_port()};
        if (with.faulty_links) {
            worker_links.push_back(std::make_unique<fakes::FaultyLink>(io, api));
            api = worker_links.back()->endpoint();
        }
        cloud->controllers.push_back(api);
        cloud->controller_names.push_back(node_settings.back()->name);
    }
    // As after kill -9: nothing of the node runs any more. Its sockets stay silent.
    void crash(int i) { alive[i] = false; }

    void poll_once() {
        for (size_t i = 0; i < node_io.size(); ++i)
            if (alive[i]) node_io[i]->poll();
        io.run_one_for(std::chrono::milliseconds(1));
    }
    bool wait_until(const std::function<bool()>& condition) {
        for (double end = steady_now() + kTestTimeout_s; steady_now() < end;) {
            if (condition()) return true;
            poll_once();
        }
        return false;
    }
    HttpAnswer request_any_node(const char* method, const std::string& target,
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
    // A request on its way; `over` once it is answered, or given up.
    struct PendingRequest {
        bool finished = false;
        std::optional<HttpAnswer> response;
        std::string job_status() const {
            if (!response || response->status / 100 != 2) return "";
            return std::string(json::parse(response->body).at("status").as_string());
        }
    };
    // Every question and answer about a job goes into the history, which is judged when the case is
    // over.
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
                    auto& e = self->history.requests[entry];
                    e.answered_at = steady_now();
                    e.status = out->response->status;
                    e.job_status = out->job_status();
                }
            }(this, client, method, target, body, out, entry),
            asio::detached);
        return out;
    }
    std::optional<HttpAnswer> request_node(size_t i, const char* method, const std::string& target,
                                           const std::string& body) {
        auto asked = send_request(i, method, target, body);
        wait_until([&] { return asked->finished; });
        return asked->response;
    }
    static constexpr size_t kNotRecorded = ~size_t{0};
    size_t record_request(size_t node, const std::string& method, const std::string& target,
                          const std::string& body) {
        RequestRecord e;
        e.sent_at = steady_now();
        e.node = "node-" + std::to_string(node);
        if (target == "/v2/runs" && method == "POST") {
            boost::system::error_code bad;
            auto v = json::parse(body, bad);
            if (bad || !v.is_object() || !v.as_object().contains("name_id") ||
                !v.at("name_id").is_string())
                return kNotRecorded;
            e.kind = RequestKind::Submission;
            e.job = std::string(v.at("name_id").as_string());
            if (auto* on = v.as_object().if_contains("awaits"); on && on->is_array()) {
                auto& needs = history.dependencies[e.job];
                needs.clear();
                for (auto& d : on->as_array())
                    if (d.is_string()) needs.emplace_back(d.as_string());
            }
        } else if (target.starts_with("/v2/runs/")) {
            e.job = target.substr(9);
            e.kind = e.job.ends_with("/cancel") ? RequestKind::Cancellation : RequestKind::Poll;
            if (e.kind == RequestKind::Cancellation) e.job.resize(e.job.size() - 7);
        } else {
            return kNotRecorded;
        }
        history.requests.push_back(std::move(e));
        return history.requests.size() - 1;
    }
    RequestHistory history;
    // What a user asked of a controller that the test plays: it was accepted there, or its
    // cancellation taken.
    void record_external_submission(const std::string& id, bool cancelled = false) {
        double now = steady_now();
        history.requests.push_back(
            {RequestKind::Submission, id, now, now, 201, "queued", "the test"});
        if (cancelled)
            history.requests.push_back(
                {RequestKind::Cancellation, id, now, now, 0, "", "the test"});
    }
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
    int submit(const std::string& id, const std::string& kind, int tasks, fakes::Job job = {}) {
        job.gang = kind == "ensemble";
        job.tasks = static_cast<uint32_t>(tasks);
        auto body = submission_body(id, kind, tasks);
        if (!job.dependencies.empty())
            body = with_field(body, "awaits", json::value_from(job.dependencies));
        cloud->jobs[id] = std::move(job);
        return request_any_node("POST", "/v2/runs", body).status;
    }
    int submit_with_dependencies(const std::string& id, std::vector<std::string> awaits,
                                 double run_s = 0.2) {
        fakes::Job job;
        job.run_s = run_s;
        job.dependencies = std::move(awaits);
        return submit(id, "array", 2, job);
    }
    static std::string with_field(const std::string& body, const char* field, json::value value) {
        auto o = json::parse(body).as_object();
        o[field] = std::move(value);
        return json::serialize(o);
    }
    void crash_leader() {
        auto old = leader_name();
        crash(old.back() - '0');
        EXPECT_TRUE(wait_until([&] { return !leader_name().empty() && leader_name() != old; }));
    }
    std::string job_status(const std::string& id) {
        auto a = request_any_node("GET", "/v2/runs/" + id);
        return a.status == 200 ? std::string(json::parse(a.body).at("status").as_string())
                               : std::to_string(a.status);
    }
    bool wait_until_done(const std::string& id) {
        return wait_until([&] { return state_service->snapshot().count("f/" + id) > 0; }) &&
               job_status(id) == "done";
    }
    // Whether some segment of the log holds this text.
    bool log_contains(const std::string& text) {
        auto keys = state_service->snapshot();
        return std::any_of(keys.begin(), keys.end(), [&](auto& k) {
            return k.first.starts_with(kSegmentPrefix) &&
                   json::serialize(k.second).find(text) != std::string::npos;
        });
    }
    std::string leader_name() {
        auto keys = state_service->snapshot();
        auto it = keys.find("leader");
        return it == keys.end() ? "" : std::string(it->second.at("name").as_string());
    }
};

}  // namespace weirmill::test
