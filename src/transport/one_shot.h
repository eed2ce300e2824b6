// A future for coroutines that run on one thread.
#pragma once
#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "transport/clock.h"

namespace weirmill {

// Holds one value, which one coroutine awaits once with a timeout. Copies share the value. Setting
// it never resumes the waiting coroutine inside set().
template <class T>
class OneShot {
  public:
    explicit OneShot(const boost::asio::any_io_executor& ex)
        : state_(std::make_shared<State>(ex)) {}

    // Sets the value; later calls have no effect.
    void set(T value) const {
        if (state_->value) return;
        state_->value = std::move(value);
        state_->timer.cancel();
    }

    // Returns the value; nullopt if none was set in time.
    boost::asio::awaitable<std::optional<T>> wait(double seconds) const {
        auto state = state_;
        if (!state->value) {
            state->timer.expires_after(steady_duration(seconds));
            co_await state->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return std::move(state->value);
    }

  private:
    struct State {
        explicit State(const boost::asio::any_io_executor& ex) : timer(ex) {}
        std::optional<T> value;
        boost::asio::steady_timer timer;
    };
    std::shared_ptr<State> state_;
};

}  // namespace weirmill
