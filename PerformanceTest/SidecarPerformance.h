#pragma once

#include "PerformanceTest/PerformanceCase.h"
#include <vector>

namespace celeryswitch::PerformanceTest {

/// Cost of the fence and of the sidecar's decisions, without threads and sockets.
std::vector<PerformanceCase> fenceCases();
/// Cost of a whole sidecar between three entries and an endpoint on loopback, at 37 starts a second.
std::vector<PerformanceCase> sidecarCases();

}
