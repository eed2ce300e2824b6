// Client of the key-value store (the platform's state service). It reports every outcome of a
// request separately. A request without a response may or may not have been executed, and the
// caller has to find out which.
//
// Not thread-safe: to be used on the thread of the io_context. Callers keep to the rate limits
// themselves (storage/rate_limiter.h).
#pragma once
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

#include "protocol/kv_codec.h"
#include "storage/rate_limiter.h"
#include "transport/http_client.h"

namespace weirmill {

// The kind of a request.
enum class KvOperation : uint8_t { Get, List, Transaction, GrantLease, RenewLease, Watch };

enum class KvOutcome : uint8_t {
    Ok,
    Conflict,  // status 409: a condition failed and nothing was changed
    Missing,   // status 404: the key or the lease does not exist
    Refused,   // status 429 or 503: not executed
    Invalid,   // any other status: not executed
    Unknown,   // no response or a malformed one: may be executed now, later or never
};

template <class T>
struct [[nodiscard]] KvResult {
    KvOperation operation = KvOperation::Get;
    KvOutcome outcome = KvOutcome::Unknown;
    T value{};
    std::vector<std::string> failed_keys;  // Conflict: the keys whose conditions failed
    bool rate_limited = false;             // Refused: the request rate was too high (status 429)
    explicit operator bool() const { return outcome == KvOutcome::Ok; }
    // Returns whether the response shows that the key-value store is reachable and works. A refusal
    // or a malformed response does not show that.
    bool answered() const {
        return outcome == KvOutcome::Ok || outcome == KvOutcome::Conflict ||
               outcome == KvOutcome::Missing;
    }
};

class KvClient {
  public:
    KvClient(boost::asio::io_context& io, const Settings& settings);

    // Timeouts are in seconds. After a timeout the outcome is Unknown.
    boost::asio::awaitable<KvResult<KvItem>> get(const std::string& key, double timeout_s);
    // Returns up to `limit` items whose keys begin with `prefix`, ordered by key, starting after
    // the key `after`. An empty `after` starts at the first item.
    boost::asio::awaitable<KvResult<KvPage>> list(const std::string& prefix,
                                                  const std::string& after, int limit,
                                                  double timeout_s);
    // Returns the revision at which the transaction was applied.
    boost::asio::awaitable<KvResult<uint64_t>> txn(const CasTransaction& txn, double timeout_s);
    // Returns the id of the new lease.
    boost::asio::awaitable<KvResult<uint64_t>> grant_lease(double ttl_s, double timeout_s);
    // The outcome is Missing if the lease has ended.
    boost::asio::awaitable<KvResult<bool>> renew_lease(uint64_t lease, double timeout_s);
    // Returns once a key that begins with `prefix` has changed after the revision `after`, or after
    // `wait_s` seconds.
    boost::asio::awaitable<KvResult<KvWatch>> watch(const std::string& prefix, uint64_t after,
                                                    double wait_s);

    // Returns when the key-value store last responded to this controller with anything but a
    // refusal, in seconds of the steady clock.
    double answered_at() const { return answered_at_; }

  private:
    struct Request {
        KvOperation operation = KvOperation::Get;
        const char* method = "GET";
        std::string target;
        std::string body;
        double timeout_s = 0;
    };
    template <class F>
    boost::asio::awaitable<KvResult<std::invoke_result_t<F, std::string_view>>> send(
        HttpClient* client, Request request, F parse);

    // Separate connections, so that neither a long watch nor many requests delay a lease renewal.
    HttpClient request_client_, lease_client_, watch_client_;
    double answered_at_ = -1e9;
};

}  // namespace weirmill
