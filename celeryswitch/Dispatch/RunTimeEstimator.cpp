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

// Samples after which measured run times replace the declaration. With 16 samples of a log-uniform kind the mean is
// within about 15 %.
constexpr std::size_t minimumSamples = 16;
// Samples per window; windows let estimates follow a kind whose run times change.
constexpr std::size_t windowSamples = 1000;
// Run time of a kind with neither samples nor a declaration.
constexpr Duration defaultRun = std::chrono::milliseconds(300);
// Declared run times are clamped to these bounds; values outside are not credible for sub-second tasks.
constexpr Duration minimumDeclaredRun = std::chrono::milliseconds(1);
constexpr Duration maximumDeclaredRun = std::chrono::seconds(60);

RunTimes makeWindow() { return RunTimes(accumulators::quantile_probability = 0.95); }

}

// Statistics of one kind: the current window and the one before it.
struct RunTimeEstimator::Kind {
    RunTimes current = makeWindow();
    std::size_t currentSamples = 0;
    double previousMean = 0;
    double previousP95 = 0;
    bool hasPrevious = false;
    RunTimeEstimate cached;

    // Recomputes the cached estimate from both windows.
    void updateEstimate()
    {
        const double mean = accumulators::mean(this->current);
        const double p95 = std::max(mean, accumulators::p_square_quantile(this->current));
        const double currentWeight = this->hasPrevious ? std::min(1.0, double(this->currentSamples) / 200) : 1.0;
        this->cached.mean = Duration(std::int64_t(currentWeight * mean + (1 - currentWeight) * this->previousMean));
        this->cached.p95 = Duration(std::int64_t(currentWeight * p95 + (1 - currentWeight) * this->previousP95));
        this->cached.isMeasured = this->hasPrevious || this->currentSamples >= minimumSamples;
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
    kind.updateEstimate();
    if (kind.currentSamples < windowSamples)
        return;
    kind.previousMean = accumulators::mean(kind.current);
    kind.previousP95 = accumulators::p_square_quantile(kind.current);
    kind.hasPrevious = true;
    kind.current = makeWindow();
    kind.currentSamples = 0;
}

RunTimeEstimate RunTimeEstimator::estimate(KindIndex index, Duration declared) const
{
    CELERY_ASSERT(index < this->kinds.size());
    const Kind& kind = *this->kinds[index];
    if (kind.cached.isMeasured)
        return kind.cached;
    const Duration mean
        = declared > Duration::zero() ? std::clamp(declared, minimumDeclaredRun, maximumDeclaredRun) : defaultRun;
    return { mean, 2 * mean, false };
}

Duration RunTimeEstimator::longestP95() const
{
    Duration longest {};
    for (const auto& kind : this->kinds) {
        if (kind->cached.isMeasured)
            longest = std::max(longest, kind->cached.p95);
    }
    return longest;
}

}
