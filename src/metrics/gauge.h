// A gauge of the metrics page: a value that can go up and down.
#pragma once
#include <string>

namespace weirmill {

struct Gauge {
    std::string name;
    double value = 0;
};

}  // namespace weirmill
