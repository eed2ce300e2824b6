// Keeps a StateLogView up to date with the leader's log.
//
// An actor that owns the view and runs on the io_context's single thread. All callers that wait at
// the same time share one read of the log.
#pragma once
#include <boost/asio.hpp>
#include <deque>

#include "standby/kv_response_tracker.h"
#include "standby/state_log_view.h"
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

class StateLogFollower {
  public:
    enum class Urgency : uint8_t {
        Shared,     // may be delayed for a short time, so that more callers share the read
        Immediate,  // starts without delay, to see what was just recorded
    };

    // `read_limiter` and `kv_responses` belong to the standby service and must outlive this object.
    StateLogFollower(boost::asio::io_context& io, KvClient& kv, RateLimiter& read_limiter,
                     KvResponseTracker& kv_responses);

    // Waits until the view includes everything that was recorded before this call. Returns false if
    // the log could not be read in time.
    boost::asio::awaitable<bool> refresh(Urgency urgency);
    const StateLogView& view() const { return view_; }
    // Returns whether the view holds the whole log as of its last read.
    bool complete() const { return complete_; }

  private:
    enum class ReadResult : uint8_t {
        Complete,
        Gap,     // segments were deleted before they were read completely
        Failed,  // no answer, or a malformed record
    };
    struct Waiter {
        uint64_t read_number = 0;  // the first read that starts after the call to refresh()
        OneShot<bool> done;
    };
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> wait_for_next_read();
    // Reads the log up to at least what was recorded when the read started. If segments are
    // missing, clears the view and reads the log from its start.
    boost::asio::awaitable<bool> read_log();
    // Reads the log from the newest segment that the view holds to its end.
    boost::asio::awaitable<ReadResult> read_forward();
    void reset_view();

    boost::asio::io_context& io_;
    KvClient& kv_;
    RateLimiter& read_limiter_;
    KvResponseTracker& kv_responses_;
    StateLogView view_;
    bool complete_ = false;
    bool loop_running_ = false;
    uint64_t reads_started_ = 0;
    double last_read_started_at_ = -1e9;  // steady clock, seconds
    bool immediate_requested_ = false;    // a caller waits with Urgency::Immediate
    boost::asio::steady_timer read_delay_timer_;
    std::deque<Waiter> waiters_;  // ordered by read number
};

}  // namespace weirmill
