#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include <array>
#include <map>
#include <string>

namespace celeryswitch::Scheduling {

/// Outcome of one job, as recorded in the metrics.
struct JobEnd {
    std::string queue;
    CallerAnswer answer;
    /// Time from the request's arrival to the answer.
    Core::Duration response {};
    /// Response time goal; zero while no run time of the job is known.
    Core::Duration goal {};
    /// Number of start orders for the job's tasks.
    std::uint32_t orders = 0;
};

/// Metrics of one entry's scheduler.
class SchedulerMetrics {
public:
    /// `registry` outlives this object.
    explicit SchedulerMetrics(Metrics::MetricRegistry& registry);

    /// Records an answered job.
    void jobEnded(const JobEnd& end);
    /// Records start orders.
    void runsOrdered(std::uint64_t count) { this->orders.add(count); }
    /// Records the end of a run as its sidecar reported it.
    void runEnded(Messages::RunEnd end) { this->runs[static_cast<std::size_t>(end)]->add(); }
    /// Records that a run is stopped so that its task can run on another worker.
    void runRestarted() { this->restarts.add(); }

    /// Records tasks with a rack preference that were placed on workers with the label of the rack, or far from it.
    void tasksPlaced(std::uint64_t count, bool isFar) { this->places[isFar]->add(count); }
    /// Records that a step begins to wait for workers of its rack, or gives up the wait for other workers.
    void rackWaitBegun() { this->rackWaits.add(); }
    void rackWaitFellBack() { this->rackWaitFallbacks.add(); }

private:
    /// Metrics of one queue; created when first used.
    struct QueueSeries {
        std::map<std::string, Metrics::Counter*> jobs;
        Metrics::Histogram* response = nullptr;
        Metrics::Histogram* goalRatio = nullptr;
    };

    QueueSeries& seriesOf(const std::string& queue);

    Metrics::MetricRegistry& registry;
    Metrics::Counter& orders;
    Metrics::Counter& restarts;
    Metrics::Counter& rackWaits;
    Metrics::Counter& rackWaitFallbacks;
    std::array<Metrics::Counter*, 2> places {};
    std::array<Metrics::Counter*, Core::EnumTable<Messages::RunEnd>::names.size()> runs {};
    std::map<std::string, QueueSeries> queues;
};

}
