#pragma once

#include "ExplorerLoop.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <functional>
#include <memory>
#include <tuple>
#include <vector>

namespace celeryswitch::Explorer {

/// One process life: which process, and how often it was restarted before.
struct Place {
    std::uint32_t process = 0;
    std::uint32_t life = 0;

    friend bool operator==(const Place&, const Place&) = default;
    friend bool operator<(const Place& left, const Place& right)
    {
        return std::tie(left.process, left.life) < std::tie(right.process, right.life);
    }
};

/// Streams between processes: ordered, without duplicates, with delays, stalls and breaks that the two sides notice at
/// different times.
class Network {
public:
    using ConnectionId = std::uint64_t;
    /// What the processes do with network events; the place says which process life is meant.
    struct Handlers {
        std::function<bool(Place)> isAlive;
        std::function<std::uint32_t(std::uint32_t process)> lifeOf;
        std::function<void(Place, ConnectionId)> onOpened;
        std::function<void(Place, ConnectionId)> onClosed;
        std::function<void(Place, ConnectionId, const Messages::PeerMessage&)> onFrame;
    };

    Network(Loop& loop, Handlers handlers)
        : loop(loop)
        , handlers(std::move(handlers))
    {
    }

    /// Connects from a process to another; the acceptor's side gets an odd number.
    void connect(Place from, ConnectionId connectionId, std::uint32_t to);
    /// Sends a frame from one side.
    void send(Place from, ConnectionId connectionId, const Messages::PeerMessage& message);
    /// One side ends the connection.
    void close(Place from, ConnectionId connectionId);
    /// A process died: its peers learn it late, or, when silent, not at all.
    void processDied(Place place, bool isSilent);
    /// Breaks every connection between two processes.
    void breakBetween(std::uint32_t first, std::uint32_t second);
    /// Holds back everything between two processes for a while; datagrams are lost.
    void block(std::uint32_t first, std::uint32_t second, Core::Duration span);
    /// Holds back the frames between two processes for a while; datagrams pass.
    void stall(std::uint32_t first, std::uint32_t second, Core::Duration span);
    /// Whether datagrams are lost between two processes now.
    bool isBlocked(std::uint32_t first, std::uint32_t second) const;

private:
    struct Side {
        Place place;
        ConnectionId connectionId = 0;
        bool isOpen = true;
        // Time at which the last frame to this side arrives.
        Core::Duration lastArrival {};
    };
    struct Stream {
        Side sides[2];
        // Frames that would arrive later are lost.
        Core::Duration cutAt = Core::Duration::max();
    };
    using StreamPointer = std::shared_ptr<Stream>;

    StreamPointer find(Place place, ConnectionId connectionId, int& side) const;
    Core::Duration arrival(Stream& stream, int side);
    void closeSide(const StreamPointer& stream, int side);
    static std::pair<std::uint32_t, std::uint32_t> pairOf(std::uint32_t first, std::uint32_t second)
    {
        return std::minmax(first, second);
    }

    Loop& loop;
    Handlers handlers;
    std::map<std::pair<Place, ConnectionId>, std::pair<StreamPointer, int>> streams;
    std::map<std::pair<std::uint32_t, std::uint32_t>, Core::Duration> blockedUntil;
    std::map<std::pair<std::uint32_t, std::uint32_t>, Core::Duration> stalledUntil;
    ConnectionId lastAccepted = 1;
};

}
