#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include "celeryswitch/Workers/WorkerTypes.h"
#include <array>

namespace celeryswitch::Workers {

/// Metrics of the orders that a sidecar gives its worker, and of the runs there.
class SupervisorMetrics {
public:
    /// `registry` outlives this object.
    explicit SupervisorMetrics(Metrics::MetricRegistry& registry);

    /// An order was answered, or its time is over.
    void called(const WorkerCall& call, CallStatus status, Core::Duration time);
    /// A run ended after this time; zero when it did not start.
    void runEnded(Messages::RunEnd end, Core::Duration time);
    /// Time that a run waited for room before it was started.
    void runWaited(Core::Duration time);

private:
    static constexpr std::size_t callCount = std::variant_size_v<WorkerCall>;
    static constexpr std::size_t statusCount = Core::EnumTable<CallStatus>::names.size();

    std::array<std::array<Metrics::Counter*, statusCount>, callCount> calls {};
    std::array<Metrics::Histogram*, callCount> callTimes {};
    std::array<Metrics::Counter*, Core::EnumTable<Messages::RunEnd>::names.size()> runs {};
    Metrics::Histogram& runTimes;
    Metrics::Histogram& waits;
};

}
