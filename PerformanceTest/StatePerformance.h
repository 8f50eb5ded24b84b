#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <vector>

namespace celeryswitch::PerformanceTest {

/// Commit latency, messages and recovery times of three state replicas on loopback, with files on a real disk, and the
/// counted messages of other ways to keep the configuration.
std::vector<PerformanceCase> stateCases();

}
