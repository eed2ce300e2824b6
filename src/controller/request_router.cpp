#include "controller/request_router.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "config/capacity.h"
#include "protocol/paths.h"
#include "protocol/worker_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr double kForward_s = 2.2;
constexpr double kAsked_s =
    0.7;  // a leader that has not answered a question by then is not waited for
constexpr double kBusy_s = 1.0;  // nor is one for a submission, although it is heard of
constexpr double kProbe_s = 0.05;
constexpr double kDeaf_s = 6;      // a follower this long without its leader sends users elsewhere
constexpr double kSlow_s = 0.15;   // answers later than this are logged at debug
constexpr double kWorker_s = 1.5;  // for commands that are passed on to a worker

// Arguments of awaited calls are named variables throughout: GCC 12 destroys aggregates that are
// written in place inside a co_await expression twice.
}  // namespace

RequestRouter::RequestRouter(asio::io_context& io, const Settings& settings,
                             const Properties& properties)
    : io_(io), settings_(settings), properties_(properties), kv_(io, settings), roster_(settings) {
    heard_leader_ = steady_now();
    Election::Events events;
    events.won = [this](std::shared_ptr<LeadershipTerm> term) {
        term_ = term;
        leader_ = std::make_shared<Leader>(io_, settings_, properties_, kv_, metrics_, term);
        leader_->pass_on = [this](std::string name, PeerCall call) -> asio::awaitable<bool> {
            auto reply = co_await by_peer(std::move(name), std::move(call));
            co_return reply.status == 200;
        };
        leader_->start();
    };
    events.lost = [this] {
        if (leader_) leader_->stop();
        leader_.reset();
        term_.reset();
        heard_leader_ = steady_now();
    };
    events.campaign_wait = [this] { return membership_->campaign_wait(); };
    set_up_membership();
    election_ = std::make_unique<Election>(io, settings_, properties_, kv_, std::move(events));
    standby_ = std::make_unique<StandbyService>(io, settings_, properties_, kv_, metrics_,
                                                [this] { return leader_ && leader_->ready(); });
    peers_in_ = std::make_unique<PeerServer>(
        io, settings.peer, [this](PeerCall call) { return from_peer(std::move(call)); },
        most_peer_bytes(settings));
    http_ = std::make_unique<HttpServer>(io, settings.api, most_connections(settings),
                                         [this](HttpRequest r) { return handle(std::move(r)); });
    asio::co_spawn(io, ping_loop(), asio::detached);
    spdlog::info("node: {} in {} serving {} peers={}", settings.name, settings.zone,
                 settings.api.text(), settings.peers.size());
}

void RequestRouter::set_up_membership() {
    Membership::Hooks hooks;
    hooks.workers = [this] {
        double now = steady_now();
        if (leader_ && leader_->ready())
            return leader_links(leader_->cluster(), membership_->times(), settings_.lease_s, now);
        LinkStatus r;
        r.direct_workers =
            roster_.stranded(leader_fencing_token(), membership_->times().controller_cycle_s, now);
        return r;
    };
    hooks.leads_since = [this]() -> std::optional<double> {
        if (!leader_ || !leader_->ready() || !leader_->lease_valid(steady_now()))
            return std::nullopt;
        return term_->won;
    };
    hooks.transfer_leadership = [this](TransferRecord to) {
        leader_->transfer_leadership([this, to, term = std::weak_ptr(term_)] {
            if (auto held = term.lock(); held && held == term_) election_->step_down(to);
        });
    };
    membership_ =
        std::make_unique<Membership>(io_, settings_, properties_, kv_, metrics_, std::move(hooks));
}

PeerClient* RequestRouter::link_to(const std::string& name) {
    if (auto it = links_.find(name); it != links_.end()) return it->second.get();
    for (auto& p : settings_.peers)
        if (p.name == name) {
            auto& link = links_[name];
            link = std::make_unique<PeerClient>(io_, p.addr, most_peer_bytes(settings_));
            return link.get();
        }
    return nullptr;
}

PeerClient* RequestRouter::leader_link() { return link_to(leader_name()); }

// The answer to a ping: 200 from the leader itself, else whom this node takes for it.
PeerReply RequestRouter::who_leads() const {
    PeerReply reply{503, leader_name(), 1, leader_fencing_token()};
    if (leader_ && leader_->lease_valid(steady_now()))
        reply = {200, settings_.name, 0, leader_->fencing_token()};
    if (membership_->enabled()) reply.links = membership_->own_links(steady_now());
    return reply;
}

asio::awaitable<PeerReply> RequestRouter::from_peer(PeerCall call) {
    if (call.op == PeerOp::Ping) {
        if (!call.sender.empty()) membership_->record_contact(call.sender, call.links);
        co_return who_leads();
    }
    if (call.op == PeerOp::Command) co_return co_await pass_command(std::move(call));
    if (auto leader = leader_; leader && (leader->lease_valid(steady_now()) || !call.via))
        co_return co_await leader->ask(std::move(call));
    if (call.via) {
        // Who asks can't reach the leader, and may not reach the state service: nobody passes it on
        // again.
        if (call.op == PeerOp::Heartbeat) co_return co_await to_leader(std::move(call));
        co_return co_await serve(std::move(call));
    }
    co_return PeerReply{503, "{}", 1, 0, true};
}

// Stops for a worker that the leader can't reach. Like any that it sends itself they name token,
// session and attempt, so a late or second copy does no harm.
asio::awaitable<PeerReply> RequestRouter::pass_command(PeerCall call) {
    metrics_.count("stops_passed_on_total");
    std::string body = call.body;
    if (co_await send_commands(io_, call.subject, std::move(body), kWorker_s))
        co_return PeerReply{200, "{}"};
    if (!call.via) {
        auto from = call.sender;
        call.via = true;
        for (auto& p : membership_->peer_views(steady_now())) {
            if (!p.reachable || p.name == from) continue;
            PeerCall again = call;
            auto reply = co_await by_peer(p.name, std::move(again));
            if (reply.status == 200) co_return reply;
        }
    }
    co_return PeerReply{503, "{}"};
}

std::optional<std::string> RequestRouter::relay_for(const PeerCall& call) const {
    if (!membership_->enabled() || call.via) return std::nullopt;
    auto views = membership_->peer_views(steady_now());
    if (auto way = relay_to_leader(leader_name(), views)) return way;
    return membership_->reaches_kv(steady_now()) ? std::nullopt : relay_to_kv(views);
}

asio::awaitable<PeerReply> RequestRouter::by_peer(std::string name, PeerCall call) {
    auto* link = link_to(name);
    if (!link) co_return PeerReply{503, "{}", 1, 0, true};
    call.sender = settings_.name;
    auto reply = co_await link->call(std::move(call), kForward_s);
    if (!reply) {
        membership_->record_timeout(name);
        co_return PeerReply{503, R"({"error":"no way to the leader"})", 1, 0, true};
    }
    co_return *reply;
}

bool RequestRouter::leader_uplink_lost() const {
    auto links = membership_->peer_links(leader_name(), steady_now());
    return links && links->reports_links && links->known_workers > 0 &&
           2 * links->direct_workers < links->known_workers;
}

asio::awaitable<PeerReply> RequestRouter::to_leader(PeerCall call) {
    if (auto leader = leader_) co_return co_await leader->ask(std::move(call));
    auto* link = leader_link();
    if (!link || leader_silent()) {
        if (auto way = relay_for(call)) {
            metrics_.count("second_hops_total");
            call.via = true;
            auto reply = co_await by_peer(*way, std::move(call));
            if (!reply.undecided) heard_leader_ = steady_now();
            co_return reply;
        }
        // It is asked again each second: until it answers, nobody waits for it.
        if (membership_->enabled()) link = nullptr;
    }
    if (!link) co_return PeerReply{503, R"({"error":"no leader"})", 1, 0, true};
    call.sender = settings_.name;
    double asked = steady_now();
    auto fencing_token = leader_fencing_token();
    bool submits = call.op == PeerOp::Submit;
    auto reply = co_await link->call(std::move(call), kForward_s);
    if (!reply) {
        silent_fencing_token_ = fencing_token;
        co_return PeerReply{503, R"({"error":"the leader does not answer"})", 1, 0, true};
    }
    heard_leader_ = steady_now();
    silent_fencing_token_ = 0;
    if (submits && reply->status < 300) forward_timeout_.record_answer(heard_leader_ - asked);
    co_return *reply;
}

asio::awaitable<void> RequestRouter::forward(PeerCall call, OneShot<PeerReply> out) {
    auto reply = co_await to_leader(std::move(call));
    out.set(std::move(reply));
}

// The leader's answer, for as long as it is heard of at all, and at most `most_s`. One that is busy
// answers pings: taken for gone after a time alone, a leader with a burst of submissions had the
// doors' writes on top of its own.
asio::awaitable<std::optional<PeerReply>> RequestRouter::while_heard(OneShot<PeerReply> forwarded,
                                                                     double started,
                                                                     double most_s) {
    bool probed = false;
    for (;;) {
        double quiet_until = std::max(started, heard_leader_) + forward_timeout_.seconds();
        double until = std::min(quiet_until, started + most_s);
        if (!probed) until = std::min(until, started + kProbe_s);
        double now = steady_now();
        if (now >= until && probed) co_return std::nullopt;
        if (now < until) {
            auto reply = co_await forwarded.wait(until - now);
            if (reply) co_return reply;
        }
        if (!probed) {
            probed = true;
            if (leader_link()) asio::co_spawn(io_, ask_peer(leader_name()), asio::detached);
        }
    }
}

asio::awaitable<PeerReply> RequestRouter::serve(PeerCall call) {
    if (!standby_->available()) co_return co_await to_leader(std::move(call));
    PeerCall again = call;
    if (auto leader = leader_) {
        auto reply = co_await leader->ask(std::move(call));
        if (!reply.undecided) co_return reply;
        co_return co_await standby_->serve(std::move(again));
    }
    if (!leader_link() || leader_silent()) co_return co_await standby_->serve(std::move(again));
    // The leader goes on while the door begins: what both take is one job, as their records exclude
    // each other.
    bool submits = call.op == PeerOp::Submit;
    double started = steady_now();
    OneShot<PeerReply> forwarded(io_.get_executor());
    asio::co_spawn(io_, forward(std::move(call), forwarded), asio::detached);
    auto reply = co_await while_heard(forwarded, started, submits ? kBusy_s : kAsked_s);
    if (reply && !reply->undecided) co_return *reply;
    auto own = co_await standby_->serve(std::move(again));
    if (reply || own.status != 503) co_return own;
    auto late = co_await forwarded.wait(std::max(0.01, started + kForward_s - steady_now()));
    co_return late ? *late : own;
}

asio::awaitable<bool> RequestRouter::ask_peer(std::string name) {
    PeerCall ping;
    ping.sender = settings_.name;
    if (membership_->enabled()) ping.links = membership_->own_links(steady_now());
    auto reply = co_await link_to(name)->call(std::move(ping), 1.0);
    if (!reply) {
        if (name == leader_name()) silent_fencing_token_ = leader_fencing_token();
        membership_->record_timeout(name);
        co_return false;
    }
    membership_->record_contact(name, reply->links);
    if (reply->fencing_token > std::max(told_fencing_token_, election_->as_of()) &&
        !reply->body.empty()) {
        spdlog::info("node: {} says that {} leads with token={}", name, reply->body,
                     reply->fencing_token);
        told_leader_ = reply->body;
        told_fencing_token_ = reply->fencing_token;
    }
    // A leader unsure of its lease counts as heard: in an outage of the state service no other node
    // would serve better, and nodes that left the load balancer for it came back late.
    if (name == leader_name() && reply->body == name) {
        heard_leader_ = steady_now();
        silent_fencing_token_ = 0;
    }
    co_return reply->status == 200;
}

asio::awaitable<void> RequestRouter::ping_loop() {
    for (;;) {
        co_await sleep_s(settings_.ping_s);
        if (term_ && told_fencing_token_ > term_->fencing_token) {
            // The state service refuses this node alone, and another leads by now. This node used
            // to go on as an unsure leader and turn its users away for as long as that lasted.
            spdlog::info("node: gives up token={}: {} leads", term_->fencing_token, told_leader_);
            term_->ended = true;
            continue;
        }
        if (membership_->enabled()) {
            if (!leader_link() && !leader_) heard_leader_ = steady_now();
            for (auto& p : settings_.peers) asio::co_spawn(io_, ask_peer(p.name), asio::detached);
            continue;
        }
        if (leader_ && leader_->lease_valid(steady_now())) continue;
        if (!leader_link() && !leader_)
            heard_leader_ =
                steady_now();  // an election: soon over, and no other node would serve better
        // The leader first; the others only where it can't be asked or does not say that it leads.
        if (!leader_ && leader_link() && co_await ask_peer(leader_name())) continue;
        for (auto& p : settings_.peers) asio::co_spawn(io_, ask_peer(p.name), asio::detached);
    }
}

bool RequestRouter::healthy() const {
    // A leader that the state service refuses alone, while its peers refuse it too, is of use to
    // nobody: it used to keep its users for as long as that lasted.
    if (membership_->enabled() && leader_ && !leader_->lease_valid(steady_now())) {
        double now = steady_now();
        bool alone = membership_->peer_views(now).empty() && !settings_.peers.empty();
        if (alone && now - kv_.answered_at() > kDeaf_s) return false;
    }
    if (leader_ || standby_->available()) return true;
    return steady_now() - heard_leader_ < kDeaf_s;
}

HttpReply RequestRouter::metrics_page() const {
    std::map<std::string, double> gauges{{"leading", leader_ ? 1 : 0},
                                         {"token", static_cast<double>(leader_fencing_token())}};
    if (leader_ && leader_->ready()) leader_->gauges(gauges);
    if (membership_->enabled()) membership_->gauges(gauges);
    gauges["workers_relayed"] = static_cast<double>(roster_.relayed(steady_now()));
    HttpReply reply{200, metrics_.text(gauges)};
    reply.content_type = "text/plain; version=0.0.4";
    return reply;
}

asio::awaitable<HttpReply> RequestRouter::handle(HttpRequest r) {
    double started = steady_now();
    const char* kind = "other";
    auto reply = co_await route(std::move(r), kind);
    double took = steady_now() - started;
    metrics_.request(kind, reply.status, took);
    if (reply.status >= 429 || took > kSlow_s)
        spdlog::debug("http: {} {} after {:.3f}s", kind, reply.status, took);
    co_return reply;
}

asio::awaitable<HttpReply> RequestRouter::route(HttpRequest r, const char*& kind) {
    auto answer = [](PeerReply reply) {
        return HttpReply{reply.status, std::move(reply.body), reply.retry_after_s};
    };
    std::string_view path = r.target;
    path = path.substr(0, path.find('?'));
    if (path == paths::kReport) {
        if (r.method != "POST") co_return HttpReply{405, "{}"};
        kind = "report";
        auto reply = co_await handle_heartbeat(std::move(r));
        reply.from_machine = true;
        co_return reply;
    }
    if (path == paths::kMetrics) co_return metrics_page();
    if (path == paths::kHealth) co_return healthy() ? HttpReply{200, "{}"} : HttpReply{503, "{}"};
    if (path == paths::kJobs) {
        if (r.method != "POST") co_return HttpReply{405, "{}"};
        kind = "submit";
        PeerCall call{PeerOp::Submit, "", std::move(r.body)};
        auto reply = co_await serve(std::move(call));
        co_return answer(std::move(reply));
    }
    if (path.size() > paths::kJobs.size() + 1 &&
        path.substr(0, paths::kJobs.size()) == paths::kJobs && path[paths::kJobs.size()] == '/') {
        std::string id(path.substr(paths::kJobs.size() + 1));
        PeerCall call;
        call.op = PeerOp::Status;
        if (id.size() > paths::kCancel.size() && id.ends_with(paths::kCancel)) {
            id.resize(id.size() - paths::kCancel.size());
            call.op = PeerOp::Cancel;
        }
        kind = call.op == PeerOp::Cancel ? "cancel" : "status";
        if (r.method != (call.op == PeerOp::Cancel ? "POST" : "GET"))
            co_return HttpReply{405, "{}"};
        call.subject = std::move(id);
        auto reply = co_await serve(std::move(call));
        co_return answer(std::move(reply));
    }
    co_return HttpReply{404, "{}"};
}

// For a report, a call's subject is where it came from.
asio::awaitable<HttpReply> RequestRouter::handle_heartbeat(HttpRequest r) {
    if (auto leader = leader_) {
        PeerCall call{PeerOp::Heartbeat, std::move(r.from), std::move(r.body)};
        auto reply = co_await leader->ask(std::move(call));
        co_return HttpReply{reply.status, std::move(reply.body)};
    }
    HeartbeatHeader head;
    try {
        head = parse_heartbeat_header(r.body);
    } catch (const BadMessage& e) {
        spdlog::error("worker: malformed report from {} refused: {}", r.from, e.what());
        co_return HttpReply{400, "{}"};
    }
    double now = steady_now();
    bool relay =
        roster_.should_relay(head.machine, head.fencing_token, leader_fencing_token(), now);
    if (!leader_link()) co_return HttpReply{421, redirect_answer("")};
    relay = relay || leader_uplink_lost();
    if (relay) {
        PeerCall call{PeerOp::Heartbeat, std::move(r.from), std::move(r.body)};
        auto reply = co_await to_leader(std::move(call));
        // An answer of an older leader than the worker knows would be dropped, and its lease run
        // out here.
        if (reply.status == 200 && reply.fencing_token >= head.fencing_token)
            co_return HttpReply{200, std::move(reply.body)};
        roster_.end_relay(head.machine);
        co_return HttpReply{421, redirect_answer("")};
    }
    co_return HttpReply{421, redirect_answer(leader_name())};
}

}  // namespace weirmill
