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

inline constexpr double kPatience_s = 60;

struct Service {
    // The stand-ins end last: connections of the controllers hold on to them.
    asio::io_context io{1};
    Settings base = small_settings();
    Properties properties;
    std::vector<std::unique_ptr<Settings>> settings;
    std::vector<std::unique_ptr<Properties>> node_properties;
    std::vector<std::unique_ptr<asio::io_context>> node_io;
    std::unique_ptr<fakes::State> state;
    std::unique_ptr<fakes::Cloud> cloud;
    std::vector<std::unique_ptr<RequestRouter>> nodes;
    std::vector<bool> alive;

    // What the controllers take from each other's addresses; `cut`: they refuse each other for
    // good.
    struct With {
        bool doors = false, cut = false;
        int strangers = 0;  // further controllers that never were started with this version
        double write_rps = 40;
        int txn_ops = 12;
        bool links =
            false;  // membership, and every link between the processes goes over a cable of its own
        double lease_s = 1.5;   // of the leadership
        double patience_s = 4;  // of workers, for an answer
        std::set<int> old{};    // controllers whose version says nothing of links
    };
    // What a controller calls, or is called over; see fakes/faulty_link.h.
    std::map<std::pair<int, int>, std::unique_ptr<fakes::FaultyLink>> peer_links;  // from, to
    std::vector<std::unique_ptr<fakes::FaultyLink>> kv_links, worker_cables;
    explicit Service(int count) : Service(count, With{}) {}
    Service(int count, With with) {
        // WEIRMILL_TEST_LOG: what the controllers log, when a case fails.
        spdlog::set_level(std::getenv("WEIRMILL_TEST_LOG") ? spdlog::level::debug
                                                           : spdlog::level::off);
        base.heartbeat_interval_s = 0.1;
        base.lease_s = 2;
        base.cancel_s = 6;
        base.list_lag_s = 0.2;
        base.cloud_rps = 50;
        base.state_write_rps = with.write_rps;
        base.txn_ops = with.txn_ops;
        properties.standby_enabled = with.doors;
        properties.election_lease_s = with.lease_s;
        properties.preemption_round_s = 0.5;
        properties.idle_keep_boots = 100;
        state = std::make_unique<fakes::State>(io);
        cloud = std::make_unique<fakes::Cloud>(io, base);
        base.cloud = cloud->at();
        base.worker_response_timeout_s = with.patience_s;
        if (with.links) {
            base.lease_s = 6;
            base.cancel_s = 14;
            base.worker_response_timeout_s = 0.4;
            base.worker_failover_delay_s = 0.1;
            base.ping_interval_s = 0.1;
        }
        for (int i = 0; i < count; ++i) add_node(i, with);
        for (int i = 0; i < count; ++i)
            for (int k = 0; k < count; ++k)
                if (i != k)
                    settings[i]->peers.push_back(
                        {settings[k]->name,
                         "a",
                         {"127.0.0.1", with.cut ? uint16_t{1} : peer_port(i, k, with.links)}});
        for (auto& s : settings)
            for (int k = 0; k < with.strangers; ++k)
                s->peers.push_back({"stranger-" + std::to_string(k), "a", {"127.0.0.1", 1}});
    }
    ~Service() {
        // Tasks of a gang are done together, each by its own worker's clock: of these, nothing is
        // known.
        for (auto& [task, at] : cloud->done_at) {
            auto job = task.substr(0, task.rfind('/'));
            if (cloud->jobs[job].gang ||
                cloud->ends[job] < static_cast<int>(cloud->jobs[job].tasks))
                continue;
            history.ended[job] = std::max(history.ended[job], at);
        }
        EXPECT_EQ(history.contradiction(), "");
        // The cases end in the middle of things: what still waits is dropped with its io_context.
        // So are connections between the stand-ins and the cables, whose coroutines look at them
        // once more.
        for (auto& n : nodes) n.release();
        for (auto& [ends, faulty_link] : peer_links) faulty_link.release();
        for (auto* cables : {&kv_links, &worker_cables})
            for (auto& faulty_link : *cables) faulty_link.release();
        state.release();
        cloud.release();
    }

    uint16_t peer_port(int from, int to, bool through_faulty_link) {
        Endpoint at{"127.0.0.1", nodes[to]->peer_port()};
        if (!through_faulty_link) return at.port;
        return (peer_links[{from, to}] = std::make_unique<fakes::FaultyLink>(io, at))->at().port;
    }
    void add_node(int i) { add_node(i, With{}); }
    void add_node(int i, const With& with) {
        settings.push_back(std::make_unique<Settings>(base));
        settings.back()->name = "node-" + std::to_string(i);
        settings.back()->state = state->endpoint_for(i);
        if (with.links) {
            kv_links.push_back(std::make_unique<fakes::FaultyLink>(io, settings.back()->state));
            settings.back()->state = kv_links.back()->at();
        }
        auto own = properties;
        own.membership_enabled = with.links && !with.old.count(i);
        node_properties.push_back(std::make_unique<Properties>(own));
        node_io.push_back(std::make_unique<asio::io_context>(1));
        nodes.push_back(std::make_unique<RequestRouter>(*node_io.back(), *settings.back(),
                                                        *node_properties.back()));
        alive.push_back(true);
        Endpoint api{"127.0.0.1", nodes.back()->api_port()};
        if (with.links) {
            worker_cables.push_back(std::make_unique<fakes::FaultyLink>(io, api));
            api = worker_cables.back()->at();
        }
        cloud->nodes.push_back(api);
        cloud->node_names.push_back(settings.back()->name);
    }
    // As after kill -9: nothing of the node runs any more. Its sockets stay silent.
    void crash(int i) { alive[i] = false; }

    void turn() {
        for (size_t i = 0; i < node_io.size(); ++i)
            if (alive[i]) node_io[i]->poll();
        io.run_one_for(std::chrono::milliseconds(1));
    }
    bool until(const std::function<bool()>& condition) {
        for (double end = steady_now() + kPatience_s; steady_now() < end;) {
            if (condition()) return true;
            turn();
        }
        return false;
    }
    HttpResponse ask(const char* method, const std::string& target, const std::string& body = "") {
        for (double end = steady_now() + kPatience_s; steady_now() < end;) {
            for (size_t i = 0; i < nodes.size(); ++i) {
                if (!alive[i]) continue;
                auto reply = ask_node(i, method, target, body);
                if (reply && reply->status != 503) return *reply;
            }
            for (int k = 0; k < 50; ++k) turn();
        }
        return {};
    }
    // A request on its way; `over` once it is answered, or given up.
    struct Asked {
        bool over = false;
        std::optional<HttpResponse> answer;
        std::string state() const {
            if (!answer || answer->status / 100 != 2) return "";
            return std::string(json::parse(answer->body).at("status").as_string());
        }
    };
    // Every question and answer about a job goes into the history, which is judged when the case is
    // over.
    std::shared_ptr<Asked> begin(size_t i, const char* method, const std::string& target,
                                 const std::string& body = "") {
        auto client = std::make_shared<HttpClient>(io, Endpoint{"127.0.0.1", nodes[i]->api_port()},
                                                   1024 * 1024);
        auto out = std::make_shared<Asked>();
        auto entry = note(i, method, target, body);
        asio::co_spawn(
            io,
            [](Service* self, std::shared_ptr<HttpClient> client, const char* method,
               std::string target, std::string body, std::shared_ptr<Asked> out,
               size_t entry) -> asio::awaitable<void> {
                out->answer = co_await client->request(method, target, body, 5);
                out->over = true;
                if (entry != kNoEntry && out->answer) {
                    auto& e = self->history.exchanges[entry];
                    e.answered = steady_now();
                    e.status = out->answer->status;
                    e.state = out->state();
                }
            }(this, client, method, target, body, out, entry),
            asio::detached);
        return out;
    }
    std::optional<HttpResponse> ask_node(size_t i, const char* method, const std::string& target,
                                         const std::string& body) {
        auto asked = begin(i, method, target, body);
        until([&] { return asked->over; });
        return asked->answer;
    }
    static constexpr size_t kNoEntry = ~size_t{0};
    size_t note(size_t node, const std::string& method, const std::string& target,
                const std::string& body) {
        Exchange e;
        e.asked = steady_now();
        e.where = "node-" + std::to_string(node);
        if (target == "/v2/runs" && method == "POST") {
            boost::system::error_code bad;
            auto v = json::parse(body, bad);
            if (bad || !v.is_object() || !v.as_object().contains("name_id") ||
                !v.at("name_id").is_string())
                return kNoEntry;
            e.asking = Asking::Submission;
            e.job = std::string(v.at("name_id").as_string());
            if (auto* on = v.as_object().if_contains("awaits"); on && on->is_array()) {
                auto& needs = history.awaits[e.job];
                needs.clear();
                for (auto& d : on->as_array())
                    if (d.is_string()) needs.emplace_back(d.as_string());
            }
        } else if (target.starts_with("/v2/runs/")) {
            e.job = target.substr(9);
            e.asking = e.job.ends_with("/cancel") ? Asking::Cancellation : Asking::Poll;
            if (e.asking == Asking::Cancellation) e.job.resize(e.job.size() - 7);
        } else {
            return kNoEntry;
        }
        history.exchanges.push_back(std::move(e));
        return history.exchanges.size() - 1;
    }
    History history;
    // What a user asked of a controller that the test plays: it was accepted there, or its
    // cancellation taken.
    void asked_elsewhere(const std::string& id, bool cancelled = false) {
        double now = steady_now();
        history.exchanges.push_back({Asking::Submission, id, now, now, 201, "queued", "the test"});
        if (cancelled)
            history.exchanges.push_back({Asking::Cancellation, id, now, now, 0, "", "the test"});
    }
    static std::string submission(const std::string& id, const std::string& kind, int tasks,
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
        auto body = submission(id, kind, tasks);
        if (!job.awaits.empty()) body = with(body, "awaits", json::value_from(job.awaits));
        cloud->jobs[id] = std::move(job);
        return ask("POST", "/v2/runs", body).status;
    }
    int submit_after(const std::string& id, std::vector<std::string> awaits, double run_s = 0.2) {
        fakes::Job job;
        job.run_s = run_s;
        job.awaits = std::move(awaits);
        return submit(id, "array", 2, job);
    }
    static std::string with(const std::string& body, const char* field, json::value value) {
        auto o = json::parse(body).as_object();
        o[field] = std::move(value);
        return json::serialize(o);
    }
    void crash_leader() {
        auto old = leader();
        crash(old.back() - '0');
        EXPECT_TRUE(until([&] { return !leader().empty() && leader() != old; }));
    }
    std::string status(const std::string& id) {
        auto a = ask("GET", "/v2/runs/" + id);
        return a.status == 200 ? std::string(json::parse(a.body).at("status").as_string())
                               : std::to_string(a.status);
    }
    bool done(const std::string& id) {
        return until([&] { return state->keys().count("f/" + id) > 0; }) && status(id) == "done";
    }
    // Whether some segment of the log holds this text.
    bool recorded(const std::string& text) {
        auto keys = state->keys();
        return std::any_of(keys.begin(), keys.end(), [&](auto& k) {
            return k.first.starts_with(kSegmentPrefix) &&
                   json::serialize(k.second).find(text) != std::string::npos;
        });
    }
    std::string leader() {
        auto keys = state->keys();
        auto it = keys.find("leader");
        return it == keys.end() ? "" : std::string(it->second.at("name").as_string());
    }
};

}  // namespace weirmill::test
