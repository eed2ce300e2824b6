#include "standby/state_log_follower.h"

#include <spdlog/spdlog.h>

#include "state/state_log.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr int kSegmentsPerPage = 50;
constexpr double kPage_s = 0.8;             // for one page of segments
constexpr double kRefresh_s = 1.2;          // for a read that others may share
constexpr double kMinBetweenReads_s = 0.2;  // so that many polls share one read
constexpr int kMaxReadTries = 2;            // of the whole log, after a gap
}  // namespace

StateLogFollower::StateLogFollower(asio::io_context& io, KvClient& kv, RateLimiter& reads,
                                   KvAnswers& answers)
    : io_(io), kv_(kv), reads_(reads), answers_(answers), next_read_(io) {}

asio::awaitable<bool> StateLogFollower::refresh(Urgency urgency) {
    OneShot<bool> done(io_.get_executor());
    if (urgency == Urgency::Immediate) {
        next_read_.cancel();
        urgent_ = true;
    }
    waiters_.push_back({reads_begun_ + 1, done});
    if (!loop_runs_) {
        loop_runs_ = true;
        asio::co_spawn(io_, read_loop(), asio::detached);
    }
    auto ok = co_await done.wait(kRefresh_s);
    // A later read may have started the view over by the time that this goes on; then it tells
    // nothing.
    co_return ok.value_or(false) && complete_;
}

asio::awaitable<void> StateLogFollower::wait_for_next_read() {
    double pause = last_began_at_ + kMinBetweenReads_s - steady_now();
    if (urgent_ || pause <= 0) co_return;
    next_read_.expires_after(std::chrono::microseconds(static_cast<int64_t>(pause * 1e6)));
    co_await next_read_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StateLogFollower::read_loop() {
    while (!waiters_.empty()) {
        co_await wait_for_next_read();
        urgent_ = false;
        last_began_at_ = steady_now();
        auto number = ++reads_begun_;
        bool ok = co_await read_log();
        // Those that came during this read wait for the next one.
        while (!waiters_.empty() && waiters_.front().read <= number) {
            waiters_.front().done.set(ok);
            waiters_.pop_front();
        }
    }
    loop_runs_ = false;
}

void StateLogFollower::start_over() {
    view_.clear();
    complete_ = false;
}

asio::awaitable<bool> StateLogFollower::read_log() {
    for (int tries = 0; tries < kMaxReadTries; ++tries) {
        auto result = co_await read_forward();
        if (result == ReadResult::Failed) co_return false;
        if (result == ReadResult::Complete) {
            complete_ = true;
            co_return true;
        }
        start_over();
    }
    co_return false;
}

asio::awaitable<StateLogFollower::ReadResult> StateLogFollower::read_forward() {
    std::string after = view_.resume_after();
    for (bool first_page = true;; first_page = false) {
        reads_.take(1);
        auto page = co_await kv_.list(kSegmentPrefix, after, kSegmentsPerPage, kPage_s);
        if (!answers_.record(page) || !page) co_return ReadResult::Failed;
        try {
            if (!view_.apply_page(page.value, first_page)) co_return ReadResult::Gap;
        } catch (const BadMessage& e) {
            spdlog::error("standby: malformed record after {}: {}", after, e.what());
            start_over();
            co_return ReadResult::Failed;
        }
        if (!page.value.has_more || page.value.items.empty()) co_return ReadResult::Complete;
        after = page.value.items.back().key;
    }
}

}  // namespace weirmill
