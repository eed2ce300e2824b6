#include "standby/state_log_follower.h"

#include <spdlog/spdlog.h>

#include "state/state_log.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr int kSegmentsPerPage = 50;
constexpr double kPageReadTimeout_s = 0.8;  // to read one page of segments
constexpr double kRefreshTimeout_s = 1.2;   // for refresh() to wait for its read
constexpr double kMinReadInterval_s = 0.2;  // between read starts, so that polls share reads
constexpr int kMaxReadAttempts = 2;         // after a gap, the log is read from its start
}  // namespace

StateLogFollower::StateLogFollower(asio::io_context& io, KvClient& kv, RateLimiter& read_limiter,
                                   KvResponseTracker& kv_responses)
    : io_(io),
      kv_(kv),
      read_limiter_(read_limiter),
      kv_responses_(kv_responses),
      read_delay_timer_(io) {}

asio::awaitable<bool> StateLogFollower::refresh(Urgency urgency) {
    OneShot<bool> done(io_.get_executor());
    if (urgency == Urgency::Immediate) {
        read_delay_timer_.cancel();
        immediate_requested_ = true;
    }
    waiters_.push_back({reads_started_ + 1, done});
    if (!loop_running_) {
        loop_running_ = true;
        asio::co_spawn(io_, read_loop(), asio::detached);
    }
    auto succeeded = co_await done.wait(kRefreshTimeout_s);
    // A later read may have cleared the view before this coroutine resumed.
    co_return succeeded.value_or(false) && complete_;
}

asio::awaitable<void> StateLogFollower::wait_for_next_read() {
    double delay_s = last_read_started_at_ + kMinReadInterval_s - steady_now();
    if (immediate_requested_ || delay_s <= 0) co_return;
    read_delay_timer_.expires_after(std::chrono::microseconds(static_cast<int64_t>(delay_s * 1e6)));
    co_await read_delay_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StateLogFollower::read_loop() {
    while (!waiters_.empty()) {
        co_await wait_for_next_read();
        immediate_requested_ = false;
        last_read_started_at_ = steady_now();
        auto read_number = ++reads_started_;
        bool succeeded = co_await read_log();
        // Callers that arrived during this read wait for the next one.
        while (!waiters_.empty() && waiters_.front().read_number <= read_number) {
            waiters_.front().done.set(succeeded);
            waiters_.pop_front();
        }
    }
    loop_running_ = false;
}

void StateLogFollower::reset_view() {
    view_.clear();
    complete_ = false;
}

asio::awaitable<bool> StateLogFollower::read_log() {
    for (int attempt = 0; attempt < kMaxReadAttempts; ++attempt) {
        auto result = co_await read_forward();
        if (result == ReadResult::Failed) co_return false;
        if (result == ReadResult::Complete) {
            complete_ = true;
            co_return true;
        }
        reset_view();
    }
    co_return false;
}

asio::awaitable<StateLogFollower::ReadResult> StateLogFollower::read_forward() {
    std::string after = view_.resume_after();
    for (bool first_page = true;; first_page = false) {
        read_limiter_.consume(1);
        auto page = co_await kv_.list(kSegmentPrefix, after, kSegmentsPerPage, kPageReadTimeout_s);
        if (!kv_responses_.record(page) || !page) co_return ReadResult::Failed;
        try {
            if (!view_.apply_page(page.value, first_page)) co_return ReadResult::Gap;
        } catch (const BadMessage& error) {
            spdlog::error("standby: malformed state log record after key {}: {}", after,
                          error.what());
            reset_view();
            co_return ReadResult::Failed;
        }
        if (!page.value.has_more || page.value.items.empty()) co_return ReadResult::Complete;
        after = page.value.items.back().key;
    }
}

}  // namespace weirmill
