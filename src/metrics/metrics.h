// Counts and latency histograms of one node, told in the Prometheus text format.
#pragma once
#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace weirmill {

class Metrics {
  public:
    void request(const std::string& kind, int status, double seconds);
    void count(const std::string& name, uint64_t n = 1) { counts_[name] += n; }
    // Values of the moment, given by the caller, are told along with the counts.
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
