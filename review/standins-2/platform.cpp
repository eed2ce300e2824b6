#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

extern char** environ;

// Workers.

Worker::Worker(World& world, std::string n, const Settings::Type& t, std::string z, bool sp)
    : w(world), name(std::move(n)), zone(std::move(z)), type(t), spot(sp) {}

void Worker::start() {
    server_ = std::make_unique<Server>(
        w.io, [self = weak_from_this()](Request r) -> Async<Reply> {
            auto me = self.lock();
            if (!me) co_return Reply{503};
            auto reply = co_await me->commands(std::move(r));
            co_return reply;
        }, w.zone_links[zone].get());
    node = pick(0, static_cast<int>(w.controllers.size()) - 1);
    lease_from = now();
    w.record.line("machine %s %s %s%s up", name.c_str(), type.name.c_str(), zone.c_str(), spot ? " spot" : "");
    asio::co_spawn(w.io, [self = shared_from_this()]() -> Async<void> { co_await self->report_loop(); }, asio::detached);
    asio::co_spawn(w.io, [self = shared_from_this()]() -> Async<void> { co_await self->update_loop(); }, asio::detached);
}

void Worker::kill(const char* why) {
    if (dead) return;
    dead = true;
    w.record.line("machine %s gone (%s)", name.c_str(), why);
    lots.clear();
    if (server_) server_->close();
}

bool Worker::lease_over() const { return now() - lease_from > w.s.lease_s; }

void Worker::exit(Lot& lot, const char* cause) {
    lot.state = "exited";
    lot.cause = cause;
    lot.on_machine = false;
    changed_ = true;
    w.record.line("%s try %llu exits on %s: %s", lot.name().c_str(), (unsigned long long)lot.attempt, name.c_str(), cause);
}

void Worker::die_of_lease() {
    if (!lots.empty()) w.record.line("machine %s: lease over, %zu tasks dropped", name.c_str(), lots.size());
    lots.clear();
    ++shift;
    lease_from = now();
    changed_ = true;
}

// Moves the tasks on.
void Worker::update() {
    if (dead || hung) return;
    if (lease_over()) die_of_lease();
    double t = now();
    for (auto& [key, lot] : lots) {
        if (lot.exited()) continue;
        Job& job = *w.jobs.at(lot.job);
        bool gang = job.kind == "ensemble";
        if (lot.state == "fetching" && t >= lot.fetched_at) {
            cache.insert(job.bundle);
            lot.on_machine = true;
            w.started(*this, lot);
            lot.run_from = t;
            lot.progress0 = job.saved.count(lot.index) ? job.saved[lot.index] : 0;
            changed_ = true;
            if (job.done.count(lot.index)) {
                exit(lot, "done");
                continue;
            }
            lot.state = gang && job.lots > 1 ? "waiting" : "running";
            lot.fails = sick;
            lot.wait_from = t;
        }
        if (lot.state == "waiting") {
            int there = 0;
            bool any_running = false;
            for (auto& other : w.all_workers) {
                if (other->dead) continue;
                for (auto& [k, l] : other->lots)
                    if (l.job == lot.job && l.attempt == lot.attempt && (l.state == "waiting" || l.state == "running")) {
                        ++there;
                        any_running = any_running || l.state == "running";
                    }
            }
            if (there == job.lots || any_running) {
                lot.state = "running";
                lot.fails = sick;
                lot.run_from = t;
                changed_ = true;
            } else if (t - lot.wait_from > w.s.gang_wait_s) {
                exit(lot, "alone");
                continue;
            }
        }
        if (lot.state == "running" && gang && job.lots > 1) {
            int there = 0;
            for (auto& other : w.all_workers) {
                if (other->dead || (other->hung && other->lease_over())) continue;
                for (auto& [k, l] : other->lots)
                    there += l.job == lot.job && l.attempt == lot.attempt && (!l.exited() || l.cause == "done") && !other->hung;
            }
            if (there < job.lots && job.done.empty()) {
                if (lot.exit_at == 0) lot.exit_at = t + uniform(0.1, w.s.gang_peer_s);
            } else {
                lot.exit_at = 0;
            }
            if (lot.exit_at > 0 && t >= lot.exit_at) {
                exit(lot, "peers");
                continue;
            }
        }
        double run = t - lot.run_from;
        double need = (job.run_s - lot.progress0) * slow;
        if (lot.state == "running" && job.tally_s > 0) {
            double progress = lot.progress0 + run / slow;
            double& saved = job.saved[lot.index];
            saved = std::max(saved, std::floor(progress / job.tally_s) * job.tally_s);
        }
        if (lot.state == "saving" && t >= lot.stop_at) {
            job.saved[lot.index] = std::max(job.saved[lot.index], lot.progress0 + (lot.stop_at - job.bank_s - lot.run_from) / slow);
            lot.kept = true;
            exit(lot, "stopped");
            continue;
        }
        if (lot.state == "running" && (lot.fails || job.mistake) && run > 0.3) {
            exit(lot, "error");
            continue;
        }
        if (lot.state == "running" && lot.exit_at == 0 && run >= need && job.kind != "standing") {
            if (gang) {
                for (int i = 0; i < job.lots; ++i) w.completed(job, i);
                for (auto& other : w.all_workers)
                    for (auto& [k, l] : other->lots)
                        if (l.job == lot.job && l.attempt == lot.attempt && !l.exited() && !other->dead) other->exit(l, "done");
            } else {
                w.completed(job, lot.index);
                exit(lot, "done");
            }
        }
    }
}

Async<void> Worker::update_loop() {
    while (!dead) {
        update();
        if (recall_at > 0 && now() >= recall_at) {
            if (auto it = w.machines.find(name); it != w.machines.end()) w.release(it->second, "taken");
            co_return;
        }
        co_await sleep_s(0.05);
    }
}

json::object Worker::report() {
    json::array list;
    for (auto& [key, lot] : lots) {
        json::object o{{"lot", lot.name()}, {"try", lot.attempt}, {"status", lot.state}};
        if (!lot.cause.empty()) o["cause"] = lot.cause;
        if (lot.kept) o["kept"] = true;
        list.push_back(std::move(o));
    }
    json::object o{{"millstone", name}, {"addr", server_->addr()}, {"rig", type.name}, {"yard", zone},
                   {"loaners", spot}, {"shift", shift}, {"tick", ++tick}, {"gavel", gavel}, {"recall_s", nullptr}, {"lots", list}};
    if (recall_at > 0) o["recall_s"] = std::max(0.0, recall_at - now());
    return o;
}

void Worker::launch(const std::string& lot_name, uint64_t attempt) {
    if (lots.count({lot_name, attempt})) return;
    Lot lot;
    lot.job = lot_name.substr(0, lot_name.rfind('/'));
    lot.index = std::atoi(lot_name.c_str() + lot_name.rfind('/') + 1);
    lot.attempt = attempt;
    auto refuse = [&](const char* cause) {
        lot.state = "exited";
        lot.cause = cause;
        changed_ = true;
        w.record.line("%s try %llu refused on %s: %s", lot_name.c_str(), (unsigned long long)attempt, name.c_str(), cause);
        lots[{lot_name, attempt}] = lot;
    };
    auto it = w.jobs.find(lot.job);
    if (it == w.jobs.end() || !it->second->submitted || lot.index >= it->second->lots) return refuse("unknown");
    Job& job = *it->second;
    double cpus = job.cores, gpus = job.gpus, mem = job.mem;
    for (auto& [key, other] : lots) {
        if (other.exited()) continue;
        if (key.first == lot_name) return refuse("busy");
        Job& o = *w.jobs.at(other.job);
        cpus += o.cores, gpus += o.gpus, mem += o.mem;
    }
    if (cpus > type.cpus + 1e-6 || gpus > type.gpus + 1e-6 || mem > type.mem + 1e-6) return refuse("no_room");
    lot.state = "fetching";
    lot.fetched_at = now() + (cache.count(job.bundle) ? 0 : job.size_gb / type.fetch * uniform(0.75, 1.33));
    w.record.line("%s try %llu launched on %s", lot_name.c_str(), (unsigned long long)attempt, name.c_str());
    lots[{lot_name, attempt}] = lot;
    changed_ = true;
}

void Worker::execute(const json::array& orders) {
    for (auto& v : orders) {
        auto& o = v.as_object();
        std::string order(o.at("order").as_string()), lot_name(o.at("lot").as_string());
        uint64_t attempt = o.at("try").to_number<uint64_t>();
        if (order == "launch") {
            launch(lot_name, attempt);
            continue;
        }
        auto it = lots.find({lot_name, attempt});
        if (it == lots.end()) continue;
        Lot& lot = it->second;
        if (order == "clear") {
            if (lot.exited()) lots.erase(it);
            continue;
        }
        if (lot.exited()) continue;
        Job& job = *w.jobs.at(lot.job);
        double grace = o.contains("wind_down_s") ? o.at("wind_down_s").to_number<double>() : 0;
        if (lot.state == "running" && job.tally_s > 0 && grace >= job.bank_s) {
            lot.state = "saving";
            lot.stop_at = now() + job.bank_s;
            changed_ = true;
        } else if (lot.state != "saving" || grace <= 0) {
            exit(lot, "stopped");
        }
    }
    update();
}

Async<Reply> Worker::commands(Request r) {
    while (hung && !dead) co_await sleep_s(0.05);
    if (dead) co_return Reply{0, "", true, 0};
    if (r.target == "/status") co_return json_reply(200, report());
    update();
    auto v = json::parse(r.body).as_object();
    if (!v.contains("gavel") || !v.contains("shift")) co_return json_reply(400, report());
    auto token = v.at("gavel").to_number<uint64_t>();
    if (token < gavel || v.at("shift").to_number<uint64_t>() != shift) co_return json_reply(409, report());
    if (token > gavel) changed_ = true;
    gavel = token;
    execute(v.at("orders").as_array());
    co_return json_reply(200, report());
}

Async<void> Worker::report_loop() {
    double next = now() + uniform(0, 0.3), last_sent = 0, token_change_at = -1e9;
    int n = static_cast<int>(w.controllers.size());
    while (!dead) {
        while (!dead && (hung || (now() < next && !(changed_ && now() - last_sent >= 0.5)))) co_await sleep_s(0.02);
        if (dead) co_return;
        update();
        changed_ = false;
        last_sent = now();
        double sent = now();
        uint64_t sent_shift = shift;
        auto body = json::serialize(report());
        auto& c = *w.controllers[node];
        Answer a;
        if (unreachable.count(node)) {
            double until = now() + 4;
            while (now() < until && unreachable.count(node)) co_await sleep_s(0.02);
        } else {
            a = co_await call(c.api, "POST", "/v1/report", body, 4.0, &c.zones[zone]);
        }
        while (hung && !dead) co_await sleep_s(0.02);
        if (dead) co_return;
        if (now() - sent > 4.0) a = {};
        next = sent + w.s.report_s * uniform(0.75, 1.25);
        if (a.status == 200) {
            auto v = json::parse(a.body).as_object();
            auto* g = v.if_contains("gavel");
            uint64_t token = g ? g->to_number<uint64_t>() : 0;
            update();
            if (!g || token < gavel || sent_shift != shift) continue;
            if (token > gavel && now() - token_change_at > w.s.lease_s / 2) {
                changed_ = true;
                token_change_at = now();
            }
            gavel = token;
            lease_from = std::max(lease_from, sent);
            answered_at = now();
            if (auto* orders = v.if_contains("orders")) execute(orders->as_array());
            continue;
        }
        std::string clerk = a.status == 421 ? a.text("clerk") : "";
        int to = -1;
        for (int i = 0; i < n; ++i)
            if (w.controllers[i]->name == clerk && i != node) to = i;
        if (to >= 0) {
            node = to;
            co_await sleep_s(uniform(0, 0.5));
        } else {
            node = (node + 1) % n;
            co_await sleep_s(1);
        }
        next = now();
        last_sent = 0;
        changed_ = true;
    }
}

// Cloud.

std::shared_ptr<Worker> World::rent(const std::string& type, const std::string& zone, bool spot, double boot_s) {
    char name[32];
    std::snprintf(name, sizeof name, "vm-%06d", next_machine++);
    const Settings::Type* t = nullptr;
    for (auto& x : s.types)
        if (x.name == type) t = &x;
    Machine m{name, type, zone, spot, now(), now() + boot_s, now() + s.list_lag_s * uniform(0.2, 2)};
    m.worker = std::make_shared<Worker>(*this, name, *t, zone, spot);
    all_workers.push_back(m.worker);
    ++in_use[type + "/" + zone + (spot ? "/s" : "/o")];
    machines[name] = m;
    if (chance(p_never_up))
        machines[name].never_up = true;
    else
        asio::co_spawn(io, boot(name, boot_s), asio::detached);
    return m.worker;
}

Async<void> World::boot(std::string name, double after) {
    co_await sleep_s(after);
    auto& m = machines[name];
    if (!m.worker->dead && m.gone_at == 0) m.worker->start();
}

void World::release(Machine& m, const char* why) {
    if (m.gone_at > 0) return;
    m.gone_at = now();
    m.gone_seen_at = now() + s.list_lag_s * uniform(0.2, 2);
    --in_use[m.type + "/" + m.zone + (m.spot ? "/s" : "/o")];
    m.worker->kill(why);
}

Async<Reply> World::cloud_handle(Request r) {
    std::string path = r.target.substr(0, r.target.find('?'));
    double t = now();
    cloud_tokens = std::min(2 * s.cloud_rps, cloud_tokens + (t - cloud_refilled) * s.cloud_rps);
    cloud_refilled = t;
    co_await sleep_s(0.05);
    if (cloud_outage) co_return json_reply(503, json::object{{"error", "trouble"}});
    if (cloud_tokens < 1) co_return json_reply(429, json::object{});
    cloud_tokens -= 1;
    if (path == "/machine_types") {
        json::array rigs, yards;
        for (auto& z : s.zones) yards.emplace_back(z);
        for (auto& x : s.types)
            rigs.push_back(json::object{{"label", x.name}, {"cores", x.cpus}, {"accelerators", x.gpus}, {"mem_gb", x.mem},
                                        {"local_gb", x.cache_gb}, {"fetch_gb_per_s", x.fetch}, {"hourly", x.price},
                                        {"spot_price", x.spot_price}, {"startup_s", x.boot}, {"yards", yards}});
        co_return json_reply(200, json::object{{"rigs", rigs}});
    }
    if (path == "/machines/return") {
        auto names = json::parse(r.body);
        for (auto& v : names.at("millstones").as_array()) {
            auto it = machines.find(std::string(v.as_string()));
            if (it != machines.end()) release(it->second, "returned");
        }
        if (chance(p_lost_return)) co_return Reply{0, "", true, 5};
        co_return json_reply(200, json::object{});
    }
    if (path == "/machines" && r.method == "POST") {
        auto v = json::parse(r.body).as_object();
        std::string hire(v.at("hire").as_string());
        if (auto it = hires.find(hire); it != hires.end()) co_return Reply{200, it->second};
        std::string type(v.at("rig").as_string()), zone(v.at("yard").as_string());
        bool spot = v.at("loaners").as_bool();
        const Settings::Type* x = nullptr;
        for (auto& y : s.types)
            if (y.name == type) x = &y;
        if (!x) co_return json_reply(400, json::object{});
        int free = (spot ? x->spot_capacity : x->capacity) - in_use[type + "/" + zone + (spot ? "/s" : "/o")];
        int n = std::min(free, v.at("count").to_number<int>());
        if (n <= 0) co_return json_reply(503, json::object{{"error", "no capacity"}});
        json::array names;
        for (int i = 0; i < n; ++i)
            names.emplace_back(rent(type, zone, spot, x->boot * boot_factor * uniform(0.6, 1.5))->name);
        auto body = json::serialize(json::object{{"millstones", names}});
        hires[hire] = body;
        record.line("cloud: %s rents %d %s in %s%s", hire.c_str(), n, type.c_str(), zone.c_str(), spot ? " spot" : "");
        if (chance(p_lost_hire)) co_return Reply{0, "", true, 5};
        co_return Reply{200, body};
    }
    auto after = parameter(r.target, "from");
    auto most = parameter(r.target, "most");
    size_t limit = most.empty() ? 500 : std::stoul(most);
    json::array list;
    bool more = false;
    for (auto& [name, m] : machines) {
        if (name <= after) continue;
        if (t < m.seen_at || (m.gone_at > 0 && t >= m.gone_seen_at)) continue;
        if (list.size() == limit) {
            more = true;
            break;
        }
        bool failed = m.died_at > 0 && t > m.died_at + 30;
        const char* status = failed ? "failed" : !m.never_up && t > m.up_at + s.list_lag_s ? "running" : "booting";
        json::object o{{"name_id", name}, {"rig", m.type}, {"yard", m.zone}, {"loaners", m.spot}, {"status", status}, {"age_s", t - m.requested}};
        if (m.worker->tick > 0 || status[0] == 'r') o["addr"] = m.worker->server_ ? m.worker->server_->addr() : "127.0.0.1:1";
        else o["addr"] = "127.0.0.1:1";
        list.push_back(std::move(o));
    }
    co_return json_reply(200, json::object{{"millstones", list}, {"has_next", more}});
}

// Controllers.

namespace {
std::set<uint16_t> given;
uint16_t free_port() {
    // Below the range that outgoing connections use, so that a restarted controller finds its port free.
    std::random_device seed;
    std::mt19937 random(seed());
    for (;;) {
        auto port = static_cast<uint16_t>(std::uniform_int_distribution<int>(15000, 32000)(random));
        asio::io_context io;
        tcp::acceptor a(io);
        boost::system::error_code ec;
        a.open(tcp::v4());
        a.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), ec);
        if (ec || !given.insert(port).second) continue;
        // Two runs at a time don't pick the same port: each holds the UDP port of that number while it runs.
        static asio::io_context locks;
        static std::vector<std::unique_ptr<asio::ip::udp::socket>> held;
        auto lock = std::make_unique<asio::ip::udp::socket>(locks, asio::ip::udp::v4());
        lock->bind(asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), port), ec);
        if (ec) continue;
        held.push_back(std::move(lock));
        return port;
    }
}
}  // namespace

World::World(asio::io_context& i, Settings settings, std::string d, std::string p, std::string props)
    : io(i), s(std::move(settings)), dir(std::move(d)), program(std::move(p)), properties(std::move(props)) {
    state = std::make_unique<StateService>(io, s, record);
    for (auto& z : s.zones) zone_links[z] = std::make_unique<Link>();
}

void World::add_controllers(int n) {
    for (int i = 0; i < n; ++i) {
        auto c = std::make_unique<Controller>();
        c->index = i;
        c->name = "millstone-" + std::to_string(i);
        c->zone = s.zones[static_cast<size_t>(i) % s.zones.size()];
        c->api = free_port();
        c->peer = free_port();
        for (auto& z : s.zones) c->zones[z];
        state->add_node(i);
        cloud_links.push_back(std::make_unique<Link>());
        clouds.push_back(std::make_unique<Server>(io, [this](Request r) { return cloud_handle(std::move(r)); }, cloud_links.back().get()));
        controllers.push_back(std::move(c));
    }
    for (int i = 0; i < n; ++i)
        for (int k = 0; k < n; ++k)
            if (i != k) {
                peer_links[{i, k}] = std::make_unique<Link>();
                peer_proxies[{i, k}] = std::make_unique<Proxy>(io, peer_links[{i, k}].get());
                peer_proxies[{i, k}]->target = controllers[static_cast<size_t>(k)]->peer;
            }
    for (int i = 0; i < n; ++i) {
        auto& c = *controllers[static_cast<size_t>(i)];
        c.config = dir + "/" + c.name + ".toml";
        std::ofstream f(c.config);
        f << "host_name = \"" << c.name << "\"\nsite = \"" << c.zone << "\"\napi_addr = \"127.0.0.1:" << c.api
          << "\"\npeer_bind = \"127.0.0.1:" << c.peer << "\"\n";
        for (int k = 0; k < n; ++k)
            if (k != i)
                f << "[[seeds]]\nhost_name = \"" << controllers[static_cast<size_t>(k)]->name << "\"\nsite = \""
                  << controllers[static_cast<size_t>(k)]->zone << "\"\naddr = \"127.0.0.1:" << peer_proxies[{i, k}]->port() << "\"\n";
        f << "[external]\ncloud = \"" << clouds[static_cast<size_t>(i)]->addr() << "\"\nstate = \"127.0.0.1:" << state->port(i) << "\"\n";
        f << "[deployment]\ninitial_size = " << n << "\nclock_off_ms = 100.0\nzones = [";
        for (size_t z = 0; z < s.zones.size(); ++z) f << (z ? ", " : "") << '"' << s.zones[z] << '"';
        f << "]\n" << s.objectives;
        for (auto& t : s.teams)
            f << "[[deployment.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.cpus << "\ncpus_max = " << t.cpus_max
              << "\ngpus = " << t.gpus << "\ngpus_max = " << t.gpus_max << "\n";
        f << "[deployment.workers]\nreport_s = " << s.report_s << "\nlease_s = " << s.lease_s << "\ngang_wait_s = " << s.gang_wait_s
          << "\ngang_peer_s = " << s.gang_peer_s << "\ncancel_s = " << s.cancel_s << "\n[deployment.state]\nrps = " << s.rps
          << "\nwrite_rps = " << s.write_rps << "\nvalue_kb = " << s.value_kb << "\ntxn_ops = " << s.txn_ops << "\n";
        if (s.has_next)
            f << "[deployment.state.next]\nwrite_rps = " << s.next_write_rps << "\nvalue_kb = " << s.next_value_kb
              << "\ntxn_ops = " << s.next_txn_ops << "\n";
        f << "[deployment.cloud]\nrps = " << s.cloud_rps << "\nlist_lag_s = " << s.list_lag_s
          << "\n[deployment.resources]\ncpu = 0.2\nmem_mb = 200.0\nmax_sockets = 1500\n";
        f.close();
        start(c);
        asio::co_spawn(io, probe_loop(&c), asio::detached);
    }
}

void World::start(Controller& c) {
    std::string log = dir + "/" + c.name + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&files, 1, "/dev/null", O_WRONLY, 0);
    // The stand-ins' sockets are not the controller's.
    for (int fd = 3; fd < 1024; ++fd)
        if (::fcntl(fd, F_GETFD) >= 0) ::fcntl(fd, F_SETFD, FD_CLOEXEC);
    std::vector<std::string> args{program, "--properties", properties, "--config", c.config};
    std::vector<char*> argv;
    for (auto& a : args) argv.push_back(a.data());
    argv.push_back(nullptr);
    if (posix_spawn(&c.pid, program.c_str(), &files, nullptr, argv.data(), environ) != 0) c.pid = 0;
    posix_spawn_file_actions_destroy(&files);
    record.line("controller %s started", c.name.c_str());
}

void World::stop(Controller& c) {
    if (c.pid <= 0) return;
    ::kill(c.pid, SIGCONT);
    ::kill(c.pid, SIGKILL);
    ::waitpid(c.pid, nullptr, 0);
    c.pid = 0;
    record.line("controller %s killed", c.name.c_str());
}

void World::stop_all() {
    for (auto& c : controllers) stop(*c);
}

Async<void> World::crash(int i, double restart_s) {
    auto& c = *controllers[static_cast<size_t>(i)];
    if (!c.wanted) co_return;
    c.wanted = false;
    stop(c);
    co_await sleep_s(restart_s);
    start(c);
    c.wanted = true;
}

int World::leader() const {
    auto name = state->leader();
    for (auto& c : controllers)
        if (c->name == name) return c->index;
    return -1;
}

Async<void> World::probe_loop(Controller* c) {
    for (;;) {
        co_await sleep_s(0.5);
        if (c->pid > 0 && c->wanted) {
            int status = 0;
            if (::waitpid(c->pid, &status, WNOHANG) == c->pid) {
                c->pid = 0;
                record.broke("crash: " + c->name + " ended by itself, status " + std::to_string(status));
                co_await sleep_s(3);
                start(*c);
            }
        }
        auto a = co_await call(c->api, "GET", "/healthz", "", 1, &c->users);
        c->probes_failed = a.status == 200 ? 0 : c->probes_failed + 1;
        c->healthy = c->probes_failed < 2;
    }
}

// Users.

Job& World::add(Job j) {
    auto id = j.id;
    return *(jobs[id] = std::make_unique<Job>(std::move(j)));
}

int World::node_for_user() {
    std::vector<int> good;
    for (auto& c : controllers)
        if (c->healthy) good.push_back(c->index);
    if (good.empty()) return pick(0, static_cast<int>(controllers.size()) - 1);
    return good[static_cast<size_t>(pick(0, static_cast<int>(good.size()) - 1))];
}

Async<Answer> World::ask(std::string method, std::string target, std::string body, double timeout_s, int node) {
    if (node < 0) node = node_for_user();
    auto& c = *controllers[static_cast<size_t>(node)];
    double sent = now();
    auto a = co_await call(c.api, method, target, body, timeout_s, &c.users);
    record.line("user: %s %s at %s, sent %.3f -> %d %s", method.c_str(), target.c_str(), c.name.c_str(), sent - record.started,
                a.status, a.status == 200 || a.status == 201 ? a.text("status").c_str() : "");
    co_return a;
}

bool World::cancel_reaches(const Job& j, double by, std::set<std::string>& seen) const {
    if (!seen.insert(j.id).second) return false;
    if (j.cancel_asked_at > 0 && j.cancel_asked_at <= by) return true;
    for (auto& d : j.awaits)
        if (jobs.count(d) && cancel_reaches(*jobs.at(d), by, seen)) return true;
    return false;
}

// Returns when a user was first told that the job, or one before it, is cancelled; 0: never.
double World::cancelled_told(const Job& j, std::set<std::string>& seen) const {
    if (!seen.insert(j.id).second) return 0;
    double t = j.cancelled_told_at;
    for (auto& d : j.awaits) {
        if (!jobs.count(d)) continue;
        double u = cancelled_told(*jobs.at(d), seen);
        if (u > 0 && (t == 0 || u < t)) t = u;
    }
    return t;
}

void World::judge(Job& j, const char* what, double sent_at, const Answer& a) {
    double t = now();
    if (a.status == 404 && j.accepted_at > 0 && sent_at > j.accepted_at) record.broke("forgotten: 404 for " + j.id);
    if ((a.status == 400 || a.status == 422) && j.accepted_at > 0 && sent_at > j.accepted_at)
        record.broke("forgotten: " + std::to_string(a.status) + " for " + j.id);
    if (a.status != 200 && a.status != 201) return;
    auto status = a.text("status");
    j.last_status = status;
    if (j.done_told_at > 0 && sent_at > j.done_told_at && status != "done")
        record.broke("went_back: " + j.id + " was done, " + what + " says " + status);
    if (j.cancelled_told_at > 0 && sent_at > j.cancelled_told_at && status != "aborted")
        record.broke("went_back: " + j.id + " was aborted, " + what + " says " + status);
    if (status == "done") {
        if (static_cast<int>(j.done.size()) < j.lots) record.broke("not_done: " + j.id);
        if (j.done_told_at == 0) j.done_told_at = t;
    }
    if (status == "aborted") {
        std::set<std::string> seen;
        if (!cancel_reaches(j, t, seen)) record.broke("went_back: " + j.id + " is called aborted, nobody cancelled it");
        if (j.cancelled_told_at == 0) j.cancelled_told_at = t;
    }
    if (status == "queued" || status == "running") {
        std::set<std::string> seen;
        double told = cancelled_told(j, seen);
        if (told > 0 && sent_at > told + s.cancel_s) record.broke("orphaned: " + j.id + " is called " + status);
    }
}

Async<int> World::submit(Job* j, double for_s) {
    j->submitted = true;
    double until = now() + for_s;
    for (;;) {
        double sent = now();
        auto a = co_await ask("POST", "/v2/runs", j->body(), 5);
        judge(*j, "submission", sent, a);
        if (a.status == 200 || a.status == 201) {
            if (j->accepted_at == 0) j->accepted_at = now();
            co_return a.status;
        }
        if (a.status == 400 || a.status == 422) {
            if (j->refused_at == 0) j->refused_at = now();
            co_return a.status;
        }
        if (now() > until) co_return a.status;
        co_await sleep_s(std::max(1.0, static_cast<double>(std::min(a.retry_after, 30))));
    }
}

Async<std::string> World::poll(Job* j) {
    double sent = now();
    auto a = co_await ask("GET", "/v2/runs/" + j->id, "", 2);
    judge(*j, "poll", sent, a);
    if (a.status == 200) {
        j->last_good_poll = now();
        j->polls_fail_since = 0;
        co_return a.text("status");
    }
    if (j->polls_fail_since == 0) j->polls_fail_since = sent;
    co_return "";
}

Async<std::string> World::cancel(Job* j, double for_s) {
    if (j->cancel_asked_at == 0) j->cancel_asked_at = now();
    double until = now() + for_s;
    for (;;) {
        double sent = now();
        auto a = co_await ask("POST", "/v2/runs/" + j->id + "/cancel", "", 5);
        judge(*j, "cancellation", sent, a);
        if (a.status == 200) co_return a.text("status");
        if (now() > until) co_return "";
        co_await sleep_s(std::max(1.0, static_cast<double>(std::min(a.retry_after, 30))));
    }
}

// Rules.

void World::completed(Job& j, int index) {
    j.done.insert(index);
    if (static_cast<int>(j.done.size()) == j.lots && j.completed_at == 0) {
        j.completed_at = now();
        record.line("job %s complete", j.id.c_str());
    }
}

void World::started(Worker& worker, Lot& lot) {
    Job& j = *jobs.at(lot.job);
    ++j.starts;
    double cpus = 0, gpus = 0;
    int in_zone = 0;
    bool elsewhere = false;
    for (auto& other : all_workers) {
        if (other->dead || (other->hung && other->lease_over())) continue;
        if (other.get() != &worker && !other->hung && other->lease_over()) other->update();
        for (auto& [key, l] : other->lots) {
            if (!l.on_machine) continue;
            Job& o = *jobs.at(l.job);
            if (o.team == j.team) cpus += o.cores, gpus += o.gpus;
            if (&l == &lot) {
                ++in_zone;
                continue;
            }
            if (l.job == lot.job && l.index == lot.index)
                record.broke("ran_twice: " + lot.name() + " on " + other->name + " try " + std::to_string(l.attempt) + " and " + worker.name +
                             " try " + std::to_string(lot.attempt));
            if (l.job == lot.job) {
                in_zone += other->zone == worker.zone;
                elsewhere = elsewhere || other->zone != worker.zone;
            }
        }
    }
    for (auto& t : s.teams)
        if (t.name == j.team && ((t.cpus_max > 0 && cpus > t.cpus_max + 1e-6) || (t.gpus_max > 0 && gpus > t.gpus_max + 1e-6)))
            record.broke("quota: " + t.name + " uses " + std::to_string(cpus) + " cpus at the start of " + lot.name());
    if (!j.rigs.empty() && std::find(j.rigs.begin(), j.rigs.end(), worker.type.name) == j.rigs.end()) record.broke("wrong_place: type, " + lot.name());
    if (!j.yard.empty() && j.yard != worker.zone) record.broke("wrong_place: zone, " + lot.name());
    if (!j.loaners && worker.spot) record.broke("wrong_place: spot, " + lot.name());
    if (j.same_place && elsewhere) record.broke("wrong_place: same_place, " + lot.name());
    if (j.scatter && in_zone > (j.lots + 1) / 2) record.broke("wrong_place: scatter, " + lot.name());
    for (auto& d : j.awaits)
        if (jobs.count(d) && static_cast<int>(jobs.at(d)->done.size()) < jobs.at(d)->lots) record.broke("too_early: " + lot.name() + " before " + d);
    record.line("%s try %llu starts on %s", lot.name().c_str(), (unsigned long long)lot.attempt, worker.name.c_str());
}

Async<void> World::watch_rules() {
    for (;;) {
        co_await sleep_s(0.2);
        for (auto& worker : all_workers) {
            if (worker->dead || (worker->hung && worker->lease_over())) continue;
            for (auto& [key, lot] : worker->lots) {
                if (!lot.on_machine) continue;
                Job& j = *jobs.at(lot.job);
                std::set<std::string> seen;
                double told = cancelled_told(j, seen);
                if (told > 0 && now() > told + s.cancel_s && overdue_.insert(lot.name()).second)
                    record.broke("ran_cancelled: " + lot.name() + " on " + worker->name);
            }
        }
    }
}
