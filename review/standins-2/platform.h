// Stand-ins of the platform, to the published protocol: state service, cloud, workers.
#pragma once
#include <cstdio>
#include <deque>

#include "net.h"

// What the stand-ins write down of a run: one line an event, with seconds since the start.
struct Record {
    std::FILE* file = nullptr;
    double started = now();
    std::vector<std::string> broken;  // broken rules
    template <class... A>
    void line(const char* format, A... a) {
        if (!file) return;
        std::fprintf(file, "%8.3f ", now() - started);
        std::fprintf(file, format, a...);
        std::fputc('\n', file);
        std::fflush(file);
    }
    void broke(const std::string& what) {
        broken.push_back(what);
        line("BROKEN %s", what.c_str());
    }
};

inline std::string parameter(const std::string& target, const std::string& name) {
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos) at = target.find("&" + name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
}

struct Settings {
    double report_s = 1, lease_s = 8, gang_wait_s = 12, gang_peer_s = 3, cancel_s = 20;
    double rps = 120, write_rps = 40, value_kb = 32;
    int txn_ops = 24;
    bool has_next = false;
    double next_write_rps = 28, next_value_kb = 2;
    int next_txn_ops = 8;
    double cloud_rps = 8, list_lag_s = 2;
    std::vector<std::string> zones{"a", "b", "c"};
    struct Team {
        std::string name;
        double cpus, cpus_max, gpus, gpus_max;
    };
    std::vector<Team> teams;
    struct Type {
        std::string name;
        double cpus, gpus, mem, price, spot_price, cache_gb, fetch, boot;
        int capacity, spot_capacity;  // in each zone
    };
    std::vector<Type> types;
    std::string objectives;
};

class StateService {
  public:
    StateService(asio::io_context& io, const Settings& s, Record& record)
        : io_(io), s_(s), record_(record), value_kb(s.value_kb), txn_ops(s.txn_ops), write_rps(s.write_rps) {
        asio::co_spawn(io, expire_loop(), asio::detached);
    }
    void add_node(int node) {
        links[node] = std::make_unique<Link>();
        servers_[node] = std::make_unique<Server>(
            io_, [this, node](Request r) { return handle(std::move(r), node); }, links[node].get());
    }
    uint16_t port(int node) const { return servers_.at(node)->port(); }
    std::map<int, std::unique_ptr<Link>> links;
    std::set<int> refused;         // nodes that get 503
    double latency_s = 0.004;
    double p_lost_answer = 0;      // of the transactions: executed, not answered
    double p_late = 0;             // of the transactions: executed late, not answered
    double late_s = 3;
    void set_outage(bool on) {
        outage_ = on;
        if (!on)
            for (auto& [id, l] : leases_) l.second = now() + l.first;
    }
    bool outage() const { return outage_; }
    std::string leader() const {
        auto it = items_.find("leader");
        return it == items_.end() ? "" : std::string(it->second.value.at("name").as_string());
    }
    const json::value* get(const std::string& key) const {
        auto it = items_.find(key);
        return it == items_.end() ? nullptr : &it->second.value;
    }
    size_t count(const std::string& prefix) const {
        size_t n = 0;
        for (auto& [k, i] : items_) n += k.starts_with(prefix);
        return n;
    }
    uint64_t malformed = 0;
    std::map<int, double> changes_by;  // changes asked for and not refused, by node

  private:
    struct Item {
        json::value value;
        uint64_t stamp, permit;
    };
    asio::io_context& io_;
    const Settings& s_;
    Record& record_;

  public:
    double value_kb;
    int txn_ops;
    double write_rps;

  private:
    std::map<int, std::unique_ptr<Server>> servers_;
    std::map<std::string, Item> items_;
    std::map<uint64_t, std::pair<double, double>> leases_;  // length, end
    struct Change {
        uint64_t stamp;
        std::string key;
        std::optional<json::value> value;
    };
    std::deque<Change> changes_;
    uint64_t ledger_ = 400, next_permit_ = 7;
    bool outage_ = false;
    double tokens_ = s_.rps, write_tokens_ = s_.write_rps, refilled_ = now();

    void refill() {
        double t = now(), d = t - refilled_;
        refilled_ = t;
        tokens_ = std::min(s_.rps, tokens_ + d * s_.rps);
        write_tokens_ = std::min(write_rps, write_tokens_ + d * write_rps);
    }
    bool take() {
        refill();
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }
    void changed(const std::string& key, std::optional<json::value> v) {
        changes_.push_back({ledger_, key, std::move(v)});
        if (changes_.size() > 10000) changes_.pop_front();
    }
    void end_lease(uint64_t permit) {
        leases_.erase(permit);
        bool first = true;
        for (auto it = items_.begin(); it != items_.end();) {
            if (it->second.permit != permit) {
                ++it;
                continue;
            }
            if (first) ++ledger_;
            first = false;
            changed(it->first, {});
            record_.line("state: lease %llu ended, %s gone", (unsigned long long)permit, it->first.c_str());
            it = items_.erase(it);
        }
    }
    Async<void> expire_loop() {
        for (;;) {
            co_await sleep_s(0.02);
            if (outage_) continue;
            std::vector<uint64_t> over;
            for (auto& [id, l] : leases_)
                if (now() >= l.second) over.push_back(id);
            for (auto id : over) end_lease(id);
        }
    }
    json::object item(const std::string& key, const Item& i) const {
        json::object o{{"path", key}, {"value", i.value}, {"stamp", i.stamp}};
        if (i.permit) o["permit"] = i.permit;
        return o;
    }
    json::array events(const std::string& prefix, uint64_t from) const {
        json::array out;
        auto it = std::upper_bound(changes_.begin(), changes_.end(), from,
                                   [](uint64_t r, const Change& c) { return r < c.stamp; });
        for (; it != changes_.end(); ++it) {
            if (!it->key.starts_with(prefix)) continue;
            if (it->value)
                out.push_back(json::object{{"write", it->key}, {"value", *it->value}, {"stamp", it->stamp}});
            else
                out.push_back(json::object{{"drop", it->key}, {"stamp", it->stamp}});
        }
        return out;
    }
    Reply apply(const json::object& txn) {
        json::array failed;
        static const json::array none;
        auto* when = txn.if_contains("when");
        auto* then = txn.if_contains("then");
        auto& conditions = when ? when->as_array() : none;
        auto& ops = then ? then->as_array() : none;
        for (auto& c : conditions) {
            std::string key(c.at("path").as_string());
            auto it = items_.find(key);
            uint64_t stamp = it == items_.end() ? 0 : it->second.stamp;
            if (stamp != c.at("stamp").to_number<uint64_t>()) failed.emplace_back(key);
        }
        for (auto& op : ops)
            if (auto* p = op.as_object().if_contains("permit"); p && !leases_.count(p->to_number<uint64_t>()))
                return json_reply(400, json::object{{"error", "no such lease"}});
        if (!failed.empty()) return json_reply(409, json::object{{"failed", failed}, {"ledger", ledger_}});
        if (ops.empty()) return json_reply(200, json::object{{"ledger", ledger_}});
        ++ledger_;
        for (auto& op : ops) {
            auto& o = op.as_object();
            if (auto* drop = o.if_contains("drop")) {
                std::string key(drop->as_string());
                if (items_.erase(key)) changed(key, {});
            } else {
                std::string key(o.at("write").as_string());
                auto* p = o.if_contains("permit");
                items_[key] = {o.at("value"), ledger_, p ? p->to_number<uint64_t>() : 0};
                changed(key, o.at("value"));
            }
        }
        return json_reply(200, json::object{{"ledger", ledger_}});
    }
    bool within_limits(const std::string& body, const json::object& txn) {
        if (body.size() > 64 * 1024) return false;
        size_t ops = 0;
        if (auto* then = txn.if_contains("then")) {
            ops = then->as_array().size();
            for (auto& op : then->as_array())
                if (auto* v = op.as_object().if_contains("value"))
                    if (json::serialize(*v).size() > value_kb * 1024) return false;
        }
        size_t conditions = txn.contains("when") ? txn.at("when").as_array().size() : 0;
        return ops <= static_cast<size_t>(txn_ops) && conditions <= 4 * static_cast<size_t>(txn_ops);
    }
    Async<void> apply_late(std::string body, double after) {
        co_await sleep_s(after);
        while (outage_) co_await sleep_s(0.05);
        auto r = apply(json::parse(body).as_object());
        record_.line("state: a late transaction is executed -> %d", r.status);
    }
    Async<Reply> handle(Request r, int node) {
        std::string path = r.target.substr(0, r.target.find('?'));
        bool refuses = outage_ || refused.count(node);
        if (path == "/follow") {
            if (refuses) co_return json_reply(503, json::object{});
            if (!take()) {
                record_.line("state: 429 to node %d, requests", node);
                co_return json_reply(429, json::object{});
            }
            uint64_t from = std::stoull(parameter(r.target, "from"));
            auto prefix = parameter(r.target, "starts");
            auto block = parameter(r.target, "block_ms");
            double until = now() + (block.empty() ? 0 : std::stod(block) / 1000);
            if (!changes_.empty() && changes_.size() >= 10000 && from < changes_.front().stamp - 1)
                co_return json_reply(410, json::object{});
            while (now() < until && (outage_ || refused.count(node) || events(prefix, from).empty()))
                co_await sleep_s(0.01);
            co_return json_reply(200, json::object{{"ledger", ledger_}, {"events", events(prefix, from)}});
        }
        co_await sleep_s(latency_s * uniform(0.5, 1.5));
        if (outage_ || refused.count(node)) co_return json_reply(503, json::object{});
        if (!take()) {
            record_.line("state: 429 to node %d, requests", node);
            co_return json_reply(429, json::object{});
        }
        if (path == "/multi") {
            auto v = json::parse(r.body).as_object();
            if (!within_limits(r.body, v)) {
                ++malformed;
                co_return json_reply(400, json::object{{"error", "too large"}});
            }
            double n = v.contains("then") ? static_cast<double>(v.at("then").as_array().size()) : 0;
            if (write_tokens_ < n) {
                record_.line("state: 429 to node %d, %.0f changes, %.1f left", node, n, write_tokens_);
                co_return json_reply(429, json::object{});
            }
            write_tokens_ -= n;
            changes_by[node] += n;
            if (chance(p_late)) {
                asio::co_spawn(io_, apply_late(r.body, uniform(0.2, late_s)), asio::detached);
                co_return Reply{0, "", true, 2};
            }
            auto reply = apply(v);
            if (chance(p_lost_answer)) co_return Reply{0, "", true, 2};
            co_return reply;
        }
        if (path == "/leases") {
            double ttl = json::parse(r.body).at("ttl_ms").to_number<double>() / 1000;
            uint64_t id = next_permit_++;
            leases_[id] = {ttl, now() + ttl};
            co_return json_reply(200, json::object{{"permit", id}});
        }
        if (path.starts_with("/leases/")) {
            uint64_t id = std::stoull(path.substr(8));
            auto it = leases_.find(id);
            if (it == leases_.end()) co_return json_reply(404, json::object{});
            if (r.method == "DELETE")
                end_lease(id);
            else
                it->second.second = now() + it->second.first;
            co_return json_reply(200, json::object{});
        }
        if (path == "/keys") {
            auto prefix = parameter(r.target, "starts"), after = parameter(r.target, "from");
            size_t most = std::min<size_t>(1000, std::stoul(parameter(r.target, "most")));
            json::array pairs;
            size_t bytes = 0;
            bool more = false;
            for (auto it = items_.lower_bound(std::max(prefix, after)); it != items_.end(); ++it) {
                if (!it->first.starts_with(prefix)) break;
                if (it->first <= after && !after.empty()) continue;
                bytes += json::serialize(it->second.value).size() + 60;
                if (pairs.size() == most || bytes > 500 * 1024) {
                    more = true;
                    break;
                }
                pairs.push_back(item(it->first, it->second));
            }
            co_return json_reply(200, json::object{{"pairs", pairs}, {"has_next", more}, {"ledger", ledger_}});
        }
        if (path.starts_with("/keys/")) {
            auto it = items_.find(path.substr(6));
            if (it == items_.end()) co_return json_reply(404, json::object{{"ledger", ledger_}});
            co_return json_reply(200, item(it->first, it->second));
        }
        co_return json_reply(400, json::object{});
    }
};

// A job as its user wrote it, how it really runs, and what its user was told.
struct Job {
    std::string id, cls = "c", team, kind = "array", urgency = "normal", bundle = "img-0", yard;
    int lots = 1;
    double cores = 1, gpus = 0, mem = 1, size_gb = 0.2;
    std::vector<std::string> rigs, awaits;
    bool same_place = false, scatter = false, loaners = true;
    double expected_s = 3, tally_s = 0, bank_s = 0, due_s = -1;
    double run_s = 3;
    bool mistake = false;
    // Facts.
    bool submitted = false;
    std::set<int> done;              // lots whose result is kept
    std::map<int, double> saved;     // progress
    double completed_at = 0;         // last lot
    double accepted_at = 0, refused_at = 0, done_told_at = 0, cancel_asked_at = 0, cancelled_told_at = 0;
    double last_good_poll = 0, polls_fail_since = 0;
    int starts = 0;
    std::string last_status;
    std::string body() const {
        json::object o{{"name_id", id}, {"lot_class", cls}, {"consignor", team}, {"sale_kind", kind},
                       {"urgency", urgency}, {"lots", lots}, {"cores", cores}, {"accelerators", gpus},
                       {"mem_gb", mem}, {"bundle", bundle}, {"size_gb", size_gb}, {"same_place", same_place},
                       {"scatter", scatter}, {"loaners", loaners}, {"expected_s", expected_s},
                       {"tally_s", tally_s}, {"bank_s", bank_s}};
        if (!rigs.empty()) o["rigs"] = json::value_from(rigs);
        if (!yard.empty()) o["yard"] = yard;
        if (due_s >= 0) o["due_s"] = due_s;
        if (!awaits.empty()) o["awaits"] = json::value_from(awaits);
        return json::serialize(o);
    }
};

struct World;

struct Lot {
    std::string job;
    int index = 0;
    uint64_t attempt = 0;
    std::string state, cause;
    bool kept = false, on_machine = false, fails = false;  // fails: started while its machine fails what it starts
    double fetched_at = 0, run_from = 0, wait_from = 0, exit_at = 0, stop_at = 0;
    double progress0 = 0;
    std::string name() const { return job + "/" + std::to_string(index); }
    bool exited() const { return state == "exited"; }
};

class Worker : public std::enable_shared_from_this<Worker> {
  public:
    Worker(World& w, std::string name, const Settings::Type& type, std::string zone, bool spot);
    void start();
    void kill(const char* why);
    World& w;
    const std::string name, zone;
    const Settings::Type type;
    const bool spot;
    bool dead = false, hung = false, sick = false;
    double slow = 1, recall_at = -1;
    uint64_t shift = 1, tick = 0, gavel = 0;
    double lease_from = now();
    std::map<std::pair<std::string, uint64_t>, Lot> lots;  // by name and attempt
    std::set<std::string> cache;
    std::set<int> unreachable;        // controllers that it can't reach
    double answered_at = 0;
    int node = 0;                     // the controller it reports to
    void die_of_lease();
    bool lease_over() const;
    void update();
    void exit(Lot& lot, const char* cause);

  private:
    Async<void> report_loop();
    Async<void> update_loop();
    Async<Reply> commands(Request r);
    json::object report();
    void execute(const json::array& orders);
    void launch(const std::string& name, uint64_t attempt);
    std::unique_ptr<Server> server_;
    bool changed_ = false;
    friend struct World;
};

struct Machine {
    std::string name, type, zone;
    bool spot;
    double requested, up_at, seen_at, gone_at = 0, gone_seen_at = 0, died_at = 0;
    bool never_up = false;
    std::shared_ptr<Worker> worker;
};

struct Controller {
    int index = 0;
    std::string name, zone, config;
    uint16_t api = 0, peer = 0;
    pid_t pid = 0;
    bool wanted = true, healthy = false;
    int probes_failed = 0;
    Link users;                       // users and health checks
    std::map<std::string, Link> zones;  // workers of each zone
};

struct World {
    World(asio::io_context& io, Settings s, std::string dir, std::string program, std::string properties);
    asio::io_context& io;
    Settings s;
    std::string dir, program, properties;
    Record record;
    std::unique_ptr<StateService> state;
    std::vector<std::unique_ptr<Controller>> controllers;
    std::map<std::pair<int, int>, std::unique_ptr<Link>> peer_links;
    std::map<std::pair<int, int>, std::unique_ptr<Proxy>> peer_proxies;
    std::map<std::string, std::unique_ptr<Link>> zone_links;  // commands to workers of a zone
    std::map<std::string, std::unique_ptr<Job>> jobs;
    std::map<std::string, Machine> machines;
    std::vector<std::shared_ptr<Worker>> all_workers;
    bool trouble = true;

    // Cloud.
    std::unique_ptr<Server> cloud;
    std::vector<std::unique_ptr<Server>> clouds;
    std::vector<std::unique_ptr<Link>> cloud_links;
    bool cloud_outage = false;
    double boot_factor = 1, p_never_up = 0, p_lost_hire = 0, p_lost_return = 0;
    std::map<std::string, std::string> hires;
    std::map<std::string, int> in_use;
    int next_machine = 1;
    double cloud_tokens = 8, cloud_refilled = now();
    Async<Reply> cloud_handle(Request r);
    std::shared_ptr<Worker> rent(const std::string& type, const std::string& zone, bool spot, double boot_s);
    void release(Machine& m, const char* why);
    Async<void> boot(std::string name, double after);

    // Controllers.
    void add_controllers(int n);
    void start(Controller& c);
    void stop(Controller& c);  // kill -9
    Async<void> crash(int i, double restart_s);
    int leader() const;
    Async<void> probe_loop(Controller* c);
    void stop_all();

    // Users.
    Job& add(Job j);
    int node_for_user();
    Async<Answer> ask(std::string method, std::string target, std::string body, double timeout_s, int node = -1);
    Async<int> submit(Job* j, double for_s = 60);
    Async<std::string> poll(Job* j);
    Async<std::string> cancel(Job* j, double for_s = 60);
    void judge(Job& j, const char* what, double sent_at, const Answer& a);
    bool cancel_reaches(const Job& j, double by, std::set<std::string>& seen) const;
    double cancelled_told(const Job& j, std::set<std::string>& seen) const;

    // Rules.
    void started(Worker& worker, Lot& lot);
    void completed(Job& j, int index);
    Async<void> watch_rules();
    std::set<std::string> overdue_;
};
