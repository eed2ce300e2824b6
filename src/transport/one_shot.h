// One answer, awaited once with a deadline. Setting it never runs the waiter inside the setter.
#pragma once
#include <boost/asio.hpp>
#include <memory>
#include <optional>

namespace weirmill {

template <class T>
class OneShot {
  public:
    explicit OneShot(boost::asio::any_io_executor ex) : state_(std::make_shared<State>(ex)) {}

    void set(T value) const {
        if (state_->value) return;
        state_->value = std::move(value);
        state_->timer.cancel();
    }

    boost::asio::awaitable<std::optional<T>> wait(double seconds) const {
        auto state = state_;
        if (!state->value) {
            state->timer.expires_after(
                std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double>(seconds)));
            co_await state->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return std::move(state->value);
    }

  private:
    struct State {
        explicit State(boost::asio::any_io_executor ex) : timer(ex) {}
        std::optional<T> value;
        boost::asio::steady_timer timer;
    };
    std::shared_ptr<State> state_;
};

inline boost::asio::awaitable<void> sleep_s(double seconds) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                        std::chrono::duration<double>(seconds)));
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

inline double wall_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline double steady_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace weirmill
