// Adaptive timeout for submissions that a follower forwards to the leader. When the leader stays
// silent for longer, the follower serves the user itself. The timeout is the smoothed response time
// plus four mean deviations, computed as in TCP's retransmission timer (RFC 6298, section 2) and
// clamped between fixed bounds. All times are in seconds.
#pragma once
#include <algorithm>
#include <cmath>

namespace weirmill {

class ForwardTimeout {
  public:
    // Updates the estimate with the leader's response time to one submission.
    void record_response_time(double response_time_s) {
        if (smoothed_s_ == 0) {
            smoothed_s_ = response_time_s;
            deviation_s_ = response_time_s / 2;
            return;
        }
        deviation_s_ += (std::abs(response_time_s - smoothed_s_) - deviation_s_) / 4;
        smoothed_s_ += (response_time_s - smoothed_s_) / 8;
    }
    double timeout_s() const {
        if (smoothed_s_ == 0) return kInitialTimeout_s;
        return std::min(kMaxTimeout_s, std::max(kMinTimeout_s, smoothed_s_ + 4 * deviation_s_));
    }

  private:
    static constexpr double kInitialTimeout_s = 0.3;
    static constexpr double kMinTimeout_s = 0.08;
    static constexpr double kMaxTimeout_s = 0.6;
    double smoothed_s_ = 0;   // smoothed response time; 0 before the first response
    double deviation_s_ = 0;  // mean deviation of the response time
};

}  // namespace weirmill
