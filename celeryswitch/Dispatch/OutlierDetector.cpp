#include "celeryswitch/Dispatch/OutlierDetector.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <cmath>
#include <random>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;

namespace {

// An endpoint is ejected when the probability of its run of failures, given the fleet's failure rate, is below this
// value: 3 failures at a low rate, 4 at 5 %, 14 at 50 %.
constexpr double ejectionProbability = 1e-4;
constexpr std::uint32_t minimumFailureRun = 3;
constexpr double minimumFleetFailureRate = 0.01;
// Excess of an endpoint's failure rate over the fleet's that ejects it without a run of failures.
constexpr double failureRateMargin = 0.4;
constexpr std::uint32_t minimumResults = 20;
constexpr double endpointSmoothing = 0.1;
constexpr double fleetSmoothing = 0.002;
// Natural logarithm of 2.5: an endpoint slower than the fleet by more than this factor is a straggler. The mean of 12
// samples with the spread of the workloads' kinds stays well below it.
constexpr double logSlownessLimit = 0.916;
constexpr std::uint32_t minimumSlownessSamples = 12;
constexpr double slownessSmoothing = 0.15;
constexpr Duration initialEjectionTime = std::chrono::seconds(5);
constexpr Duration maximumEjectionTime = std::chrono::seconds(80);
constexpr std::uint32_t requiredProbes = 3;
// Pause of an endpoint's credits after a failure, doubled for each consecutive one, so that fast failures attract no
// load.
constexpr Duration initialPause = std::chrono::milliseconds(50);
constexpr Duration stallReviewInterval = std::chrono::seconds(1);

}

OutlierDetector::OutlierDetector(std::uint64_t seed)
    : generator(seed)
{
}

void OutlierDetector::setEjectionLimit(std::int64_t percent) { this->ejectionLimitPercent = percent; }

void OutlierDetector::add(SidecarIndex sidecar)
{
    if (this->endpoints.size() <= sidecar)
        this->endpoints.resize(sidecar + 1);
    if (this->endpoints[sidecar].isKnown)
        this->remove(sidecar);
    this->endpoints[sidecar] = {};
    this->endpoints[sidecar].isKnown = true;
    ++this->endpointCount;
}

void OutlierDetector::remove(SidecarIndex sidecar)
{
    CELERY_ASSERT(sidecar < this->endpoints.size() && this->endpoints[sidecar].isKnown);
    this->endpoints[sidecar].isKnown = false;
    std::erase(this->ejectedSidecars, sidecar);
    --this->endpointCount;
}

void OutlierDetector::started(SteadyTime now, SidecarIndex sidecar, std::uint32_t tasks)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    if (endpoint.outstanding == 0)
        endpoint.lastProgressAt = now;
    endpoint.outstanding += tasks;
}

void OutlierDetector::finished(SteadyTime now, SidecarIndex sidecar, bool isSuccess, Duration run, Duration expected)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    if (!endpoint.isKnown)
        return;
    endpoint.lastProgressAt = now;
    endpoint.outstanding -= std::min(endpoint.outstanding, 1U);
    ++endpoint.results;
    const double failure = isSuccess ? 0 : 1;
    endpoint.failureRate += endpointSmoothing * (failure - endpoint.failureRate);
    if (endpoint.health == EndpointHealth::Active)
        this->fleetFailureRate += fleetSmoothing * (failure - this->fleetFailureRate);
    double slowness = 0;
    if (isSuccess && expected > Duration::zero() && run > Duration::zero()) {
        slowness = std::log(double(run.count()) / double(expected.count()));
        endpoint.logSlowness += slownessSmoothing * (slowness - endpoint.logSlowness);
        ++endpoint.slownessSamples;
        this->fleetLogSlowness += fleetSmoothing * (slowness - this->fleetLogSlowness);
    }
    if (endpoint.health == EndpointHealth::Probing) {
        this->probeFinished(now, sidecar, isSuccess && slowness - this->fleetLogSlowness < 2 * logSlownessLimit);
        return;
    }
    if (!isSuccess) {
        this->recordFailure(now, sidecar);
        return;
    }
    endpoint.consecutiveFailures = 0;
    if (endpoint.slownessSamples >= minimumSlownessSamples
        && endpoint.logSlowness - this->fleetLogSlowness > logSlownessLimit)
        this->eject(now, sidecar);
}

void OutlierDetector::taskNotRun(SidecarIndex sidecar)
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
                && now - endpoint.lastProgressAt > stallLimit)
                this->eject(now, sidecar);
        }
    }
    std::optional<SteadyTime> next;
    for (SidecarIndex sidecar : this->ejectedSidecars) {
        Endpoint& endpoint = this->endpoints[sidecar];
        if (endpoint.health != EndpointHealth::Ejected)
            continue;
        if (endpoint.ejectedUntil <= now) {
            endpoint.health = EndpointHealth::Probing;
            endpoint.successfulProbes = 0;
            this->changedEndpoints.push_back(sidecar);
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

std::size_t OutlierDetector::ejectedCount() const { return this->ejectedSidecars.size(); }

std::vector<SidecarIndex> OutlierDetector::takeChangedEndpoints() { return std::exchange(this->changedEndpoints, {}); }

bool OutlierDetector::failsMoreThanFleet(const Endpoint& endpoint) const
{
    const double fleetRate = std::max(this->fleetFailureRate, minimumFleetFailureRate);
    const bool isImprobable = endpoint.consecutiveFailures >= minimumFailureRun
        && endpoint.consecutiveFailures * std::log(fleetRate) < std::log(ejectionProbability);
    return isImprobable || (endpoint.results >= minimumResults && endpoint.failureRate > fleetRate + failureRateMargin);
}

void OutlierDetector::recordFailure(SteadyTime now, SidecarIndex sidecar)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    const std::uint32_t earlierFailures = endpoint.consecutiveFailures++;
    endpoint.pausedUntil = now + initialPause * (1U << std::min(earlierFailures, 5U));
    this->changedEndpoints.push_back(sidecar);
    if (endpoint.health == EndpointHealth::Active && this->failsMoreThanFleet(endpoint))
        this->eject(now, sidecar);
}

void OutlierDetector::eject(SteadyTime now, SidecarIndex sidecar)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    const bool isNew = endpoint.health == EndpointHealth::Active;
    if (isNew
        && (this->ejectedSidecars.size() + 1) * 100
            > this->endpointCount * static_cast<std::size_t>(this->ejectionLimitPercent))
        return;
    const auto span = std::min(maximumEjectionTime, initialEjectionTime * (1U << std::min(endpoint.ejections, 5U)));
    const double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(this->generator);
    endpoint.ejectedUntil = now + Duration(static_cast<std::int64_t>(double(Duration(span).count()) * jitter));
    endpoint.health = EndpointHealth::Ejected;
    ++endpoint.ejections;
    if (isNew)
        this->ejectedSidecars.push_back(sidecar);
    this->changedEndpoints.push_back(sidecar);
}

void OutlierDetector::probeFinished(SteadyTime now, SidecarIndex sidecar, bool isSuccess)
{
    Endpoint& endpoint = this->endpoints[sidecar];
    this->changedEndpoints.push_back(sidecar);
    if (!isSuccess) {
        this->eject(now, sidecar);
        return;
    }
    if (++endpoint.successfulProbes < requiredProbes)
        return;
    // Statistics from before the ejection would eject the endpoint again at its first slow task.
    endpoint.health = EndpointHealth::Active;
    endpoint.consecutiveFailures = 0;
    endpoint.failureRate = 0;
    endpoint.results = 0;
    endpoint.logSlowness = this->fleetLogSlowness;
    endpoint.slownessSamples = 0;
    std::erase(this->ejectedSidecars, sidecar);
}

}
