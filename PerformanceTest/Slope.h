#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <functional>
#include <vector>

namespace celeryswitch::PerformanceTest {

/// How a slope is measured.
struct SlopeSettings {
    std::string name;
    std::string unit;
    /// Sizes at which the cost is measured; at least three.
    std::vector<std::size_t> sizes;
    /// Fits over all sizes; the middle one is the result.
    std::size_t repeats = 5;
    /// Cost of one size, in the unit's numerator.
    std::function<double(std::size_t)> costOf;
};

/// Median slope of cost over size by least squares, and the largest distance of a repeat from it, as two cases.
std::vector<PerformanceCase> measureSlope(const SlopeSettings& settings);

/// Bytes that the process has allocated.
double allocatedBytes();

/// Processor time of this thread, in microseconds, that a piece of work takes.
double processorMicroseconds(const std::function<void()>& work);

}
