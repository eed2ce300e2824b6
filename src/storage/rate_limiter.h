// A rate limit with bursts (a token bucket) that adapts to what proves possible. Not thread-safe.
#pragma once
#include <algorithm>

namespace weirmill {

// Where the rate proves too high, it falls at once and comes back in some minutes: a limit that was
// not announced would otherwise refuse requests all the time. Times are of the steady clock,
// seconds.
class RateLimiter {
  public:
    RateLimiter(double per_s, double burst_s)
        : allowed_(per_s), rate_(per_s), burst_s_(burst_s), level_(per_s * burst_s) {}
    // How many requests may be sent now; negative: they are to pause.
    double available(double now) {
        if (last_ > 0) {
            level_ = std::min(rate_ * burst_s_, level_ + (now - last_) * rate_);
            rate_ = std::min(allowed_, rate_ + (now - last_) * allowed_ * kRecoveryPerS);
        }
        last_ = now;
        return level_;
    }
    void take(double n) { level_ -= n; }
    // Nothing more for now: a request was refused.
    void drain() { level_ = std::min(level_, 0.0); }
    // A request was refused for its rate.
    void too_fast() {
        rate_ = std::max(allowed_ * kMinShare, rate_ * kFall);
        drain();
    }
    double rate() const { return rate_; }

  private:
    static constexpr double kFall = 0.8;            // of the rate, with each refusal
    static constexpr double kMinShare = 0.1;        // of the allowed rate
    static constexpr double kRecoveryPerS = 0.001;  // of the allowed rate
    double allowed_, rate_, burst_s_, level_, last_ = 0;
};

}  // namespace weirmill
