#include "ExplorerNetwork.h"

#include <algorithm>

namespace celeryswitch::Explorer {

void Network::connect(Place from, ConnectionId connectionId, std::uint32_t to)
{
    this->loop.after(this->loop.span(1, 60), [=, this] {
        const Place acceptor { to, this->handlers.lifeOf(to) };
        if (!this->handlers.isAlive(from))
            return;
        if (!this->handlers.isAlive(acceptor) || this->isBlocked(from.process, to)) {
            this->handlers.onClosed(from, connectionId);
            return;
        }
        auto stream = std::make_shared<Stream>();
        stream->sides[0] = { from, connectionId };
        stream->sides[1] = { acceptor, this->lastAccepted += 2 };
        for (int side = 0; side < 2; ++side)
            this->streams[{ stream->sides[side].place, stream->sides[side].connectionId }] = { stream, side };
        this->handlers.onOpened(acceptor, stream->sides[1].connectionId);
        this->handlers.onOpened(from, connectionId);
    });
}

Network::StreamPointer Network::find(Place place, ConnectionId connectionId, int& side) const
{
    const auto found = this->streams.find({ place, connectionId });
    if (found == this->streams.end())
        return nullptr;
    side = found->second.second;
    return found->second.first;
}

Core::Duration Network::arrival(Stream& stream, int side)
{
    const auto between = pairOf(stream.sides[0].place.process, stream.sides[1].place.process);
    Core::Duration time = this->loop.now + this->loop.span(0, 20);
    for (const auto* held : { &this->blockedUntil, &this->stalledUntil }) {
        const auto found = held->find(between);
        if (found != held->end())
            time = std::max(time, found->second + std::chrono::milliseconds(1));
    }
    time = std::max(time, stream.sides[side].lastArrival);
    stream.sides[side].lastArrival = time;
    return time;
}

void Network::send(Place from, ConnectionId connectionId, const Messages::PeerMessage& message)
{
    int side = 0;
    const StreamPointer stream = this->find(from, connectionId, side);
    if (!stream || !stream->sides[side].isOpen)
        return;
    const Core::Duration time = this->arrival(*stream, 1 - side);
    this->loop.after(time - this->loop.now, [=, this] {
        const Side& receiver = stream->sides[1 - side];
        if (receiver.isOpen && this->loop.now <= stream->cutAt && this->handlers.isAlive(receiver.place))
            this->handlers.onFrame(receiver.place, receiver.connectionId, message);
    });
}

void Network::closeSide(const StreamPointer& stream, int side)
{
    Side& closing = stream->sides[side];
    if (!closing.isOpen)
        return;
    closing.isOpen = false;
    this->streams.erase({ closing.place, closing.connectionId });
}

void Network::close(Place from, ConnectionId connectionId)
{
    int side = 0;
    const StreamPointer stream = this->find(from, connectionId, side);
    if (!stream)
        return;
    this->closeSide(stream, side);
    // The other side reads what was sent before the end.
    this->loop.after(this->arrival(*stream, 1 - side) - this->loop.now, [=, this] {
        const Side other = stream->sides[1 - side];
        if (!other.isOpen)
            return;
        this->closeSide(stream, 1 - side);
        if (this->handlers.isAlive(other.place))
            this->handlers.onClosed(other.place, other.connectionId);
    });
}

void Network::processDied(Place place, bool isSilent)
{
    std::vector<ConnectionId> own;
    for (const auto& [key, stream] : this->streams) {
        if (key.first == place)
            own.push_back(key.second);
    }
    for (const ConnectionId connectionId : own) {
        if (!isSilent) {
            this->close(place, connectionId);
            continue;
        }
        int side = 0;
        const StreamPointer stream = this->find(place, connectionId, side);
        this->closeSide(stream, side);
    }
}

void Network::breakBetween(std::uint32_t first, std::uint32_t second)
{
    std::vector<StreamPointer> broken;
    for (const auto& [key, entry] : this->streams) {
        const Stream& stream = *entry.first;
        if (entry.second == 0
            && pairOf(stream.sides[0].place.process, stream.sides[1].place.process) == pairOf(first, second))
            broken.push_back(entry.first);
    }
    for (const StreamPointer& stream : broken) {
        stream->cutAt = this->loop.now + this->loop.span(0, 30);
        for (int side = 0; side < 2; ++side) {
            this->loop.after(this->loop.span(0, 2000), [=, this] {
                const Side ending = stream->sides[side];
                if (!ending.isOpen)
                    return;
                this->closeSide(stream, side);
                if (this->handlers.isAlive(ending.place))
                    this->handlers.onClosed(ending.place, ending.connectionId);
            });
        }
    }
}

void Network::block(std::uint32_t first, std::uint32_t second, Core::Duration span)
{
    Core::Duration& until = this->blockedUntil[pairOf(first, second)];
    until = std::max(until, this->loop.now + span);
}

void Network::stall(std::uint32_t first, std::uint32_t second, Core::Duration span)
{
    Core::Duration& until = this->stalledUntil[pairOf(first, second)];
    until = std::max(until, this->loop.now + span);
}

bool Network::isBlocked(std::uint32_t first, std::uint32_t second) const
{
    const auto found = this->blockedUntil.find(pairOf(first, second));
    return found != this->blockedUntil.end() && found->second > this->loop.now;
}

}
