#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Dispatch/OutlierDetector.h"
#include <array>
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace celeryswitch::Dispatch {

/// Network distance between a sidecar and this entry.
enum class Proximity : std::uint8_t {
    SameRack,
    SameDataCentre,
    OtherDataCentre,
};

inline constexpr std::size_t proximityCount = 3;

/// Idle credits of one service by sidecar, with selection in constant time per proximity class. Only usable sidecars
/// (active, not draining, not paused) are selected and counted.
class CreditLedger {
public:
    /// `seed` of the random selection.
    explicit CreditLedger(std::uint64_t seed);

    /// Adds a sidecar without credits, unusable until `setUsable`.
    void add(SidecarIndex sidecar, Proximity proximity);
    /// Removes a sidecar and its credits.
    void remove(SidecarIndex sidecar);
    /// Sets whether the sidecar may be selected.
    void setUsable(SidecarIndex sidecar, bool isUsable);
    void grant(Core::SteadyTime now, SidecarIndex sidecar, std::uint32_t credits);
    /// Takes up to `credits` idle credits; returns how many were taken.
    std::uint32_t take(SidecarIndex sidecar, std::uint32_t credits);
    /// Idle credits of one sidecar, usable or not.
    std::uint32_t idleAt(SidecarIndex sidecar) const;
    /// Idle credits of all usable sidecars.
    std::uint32_t idle() const { return this->usableIdleCredits; }
    /// Random usable sidecar with idle credits in a proximity class; nothing if there is none.
    std::optional<SidecarIndex> choose(Proximity proximity);
    /// Smoothed time between returned credits in a proximity class; about 11 days until two were returned.
    Core::Duration returnInterval(Proximity proximity) const;

private:
    struct Sidecar {
        Proximity proximity = Proximity::OtherDataCentre;
        std::uint32_t idle = 0;
        bool isUsable = false;
        bool isKnown = false;
        // Index in the class's `available`; valid while `isListed`.
        std::size_t position = 0;
        bool isListed = false;
    };
    struct ProximityClass {
        std::vector<SidecarIndex> available;
        Core::SteadyTime lastReturnAt {};
        double returnInterval = 1e18;
    };
    void updateListing(SidecarIndex sidecar);
    const Sidecar* find(SidecarIndex sidecar) const;

    std::vector<Sidecar> sidecars;
    std::array<ProximityClass, proximityCount> classes;
    std::uint32_t usableIdleCredits = 0;
    pcg32 generator;
};

}
