#include "fakes/fakes.h"

#include <charconv>

namespace weirmill::fakes {

namespace {

std::string query(const std::string& target, const std::string& name) {
    auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

HttpReply answer(int status, const json::value& v) { return {status, json::serialize(v)}; }

}  // namespace

State::State(asio::io_context& io) : io_(io) {}

Endpoint State::endpoint_for(int controller) {
    auto& endpoint_for = servers_[controller];
    if (!endpoint_for)
        endpoint_for = std::make_unique<HttpServer>(
            io_, kLoopback, 1000,
            [this, controller](HttpRequest r) { return handle(std::move(r), controller); });
    return {"127.0.0.1", endpoint_for->port()};
}

std::map<std::string, json::value> State::keys() const {
    std::map<std::string, json::value> out;
    for (auto& [k, i] : items_) out[k] = i.value;
    return out;
}

size_t State::count(const std::string& prefix) const {
    return static_cast<size_t>(std::count_if(items_.begin(), items_.end(),
                                             [&](auto& i) { return i.first.starts_with(prefix); }));
}

void State::put(const std::string& key, json::value value) {
    ++revision_;
    history_.push_back({revision_, key, value});
    items_[key] = {std::move(value), revision_, 0};
}

void State::drop(const std::string& key) {
    ++revision_;
    if (items_.erase(key)) history_.push_back({revision_, key, {}});
}

json::array State::events(const std::string& prefix, uint64_t after) const {
    json::array out;
    auto first = std::upper_bound(history_.begin(), history_.end(), after,
                                  [](uint64_t r, auto& change) { return r < change.revision; });
    for (auto it = first; it != history_.end(); ++it) {
        if (!it->key.starts_with(prefix)) continue;
        if (it->value)
            out.push_back(
                json::object{{"write", it->key}, {"value", *it->value}, {"stamp", it->revision}});
        else
            out.push_back(json::object{{"drop", it->key}, {"stamp", it->revision}});
    }
    return out;
}

void State::end_outage() {
    down = false;
    for (auto& [id, lease] : leases_) lease.until = steady_now() + lease.ttl;
}

void State::expire() {
    if (down) return;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (steady_now() < it->second.until) {
            ++it;
            continue;
        }
        bool any = false;
        for (auto i = items_.begin(); i != items_.end();) {
            if (i->second.lease != it->first) {
                ++i;
                continue;
            }
            revision_ += !std::exchange(any, true);
            history_.push_back({revision_, i->first, {}});
            i = items_.erase(i);
        }
        it = leases_.erase(it);
    }
}

json::object State::item_json(const std::string& key, const Item& i) const {
    json::object o{{"path", key}, {"value", i.value}, {"stamp", i.version}};
    if (i.lease) o["permit"] = i.lease;
    return o;
}

bool State::takes(const json::object& txn) const {
    return std::none_of(txn.at("then").as_array().begin(), txn.at("then").as_array().end(),
                        [&](auto& c) {
                            auto* value = c.as_object().if_contains("value");
                            return value && json::serialize(*value).size() > value_bytes;
                        });
}

HttpReply State::apply(const json::object& txn) {
    json::array failed;
    for (auto& c : txn.at("when").as_array()) {
        std::string key(c.at("path").as_string());
        auto it = items_.find(key);
        uint64_t version = it == items_.end() ? 0 : it->second.version;
        if (version != c.at("stamp").to_number<uint64_t>()) failed.emplace_back(key);
    }
    if (!failed.empty())
        return answer(409, json::object{{"failed", failed}, {"ledger", revision_}});
    ++revision_;
    for (auto& c : txn.at("then").as_array()) {
        auto& o = c.as_object();
        if (auto* drop = o.if_contains("drop")) {
            std::string key(drop->as_string());
            if (items_.erase(key)) history_.push_back({revision_, key, {}});
        } else {
            uint64_t lease = o.contains("permit") ? o.at("permit").to_number<uint64_t>() : 0;
            if (lease && !leases_.count(lease))
                return answer(400, json::object{{"error", "no such lease"}});
            std::string key(o.at("write").as_string());
            items_[key] = {o.at("value"), revision_, lease};
            history_.push_back({revision_, key, o.at("value")});
        }
    }
    return answer(200, json::object{{"ledger", revision_}});
}

asio::awaitable<HttpReply> State::handle(HttpRequest r, int controller) {
    expire();
    std::string path = r.target.substr(0, r.target.find('?'));
    if (path == "/follow") {
        uint64_t from = std::stoull(query(r.target, "from"));
        auto prefix = query(r.target, "starts");
        for (double until = steady_now() + std::stod(query(r.target, "block_ms")) / 1000;
             steady_now() < until && (closed(controller) || events(prefix, from).empty());) {
            co_await sleep_s(0.02);
            expire();
        }
        auto events = this->events(prefix, from);
        co_return answer(200, json::object{{"ledger", revision_}, {"events", events}});
    }
    if (closed(controller)) co_return answer(503, json::object{});
    if (path == "/multi") {
        auto txn = json::parse(r.body).as_object();
        if (!takes(txn)) {
            ++too_large;
            co_return answer(400, json::object{{"error", "too large"}});
        }
        auto& then = txn.at("then").as_array();
        if (refuse_drops && std::any_of(then.begin(), then.end(),
                                        [](auto& c) { return c.as_object().contains("drop"); }))
            co_return answer(503, json::object{});
        value_bytes = std::min(value_bytes, std::exchange(next_value_bytes, value_bytes));
        if (delay_txns > 0) {
            --delay_txns;
            co_await sleep_s(1.6);
            co_return apply(txn);
        }
        auto reply = apply(txn);
        bool lost = !lose_answer_of.empty() &&
                    r.body.find("\"" + lose_answer_of + "\"") != std::string::npos;
        if (lost || lose_txn_answers > 0) {
            lose_txn_answers = std::max(0, lose_txn_answers - 1);
            co_await sleep_s(1.6);
        }
        co_return reply;
    }
    if (path == "/leases") {
        double ttl = json::parse(r.body).at("ttl_ms").to_number<double>() / 1000;
        leases_[next_lease_] = {ttl, steady_now() + ttl};
        co_return answer(200, json::object{{"permit", next_lease_++}});
    }
    if (path.starts_with("/leases/")) {
        auto it = leases_.find(std::stoull(path.substr(8)));
        if (it == leases_.end()) co_return answer(404, json::object{});
        it->second.until = steady_now() + it->second.ttl;
        if (slow_leases_s > 0) co_await sleep_s(slow_leases_s);
        co_return answer(200, json::object{});
    }
    if (path == "/keys") {
        auto prefix = query(r.target, "starts"), after = query(r.target, "from");
        size_t most = std::stoul(query(r.target, "most"));
        json::array pairs;
        bool more = false;
        for (auto& [key, item] : items_) {
            if (!key.starts_with(prefix) || key <= after) continue;
            if (pairs.size() == most) {
                more = true;
                break;
            }
            pairs.push_back(item_json(key, item));
        }
        co_return answer(200,
                         json::object{{"pairs", pairs}, {"has_next", more}, {"ledger", revision_}});
    }
    if (path.starts_with("/keys/")) {
        if (refuse_keys) co_return answer(503, json::object{});
        auto it = items_.find(path.substr(6));
        if (it == items_.end()) co_return answer(404, json::object{{"ledger", revision_}});
        co_return answer(200, item_json(it->first, it->second));
    }
    co_return answer(400, json::object{});
}

Worker::Worker(asio::io_context& io, Cloud& cloud, std::string name, std::string type,
               std::string zone, bool spot)
    : name(std::move(name)),
      type(std::move(type)),
      zone(std::move(zone)),
      spot(spot),
      io_(io),
      cloud_(cloud),
      lease_from_(steady_now()),
      server_(io, kLoopback, 100, [this](HttpRequest r) { return handle(std::move(r)); }) {}

void Worker::start() { asio::co_spawn(io_, live(shared_from_this()), asio::detached); }

json::object Worker::report() {
    json::array lots;
    for (auto& [id, t] : tasks_) {
        json::object o{{"lot", id}, {"try", t.attempt}, {"status", t.state}};
        if (!t.cause.empty()) o["cause"] = t.cause;
        if (t.saved) o["kept"] = true;
        lots.push_back(std::move(o));
    }
    return {{"millstone", name},   {"addr", addr()},    {"rig", type},    {"yard", zone},
            {"loaners", spot},     {"shift", session_}, {"tick", ++seq_}, {"gavel", fencing_token_},
            {"recall_s", nullptr}, {"lots", lots}};
}

void Worker::step() {
    if (hung) return;
    double now = steady_now();
    if (now - lease_from_ > cloud_.settings.lease_s) {
        tasks_.clear();
        ++session_;
        lease_from_ = now;
    }
    for (auto& [id, t] : tasks_) {
        if (t.state != "running") continue;
        auto job = id.substr(0, id.rfind('/'));
        if (now < t.ends) continue;
        t.state = "exited";
        t.cause = cloud_.jobs[job].fails ? "error" : "done";
        cloud_.ends[job] += t.cause == "done";
        if (t.cause == "done") cloud_.done_at.emplace(id, now);
    }
}

void Worker::execute(const json::array& orders) {
    if (cloud_.held_starts) return;
    for (auto& v : orders) {
        auto& o = v.as_object();
        std::string lot(o.at("lot").as_string()), op(o.at("order").as_string());
        uint64_t attempt = o.at("try").to_number<uint64_t>();
        auto it = tasks_.find(lot);
        if (op == "launch") {
            if (it != tasks_.end()) {
                if (it->second.attempt != attempt) cloud_.broken.push_back("busy " + lot);
                continue;
            }
            cloud_.check_start(*this, lot);
            auto job = lot.substr(0, lot.rfind('/'));
            ++cloud_.starts[lot];
            auto& spec = cloud_.jobs[job];
            double run_s = spec.run_s + spec.stagger_s * std::stoi(lot.substr(lot.rfind('/') + 1));
            tasks_[lot] = {attempt, "running", "", steady_now() + run_s};
        } else if (op == "stop") {
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

asio::awaitable<HttpReply> Worker::handle(HttpRequest r) {
    auto self = shared_from_this();
    while ((hold_commands || hung) && !dead_) co_await sleep_s(0.01);
    if (dead_ || silent || downlink_lost || no_commands) co_return HttpReply{500, "{}"};
    step();
    auto v = json::parse(r.body).as_object();
    auto fencing_token = v.at("gavel").to_number<uint64_t>();
    if (fencing_token < fencing_token_ || v.at("shift").to_number<uint64_t>() != session_)
        co_return answer(409, report());
    fencing_token_ = fencing_token;
    execute(v.at("orders").as_array());
    co_return answer(200, report());
}

void Worker::begin_anew() {
    tasks_.clear();
    session_ = 1;
    seq_ = fencing_token_ = 0;
    lease_from_ = steady_now();
}

asio::awaitable<void> Worker::send_copy(std::shared_ptr<Worker> self, std::string body,
                                        Endpoint to) {
    (void)self;
    HttpClient client(io_, to, 1024 * 1024);
    (void)co_await client.request("POST", "/v1/report", std::move(body), 1.0);
}

void Worker::repeat_report(size_t n) {
    for (auto& to : cloud_.nodes)
        asio::co_spawn(io_, send_copy(shared_from_this(), sent_[n], to), asio::detached);
}

asio::awaitable<void> Worker::live(std::shared_ptr<Worker> self) {
    size_t node = 0;
    while (!dead_) {
        co_await sleep_s(cloud_.settings.heartbeat_interval_s);
        step();
        if (dead_ || silent || hung || mute || cloud_.nodes.empty()) continue;
        if (only >= 0) node = static_cast<size_t>(only);
        if (cut_from >= 0 && static_cast<size_t>(cut_from) == node % cloud_.nodes.size()) ++node;
        double sent = steady_now();
        uint64_t agent_epoch = session_;
        HttpClient client(io_, cloud_.nodes[node % cloud_.nodes.size()], 1024 * 1024);
        auto body = json::serialize(report());
        sent_.push_back(body);
        if (sent_.size() > 400) sent_.pop_front();
        for (int i = 0; i < copies; ++i) {
            auto old = sent_[static_cast<size_t>(i) * 7919 % sent_.size()];
            auto to = cloud_.nodes[(node + static_cast<size_t>(i)) % cloud_.nodes.size()];
            asio::co_spawn(io_, send_copy(self, std::move(old), to), asio::detached);
        }
        auto reply = co_await client.request("POST", "/v1/report", body,
                                             cloud_.settings.worker_response_timeout_s);
        if (hung || mute) reply.reset();  // given up by the time that it goes on
        while (hung && !dead_) co_await sleep_s(0.01);
        if (dead_ || silent) continue;
        if (downlink_lost) {
            ++node;
            co_await sleep_s(cloud_.settings.worker_failover_delay_s);
            continue;
        }
        if (reply && reply->status == 200) {
            auto v = json::parse(reply->body).as_object();
            auto fencing_token = v.at("gavel").to_number<uint64_t>();
            if (fencing_token < fencing_token_ || agent_epoch != session_) continue;
            fencing_token_ = fencing_token;
            lease_from_ = sent;
            execute(v.at("orders").as_array());
            continue;
        }
        ++node;
        if (reply && reply->status == 421) {
            auto v = json::parse(reply->body).as_object();
            if (auto* clerk = v.if_contains("clerk"); clerk && clerk->is_string())
                for (size_t i = 0; i < cloud_.node_names.size(); ++i)
                    if (cloud_.node_names[i] == clerk->as_string()) node = i;
        }
    }
    (void)self;
}

// What a task's start on this machine breaks, given all that is on the others.
void Cloud::check_start(const Worker& on, const std::string& task) {
    auto& job = jobs[task.substr(0, task.rfind('/'))];
    double used = job.cpus;
    for (auto& [name, other] : workers) {
        // What hangs beyond its lease never goes on.
        bool over = other->hung && steady_now() - other->lease_from_ > settings.lease_s;
        if (other->dead() || over) continue;
        for (auto& [lot, t] : other->tasks_) {
            if (t.state == "exited") continue;
            if (other.get() != &on && lot == task) broken.push_back("ran_twice " + task);
            auto& its = jobs[lot.substr(0, lot.rfind('/'))];
            if (its.team == job.team) used += its.cpus;
        }
    }
    if (auto limit = limits.find(job.team); limit != limits.end() && used > limit->second)
        broken.push_back("quota " + task + " " + std::to_string(used));
    if (!job.zone.empty() && job.zone != on.zone) broken.push_back("wrong_place " + task);
    for (auto& awaited : job.awaits)
        if (ends[awaited] < static_cast<int>(jobs[awaited].tasks))
            broken.push_back("too_early " + task);
}

Cloud::Cloud(asio::io_context& io, const Settings& s)
    : settings(s),
      io_(io),
      server_(io, kLoopback, 1000, [this](HttpRequest r) { return handle(std::move(r)); }) {}

int Worker::count(const std::string& job) {
    step();  // its lease may have run out while it waits for an answer
    return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(), [&](auto& t) {
        return t.second.state != "exited" && t.first.starts_with(job + "/");
    }));
}

bool Cloud::on_some_machine(const std::string& job) const {
    return std::any_of(workers.begin(), workers.end(),
                       [&](auto& w) { return !w.second->dead() && w.second->runs(job); });
}

asio::awaitable<HttpReply> Cloud::handle(HttpRequest r) {
    std::string path = r.target.substr(0, r.target.find('?'));
    if (path == "/machine_types")
        co_return HttpReply{
            200,
            R"({"rigs":[{"label":"std","cores":8,"accelerators":0,"mem_gb":64,"local_gb":50,
            "fetch_gb_per_s":1.0,"hourly":1.0,"spot_price":0.5,"startup_s":20,"yards":["a","b"]}]})"};
    if (path == "/machines/return") {
        for (auto& v : json::parse(r.body).at("millstones").as_array()) {
            auto it = workers.find(std::string(v.as_string()));
            if (it != workers.end()) it->second->kill();
        }
        co_return answer(200, json::object{});
    }
    if (path == "/machines" && r.method == "POST") {
        auto v = json::parse(r.body).as_object();
        std::string hire(v.at("hire").as_string());
        if (!hires.insert(hire).second)
            co_return answer(200, json::object{{"millstones", answers_[hire]}});
        json::array names;
        for (int i = 0; i < v.at("count").to_number<int>(); ++i) {
            char name[16];
            std::snprintf(name, sizeof name, "vm-%06d", next_++);
            auto w = std::make_shared<Worker>(
                io_, *this, name, std::string(v.at("rig").as_string()),
                std::string(v.at("yard").as_string()), v.at("loaners").as_bool());
            workers[name] = w;
            w->start();
            names.emplace_back(name);
        }
        answers_[hire] = names;
        co_return answer(200, json::object{{"millstones", names}});
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
    co_return answer(200, json::object{{"millstones", list}, {"has_next", false}});
}

}  // namespace weirmill::fakes
