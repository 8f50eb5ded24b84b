#include "celeryswitch/Workers/SupervisorMetrics.h"

namespace celeryswitch::Workers {

namespace {

// Upper bounds of the histogram buckets, in seconds.
const std::vector<double> callBounds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1 };
const std::vector<double> runBounds { 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5 };
// Label values for the alternatives of WorkerCall, in the same order.
constexpr std::array<const char*, std::variant_size_v<WorkerCall>> callNames { "start", "stop", "hold" };

}

SupervisorMetrics::SupervisorMetrics(Metrics::MetricRegistry& registry)
    : runTimes(
        registry.histogram("celeryswitch_run_seconds", "Time from a run's accepted start to its end.", runBounds))
    , waits(registry.histogram(
          "celeryswitch_run_wait_seconds", "Time that runs waited for room at the sidecar.", callBounds))
{
    for (std::size_t call = 0; call < callCount; ++call) {
        for (const auto& [status, name] : Core::EnumTable<CallStatus>::names)
            this->calls[call][static_cast<std::size_t>(status)]
                = &registry.counter("celeryswitch_worker_calls_total", "Orders to the worker by kind and result.",
                    { { "call", callNames[call] }, { "status", std::string(name) } });
        this->callDurations[call] = &registry.histogram("celeryswitch_worker_call_seconds",
            "Time from an order to its answer; a hold waits for an end.", callBounds, { { "call", callNames[call] } });
    }
    for (const auto& [end, name] : Core::EnumTable<Messages::RunEnd>::names)
        this->runs[static_cast<std::size_t>(end)]
            = &registry.counter("celeryswitch_runs_total", "Runs by their end.", { { "end", std::string(name) } });
}

void SupervisorMetrics::callFinished(const WorkerCall& call, CallStatus status, Core::Duration time)
{
    this->calls[call.index()][static_cast<std::size_t>(status)]->add();
    this->callDurations[call.index()]->observe(std::chrono::duration<double>(time).count());
}

void SupervisorMetrics::runEnded(Messages::RunEnd end, Core::Duration time)
{
    this->runs[static_cast<std::size_t>(end)]->add();
    if (time > Core::Duration::zero())
        this->runTimes.observe(std::chrono::duration<double>(time).count());
}

void SupervisorMetrics::runWaited(Core::Duration time)
{
    this->waits.observe(std::chrono::duration<double>(time).count());
}

}
