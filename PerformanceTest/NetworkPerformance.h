#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <vector>

namespace celeryswitch::PerformanceTest {

/// Cost of encoding, authenticating and exchanging frames.
std::vector<PerformanceCase> networkCases();

}
