// Random pauses that keep controllers from acting in step.
#pragma once
#include <random>

namespace weirmill {

// Evenly distributed in [low, high). For the io_context's one thread.
inline double jitter(double low, double high) {
    static std::mt19937_64 engine{std::random_device{}()};
    return std::uniform_real_distribution<double>(low, high)(engine);
}

}  // namespace weirmill
