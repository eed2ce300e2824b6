// Reads the leader's log into a StateLogView. An actor that owns the view; reads of the log are
// shared by all who wait for them. On the io_context's one thread.
#pragma once
#include <boost/asio.hpp>
#include <deque>

#include "standby/kv_answers.h"
#include "standby/state_log_view.h"
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

class StateLogFollower {
  public:
    enum class Urgency : uint8_t {
        Shared,     // waits a little for others, so that many share one read
        Immediate,  // begins at once, for what was just recorded
    };

    // `reads` and `answers` are the standby service's and must outlive this.
    StateLogFollower(boost::asio::io_context& io, KvClient& kv, RateLimiter& reads,
                     KvAnswers& answers);

    // Waits until the view shows all that was recorded before this call. False: not known now.
    boost::asio::awaitable<bool> refresh(Urgency urgency);
    const StateLogView& view() const { return view_; }
    // The view holds the whole log as of its last read.
    bool complete() const { return complete_; }

  private:
    enum class ReadResult : uint8_t {
        Complete,
        Gap,     // segments are gone that were not read to their end
        Failed,  // no answer, or a malformed record
    };
    struct Waiter {
        uint64_t read = 0;  // the first that begins after it asked
        OneShot<bool> done;
    };
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> wait_for_next_read();
    // Reads the log forward to what was recorded when this began, or more.
    boost::asio::awaitable<bool> read_log();
    boost::asio::awaitable<ReadResult> read_forward();
    void start_over();

    boost::asio::io_context& io_;
    KvClient& kv_;
    RateLimiter& reads_;
    KvAnswers& answers_;
    StateLogView view_;
    bool complete_ = false;
    bool loop_runs_ = false;
    uint64_t reads_begun_ = 0;
    double last_began_at_ = -1e9;
    bool urgent_ = false;  // somebody waits with Urgency::Immediate
    boost::asio::steady_timer next_read_;
    std::deque<Waiter> waiters_;  // in the order of their reads
};

}  // namespace weirmill
