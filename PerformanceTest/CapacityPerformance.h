#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <vector>

namespace celeryswitch::PerformanceTest {

/// Slopes that docs/CAPACITY.md extrapolates from: memory and processor time for each job, task, member and message.
/// Each slope is fitted over four sizes and repeated; its spread is a case of its own.
std::vector<PerformanceCase> capacityCases();

}
