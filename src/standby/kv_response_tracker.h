// Tracks when the key-value store last answered a request of the standby service.
#pragma once
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

class KvResponseTracker {
  public:
    // Returns whether the result shows what is stored, and if so records the current time. A
    // refusal, a malformed answer or a missing answer does not show it.
    template <class T>
    bool record(const KvResult<T>& result) {
        bool answered =
            result || result.outcome == KvOutcome::Missing || result.outcome == KvOutcome::Conflict;
        if (answered) last_response_at_ = steady_now();
        return answered;
    }
    // Returns the time of the last answer, in seconds of the steady clock.
    double last_response_at() const { return last_response_at_; }

  private:
    double last_response_at_ = -1e9;
};

}  // namespace weirmill
