#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Dispatch/OutlierDetector.h"
#include <array>
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace celeryswitch::Dispatch {

/// How far a sidecar is from this entry.
enum class Proximity : std::uint8_t {
    SameRack,
    SameDataCentre,
    Farther,
};

/// Number of proximity classes.
inline constexpr std::size_t proximityCount = 3;

/// Idle credits of one service by sidecar, with constant-time choice among those near first. Only usable sidecars
/// (active, not draining, not paused) are chosen from and counted as idle.
class CreditLedger {
public:
    /// `seed` of the choice among equals.
    explicit CreditLedger(std::uint64_t seed);

    /// Adds a sidecar without credits, unusable until `setUsable`.
    void add(SidecarIndex sidecar, Proximity proximity);
    /// Forgets a sidecar and its credits.
    void remove(SidecarIndex sidecar);
    /// Whether the sidecar may be chosen.
    void setUsable(SidecarIndex sidecar, bool isUsable);
    /// Adds idle credits.
    void grant(Core::SteadyTime now, SidecarIndex sidecar, std::uint32_t credits);
    /// Takes idle credits; returns how many there were to take.
    std::uint32_t take(SidecarIndex sidecar, std::uint32_t credits);
    /// Idle credits of one sidecar, usable or not.
    std::uint32_t idleAt(SidecarIndex sidecar) const;
    /// Idle credits of all usable sidecars.
    std::uint32_t idle() const { return this->idleTotal; }
    /// A usable sidecar with idle credits in a proximity class, chosen at random; nothing when there is none.
    std::optional<SidecarIndex> choose(Proximity proximity);
    /// Mean time between credits that came back in a proximity class; very long when none did.
    Core::Duration returnInterval(Proximity proximity) const;

private:
    struct Sidecar {
        Proximity proximity = Proximity::Farther;
        std::uint32_t idle = 0;
        bool isUsable = false;
        bool isKnown = false;
        // Position in its class's list; only valid while listed.
        std::size_t position = 0;
        bool isListed = false;
    };
    struct ProximityClass {
        std::vector<SidecarIndex> available;
        Core::SteadyTime lastReturn {};
        double returnInterval = 1e18;
    };
    void relist(SidecarIndex sidecar);
    const Sidecar* find(SidecarIndex sidecar) const;

    std::vector<Sidecar> sidecars;
    std::array<ProximityClass, proximityCount> classes;
    std::uint32_t idleTotal = 0;
    pcg32 generator;
};

}
