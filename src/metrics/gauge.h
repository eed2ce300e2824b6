// A value of the moment for the metrics page.
#pragma once
#include <string>

namespace weirmill {

struct Gauge {
    std::string name;
    double value = 0;
};

}  // namespace weirmill
