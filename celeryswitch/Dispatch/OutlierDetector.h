#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/EnumNames.h"
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace celeryswitch::Dispatch {

/// Index of a sidecar inside one dispatcher.
using SidecarIndex = std::uint32_t;

/// Whether an endpoint receives tasks.
enum class EndpointHealth : std::uint8_t {
    Active,
    /// Receives no tasks until the ejection time is over.
    Ejected,
    /// Receives one task at a time until enough of them succeeded.
    Probing,
};

/// Detects endpoints that stall, or that fail more often or run slower than the fleet. The ejected fraction of the
/// fleet is limited. An ejected endpoint returns after successful probe tasks.
class OutlierDetector {
public:
    /// `seed` of the jitter of ejection times.
    explicit OutlierDetector(std::uint64_t seed);

    /// Sets the largest percentage of endpoints that may be ejected, 0 to 90.
    void setEjectionLimit(std::int64_t percent);
    /// Adds an endpoint, or resets one that restarted.
    void add(SidecarIndex sidecar);
    void remove(SidecarIndex sidecar);
    /// Counts tasks sent to an endpoint.
    void started(Core::SteadyTime now, SidecarIndex sidecar, std::uint32_t tasks);
    /// Records the result of one task. `run` is compared with `expected`; zero means that no measured estimate exists.
    void finished(
        Core::SteadyTime now, SidecarIndex sidecar, bool isSuccess, Core::Duration run, Core::Duration expected);
    /// Records that a task came back without having run, which says nothing about health.
    void taskNotRun(SidecarIndex sidecar);
    /// Ejects endpoints that have tasks but returned no result for `stallLimit`, and starts probes that are due.
    /// Returns the end of the next ejection.
    std::optional<Core::SteadyTime> review(Core::SteadyTime now, Core::Duration stallLimit);
    /// Number of tasks that may be sent now: unlimited for active endpoints, one for idle probing ones, else zero.
    std::uint32_t allowance(Core::SteadyTime now, SidecarIndex sidecar) const;
    /// End of the pause after a failure; in the past if the endpoint is not paused.
    Core::SteadyTime pausedUntil(SidecarIndex sidecar) const;
    EndpointHealth health(SidecarIndex sidecar) const;
    /// Number of endpoints that are ejected or probing.
    std::size_t ejectedCount() const;
    /// Endpoints whose health or pause changed since the last call.
    std::vector<SidecarIndex> takeChangedEndpoints();

private:
    struct Endpoint {
        bool isKnown = false;
        EndpointHealth health = EndpointHealth::Active;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t results = 0;
        double failureRate = 0;
        double logSlowness = 0;
        std::uint32_t slownessSamples = 0;
        std::uint32_t outstanding = 0;
        std::uint32_t successfulProbes = 0;
        std::uint32_t ejections = 0;
        Core::SteadyTime lastProgressAt {};
        Core::SteadyTime ejectedUntil {};
        Core::SteadyTime pausedUntil {};
    };
    bool failsMoreThanFleet(const Endpoint& endpoint) const;
    void recordFailure(Core::SteadyTime now, SidecarIndex sidecar);
    void eject(Core::SteadyTime now, SidecarIndex sidecar);
    void probeFinished(Core::SteadyTime now, SidecarIndex sidecar, bool isSuccess);

    std::vector<Endpoint> endpoints;
    std::vector<SidecarIndex> changedEndpoints;
    std::vector<SidecarIndex> ejectedSidecars;
    std::size_t endpointCount = 0;
    std::int64_t ejectionLimitPercent = 30;
    double fleetFailureRate = 0;
    double fleetLogSlowness = 0;
    Core::SteadyTime nextStallReview {};
    pcg32 generator;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Dispatch::EndpointHealth> {
    static constexpr std::string_view type = "EndpointHealth";
    static constexpr std::array<std::pair<Dispatch::EndpointHealth, std::string_view>, 3> names { {
        { Dispatch::EndpointHealth::Active, "active" },
        { Dispatch::EndpointHealth::Ejected, "ejected" },
        { Dispatch::EndpointHealth::Probing, "probing" },
    } };
};

}
