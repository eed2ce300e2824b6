#include "fakes/fakes.h"

#include <charconv>

namespace weirmill::fakes {

namespace {

// Delay after which the controllers' requests to the state service have timed out.
constexpr double kBeyondClientTimeout_s = 1.6;

std::string query_parameter(const std::string& target, const std::string& name) {
    auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

HttpReply json_reply(int status, const json::value& v) { return {status, json::serialize(v)}; }

}  // namespace

StateService::StateService(asio::io_context& io) : io_(io) {}

Endpoint StateService::endpoint_for(int controller) {
    auto& server = servers_[controller];
    if (!server)
        server = std::make_unique<HttpServer>(io_, kLoopback, 1000,
                                              [this, controller](HttpRequest request) {
                                                  return handle(std::move(request), controller);
                                              });
    return {"127.0.0.1", server->port()};
}

std::map<std::string, json::value> StateService::snapshot() const {
    std::map<std::string, json::value> out;
    for (auto& [k, i] : items_) out[k] = i.value;
    return out;
}

size_t StateService::count_keys(const std::string& prefix) const {
    return static_cast<size_t>(std::count_if(items_.begin(), items_.end(),
                                             [&](auto& i) { return i.first.starts_with(prefix); }));
}

uint64_t StateService::version(const std::string& key) const {
    auto it = items_.find(key);
    return it == items_.end() ? 0 : it->second.version;
}

void StateService::put(const std::string& key, json::value value) {
    ++revision_;
    changes_.push_back({revision_, key, value});
    items_[key] = {std::move(value), revision_, 0};
}

void StateService::erase(const std::string& key) {
    ++revision_;
    if (items_.erase(key)) changes_.push_back({revision_, key, {}});
}

json::array StateService::events_since(const std::string& prefix, uint64_t after) const {
    json::array out;
    auto first = std::upper_bound(changes_.begin(), changes_.end(), after,
                                  [](uint64_t r, auto& change) { return r < change.revision; });
    for (auto it = first; it != changes_.end(); ++it) {
        if (!it->key.starts_with(prefix)) continue;
        if (it->value)
            out.push_back(
                json::object{{"write", it->key}, {"value", *it->value}, {"stamp", it->revision}});
        else
            out.push_back(json::object{{"drop", it->key}, {"stamp", it->revision}});
    }
    return out;
}

void StateService::end_outage() {
    unavailable = false;
    for (auto& [id, lease] : leases_) lease.expires_at = steady_now() + lease.ttl_s;
}

void StateService::expire_leases() {
    if (unavailable) return;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (steady_now() < it->second.expires_at) {
            ++it;
            continue;
        }
        bool deleted_any = false;
        for (auto i = items_.begin(); i != items_.end();) {
            if (i->second.lease != it->first) {
                ++i;
                continue;
            }
            revision_ += !std::exchange(deleted_any, true);
            changes_.push_back({revision_, i->first, {}});
            i = items_.erase(i);
        }
        it = leases_.erase(it);
    }
}

json::object StateService::item_json(const std::string& key, const Item& i) const {
    json::object o{{"path", key}, {"value", i.value}, {"stamp", i.version}};
    if (i.lease) o["permit"] = i.lease;
    return o;
}

bool StateService::accepts(const json::object& txn) const {
    return std::none_of(txn.at("then").as_array().begin(), txn.at("then").as_array().end(),
                        [&](auto& c) {
                            auto* value = c.as_object().if_contains("value");
                            return value && json::serialize(*value).size() > max_value_bytes;
                        });
}

HttpReply StateService::apply(const json::object& txn) {
    json::array failed;
    for (auto& c : txn.at("when").as_array()) {
        std::string key(c.at("path").as_string());
        auto it = items_.find(key);
        uint64_t version = it == items_.end() ? 0 : it->second.version;
        if (version != c.at("stamp").to_number<uint64_t>()) failed.emplace_back(key);
    }
    if (!failed.empty())
        return json_reply(409, json::object{{"failed", failed}, {"ledger", revision_}});
    ++revision_;
    for (auto& c : txn.at("then").as_array()) {
        auto& o = c.as_object();
        if (auto* drop = o.if_contains("drop")) {
            std::string key(drop->as_string());
            if (items_.erase(key)) changes_.push_back({revision_, key, {}});
        } else {
            uint64_t lease = o.contains("permit") ? o.at("permit").to_number<uint64_t>() : 0;
            if (lease && !leases_.count(lease))
                return json_reply(400, json::object{{"error", "no such lease"}});
            std::string key(o.at("write").as_string());
            items_[key] = {o.at("value"), revision_, lease};
            changes_.push_back({revision_, key, o.at("value")});
        }
    }
    return json_reply(200, json::object{{"ledger", revision_}});
}

asio::awaitable<HttpReply> StateService::handle(HttpRequest request, int controller) {
    expire_leases();
    std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/follow") {
        uint64_t from = std::stoull(query_parameter(request.target, "from"));
        auto prefix = query_parameter(request.target, "starts");
        for (double until =
                 steady_now() + std::stod(query_parameter(request.target, "block_ms")) / 1000;
             steady_now() < until && (refuses(controller) || events_since(prefix, from).empty());) {
            co_await sleep_s(0.02);
            expire_leases();
        }
        auto events = this->events_since(prefix, from);
        co_return json_reply(200, json::object{{"ledger", revision_}, {"events", events}});
    }
    if (refuses(controller)) co_return json_reply(503, json::object{});
    if (path == "/multi") {
        auto txn = json::parse(request.body).as_object();
        if (!accepts(txn)) {
            ++oversized_txns;
            co_return json_reply(400, json::object{{"error", "too large"}});
        }
        auto& then = txn.at("then").as_array();
        if (refuse_deletes && std::any_of(then.begin(), then.end(),
                                          [](auto& c) { return c.as_object().contains("drop"); }))
            co_return json_reply(503, json::object{});
        max_value_bytes =
            std::min(max_value_bytes, std::exchange(next_max_value_bytes, max_value_bytes));
        if (delay_txns > 0) {
            --delay_txns;
            co_await sleep_s(kBeyondClientTimeout_s);
            co_return apply(txn);
        }
        auto reply = apply(txn);
        bool response_lost =
            !lose_response_for_key.empty() &&
            request.body.find("\"" + lose_response_for_key + "\"") != std::string::npos;
        if (response_lost || lose_txn_responses > 0) {
            lose_txn_responses = std::max(0, lose_txn_responses - 1);
            co_await sleep_s(kBeyondClientTimeout_s);
        }
        co_return reply;
    }
    if (path == "/leases") {
        double ttl = json::parse(request.body).at("ttl_ms").to_number<double>() / 1000;
        leases_[next_lease_] = {ttl, steady_now() + ttl};
        co_return json_reply(200, json::object{{"permit", next_lease_++}});
    }
    if (path.starts_with("/leases/")) {
        auto it = leases_.find(std::stoull(path.substr(8)));
        if (it == leases_.end()) co_return json_reply(404, json::object{});
        it->second.expires_at = steady_now() + it->second.ttl_s;
        if (lease_response_delay_s > 0) co_await sleep_s(lease_response_delay_s);
        co_return json_reply(200, json::object{});
    }
    if (path == "/keys") {
        auto prefix = query_parameter(request.target, "starts"),
             after = query_parameter(request.target, "from");
        size_t max_items = std::stoul(query_parameter(request.target, "most"));
        json::array pairs;
        bool has_next = false;
        for (auto& [key, item] : items_) {
            if (!key.starts_with(prefix) || key <= after) continue;
            if (pairs.size() == max_items) {
                has_next = true;
                break;
            }
            pairs.push_back(item_json(key, item));
        }
        co_return json_reply(
            200, json::object{{"pairs", pairs}, {"has_next", has_next}, {"ledger", revision_}});
    }
    if (path.starts_with("/keys/")) {
        if (refuse_key_reads) co_return json_reply(503, json::object{});
        auto it = items_.find(path.substr(6));
        if (it == items_.end()) co_return json_reply(404, json::object{{"ledger", revision_}});
        co_return json_reply(200, item_json(it->first, it->second));
    }
    co_return json_reply(400, json::object{});
}

Worker::Worker(asio::io_context& io, Cloud& cloud, std::string name, std::string type,
               std::string zone, bool spot)
    : name(std::move(name)),
      type(std::move(type)),
      zone(std::move(zone)),
      spot(spot),
      io_(io),
      cloud_(cloud),
      lease_started_at_(steady_now()),
      server_(io, kLoopback, 100,
              [this](HttpRequest request) { return handle(std::move(request)); }) {}

void Worker::start() { asio::co_spawn(io_, heartbeat_loop(shared_from_this()), asio::detached); }

json::object Worker::heartbeat() {
    json::array tasks;
    for (auto& [id, t] : tasks_) {
        json::object o{{"lot", id}, {"try", t.attempt}, {"status", t.state}};
        if (!t.cause.empty()) o["cause"] = t.cause;
        if (t.saved) o["kept"] = true;
        tasks.push_back(std::move(o));
    }
    return {{"millstone", name}, {"addr", addr()},          {"rig", type},
            {"yard", zone},      {"loaners", spot},         {"shift", agent_epoch_},
            {"tick", ++seq_},    {"gavel", fencing_token_}, {"recall_s", nullptr},
            {"lots", tasks}};
}

void Worker::update_tasks() {
    if (paused) return;
    double now = steady_now();
    if (now - lease_started_at_ > cloud_.settings.lease_s) {
        tasks_.clear();
        ++agent_epoch_;
        lease_started_at_ = now;
    }
    for (auto& [id, t] : tasks_) {
        if (t.state != "running") continue;
        auto job = id.substr(0, id.rfind('/'));
        if (now < t.ends_at) continue;
        t.state = "exited";
        t.cause = cloud_.jobs[job].fails ? "error" : "done";
        cloud_.completed_tasks[job] += t.cause == "done";
        if (t.cause == "done") cloud_.task_completed_at.emplace(id, now);
    }
}

void Worker::execute_commands(const json::array& commands) {
    if (cloud_.hold_launches) return;
    for (auto& v : commands) {
        auto& o = v.as_object();
        std::string task(o.at("lot").as_string()), command(o.at("order").as_string());
        uint64_t attempt = o.at("try").to_number<uint64_t>();
        auto it = tasks_.find(task);
        if (command == "launch") {
            if (it != tasks_.end()) {
                if (it->second.attempt != attempt) cloud_.violations.push_back("busy " + task);
                continue;
            }
            cloud_.check_launch(*this, task);
            auto job = task.substr(0, task.rfind('/'));
            ++cloud_.task_starts[task];
            auto& spec = cloud_.jobs[job];
            double run_s =
                spec.run_s + spec.stagger_s * std::stoi(task.substr(task.rfind('/') + 1));
            tasks_[task] = {attempt, "running", "", steady_now() + run_s};
        } else if (command == "stop") {
            if (it != tasks_.end() && it->second.attempt == attempt &&
                it->second.state != "exited") {
                it->second.state = "exited";
                it->second.cause = "stopped";
            }
        } else if (it != tasks_.end() && it->second.state == "exited" &&
                   it->second.attempt == attempt) {
            tasks_.erase(it);
        }
    }
}

asio::awaitable<HttpReply> Worker::handle(HttpRequest request) {
    auto self = shared_from_this();
    while ((hold_commands || paused) && !dead_) co_await sleep_s(0.01);
    if (dead_ || unreachable || downlink_lost || lose_commands) co_return HttpReply{500, "{}"};
    update_tasks();
    auto v = json::parse(request.body).as_object();
    auto fencing_token = v.at("gavel").to_number<uint64_t>();
    if (fencing_token < fencing_token_ || v.at("shift").to_number<uint64_t>() != agent_epoch_)
        co_return json_reply(409, heartbeat());
    fencing_token_ = fencing_token;
    execute_commands(v.at("orders").as_array());
    co_return json_reply(200, heartbeat());
}

void Worker::restart() {
    tasks_.clear();
    agent_epoch_ = 1;
    seq_ = fencing_token_ = 0;
    lease_started_at_ = steady_now();
}

asio::awaitable<void> Worker::send_heartbeat_copy(std::shared_ptr<Worker> self, std::string body,
                                                  Endpoint to) {
    (void)self;
    HttpClient client(io_, to, 1024 * 1024);
    (void)co_await client.request("POST", "/v1/report", std::move(body), 1.0);
}

void Worker::resend_heartbeat(size_t n) {
    for (auto& to : cloud_.controllers)
        asio::co_spawn(io_, send_heartbeat_copy(shared_from_this(), sent_heartbeats_[n], to),
                       asio::detached);
}

asio::awaitable<void> Worker::heartbeat_loop(std::shared_ptr<Worker> self) {
    size_t controller = 0;
    bool failed = false;  // the last heartbeat was not answered with 200
    while (!dead_) {
        co_await sleep_s(failed && cloud_.workers_retry_soon
                             ? cloud_.settings.worker_failover_delay_s
                             : cloud_.settings.heartbeat_interval_s);
        update_tasks();
        if (dead_ || unreachable || paused || uplink_lost || cloud_.controllers.empty()) continue;
        if (only_controller >= 0) controller = static_cast<size_t>(only_controller);
        if (unreachable_controller >= 0 &&
            static_cast<size_t>(unreachable_controller) == controller % cloud_.controllers.size())
            ++controller;
        double sent = steady_now();
        uint64_t agent_epoch = agent_epoch_;
        HttpClient client(io_, cloud_.controllers[controller % cloud_.controllers.size()],
                          1024 * 1024);
        auto body = json::serialize(heartbeat());
        sent_heartbeats_.push_back(body);
        if (sent_heartbeats_.size() > 400) sent_heartbeats_.pop_front();
        for (int i = 0; i < stale_copies; ++i) {
            auto earlier =
                sent_heartbeats_[static_cast<size_t>(i) * 7919 % sent_heartbeats_.size()];
            auto to =
                cloud_
                    .controllers[(controller + static_cast<size_t>(i)) % cloud_.controllers.size()];
            asio::co_spawn(io_, send_heartbeat_copy(self, std::move(earlier), to), asio::detached);
        }
        auto reply = co_await client.request("POST", "/v1/report", body,
                                             cloud_.settings.worker_response_timeout_s);
        if (paused || uplink_lost)
            reply.reset();  // the request has timed out by the time that the worker goes on
        while (paused && !dead_) co_await sleep_s(0.01);
        if (dead_ || unreachable) continue;
        failed = !reply || reply->status != 200;
        if (downlink_lost) {
            ++controller;
            co_await sleep_s(cloud_.settings.worker_failover_delay_s);
            continue;
        }
        if (reply && reply->status == 200) {
            auto v = json::parse(reply->body).as_object();
            auto fencing_token = v.at("gavel").to_number<uint64_t>();
            if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_) continue;
            fencing_token_ = fencing_token;
            lease_started_at_ = sent;
            execute_commands(v.at("orders").as_array());
            continue;
        }
        ++controller;
        if (reply && reply->status == 421) {
            auto v = json::parse(reply->body).as_object();
            if (auto* leader = v.if_contains("clerk"); leader && leader->is_string())
                for (size_t i = 0; i < cloud_.controller_names.size(); ++i)
                    if (cloud_.controller_names[i] == leader->as_string()) controller = i;
        }
    }
    (void)self;
}

// Records the rules that a launch of the task on this worker breaks, given all running tasks.
void Cloud::check_launch(const Worker& worker, const std::string& task) {
    auto& job = jobs[task.substr(0, task.rfind('/'))];
    double used = job.cpus;
    for (auto& [name, other] : workers) {
        // A paused worker whose lease has expired ends its tasks before it does anything else.
        bool expired = other->paused && steady_now() - other->lease_started_at_ > settings.lease_s;
        if (other->dead() || expired) continue;
        for (auto& [other_task, t] : other->tasks_) {
            if (t.state == "exited") continue;
            if (other.get() != &worker && other_task == task)
                violations.push_back("ran_twice " + task);
            auto& other_job = jobs[other_task.substr(0, other_task.rfind('/'))];
            if (other_job.team == job.team) used += other_job.cpus;
        }
    }
    if (auto limit = team_cpu_limits.find(job.team);
        limit != team_cpu_limits.end() && used > limit->second)
        violations.push_back("quota " + task + " " + std::to_string(used));
    if (!job.zone.empty() && job.zone != worker.zone) violations.push_back("wrong_place " + task);
    for (auto& awaited : job.dependencies)
        if (completed_tasks[awaited] < static_cast<int>(jobs[awaited].tasks))
            violations.push_back("too_early " + task);
}

Cloud::Cloud(asio::io_context& io, const Settings& settings)
    : settings(settings), io_(io), server_(io, kLoopback, 1000, [this](HttpRequest request) {
          return handle(std::move(request));
      }) {}

int Worker::count_running(const std::string& job) {
    update_tasks();  // its lease may have expired while it waits for a response
    return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(), [&](auto& t) {
        return t.second.state != "exited" && t.first.starts_with(job + "/");
    }));
}

bool Cloud::is_running(const std::string& job) const {
    return std::any_of(workers.begin(), workers.end(),
                       [&](auto& w) { return !w.second->dead() && w.second->is_running(job); });
}

asio::awaitable<HttpReply> Cloud::handle(HttpRequest request) {
    std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/machine_types")
        co_return HttpReply{
            200,
            R"({"rigs":[{"label":"std","cores":8,"accelerators":0,"mem_gb":64,"local_gb":50,
            "fetch_gb_per_s":1.0,"hourly":1.0,"spot_price":0.5,"startup_s":20,"yards":["a","b"]}]})"};
    if (path == "/machines/return") {
        for (auto& v : json::parse(request.body).at("millstones").as_array()) {
            auto it = workers.find(std::string(v.as_string()));
            if (it != workers.end()) it->second->kill();
        }
        co_return json_reply(200, json::object{});
    }
    if (path == "/machines" && request.method == "POST") {
        auto v = json::parse(request.body).as_object();
        std::string request_id(v.at("hire").as_string());
        if (!provision_requests.insert(request_id).second)
            co_return json_reply(200, json::object{{"millstones", provisioned_names_[request_id]}});
        json::array names;
        for (int i = 0; i < v.at("count").to_number<int>(); ++i) {
            char name[16];
            std::snprintf(name, sizeof name, "vm-%06d", next_machine_++);
            auto w = std::make_shared<Worker>(
                io_, *this, name, std::string(v.at("rig").as_string()),
                std::string(v.at("yard").as_string()), v.at("loaners").as_bool());
            workers[name] = w;
            w->start();
            names.emplace_back(name);
        }
        provisioned_names_[request_id] = names;
        co_return json_reply(200, json::object{{"millstones", names}});
    }
    json::array list;
    for (auto& [n, w] : workers)
        if (!w->dead())
            list.push_back(json::object{{"name_id", n},
                                        {"addr", w->addr()},
                                        {"rig", w->type},
                                        {"yard", w->zone},
                                        {"loaners", w->spot},
                                        {"status", "running"},
                                        {"age_s", 1.0}});
    co_return json_reply(200, json::object{{"millstones", list}, {"has_next", false}});
}

}  // namespace weirmill::fakes
