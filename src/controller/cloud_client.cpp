#include "controller/cloud_client.h"

#include <boost/asio.hpp>

#include "protocol/cloud_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxResponseBytes = size_t{1024} * 1024;
constexpr double kRateShare = 0.85;  // share of the request rate that the cloud permits
constexpr double kBurst_s = 1.0;
constexpr double kRateLimitPoll_s = 0.1;
constexpr double kMinBackOff_s = 0.8, kMaxBackOff_s = 1.6;

// Returns whether the cloud is overloaded or failing. A response that reports a lack of capacity is
// a regular response and needs no back-off.
bool needs_back_off(const std::optional<HttpResponse>& response) {
    return !response || response->status == 429 ||
           (response->status == 503 && !is_no_capacity_error(response->body));
}

}  // namespace

CloudClient::CloudClient(LeaderContext& context)
    : context_(context),
      http_(context.io, context.settings.cloud, kMaxResponseBytes),
      rate_limiter_(context.settings.cloud_rps * kRateShare, kBurst_s) {}

asio::awaitable<std::optional<HttpResponse>> CloudClient::call(const char* method,
                                                               std::string target, std::string body,
                                                               double timeout_s) {
    while (!context_.stopped) {
        double now = steady_now();
        if (now >= back_off_until_ && rate_limiter_.available(now) >= 1) break;
        co_await sleep_s(kRateLimitPoll_s);
    }
    rate_limiter_.consume(1);
    auto response = co_await http_.request(method, std::move(target), std::move(body), timeout_s);
    if (needs_back_off(response)) {
        std::uniform_real_distribution<double> back_off_s(kMinBackOff_s, kMaxBackOff_s);
        back_off_until_ = steady_now() + back_off_s(context_.random);
    }
    co_return response;
}

}  // namespace weirmill
