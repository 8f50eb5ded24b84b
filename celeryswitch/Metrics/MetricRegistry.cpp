#include "celeryswitch/Metrics/MetricRegistry.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>

namespace celeryswitch::Metrics {

namespace {

namespace accumulators = boost::accumulators;

using QuantileAccumulator = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::max,
        accumulators::tag::extended_p_square>>;

// The estimator needs this many observations before its markers mean anything; below, the values are kept exactly.
constexpr std::size_t exactObservations = 50;

std::string numberText(double value)
{
    char text[40];
    std::snprintf(text, sizeof(text), "%.12g", value);
    return text;
}

// Escapes a label value or help text as the exposition format demands.
std::string escaped(std::string_view text, bool isLabel)
{
    std::string result;
    for (char character : text) {
        if (character == '\\')
            result += "\\\\";
        else if (character == '\n')
            result += "\\n";
        else if (character == '"' && isLabel)
            result += "\\\"";
        else
            result += character;
    }
    return result;
}

std::string labelText(const Labels& labels)
{
    if (labels.empty())
        return {};
    std::string text;
    for (const auto& [name, value] : labels)
        text += (text.empty() ? "{" : ",") + name + "=\"" + escaped(value, true) + "\"";
    return text + "}";
}

Labels withLabel(Labels labels, const std::string& name, const std::string& value)
{
    labels[name] = value;
    return labels;
}

}

class Summary::Implementation {
public:
    mutable std::mutex mutex;
    QuantileAccumulator accumulator { accumulators::tag::extended_p_square::probabilities = Summary::quantiles() };
    std::vector<double> firstValues;
};

Summary::Summary()
    : implementation(std::make_unique<Implementation>())
{
}

Summary::~Summary() = default;

const std::vector<double>& Summary::quantiles()
{
    static const std::vector<double> values { 0.5, 0.9, 0.95, 0.99 };
    return values;
}

void Summary::observe(double value)
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    this->implementation->accumulator(value);
    if (this->implementation->firstValues.size() < exactObservations)
        this->implementation->firstValues.push_back(value);
}

std::uint64_t Summary::count() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    return accumulators::count(this->implementation->accumulator);
}

double Summary::sum() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    return accumulators::sum(this->implementation->accumulator);
}

double Summary::quantile(double probability) const
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    const auto position = std::find(Summary::quantiles().begin(), Summary::quantiles().end(), probability);
    CELERY_ASSERT(position != Summary::quantiles().end());
    const std::size_t observed = accumulators::count(this->implementation->accumulator);
    if (observed == 0)
        return 0;
    if (observed >= exactObservations)
        return accumulators::extended_p_square(
            this->implementation->accumulator)[position - Summary::quantiles().begin()];
    std::vector<double> sorted = this->implementation->firstValues;
    std::sort(sorted.begin(), sorted.end());
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(probability * sorted.size()))];
}

Histogram::Histogram(std::vector<double> upperBounds)
    : bounds(std::move(upperBounds))
    , counts(this->bounds.size() + 1)
{
    CELERY_ASSERT(std::is_sorted(this->bounds.begin(), this->bounds.end()));
}

void Histogram::observe(double value)
{
    const auto bound = std::lower_bound(this->bounds.begin(), this->bounds.end(), value);
    this->counts[static_cast<std::size_t>(bound - this->bounds.begin())].fetch_add(1, std::memory_order_relaxed);
    double before = this->total.load(std::memory_order_relaxed);
    while (!this->total.compare_exchange_weak(before, before + value, std::memory_order_relaxed)) { }
}

std::uint64_t Histogram::cumulativeCount(std::size_t boundIndex) const
{
    CELERY_ASSERT(boundIndex < this->counts.size());
    std::uint64_t count = 0;
    for (std::size_t index = 0; index <= boundIndex; ++index)
        count += this->counts[index].load(std::memory_order_relaxed);
    return count;
}

double Histogram::sum() const { return this->total.load(std::memory_order_relaxed); }

// Every series of one metric name; only the map of its type is filled.
struct MetricRegistry::Family {
    std::string type;
    std::string help;
    std::map<Labels, std::unique_ptr<Counter>> counters;
    std::map<Labels, std::unique_ptr<Gauge>> gauges;
    std::map<Labels, std::unique_ptr<Summary>> summaries;
    std::map<Labels, std::unique_ptr<Histogram>> histograms;
};

namespace {

// Series of those labels, created when it is missing.
template <typename Metric, typename... Arguments>
Metric& series(std::map<Labels, std::unique_ptr<Metric>>& all, const Labels& labels, Arguments&&... arguments)
{
    std::unique_ptr<Metric>& metric = all[labels];
    if (!metric)
        metric = std::make_unique<Metric>(std::forward<Arguments>(arguments)...);
    return *metric;
}

std::string line(const std::string& name, const Labels& labels, const std::string& value)
{
    return name + labelText(labels) + " " + value + "\n";
}

std::string summaryText(const std::string& name, const Labels& labels, const Summary& summary)
{
    std::string text;
    for (double quantile : Summary::quantiles())
        text += line(name, withLabel(labels, "quantile", numberText(quantile)), numberText(summary.quantile(quantile)));
    text += line(name + "_sum", labels, numberText(summary.sum()));
    return text + line(name + "_count", labels, std::to_string(summary.count()));
}

std::string histogramText(const std::string& name, const Labels& labels, const Histogram& histogram)
{
    std::string text;
    const std::size_t last = histogram.upperBounds().size();
    for (std::size_t index = 0; index <= last; ++index) {
        const std::string bound = index == last ? "+Inf" : numberText(histogram.upperBounds()[index]);
        text
            += line(name + "_bucket", withLabel(labels, "le", bound), std::to_string(histogram.cumulativeCount(index)));
    }
    text += line(name + "_sum", labels, numberText(histogram.sum()));
    return text + line(name + "_count", labels, std::to_string(histogram.cumulativeCount(last)));
}

}

MetricRegistry::MetricRegistry() = default;
MetricRegistry::~MetricRegistry() = default;

MetricRegistry::Family& MetricRegistry::family(std::string_view name, std::string_view help, std::string_view type)
{
    auto found = this->families.find(name);
    if (found == this->families.end()) {
        found = this->families.emplace(std::string(name), std::make_unique<Family>()).first;
        found->second->type = type;
        found->second->help = help;
    }
    CELERY_ASSERT(found->second->type == type);
    return *found->second;
}

Counter& MetricRegistry::counter(std::string_view name, std::string_view help, const Labels& labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return series(this->family(name, help, "counter").counters, labels);
}

Gauge& MetricRegistry::gauge(std::string_view name, std::string_view help, const Labels& labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return series(this->family(name, help, "gauge").gauges, labels);
}

Summary& MetricRegistry::summary(std::string_view name, std::string_view help, const Labels& labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return series(this->family(name, help, "summary").summaries, labels);
}

Histogram& MetricRegistry::histogram(
    std::string_view name, std::string_view help, std::vector<double> upperBounds, const Labels& labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return series(this->family(name, help, "histogram").histograms, labels, std::move(upperBounds));
}

std::string MetricRegistry::exposition() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string text;
    for (const auto& [name, family] : this->families) {
        text += "# HELP " + name + " " + escaped(family->help, false) + "\n# TYPE " + name + " " + family->type + "\n";
        for (const auto& [labels, counter] : family->counters)
            text += line(name, labels, std::to_string(counter->value()));
        for (const auto& [labels, gauge] : family->gauges)
            text += line(name, labels, numberText(gauge->value()));
        for (const auto& [labels, summary] : family->summaries)
            text += summaryText(name, labels, *summary);
        for (const auto& [labels, histogram] : family->histograms)
            text += histogramText(name, labels, *histogram);
    }
    return text;
}

}
