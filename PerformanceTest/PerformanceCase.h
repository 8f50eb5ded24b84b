#pragma once

#include <string>
#include <vector>

namespace celeryswitch::PerformanceTest {

/// One measured figure with its bound.
struct PerformanceCase {
    /// What was measured.
    std::string name;
    double value = 0;
    std::string unit;
    /// The figure that the design asks for.
    double bound = 0;
    /// Whether the value should be at most the bound; otherwise at least.
    bool isUpperBound = true;
};

}
