#include "celeryswitch/Dispatch/OutlierDetector.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <cmath>
#include <random>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;

namespace {

// A run of failures this improbable under the fleet's own failure rate ejects. With few failures in the fleet this is a
// run of 3; at 5 % it is 4, at 50 % it is 14.
constexpr double improbableRun = 1e-4;
constexpr std::uint32_t shortestRun = 3;
constexpr double smallestFleetRate = 0.01;
// An endpoint that fails this much more than the fleet is ejected even without a run of failures.
constexpr double failureRateMargin = 0.4;
constexpr std::uint32_t enoughResults = 20;
constexpr double resultWeight = 0.1;
constexpr double fleetWeight = 0.002;
// An endpoint at more than 2.5 times the fleet's run time is a straggler. The mean of 12 samples of a kind that spreads
// as the workloads do stays well under this.
constexpr double slownessLimit = 0.916;
constexpr std::uint32_t enoughSlownessSamples = 12;
constexpr double slownessWeight = 0.15;
constexpr Duration firstEjection = std::chrono::seconds(5);
constexpr Duration longestEjection = std::chrono::seconds(80);
constexpr std::uint32_t probesNeeded = 3;
// Pause of an endpoint's credits after a failure, doubled with each further one, so that fast failures attract no load.
constexpr Duration firstPause = std::chrono::milliseconds(50);
constexpr Duration stallReviewInterval = std::chrono::seconds(1);

}

OutlierDetector::OutlierDetector(std::uint64_t seed)
    : generator(seed)
{
}

void OutlierDetector::setEjectionLimit(std::int64_t percent) { this->limitPercent = percent; }

void OutlierDetector::add(SidecarIndex sidecar)
{
    if (this->endpoints.size() <= sidecar)
        this->endpoints.resize(sidecar + 1);
    if (this->endpoints[sidecar].isKnown)
        this->remove(sidecar);
    this->endpoints[sidecar] = {};
    this->endpoints[sidecar].isKnown = true;
    ++this->knownCount;
}

void OutlierDetector::remove(SidecarIndex sidecar)
{
    CELERY_ASSERT(sidecar < this->endpoints.size() && this->endpoints[sidecar].isKnown);
    this->endpoints[sidecar].isKnown = false;
    std::erase(this->ejectedList, sidecar);
    --this->knownCount;
}

void OutlierDetector::started(SteadyTime now, SidecarIndex sidecar, std::uint32_t tasks)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    if (endpoint.outstanding == 0)
        endpoint.progressAt = now;
    endpoint.outstanding += tasks;
}

void OutlierDetector::finished(SteadyTime now, SidecarIndex sidecar, bool isSuccess, Duration run, Duration expected)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    if (!endpoint.isKnown)
        return;
    endpoint.progressAt = now;
    endpoint.outstanding -= std::min(endpoint.outstanding, 1U);
    ++endpoint.results;
    const double failure = isSuccess ? 0 : 1;
    endpoint.failureRate += resultWeight * (failure - endpoint.failureRate);
    if (endpoint.health == EndpointHealth::Active)
        this->fleetFailureRate += fleetWeight * (failure - this->fleetFailureRate);
    double slowness = 0;
    if (isSuccess && expected > Duration::zero() && run > Duration::zero()) {
        slowness = std::log(double(run.count()) / double(expected.count()));
        endpoint.logSlowness += slownessWeight * (slowness - endpoint.logSlowness);
        ++endpoint.slownessSamples;
        this->fleetLogSlowness += fleetWeight * (slowness - this->fleetLogSlowness);
    }
    if (endpoint.health == EndpointHealth::Probing) {
        this->probeFinished(now, sidecar, isSuccess && slowness - this->fleetLogSlowness < 2 * slownessLimit);
        return;
    }
    if (!isSuccess) {
        this->recordFailure(now, sidecar);
        return;
    }
    endpoint.consecutiveFailures = 0;
    if (endpoint.slownessSamples >= enoughSlownessSamples
        && endpoint.logSlowness - this->fleetLogSlowness > slownessLimit)
        this->eject(now, sidecar);
}

void OutlierDetector::notRun(SidecarIndex sidecar)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    endpoint.outstanding -= std::min(endpoint.outstanding, 1U);
}

std::optional<SteadyTime> OutlierDetector::review(SteadyTime now, Duration stallLimit)
{
    if (now >= this->nextStallReview) {
        this->nextStallReview = now + stallReviewInterval;
        for (SidecarIndex sidecar = 0; sidecar < this->endpoints.size(); ++sidecar) {
            Endpoint& endpoint = this->endpoints[sidecar];
            if (endpoint.isKnown && endpoint.outstanding > 0 && endpoint.health == EndpointHealth::Active
                && now - endpoint.progressAt > stallLimit)
                this->eject(now, sidecar);
        }
    }
    std::optional<SteadyTime> next;
    for (SidecarIndex sidecar : this->ejectedList) {
        Endpoint& endpoint = this->endpoints[sidecar];
        if (endpoint.health != EndpointHealth::Ejected)
            continue;
        if (endpoint.ejectedUntil <= now) {
            endpoint.health = EndpointHealth::Probing;
            endpoint.goodProbes = 0;
            this->changed.push_back(sidecar);
        } else
            next = std::min(next.value_or(endpoint.ejectedUntil), endpoint.ejectedUntil);
    }
    return next;
}

std::uint32_t OutlierDetector::allowance(SteadyTime now, SidecarIndex sidecar) const
{
    const Endpoint& endpoint = this->endpoints[sidecar];
    if (!endpoint.isKnown || endpoint.health == EndpointHealth::Ejected || now < endpoint.pausedUntil)
        return 0;
    if (endpoint.health == EndpointHealth::Probing)
        return endpoint.outstanding == 0 ? 1 : 0;
    return UINT32_MAX;
}

SteadyTime OutlierDetector::pausedUntil(SidecarIndex sidecar) const { return this->endpoints[sidecar].pausedUntil; }

EndpointHealth OutlierDetector::health(SidecarIndex sidecar) const { return this->endpoints[sidecar].health; }

std::size_t OutlierDetector::ejectedCount() const { return this->ejectedList.size(); }

std::vector<SidecarIndex> OutlierDetector::takeChanged() { return std::exchange(this->changed, {}); }

bool OutlierDetector::failsMoreThanFleet(const Endpoint& endpoint) const
{
    const double fleetRate = std::max(this->fleetFailureRate, smallestFleetRate);
    const bool isImprobable = endpoint.consecutiveFailures >= shortestRun
        && endpoint.consecutiveFailures * std::log(fleetRate) < std::log(improbableRun);
    return isImprobable || (endpoint.results >= enoughResults && endpoint.failureRate > fleetRate + failureRateMargin);
}

void OutlierDetector::recordFailure(SteadyTime now, SidecarIndex sidecar)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    const std::uint32_t earlierFailures = endpoint.consecutiveFailures++;
    endpoint.pausedUntil = now + firstPause * (1U << std::min(earlierFailures, 5U));
    this->changed.push_back(sidecar);
    if (endpoint.health == EndpointHealth::Active && this->failsMoreThanFleet(endpoint))
        this->eject(now, sidecar);
}

void OutlierDetector::eject(SteadyTime now, SidecarIndex sidecar)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    const bool isNew = endpoint.health == EndpointHealth::Active;
    if (isNew && (this->ejectedList.size() + 1) * 100 > this->knownCount * static_cast<std::size_t>(this->limitPercent))
        return;
    const auto span = std::min(longestEjection, firstEjection * (1U << std::min(endpoint.ejections, 5U)));
    const double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(this->generator);
    endpoint.ejectedUntil = now + Duration(static_cast<std::int64_t>(double(Duration(span).count()) * jitter));
    endpoint.health = EndpointHealth::Ejected;
    ++endpoint.ejections;
    if (isNew)
        this->ejectedList.push_back(sidecar);
    this->changed.push_back(sidecar);
}

void OutlierDetector::probeFinished(SteadyTime now, SidecarIndex sidecar, bool isGood)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    this->changed.push_back(sidecar);
    if (!isGood) {
        this->eject(now, sidecar);
        return;
    }
    if (++endpoint.goodProbes < probesNeeded)
        return;
    // History from before the ejection would eject again at the first slow task.
    endpoint.health = EndpointHealth::Active;
    endpoint.consecutiveFailures = 0;
    endpoint.failureRate = 0;
    endpoint.results = 0;
    endpoint.logSlowness = this->fleetLogSlowness;
    endpoint.slownessSamples = 0;
    std::erase(this->ejectedList, sidecar);
}

}
