#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include <array>
#include <map>
#include <string>

namespace celeryswitch::Scheduling {

/// What became of one job, as metrics count it.
struct JobEnd {
    std::string queue;
    CallerAnswer answer;
    /// From the request's arrival to the answer.
    Core::Duration response {};
    /// Time that the job's callers expect it to take; zero while it is not known.
    Core::Duration goal {};
    /// Orders to start one of its tasks.
    std::uint32_t orders = 0;
};

/// Metrics of one entry's scheduler.
class SchedulerMetrics {
public:
    /// `registry` outlives this object.
    explicit SchedulerMetrics(Metrics::MetricRegistry& registry);

    /// A job has its answer.
    void jobEnded(const JobEnd& end);
    /// Orders to start runs were given.
    void runsOrdered(std::uint64_t count) { this->orders.add(count); }
    /// A sidecar reported the end of a run.
    void runEnded(Messages::RunEnd end) { this->runs[static_cast<std::size_t>(end)]->add(); }
    /// A run is stopped so that its task can run elsewhere.
    void runRestarted() { this->restarts.add(); }

private:
    /// Series of one queue.
    struct QueueSeries {
        std::map<std::string, Metrics::Counter*> jobs;
        Metrics::Histogram* response = nullptr;
        Metrics::Histogram* goalShare = nullptr;
    };

    QueueSeries& seriesOf(const std::string& queue);

    Metrics::MetricRegistry& registry;
    Metrics::Counter& orders;
    Metrics::Counter& restarts;
    std::array<Metrics::Counter*, Core::EnumTable<Messages::RunEnd>::names.size()> runs {};
    std::map<std::string, QueueSeries> queues;
};

}
