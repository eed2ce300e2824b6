// Calls to the cloud's interface within its rate limit. One object for each leadership term, used
// on the leader's executor only.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "controller/leader_context.h"
#include "storage/kv_client.h"
#include "transport/http_client.h"

namespace weirmill {

class CloudClient {
  public:
    explicit CloudClient(LeaderContext& context);

    // Waits for its turn within the rate limit, then sends the request. Nothing: no answer came
    // within `timeout_s` seconds, and whether the request was executed is unknown. The caller keeps
    // the leader alive.
    boost::asio::awaitable<std::optional<HttpResponse>> call(const char* method, std::string target,
                                                             std::string body, double timeout_s);

  private:
    LeaderContext& context_;
    HttpClient http_;
    RateLimiter rate_limiter_;
    double pause_until_ = 0;  // steady clock, seconds
};

}  // namespace weirmill
