// Random delays that keep controllers from acting at the same moment.
#pragma once
#include <random>

namespace weirmill {

// Returns a uniformly distributed value in [low, high). Not thread-safe: to be called on the thread
// of the io_context only.
inline double jitter(double low, double high) {
    static std::mt19937_64 engine{std::random_device{}()};
    return std::uniform_real_distribution<double>(low, high)(engine);
}

}  // namespace weirmill
