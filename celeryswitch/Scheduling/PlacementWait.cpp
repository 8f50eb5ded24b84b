#include "celeryswitch/Scheduling/PlacementWait.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace celeryswitch::Scheduling {

namespace {

// A wait is taken to be exponentially distributed: these multiples of its mean are the middles of four parts of equal
// probability.
constexpr std::array<double, 4> waitQuantiles { 0.146, 0.513, 1.071, 2.270 };
// Difference of the probabilities to be late from which on it decides; below it the expected finish does.
constexpr double decisiveProbability = 0.05;
// Number of halvings in the search for the end of a wait.
constexpr int searchSteps = 8;

// Probability that a wait and a run that takes `slowness` times its reference time exceed the response goal.
double lateProbability(const PlacementWaitQuery& query, double waitSeconds, double slowness)
{
    const double excess = waitSeconds - query.slackSeconds;
    const double gain = query.stretch - slowness;
    if (gain > 0)
        return excess <= 0 ? 0 : 1 - query.time.probabilityAbove(excess / gain);
    if (gain < 0)
        return excess >= 0 ? 1 : query.time.probabilityAbove(excess / gain);
    return excess > 0 ? 1 : 0;
}

// Probability that the answer misses the goal or the caller's timeout after an exponentially distributed wait.
double missProbability(const PlacementWaitQuery& query, double meanWaitSeconds, double slowness)
{
    TimeEstimate run = query.time;
    run.medianSeconds *= slowness;
    double sum = 0;
    for (const double quantile : waitQuantiles) {
        const double wait = meanWaitSeconds * quantile;
        sum += std::max(
            lateProbability(query, wait, slowness), run.probabilityAbove(query.callerTimeoutSeconds - wait));
    }
    return sum / static_cast<double>(waitQuantiles.size());
}

// Longest time, in seconds, that the far run takes beyond the near one.
double additionalFarSeconds(const PlacementWaitDecision& finish, const PlaceForecast& places)
{
    return finish.farFinishSeconds - (finish.nearFinishSeconds - places.nearWaitSeconds);
}

// The decision at this moment, without the time until which it holds.
PlacementWaitDecision decideNow(const PlacementWaitQuery& query)
{
    const PlaceForecast& places = query.places;
    const double nearSlowness = 1 / places.nearSpeed;
    const double farSlowness = query.farFactor / places.farSpeed;
    const double meanSeconds
        = query.time.medianSeconds * std::exp(query.time.logDeviation * query.time.logDeviation / 2);
    PlacementWaitDecision decision;
    decision.nearFinishSeconds = places.nearWaitSeconds + meanSeconds * nearSlowness;
    decision.farFinishSeconds = places.farWaitSeconds + meanSeconds * farSlowness;
    if (places.nearWaitSeconds <= 0)
        return decision;
    if (!std::isfinite(places.nearWaitSeconds)) {
        decision.reason = PlacementWaitReason::NoReleaseNear;
        return decision;
    }
    decision.nearLateProbability = missProbability(query, places.nearWaitSeconds, nearSlowness);
    decision.farLateProbability
        = std::isfinite(places.farWaitSeconds) ? missProbability(query, places.farWaitSeconds, farSlowness) : 1;
    const double difference = decision.farLateProbability - decision.nearLateProbability;
    if (query.waitedSeconds >= additionalFarSeconds(decision, places))
        decision.reason = PlacementWaitReason::WaitedEnough;
    else if (difference > decisiveProbability)
        decision.reason = PlacementWaitReason::InTimeNear;
    else if (difference < -decisiveProbability)
        decision.reason = PlacementWaitReason::InTimeElsewhere;
    else
        decision.reason = decision.nearFinishSeconds < decision.farFinishSeconds
            ? PlacementWaitReason::EarlierNear
            : PlacementWaitReason::EarlierElsewhere;
    decision.isWaiting
        = decision.reason == PlacementWaitReason::InTimeNear || decision.reason == PlacementWaitReason::EarlierNear;
    return decision;
}

// The same query after a further wait without room.
PlacementWaitQuery laterBy(PlacementWaitQuery query, double seconds)
{
    query.waitedSeconds += seconds;
    query.slackSeconds -= seconds;
    query.callerTimeoutSeconds -= seconds;
    return query;
}

}

PlacementWaitDecision decidePlacementWait(const PlacementWaitQuery& query)
{
    PlacementWaitDecision decision = decideNow(query);
    if (!decision.isWaiting)
        return decision;
    double waits = 0;
    double ends = std::min(
        additionalFarSeconds(decision, query.places) - query.waitedSeconds, std::max(0.0, query.callerTimeoutSeconds));
    for (int step = 0; step < searchSteps; ++step) {
        const double middle = (waits + ends) / 2;
        (decideNow(laterBy(query, middle)).isWaiting ? waits : ends) = middle;
    }
    decision.longestSeconds = ends;
    return decision;
}

}
