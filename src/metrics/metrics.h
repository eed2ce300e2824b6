// Counters and latency histograms of one node, exported in the Prometheus text format. Not
// thread-safe: owned by the node's io_context thread.
#pragma once
#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace weirmill {

class Metrics {
  public:
    // A request of this kind was answered with the HTTP status after so many seconds.
    void request(const std::string& kind, int status, double seconds);
    // Adds to the counter weirmill_<name>.
    void count(const std::string& name, uint64_t n = 1) { counts_[name] += n; }
    // All metrics as text. `gauges`: values of the moment, by name with labels, exported along.
    std::string text(const std::map<std::string, double>& gauges) const;

  private:
    using Axis = boost::histogram::axis::variable<>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    struct Kind {
        Kind();
        Histogram seconds;
        double sum = 0;
        std::map<int, uint64_t> by_status;
    };
    std::map<std::string, Kind> requests_;
    std::map<std::string, uint64_t> counts_;
};

}  // namespace weirmill
