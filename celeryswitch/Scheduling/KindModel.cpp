#include "celeryswitch/Scheduling/KindModel.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

namespace {

// Span over which a kind's usual demand is measured; longer than a burst.
constexpr Core::Duration demandSpan = std::chrono::seconds(40);
// Weight that an observation keeps with each newer one.
constexpr double forgetting = 0.99;
// Observations that the prior counts for: actual times are the declared ones, with this deviation.
constexpr double priorWeight = 4;
constexpr double priorDeviation = 0.45;
constexpr double priorVarianceOfX = 0.16;
constexpr double smallestDeviation = 0.08;

}

double TimeEstimate::probabilityAbove(double limitSeconds) const
{
    if (limitSeconds <= 0)
        return 1;
    if (this->seconds <= 0)
        return 0;
    return 0.5 * std::erfc((std::log(limitSeconds) - std::log(this->seconds)) / (this->deviation * std::sqrt(2.0)));
}

KindModel::KindModel(Core::SteadyTime now)
    : since(now)
    , arrivals(demandSpan)
    , work(demandSpan)
{
}

void KindModel::arrived(Core::SteadyTime now, double coreSeconds)
{
    this->arrivals.add(now, 1);
    this->work.add(now, coreSeconds);
}

void KindModel::observed(double declaredSeconds, double longest, double mean)
{
    if (declaredSeconds <= 0 || longest <= 0 || mean <= 0)
        return;
    const double x = std::log(declaredSeconds);
    const double y = std::log(longest);
    this->weight = this->weight * forgetting + 1;
    this->sumX = this->sumX * forgetting + x;
    this->sumY = this->sumY * forgetting + y;
    this->sumXX = this->sumXX * forgetting + x * x;
    this->sumXY = this->sumXY * forgetting + x * y;
    this->sumYY = this->sumYY * forgetting + y * y;
    this->taskShare += (std::log(mean) - y - this->taskShare) * (1 - forgetting);
}

TimeEstimate KindModel::stepTime(double declaredSeconds) const
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
    // The prior pulls the level as well, as if it were observations at the declared time.
    const double level
        = meanY * this->weight / (this->weight + priorWeight) + meanX * priorWeight / (this->weight + priorWeight);
    const double residual = varianceY - 2 * slope * covariance + slope * slope * varianceX;
    const double deviation = std::sqrt(
        (std::max(0.0, residual) + priorWeight * priorDeviation * priorDeviation) / (this->weight + priorWeight));
    return { std::exp(level + slope * (x - meanX)), std::max(smallestDeviation, deviation) };
}

double KindModel::taskSeconds(double declaredSeconds) const
{
    return this->stepTime(declaredSeconds).seconds * std::exp(this->taskShare);
}

}
