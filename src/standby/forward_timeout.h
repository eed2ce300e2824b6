// How long a follower waits for the leader's answer to a submission before it serves the user
// itself: the smoothed time plus four mean deviations, as TCP's retransmission timer has it (RFC
// 6298, section 2), between fixed bounds. All times are in seconds.
#pragma once
#include <algorithm>
#include <cmath>

namespace weirmill {

class ForwardTimeout {
  public:
    // The leader answered after `answer_s`.
    void record_answer(double answer_s) {
        if (mean_s_ == 0) {
            mean_s_ = answer_s;
            deviation_s_ = answer_s / 2;
            return;
        }
        deviation_s_ += (std::abs(answer_s - mean_s_) - deviation_s_) / 4;
        mean_s_ += (answer_s - mean_s_) / 8;
    }
    double seconds() const {
        if (mean_s_ == 0) return kInitial_s;
        return std::min(kMax_s, std::max(kMin_s, mean_s_ + 4 * deviation_s_));
    }

  private:
    static constexpr double kInitial_s = 0.3;
    static constexpr double kMin_s = 0.08;
    static constexpr double kMax_s = 0.6;
    double mean_s_ = 0;  // 0: no answer yet
    double deviation_s_ = 0;
};

}  // namespace weirmill
