#include "PerformanceTest/Slope.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <malloc.h>

namespace celeryswitch::PerformanceTest {

namespace {

// Slope of the least-squares line through the points.
double leastSquaresSlope(const std::vector<std::size_t>& sizes, const std::vector<double>& costs)
{
    double meanSize = 0;
    double meanCost = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        meanSize += double(sizes[index]) / double(sizes.size());
        meanCost += costs[index] / double(sizes.size());
    }
    double numerator = 0;
    double denominator = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const double offset = double(sizes[index]) - meanSize;
        numerator += offset * (costs[index] - meanCost);
        denominator += offset * offset;
    }
    return numerator / denominator;
}

}

std::vector<PerformanceCase> measureSlope(const SlopeSettings& settings)
{
    std::vector<double> slopes;
    for (std::size_t repeat = 0; repeat < settings.repeats; ++repeat) {
        std::vector<double> costs;
        for (std::size_t size : settings.sizes)
            costs.push_back(settings.costOf(size));
        slopes.push_back(leastSquaresSlope(settings.sizes, costs));
    }
    std::sort(slopes.begin(), slopes.end());
    const double median = slopes[slopes.size() / 2];
    const double spread = std::max(slopes.back() - median, median - slopes.front());
    return { { settings.name, median, settings.unit, std::nullopt, true },
        { settings.name + ", spread", spread, settings.unit, std::nullopt, true } };
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return double(info.uordblks) + double(info.hblkhd);
}

double processorMicroseconds(const std::function<void()>& work)
{
    timespec before {};
    timespec after {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
    work();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
    return double(after.tv_sec - before.tv_sec) * 1e6 + double(after.tv_nsec - before.tv_nsec) / 1e3;
}

}
