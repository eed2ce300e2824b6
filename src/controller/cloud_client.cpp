#include "controller/cloud_client.h"

#include <boost/asio.hpp>

#include "protocol/cloud_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxAnswerBytes = size_t{1024} * 1024;
constexpr double kRateShare = 0.85;  // of the rate that the cloud allows
constexpr double kBurst_s = 1.0;
constexpr double kTurnPoll_s = 0.1;
constexpr double kMinTroublePause_s = 0.8, kMaxTroublePause_s = 1.6;

// The cloud is overloaded or out of order. That it has no capacity is an answer like any other.
bool is_trouble(const std::optional<HttpResponse>& answer) {
    return !answer || answer->status == 429 ||
           (answer->status == 503 && !is_no_capacity_error(answer->body));
}

}  // namespace

CloudClient::CloudClient(LeaderContext& context)
    : context_(context),
      http_(context.io, context.settings.cloud, kMaxAnswerBytes),
      rate_limiter_(context.settings.cloud_rps * kRateShare, kBurst_s) {}

asio::awaitable<std::optional<HttpResponse>> CloudClient::call(const char* method,
                                                               std::string target, std::string body,
                                                               double timeout_s) {
    while (!context_.stopped) {
        double now = steady_now();
        if (now >= pause_until_ && rate_limiter_.available(now) >= 1) break;
        co_await sleep_s(kTurnPoll_s);
    }
    rate_limiter_.take(1);
    auto answer = co_await http_.request(method, std::move(target), std::move(body), timeout_s);
    if (is_trouble(answer)) {
        std::uniform_real_distribution<double> pause_s(kMinTroublePause_s, kMaxTroublePause_s);
        pause_until_ = steady_now() + pause_s(context_.random);
    }
    co_return answer;
}

}  // namespace weirmill
