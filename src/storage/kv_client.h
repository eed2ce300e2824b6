// Client of the key-value store (the platform's state service). Every outcome is distinguished: a
// request without an answer may have been executed or not, and its sender has to find out.
//
// Not thread-safe: to be used from the io_context's thread. Rates are the callers' to keep
// (storage/rate_limiter.h).
#pragma once
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

#include "protocol/kv_codec.h"
#include "storage/rate_limiter.h"
#include "transport/http_client.h"

namespace weirmill {

// What was tried.
enum class KvOperation : uint8_t { Get, List, Transaction, GrantLease, RenewLease, Watch };

enum class KvOutcome : uint8_t {
    Ok,
    Conflict,  // 409: a condition failed, nothing was changed
    Missing,   // 404
    Refused,   // 429, 503: not executed
    Invalid,   // any other status: not executed
    Unknown,   // no answer, or one that made no sense: executed, or not, or later
};

template <class T>
struct [[nodiscard]] KvResult {
    KvOperation operation = KvOperation::Get;
    KvOutcome outcome = KvOutcome::Unknown;
    T value{};
    std::vector<std::string> failed;  // Conflict: the keys
    bool too_fast = false;            // Refused: for the rate (429)
    explicit operator bool() const { return outcome == KvOutcome::Ok; }
    // The key-value store is reached and works: a refusal or a malformed answer does not show that.
    bool answered() const {
        return outcome == KvOutcome::Ok || outcome == KvOutcome::Conflict ||
               outcome == KvOutcome::Missing;
    }
};

class KvClient {
  public:
    KvClient(boost::asio::io_context& io, const Settings& settings);

    // Timeouts in seconds; past them the outcome is Unknown.
    boost::asio::awaitable<KvResult<KvItem>> get(const std::string& key, double timeout_s);
    // Items whose keys begin with `prefix`, in order, after the key `after` (empty: from the
    // first).
    boost::asio::awaitable<KvResult<KvPage>> list(const std::string& prefix,
                                                  const std::string& after, int limit,
                                                  double timeout_s);
    // The value is the revision at which it was applied.
    boost::asio::awaitable<KvResult<uint64_t>> txn(const CasTransaction& txn, double timeout_s);
    // The value is the new lease.
    boost::asio::awaitable<KvResult<uint64_t>> grant(double ttl_s, double timeout_s);
    // Missing: the lease has ended.
    boost::asio::awaitable<KvResult<bool>> renew(uint64_t lease, double timeout_s);
    // Answers once a key that begins with `prefix` has changed after the revision `after`, or
    // `wait_s` have passed.
    boost::asio::awaitable<KvResult<KvWatch>> watch(const std::string& prefix, uint64_t after,
                                                    double wait_s);

    // When the key-value store last answered this controller, refusals aside; steady clock,
    // seconds.
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
        HttpClient* via, Request request, F parse);

    // Apart, so that neither a long watch nor many calls delay the renewal of a lease.
    HttpClient calls_, leases_, watches_;
    double answered_at_ = -1e9;
};

}  // namespace weirmill
