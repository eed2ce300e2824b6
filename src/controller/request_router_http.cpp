// HTTP: routes of users, workers and operators, the health check and the metrics page.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/request_router.h"
#include "protocol/paths.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
// A follower that is without its leader for so long sends its users elsewhere.
constexpr double kMaxLeaderSilence_s = 6;
constexpr double kSlowRequest_s = 0.15;  // answers later than this are logged at debug

HttpReply empty_reply(int status) { return {status, "{}"}; }

// As the metrics name it.
const char* kind_of(PeerOp op) {
    if (op == PeerOp::Submit) return "submit";
    return op == PeerOp::Cancel ? "cancel" : "status";
}

// What a user asks for with this path; nothing: no path of users.
std::optional<PeerCall> parse_user_request(std::string_view path, std::string body) {
    PeerCall call;
    if (!path.starts_with(paths::kJobs)) return std::nullopt;
    path.remove_prefix(paths::kJobs.size());
    if (path.empty()) {
        call.op = PeerOp::Submit;
        call.body = std::move(body);
        return call;
    }
    if (path.size() < 2 || path[0] != '/') return std::nullopt;
    path.remove_prefix(1);
    call.op = PeerOp::Status;
    if (path.size() > paths::kCancel.size() && path.ends_with(paths::kCancel)) {
        path.remove_suffix(paths::kCancel.size());
        call.op = PeerOp::Cancel;
    }
    call.subject = path;
    return call;
}

}  // namespace

bool RequestRouter::healthy() const {
    // A leader that the state service refuses alone, while its peers refuse it too, is of use to
    // nobody: without this it would keep its users for as long as that lasts.
    if (membership_->enabled() && leader_ && !leader_->lease_valid(steady_now())) {
        double now = steady_now();
        bool alone = membership_->peer_views(now).empty() && !settings_.peers.empty();
        if (alone && now - kv_.answered_at() > kMaxLeaderSilence_s) return false;
    }
    if (leader_ || standby_->available()) return true;
    return steady_now() - leader_knowledge_->answered_at() < kMaxLeaderSilence_s;
}

HttpReply RequestRouter::metrics_page() const {
    std::map<std::string, double> gauges{
        {"leading", leader_ ? 1 : 0},
        {"token", static_cast<double>(leader_knowledge_->fencing_token())}};
    if (leader_ && leader_->ready()) leader_->gauges(gauges);
    if (membership_->enabled()) membership_->gauges(gauges);
    gauges["workers_relayed"] = static_cast<double>(roster_.relayed(steady_now()));
    HttpReply reply{200, metrics_.to_prometheus_text(gauges)};
    reply.content_type = "text/plain; version=0.0.4";
    return reply;
}

asio::awaitable<HttpReply> RequestRouter::handle(HttpRequest r) {
    double started = steady_now();
    auto routed = co_await route(std::move(r));
    double took = steady_now() - started;
    metrics_.record_request(routed.kind, routed.reply.status, took);
    if (routed.reply.status >= 429 || took > kSlowRequest_s)
        spdlog::debug("http: {} {} after {:.3f}s", routed.kind, routed.reply.status, took);
    co_return std::move(routed.reply);
}

asio::awaitable<RequestRouter::RoutedReply> RequestRouter::route(HttpRequest r) {
    std::string path = r.target.substr(0, r.target.find('?'));
    RoutedReply routed{"other", empty_reply(404)};
    if (path == paths::kHeartbeats) {
        routed.reply = empty_reply(405);
        if (r.method != "POST") co_return routed;
        routed.kind = "report";
        routed.reply = co_await handle_heartbeat(std::move(r));
        routed.reply.from_worker = true;
    } else if (path == paths::kMetrics) {
        routed.reply = metrics_page();
    } else if (path == paths::kHealth) {
        routed.reply = empty_reply(healthy() ? 200 : 503);
    } else if (auto request = parse_user_request(path, std::move(r.body))) {
        routed.reply = empty_reply(405);
        bool reads = request->op == PeerOp::Status;
        // What is refused for its method counts as a submission only where it is one.
        if (request->op != PeerOp::Submit) routed.kind = kind_of(request->op);
        if (r.method != (reads ? "GET" : "POST")) co_return routed;
        routed.kind = kind_of(request->op);
        auto reply = co_await serve(std::move(*request));
        routed.reply = {reply.status, std::move(reply.body), reply.retry_after_s};
    }
    co_return routed;
}

}  // namespace weirmill
