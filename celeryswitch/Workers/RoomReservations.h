#pragma once

#include "celeryswitch/Workers/RunTable.h"
#include <map>
#include <optional>

namespace celeryswitch::Workers {

/// Room that an entry reserves on a worker for tasks of equal need. Nothing runs because of it: the entry reserves room
/// on more workers than it needs, and starts its tasks where room is offered first.
struct RoomReservation {
    Core::InstanceId entry;
    /// Number of the reservation, unique among those of the entry.
    std::uint64_t number = 0;
    /// Room of one unit.
    Room need;
    /// Units that wait for room.
    std::uint32_t units = 0;
    /// Number of workers on which room is reserved for each of these units.
    std::uint32_t alternatives = 1;
    float rank = 0;
    /// Units that have not been offered by this time are dropped.
    Core::SteadyTime startBy = Core::SteadyTime::max();
};

/// The reservations on one worker: units that wait in the order of the queue of runs, and units that were offered and
/// whose room is held for a short time. Under overload a job with many tasks would otherwise wait for its slowest
/// queue.
class RoomReservations {
public:
    /// Adds a reservation; `arrivalNumber` orders it among others of the same rank class and latest start.
    void add(RoomReservation reservation, std::uint64_t arrivalNumber);
    /// Position of the first waiting reservation; std::nullopt if there is none.
    std::optional<QueuePosition> firstPosition() const;
    /// First waiting reservation; there must be one.
    const RoomReservation& first() const { return this->waiting.begin()->second; }
    /// Removes the first waiting reservation.
    void dropFirst() { this->waiting.erase(this->waiting.begin()); }
    /// Offers one unit of the first waiting reservation and holds its room until `holdUntil`.
    RoomReservation offerFirst(Core::SteadyTime holdUntil);
    /// Gives back the room of up to `units` offered units, for runs that start in it. Returns their number.
    std::uint32_t take(const Core::InstanceId& entry, std::uint64_t number, std::uint32_t units);
    /// Ends a reservation and releases what is held for it.
    void release(const Core::InstanceId& entry, std::uint64_t number);
    /// Ends all reservations of an entry.
    void releaseAll(const Core::InstanceId& entry);
    /// Drops what has not been offered or used in time.
    void expire(Core::SteadyTime now);
    /// Time at which `expire` is due; the maximum time if it is not.
    Core::SteadyTime nextExpiry() const;

    /// Room held for offered units.
    const Room& held() const { return this->heldRoom; }
    /// Waiting reservations in the order of the queue.
    const std::map<QueuePosition, RoomReservation>& queue() const { return this->waiting; }

private:
    struct Offer {
        Core::InstanceId entry;
        std::uint64_t number = 0;
        Room need;
        Core::SteadyTime holdUntil;
    };

    std::map<QueuePosition, RoomReservation> waiting;
    std::vector<Offer> offers;
    Room heldRoom;
};

}
