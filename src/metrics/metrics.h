// Counters and latency histograms of one controller, exported in the Prometheus text format. Not
// thread-safe: used on the controller's io_context thread only.
#pragma once
#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace weirmill {

class Metrics {
  public:
    // Records a request of this kind that was answered with the HTTP status `status`.
    void record_request(const std::string& kind, int status, double latency_s);
    // Adds to the counter weirmill_<name>.
    void increment(const std::string& name, uint64_t n = 1) { counters_[name] += n; }
    // Returns all metrics in the Prometheus text format, `gauges` included. The key of a gauge is
    // its name with labels.
    std::string to_prometheus_text(const std::map<std::string, double>& gauges) const;

  private:
    using Axis = boost::histogram::axis::variable<>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    struct RequestStats {
        RequestStats();
        Histogram latency_s;
        double latency_sum_s = 0;
        std::map<int, uint64_t> count_by_status;
    };
    std::map<std::string, RequestStats> requests_;  // by kind
    std::map<std::string, uint64_t> counters_;
};

}  // namespace weirmill
