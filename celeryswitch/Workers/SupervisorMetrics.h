#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include "celeryswitch/Workers/WorkerTypes.h"
#include <array>

namespace celeryswitch::Workers {

/// Metrics of the calls that a sidecar sends to its worker, and of the runs on it.
class SupervisorMetrics {
public:
    /// `registry` must outlive this object.
    explicit SupervisorMetrics(Metrics::MetricRegistry& registry);

    /// Records a call that was answered or timed out, and its duration.
    void callFinished(const WorkerCall& call, CallStatus status, Core::Duration time);
    /// Records the end of a run and its duration; zero if it did not start.
    void runEnded(Messages::RunEnd end, Core::Duration time);
    /// Records the time that a run waited for free capacity.
    void runWaited(Core::Duration time);

private:
    static constexpr std::size_t callCount = std::variant_size_v<WorkerCall>;
    static constexpr std::size_t statusCount = Core::EnumTable<CallStatus>::names.size();

    std::array<std::array<Metrics::Counter*, statusCount>, callCount> calls {};
    std::array<Metrics::Histogram*, callCount> callDurations {};
    std::array<Metrics::Counter*, Core::EnumTable<Messages::RunEnd>::names.size()> runs {};
    Metrics::Histogram& runTimes;
    Metrics::Histogram& waits;
};

}
