#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Metrics {

/// Label names and values of one series.
using Labels = std::map<std::string, std::string>;

/// A count that only rises. Safe from any thread.
class Counter {
public:
    /// Adds to the count.
    void add(std::uint64_t amount = 1) { this->count.fetch_add(amount, std::memory_order_relaxed); }
    /// Count so far.
    std::uint64_t value() const { return this->count.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> count { 0 };
};

/// A value that rises and falls. Safe from any thread.
class Gauge {
public:
    /// Sets the value.
    void set(double value) { this->current.store(value, std::memory_order_relaxed); }
    /// Last value set.
    double value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current { 0 };
};

/// Streaming quantiles, count and sum of observed values. Safe from any thread.
class Summary {
public:
    Summary();
    ~Summary();
    Summary(const Summary&) = delete;
    Summary& operator=(const Summary&) = delete;

    /// Quantiles that are estimated.
    static const std::vector<double>& quantiles();
    /// Adds an observation.
    void observe(double value);
    /// Observations so far.
    std::uint64_t count() const;
    /// Sum of the observations.
    double sum() const;
    /// Estimate of a quantile listed in `quantiles`; 0 while there is no observation.
    double quantile(double probability) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Counts of observed values by fixed upper bounds. Safe from any thread, and without a lock.
class Histogram {
public:
    /// `upperBounds` rise strictly; a last bound of infinity is implied.
    explicit Histogram(std::vector<double> upperBounds);

    /// Adds an observation.
    void observe(double value);
    /// Upper bounds without infinity.
    const std::vector<double>& upperBounds() const { return this->bounds; }
    /// Observations at or below the bound of that index; the index of infinity is the number of bounds.
    std::uint64_t cumulativeCount(std::size_t boundIndex) const;
    /// Sum of the observations.
    double sum() const;

private:
    std::vector<double> bounds;
    std::vector<std::atomic<std::uint64_t>> counts;
    std::atomic<double> total { 0 };
};

/// Owns the metrics of a process and writes them in the Prometheus text exposition format. Safe from any thread; a
/// metric that was handed out lives as long as the registry.
class MetricRegistry {
public:
    MetricRegistry();
    ~MetricRegistry();
    MetricRegistry(const MetricRegistry&) = delete;
    MetricRegistry& operator=(const MetricRegistry&) = delete;

    /// The series of that name and labels, created at the first call. A name keeps the type and help of its first call.
    Counter& counter(std::string_view name, std::string_view help, const Labels& labels = {});
    Gauge& gauge(std::string_view name, std::string_view help, const Labels& labels = {});
    Summary& summary(std::string_view name, std::string_view help, const Labels& labels = {});
    Histogram& histogram(
        std::string_view name, std::string_view help, std::vector<double> upperBounds, const Labels& labels = {});
    /// Every series in the Prometheus text exposition format, version 0.0.4.
    std::string exposition() const;

private:
    struct Family;
    Family& family(std::string_view name, std::string_view help, std::string_view type);

    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Family>, std::less<>> families;
};

}
