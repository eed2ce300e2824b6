// A token bucket whose rate adapts to the limit that the server enforces. Not thread-safe.
#pragma once
#include <algorithm>

namespace weirmill {

// Limits the rate of requests and allows bursts. When the server refuses requests for their rate,
// the rate falls at once and recovers over some minutes. A fixed rate would be refused all the time
// by a server with a lower, unannounced limit. Times are in seconds of the steady clock.
class RateLimiter {
  public:
    RateLimiter(double max_per_s, double burst_s)
        : max_rate_(max_per_s), rate_(max_per_s), burst_s_(burst_s), tokens_(max_per_s * burst_s) {}
    // Returns how many requests may be sent now. A negative value means that the caller must pause.
    double available(double now) {
        if (last_refill_at_ > 0) {
            double elapsed_s = now - last_refill_at_;
            tokens_ = std::min(rate_ * burst_s_, tokens_ + elapsed_s * rate_);
            rate_ = std::min(max_rate_, rate_ + elapsed_s * max_rate_ * kRecoverySharePerSecond);
        }
        last_refill_at_ = now;
        return tokens_;
    }
    void consume(double requests) { tokens_ -= requests; }
    // Empties the bucket after a request was refused.
    void drain() { tokens_ = std::min(tokens_, 0.0); }
    // Lowers the rate and empties the bucket after a request was refused for its rate.
    void reduce_rate() {
        rate_ = std::max(max_rate_ * kMinRateShare, rate_ * kBackoffFactor);
        drain();
    }
    double rate() const { return rate_; }

  private:
    static constexpr double kBackoffFactor = 0.8;             // applied to the rate at each refusal
    static constexpr double kMinRateShare = 0.1;              // share of the maximum rate
    static constexpr double kRecoverySharePerSecond = 0.001;  // share of the maximum rate
    double max_rate_, rate_, burst_s_, tokens_, last_refill_at_ = 0;
};

}  // namespace weirmill
