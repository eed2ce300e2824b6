// Wall clock and steady clock in seconds, and a sleep for coroutines.
#pragma once
#include <boost/asio.hpp>
#include <chrono>

namespace weirmill {

inline std::chrono::steady_clock::duration steady_duration(double seconds) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(seconds));
}

// Seconds since 1970 by the system clock. This time may jump backwards.
inline double wall_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Seconds since an arbitrary fixed point. This clock never goes back and is valid on this host
// only.
inline double steady_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// Suspends the calling coroutine for this many seconds.
inline boost::asio::awaitable<void> sleep_s(double seconds) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    steady_duration(seconds));
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace weirmill
