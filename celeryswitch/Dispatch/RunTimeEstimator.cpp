#include "celeryswitch/Dispatch/RunTimeEstimator.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace celeryswitch::Dispatch {

using Core::Duration;

namespace {

namespace accumulators = boost::accumulators;
using RunTimes = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::mean, accumulators::tag::p_square_quantile>>;

// Results after which a kind's own figures replace the declaration. At 16 samples of a log-uniform kind the mean is
// within about 15 %.
constexpr std::size_t enoughSamples = 16;
// Results after which a generation of figures is closed, so that estimates follow a kind that changes.
constexpr std::size_t generationSamples = 1000;
// Used for a kind with no results and no declaration.
constexpr Duration defaultRun = std::chrono::milliseconds(300);
// Declared values outside these bounds are not credible for sub-second tasks and are cut to them.
constexpr Duration smallestDeclared = std::chrono::milliseconds(1);
constexpr Duration largestDeclared = std::chrono::seconds(60);

RunTimes newGeneration() { return RunTimes(accumulators::quantile_probability = 0.95); }

}

// Figures of one kind: the generation that fills and the one before it.
struct RunTimeEstimator::Kind {
    RunTimes current = newGeneration();
    std::size_t currentSamples = 0;
    double previousMean = 0;
    double previousHigh = 0;
    bool hasPrevious = false;
    RunTimeEstimate cached;

    // Recomputes the cached estimate from both generations.
    void refresh()
    {
        const double mean = accumulators::mean(this->current);
        const double high = std::max(mean, accumulators::p_square_quantile(this->current));
        const double part = this->hasPrevious ? std::min(1.0, double(this->currentSamples) / 200) : 1.0;
        this->cached.mean = Duration(std::int64_t(part * mean + (1 - part) * this->previousMean));
        this->cached.high = Duration(std::int64_t(part * high + (1 - part) * this->previousHigh));
        this->cached.isMeasured = this->hasPrevious || this->currentSamples >= enoughSamples;
    }
};

RunTimeEstimator::RunTimeEstimator() = default;
RunTimeEstimator::~RunTimeEstimator() = default;

KindIndex RunTimeEstimator::indexOf(const std::string& service, const std::string& kind)
{
    const auto [entry, isNew]
        = this->indexes.try_emplace(service + '\n' + kind, static_cast<KindIndex>(this->kinds.size()));
    if (isNew)
        this->kinds.push_back(std::make_unique<Kind>());
    return entry->second;
}

std::size_t RunTimeEstimator::kindCount() const { return this->kinds.size(); }

void RunTimeEstimator::record(KindIndex index, Duration run)
{
    CELERY_ASSERT(index < this->kinds.size());
    Kind& kind = *this->kinds[index];
    kind.current(double(std::max<std::int64_t>(run.count(), 0)));
    ++kind.currentSamples;
    kind.refresh();
    if (kind.currentSamples < generationSamples)
        return;
    kind.previousMean = accumulators::mean(kind.current);
    kind.previousHigh = accumulators::p_square_quantile(kind.current);
    kind.hasPrevious = true;
    kind.current = newGeneration();
    kind.currentSamples = 0;
}

RunTimeEstimate RunTimeEstimator::estimate(KindIndex index, Duration declared) const
{
    CELERY_ASSERT(index < this->kinds.size());
    const Kind& kind = *this->kinds[index];
    if (kind.cached.isMeasured)
        return kind.cached;
    const Duration mean
        = declared > Duration::zero() ? std::clamp(declared, smallestDeclared, largestDeclared) : defaultRun;
    return { mean, 2 * mean, false };
}

Duration RunTimeEstimator::longestHigh() const
{
    Duration longest {};
    for (const auto& kind : this->kinds) {
        if (kind->cached.isMeasured)
            longest = std::max(longest, kind->cached.high);
    }
    return longest;
}

}
