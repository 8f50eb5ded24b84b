#pragma once

#include <optional>
#include <string>

namespace celeryswitch::PerformanceTest {

/// One measured figure beside its stated bound.
struct PerformanceCase {
    std::string name;
    double value = 0;
    std::string unit;
    /// Stated bound; missing for figures that have none, such as slopes.
    std::optional<double> bound;
    /// Whether the value must stay at or below the bound; otherwise at or above it.
    bool isUpperBound = true;
};

}
