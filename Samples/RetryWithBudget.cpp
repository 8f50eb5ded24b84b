// Embeds the retry budget and the outlier detector: a client that stops retrying in an outage and avoids a bad
// endpoint.

#include "celeryswitch/Dispatch/OutlierDetector.h"
#include "celeryswitch/Dispatch/RetryBudget.h"
#include <cstdio>

using namespace celeryswitch;

namespace {

constexpr Dispatch::SidecarIndex endpointCount = 5;
constexpr Dispatch::SidecarIndex failingEndpoint = 2;
constexpr int callCount = 1000;

}

int main()
{
    Core::ManualClock clock;
    Dispatch::RetryBudget budget(1);
    budget.setPercent(10);
    Dispatch::OutlierDetector detector(1);
    detector.setEjectionLimit(30);
    for (Dispatch::SidecarIndex endpoint = 0; endpoint < endpointCount; ++endpoint)
        detector.add(endpoint);

    int failures = 0;
    int retries = 0;
    for (int call = 0; call < callCount; ++call) {
        const Dispatch::SidecarIndex endpoint = static_cast<Dispatch::SidecarIndex>(call) % endpointCount;
        clock.advance(std::chrono::milliseconds(1));
        if (detector.health(endpoint) != Dispatch::EndpointHealth::Active)
            continue;
        const bool isSuccess = endpoint != failingEndpoint;
        budget.tasksStarted(1);
        detector.started(clock.steadyNow(), endpoint, 1);
        detector.finished(clock.steadyNow(), endpoint, isSuccess, std::chrono::milliseconds(isSuccess ? 50 : 1),
            std::chrono::milliseconds(50));
        failures += isSuccess ? 0 : 1;
        if (!isSuccess && budget.tryTake())
            ++retries;
    }
    std::printf("%d failures and %d retries in %d calls; endpoint %u is %s\n", failures, retries, callCount,
        failingEndpoint, std::string(Core::enumName(detector.health(failingEndpoint))).c_str());
    return failures < callCount / int(endpointCount) && detector.ejectedCount() == 1 ? 0 : 1;
}
