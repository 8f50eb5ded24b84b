#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <vector>

namespace celeryswitch::PerformanceTest {

/// Decision work of one entry on one core, in jobs of 200 tasks.
std::vector<PerformanceCase> measureEntryDecisions();
/// Time that the system adds to a task of 0 ms over loopback, with every process's threads in this process.
std::vector<PerformanceCase> measureAddedTime();

}
