#include "celeryswitch/Dispatch/CreditLedger.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Dispatch {

using Core::SteadyTime;

namespace {

// Smoothing factor of the interval between returned credits.
constexpr double intervalSmoothing = 0.05;

}

CreditLedger::CreditLedger(std::uint64_t seed)
    : generator(seed)
{
}

void CreditLedger::add(SidecarIndex index, Proximity proximity)
{
    if (this->sidecars.size() <= index)
        this->sidecars.resize(index + 1);
    if (this->sidecars[index].isKnown)
        this->remove(index);
    this->sidecars[index] = { .proximity = proximity, .isKnown = true };
}

void CreditLedger::remove(SidecarIndex index)
{
    if (!this->find(index))
        return;
    this->setUsable(index, false);
    this->sidecars[index] = {};
}

void CreditLedger::setUsable(SidecarIndex index, bool isUsable)
{
    if (!this->find(index) || this->sidecars[index].isUsable == isUsable)
        return;
    Sidecar& sidecar = this->sidecars[index];
    sidecar.isUsable = isUsable;
    this->usableIdleCredits
        = isUsable ? this->usableIdleCredits + sidecar.idle : this->usableIdleCredits - sidecar.idle;
    this->updateListing(index);
}

void CreditLedger::grant(SteadyTime now, SidecarIndex index, std::uint32_t credits)
{
    if (!this->find(index) || credits == 0)
        return;
    Sidecar& sidecar = this->sidecars[index];
    sidecar.idle += credits;
    if (sidecar.isUsable)
        this->usableIdleCredits += credits;
    this->updateListing(index);
    ProximityClass& proximityClass = this->classes[static_cast<std::size_t>(sidecar.proximity)];
    if (proximityClass.lastReturnAt != SteadyTime {}) {
        const double interval = double((now - proximityClass.lastReturnAt).count()) / credits;
        proximityClass.returnInterval = proximityClass.returnInterval >= 1e18
            ? interval
            : proximityClass.returnInterval + intervalSmoothing * (interval - proximityClass.returnInterval);
    }
    proximityClass.lastReturnAt = now;
}

std::uint32_t CreditLedger::take(SidecarIndex index, std::uint32_t credits)
{
    if (!this->find(index))
        return 0;
    Sidecar& sidecar = this->sidecars[index];
    const std::uint32_t taken = std::min(sidecar.idle, credits);
    sidecar.idle -= taken;
    if (sidecar.isUsable)
        this->usableIdleCredits -= taken;
    this->updateListing(index);
    return taken;
}

std::uint32_t CreditLedger::idleAt(SidecarIndex index) const
{
    const Sidecar* sidecar = this->find(index);
    return sidecar ? sidecar->idle : 0;
}

std::optional<SidecarIndex> CreditLedger::choose(Proximity proximity)
{
    const std::vector<SidecarIndex>& available = this->classes[static_cast<std::size_t>(proximity)].available;
    if (available.empty())
        return std::nullopt;
    return available[this->generator(static_cast<std::uint32_t>(available.size()))];
}

Core::Duration CreditLedger::returnInterval(Proximity proximity) const
{
    const double interval = this->classes[static_cast<std::size_t>(proximity)].returnInterval;
    return Core::Duration(static_cast<std::int64_t>(std::min(interval, 1e15)));
}

void CreditLedger::updateListing(SidecarIndex index)
{
    Sidecar& sidecar = this->sidecars[index];
    const bool isAvailable = sidecar.isUsable && sidecar.idle > 0;
    if (isAvailable == sidecar.isListed)
        return;
    std::vector<SidecarIndex>& available = this->classes[static_cast<std::size_t>(sidecar.proximity)].available;
    if (isAvailable) {
        sidecar.position = available.size();
        available.push_back(index);
    } else {
        const SidecarIndex last = available.back();
        available[sidecar.position] = last;
        this->sidecars[last].position = sidecar.position;
        available.pop_back();
    }
    sidecar.isListed = isAvailable;
}

const CreditLedger::Sidecar* CreditLedger::find(SidecarIndex index) const
{
    return index < this->sidecars.size() && this->sidecars[index].isKnown ? &this->sidecars[index] : nullptr;
}

}
