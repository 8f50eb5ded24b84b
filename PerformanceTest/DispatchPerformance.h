#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <vector>

namespace celeryswitch::PerformanceTest {

/// Costs of the dispatch decisions: placement by fleet size, cancellation, starts in jobs of 200, quota exchange.
std::vector<PerformanceCase> dispatchCases();

}
