#include "celeryswitch/Workers/RoomReservations.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Core::SteadyTime;

void RoomReservations::add(RoomReservation reservation, std::uint64_t arrivalNumber)
{
    const QueuePosition position { static_cast<std::int16_t>(-Messages::rankClassOf(reservation.rank)),
        reservation.startBy, arrivalNumber };
    this->waiting.emplace(position, std::move(reservation));
}

std::optional<QueuePosition> RoomReservations::firstPosition() const
{
    return this->waiting.empty() ? std::nullopt : std::optional(this->waiting.begin()->first);
}

RoomReservation RoomReservations::offerFirst(SteadyTime holdUntil)
{
    const auto first = this->waiting.begin();
    RoomReservation offered = first->second;
    if (--first->second.units == 0)
        this->waiting.erase(first);
    this->offers.push_back({ offered.entry, offered.number, offered.need, holdUntil });
    this->heldRoom += offered.need;
    offered.units = 1;
    return offered;
}

std::uint32_t RoomReservations::take(const Core::InstanceId& entry, std::uint64_t number, std::uint32_t units)
{
    std::uint32_t taken = 0;
    std::erase_if(this->offers, [&](const Offer& offer) {
        if (taken == units || offer.number != number || offer.entry != entry)
            return false;
        ++taken;
        this->heldRoom -= offer.need;
        return true;
    });
    return taken;
}

void RoomReservations::release(const Core::InstanceId& entry, std::uint64_t number)
{
    std::erase_if(this->waiting,
        [&](const auto& element) { return element.second.number == number && element.second.entry == entry; });
    this->take(entry, number, UINT32_MAX);
}

void RoomReservations::releaseAll(const Core::InstanceId& entry)
{
    std::erase_if(this->waiting, [&](const auto& element) { return element.second.entry == entry; });
    std::erase_if(this->offers, [&](const Offer& offer) {
        if (offer.entry == entry)
            this->heldRoom -= offer.need;
        return offer.entry == entry;
    });
}

void RoomReservations::expire(SteadyTime now)
{
    std::erase_if(this->waiting, [&](const auto& element) { return now >= element.second.startBy; });
    std::erase_if(this->offers, [&](const Offer& offer) {
        if (now >= offer.holdUntil)
            this->heldRoom -= offer.need;
        return now >= offer.holdUntil;
    });
}

SteadyTime RoomReservations::nextExpiry() const
{
    SteadyTime due = SteadyTime::max();
    for (const auto& [position, reservation] : this->waiting)
        due = std::min(due, reservation.startBy);
    for (const Offer& offer : this->offers)
        due = std::min(due, offer.holdUntil);
    return due;
}

}
