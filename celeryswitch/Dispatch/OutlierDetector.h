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

/// Whether an endpoint gets work.
enum class EndpointHealth : std::uint8_t {
    Active,
    /// Gets nothing until its time is over.
    Ejected,
    /// Gets one task at a time until enough of them went well.
    Probing,
};

/// Finds endpoints that fail far more, or run far slower, than the fleet, or stall. The ejected part of the fleet is
/// capped. An ejected endpoint returns through single probe tasks.
class OutlierDetector {
public:
    /// `seed` of the jitter of ejection times.
    explicit OutlierDetector(std::uint64_t seed);

    /// Largest part of the endpoints that may be ejected, in percent, 0 to 90.
    void setEjectionLimit(std::int64_t percent);
    /// Adds an endpoint, or resets a known one that started anew.
    void add(SidecarIndex sidecar);
    /// Forgets an endpoint.
    void remove(SidecarIndex sidecar);
    /// Counts tasks sent to an endpoint.
    void started(Core::SteadyTime now, SidecarIndex sidecar, std::uint32_t tasks);
    /// Result of one task. `run` and `expected` are compared for speed; an `expected` of zero means no measured
    /// estimate.
    void finished(
        Core::SteadyTime now, SidecarIndex sidecar, bool isSuccess, Core::Duration run, Core::Duration expected);
    /// A task came back without having run; says nothing about health.
    void notRun(SidecarIndex sidecar);
    /// Ejects endpoints that have tasks and gave no result for `stallLimit`, and begins probes that are due. Returns
    /// when to call again.
    std::optional<Core::SteadyTime> review(Core::SteadyTime now, Core::Duration stallLimit);
    /// Tasks that may be sent now: no limit for active endpoints, one for idle probing ones, else zero.
    std::uint32_t allowance(Core::SteadyTime now, SidecarIndex sidecar) const;
    /// When the pause after a failure is over; in the past when there is none.
    Core::SteadyTime pausedUntil(SidecarIndex sidecar) const;
    /// Health of an endpoint.
    EndpointHealth health(SidecarIndex sidecar) const;
    /// Endpoints that are ejected or probing.
    std::size_t ejectedCount() const;
    /// Endpoints whose health or pause changed since the last call.
    std::vector<SidecarIndex> takeChanged();

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
        std::uint32_t goodProbes = 0;
        std::uint32_t ejections = 0;
        Core::SteadyTime progressAt {};
        Core::SteadyTime ejectedUntil {};
        Core::SteadyTime pausedUntil {};
    };
    bool failsMoreThanFleet(const Endpoint& endpoint) const;
    void recordFailure(Core::SteadyTime now, SidecarIndex sidecar);
    void eject(Core::SteadyTime now, SidecarIndex sidecar);
    void probeFinished(Core::SteadyTime now, SidecarIndex sidecar, bool isGood);

    std::vector<Endpoint> endpoints;
    std::vector<SidecarIndex> changed;
    std::vector<SidecarIndex> ejectedList;
    std::size_t knownCount = 0;
    std::int64_t limitPercent = 30;
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
