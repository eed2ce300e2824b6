// When the state service last answered the standby service.
#pragma once
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

class KvAnswers {
  public:
    // Whether this result is an answer that tells of what is stored; refusals and lost answers are
    // none. Its time is kept.
    template <class T>
    bool record(const KvResult<T>& result) {
        bool answered =
            result || result.outcome == KvOutcome::Missing || result.outcome == KvOutcome::Conflict;
        if (answered) last_at_ = steady_now();
        return answered;
    }
    // Steady clock, seconds.
    double last_at() const { return last_at_; }

  private:
    double last_at_ = -1e9;
};

}  // namespace weirmill
