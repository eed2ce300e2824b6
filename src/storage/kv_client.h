// Calls to the state service, within its rates. Every outcome is told apart; no answer is unknown.
#pragma once
#include <memory>
#include <vector>

#include "protocol/kv_codec.h"
#include "transport/http_client.h"

namespace weirmill {

enum class KvOutcome : uint8_t {
    Ok,
    Conflict,  // 409: a condition failed, nothing was changed
    Missing,   // 404
    Refused,   // 429, 503: not executed
    Invalid,   // any other status: not executed
    Unknown,   // no answer, or one that made no sense: executed, or not, or later
};

template <class T>
struct KvResult {
    KvOutcome outcome = KvOutcome::Unknown;
    T value{};
    std::vector<std::string> failed;  // Conflict: the keys
    bool too_fast = false;            // Refused: for the rate (429)
    explicit operator bool() const { return outcome == KvOutcome::Ok; }
};

// A rate with bursts. Where it proves too high, it falls at once and comes back in some minutes: a
// limit that was not announced would else refuse transactions all the time.
class RateLimiter {
  public:
    RateLimiter(double per_s, double burst_s)
        : allowed_(per_s), rate_(per_s), burst_s_(burst_s), level_(per_s * burst_s) {}
    double available(double now) {
        if (last_ > 0) {
            level_ = std::min(rate_ * burst_s_, level_ + (now - last_) * rate_);
            rate_ = std::min(allowed_, rate_ + (now - last_) * allowed_ * kRecovery);
        }
        last_ = now;
        return level_;
    }
    void take(double n) { level_ -= n; }
    void drain() { level_ = std::min(level_, 0.0); }
    void too_fast() {
        rate_ = std::max(allowed_ * kMin, rate_ * kFall);
        drain();
    }
    double rate() const { return rate_; }

  private:
    static constexpr double kFall = 0.8, kMin = 0.1, kRecovery = 0.001;
    double allowed_, rate_, burst_s_, level_, last_ = 0;
};

class KvClient {
  public:
    KvClient(boost::asio::io_context& io, const Settings& settings);

    boost::asio::awaitable<KvResult<KvItem>> get(std::string key, double timeout_s);
    boost::asio::awaitable<KvResult<KvPage>> list(std::string prefix, std::string after, int limit,
                                                  double timeout_s);
    boost::asio::awaitable<KvResult<uint64_t>> txn(CasTransaction txn, double timeout_s);
    boost::asio::awaitable<KvResult<uint64_t>> grant(double ttl_s, double timeout_s);
    boost::asio::awaitable<KvResult<bool>> renew(uint64_t lease, double timeout_s);
    boost::asio::awaitable<KvResult<KvWatch>> watch(std::string prefix, uint64_t after,
                                                    double wait_s);

    // When the state service last answered this controller, refusals aside; steady clock, seconds.
    double answered_at() const { return answered_at_; }

  private:
    template <class F>
    boost::asio::awaitable<KvResult<std::invoke_result_t<F, std::string_view>>> ask(
        HttpClient& via, const char* method, std::string target, std::string body, double timeout_s,
        F parse);

    HttpClient calls_, leases_, watches_;
    double answered_at_ = -1e9;
};

}  // namespace weirmill
