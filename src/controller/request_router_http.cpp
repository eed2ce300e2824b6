// RequestRouter: HTTP routes of users, workers and operators, the health check and the metrics
// page.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/request_router.h"
#include "protocol/paths.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
// After this time without an answer of the leader or, at the leader, of the key-value store, the
// health check fails and the load balancer sends users to other controllers.
constexpr double kMaxLeaderSilence_s = 6;
constexpr double kSlowRequest_s = 0.15;  // slower requests are logged at debug level

HttpReply empty_reply(int status) { return {status, "{}"}; }

// Returns the metric label of a user request.
const char* request_kind(PeerOp op) {
    if (op == PeerOp::Submit) return "submit";
    return op == PeerOp::Cancel ? "cancel" : "status";
}

// Builds the call for a user request. Returns nothing if the path is not one of the user API.
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

bool RequestRouter::is_healthy() const {
    // A leader that reaches neither the key-value store nor any peer can't serve users. Without
    // this check the load balancer would keep sending it requests for as long as it is isolated.
    if (membership_->enabled() && leader_ && !leader_->lease_valid(steady_now())) {
        double now = steady_now();
        bool isolated = membership_->peer_views(now).empty() && !settings_.peers.empty();
        if (isolated && now - kv_.answered_at() > kMaxLeaderSilence_s) return false;
    }
    if (leader_ || standby_->available()) return true;
    return steady_now() - leader_tracker_->answered_at() < kMaxLeaderSilence_s;
}

HttpReply RequestRouter::metrics_page() const {
    std::map<std::string, double> gauges{
        {"leading", leader_ ? 1 : 0},
        {"token", static_cast<double>(leader_tracker_->fencing_token())}};
    if (leader_ && leader_->ready()) leader_->add_gauges(gauges);
    if (membership_->enabled()) membership_->add_gauges(gauges);
    gauges["workers_relayed"] = static_cast<double>(roster_.relayed_workers(steady_now()));
    HttpReply reply{200, metrics_.to_prometheus_text(gauges)};
    reply.content_type = "text/plain; version=0.0.4";
    return reply;
}

asio::awaitable<HttpReply> RequestRouter::handle(HttpRequest request) {
    double started = steady_now();
    auto routed = co_await route(std::move(request));
    double duration_s = steady_now() - started;
    metrics_.record_request(routed.kind, routed.reply.status, duration_s);
    if (routed.reply.status >= 429 || duration_s > kSlowRequest_s)
        spdlog::debug("http: {} {} after {:.3f}s", routed.kind, routed.reply.status, duration_s);
    co_return std::move(routed.reply);
}

asio::awaitable<RequestRouter::RoutedReply> RequestRouter::route(HttpRequest request) {
    std::string path = request.target.substr(0, request.target.find('?'));
    RoutedReply routed{"other", empty_reply(404)};
    if (path == paths::kHeartbeats) {
        routed.reply = empty_reply(405);
        if (request.method != "POST") co_return routed;
        routed.kind = "report";
        routed.reply = co_await handle_heartbeat(std::move(request));
        routed.reply.from_worker = true;
    } else if (path == paths::kMetrics) {
        routed.reply = metrics_page();
    } else if (path == paths::kHealth) {
        routed.reply = empty_reply(is_healthy() ? 200 : 503);
    } else if (auto call = parse_user_request(path, std::move(request.body))) {
        routed.reply = empty_reply(405);
        bool is_status = call->op == PeerOp::Status;
        // With a wrong method, a request to the jobs path is counted as "other" and not as a
        // submission.
        if (call->op != PeerOp::Submit) routed.kind = request_kind(call->op);
        if (request.method != (is_status ? "GET" : "POST")) co_return routed;
        routed.kind = request_kind(call->op);
        auto reply = co_await serve_user_request(std::move(*call));
        routed.reply = {reply.status, std::move(reply.body), reply.retry_after_s};
    }
    co_return routed;
}

}  // namespace weirmill
