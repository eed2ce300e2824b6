// Rate-limited client of the cloud provider's API. One object exists for each leadership term, and
// it is used on the leader's executor only.
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

    // Waits until the rate limit permits a request, then sends it. Returns nothing if no response
    // arrived within `timeout_s` seconds; the cloud may or may not have executed the request then.
    // The caller must keep the leader alive until the call completes.
    boost::asio::awaitable<std::optional<HttpResponse>> call(const char* method, std::string target,
                                                             std::string body, double timeout_s);

  private:
    LeaderContext& context_;
    HttpClient http_;
    RateLimiter rate_limiter_;
    double back_off_until_ = 0;  // steady clock, seconds
};

}  // namespace weirmill
