#include "celeryswitch/Scheduling/QueueModel.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

namespace {

// Averaging window of a queue's demand; longer than a burst.
constexpr Core::Duration demandWindow = std::chrono::seconds(40);
// Factor by which the weight of older observations decays with each new one.
constexpr double decayFactor = 0.99;
// Prior of the regression, as a number of observations: the actual time equals the declared time, with this deviation.
constexpr double priorWeight = 4;
constexpr double priorDeviation = 0.45;
constexpr double priorVarianceOfX = 0.16;
constexpr double minimumDeviation = 0.08;

}

double TimeEstimate::probabilityAbove(double limitSeconds) const
{
    if (limitSeconds <= 0)
        return 1;
    if (this->medianSeconds <= 0)
        return 0;
    return 0.5
        * std::erfc((std::log(limitSeconds) - std::log(this->medianSeconds)) / (this->logDeviation * std::sqrt(2.0)));
}

QueueModel::QueueModel(Core::SteadyTime now)
    : since(now)
    , arrivals(demandWindow)
    , work(demandWindow)
    , placeRuns { Core::FadingSum(demandWindow), Core::FadingSum(demandWindow) }
    , placeTimes { Core::FadingSum(demandWindow), Core::FadingSum(demandWindow) }
{
}

void QueueModel::recordPlace(Core::SteadyTime now, double seconds, bool isFar)
{
    this->placeRuns[isFar].add(now, 1);
    this->placeTimes[isFar].add(now, seconds);
}

double QueueModel::placeSeconds(bool isFar) const
{
    // Both sums fade alike, so that their ratio only changes with new runs.
    const double runs = this->placeRuns[isFar].at({});
    return runs > 0 ? this->placeTimes[isFar].at({}) / runs : 0;
}

void QueueModel::recordArrival(Core::SteadyTime now, double coreSeconds)
{
    this->arrivals.add(now, 1);
    this->work.add(now, coreSeconds);
}

void QueueModel::recordStep(double declaredSeconds, double longest, double mean)
{
    if (declaredSeconds <= 0 || longest <= 0 || mean <= 0)
        return;
    const double x = std::log(declaredSeconds);
    const double y = std::log(longest);
    this->weight = this->weight * decayFactor + 1;
    this->sumX = this->sumX * decayFactor + x;
    this->sumY = this->sumY * decayFactor + y;
    this->sumXX = this->sumXX * decayFactor + x * x;
    this->sumXY = this->sumXY * decayFactor + x * y;
    this->sumYY = this->sumYY * decayFactor + y * y;
    this->logTaskShare += (std::log(mean) - y - this->logTaskShare) * (1 - decayFactor);
}

TimeEstimate QueueModel::stepTime(double declaredSeconds) const
{
    if (declaredSeconds <= 0)
        return { 0.001, priorDeviation };
    const double x = std::log(declaredSeconds);
    if (this->weight <= 0)
        return { declaredSeconds, priorDeviation };
    const double meanX = this->sumX / this->weight;
    const double meanY = this->sumY / this->weight;
    const double varianceX = this->sumXX - this->weight * meanX * meanX;
    const double covariance = this->sumXY - this->weight * meanX * meanY;
    const double varianceY = this->sumYY - this->weight * meanY * meanY;
    const double slope = (covariance + priorWeight * priorVarianceOfX) / (varianceX + priorWeight * priorVarianceOfX);
    // The prior shifts the intercept as well, as observations at the declared time would.
    const double level
        = meanY * this->weight / (this->weight + priorWeight) + meanX * priorWeight / (this->weight + priorWeight);
    const double residual = varianceY - 2 * slope * covariance + slope * slope * varianceX;
    const double deviation = std::sqrt(
        (std::max(0.0, residual) + priorWeight * priorDeviation * priorDeviation) / (this->weight + priorWeight));
    return { std::exp(level + slope * (x - meanX)), std::max(minimumDeviation, deviation) };
}

double QueueModel::taskSeconds(double declaredSeconds) const
{
    return this->stepTime(declaredSeconds).medianSeconds * std::exp(this->logTaskShare);
}

}
