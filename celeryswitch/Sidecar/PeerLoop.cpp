#include "celeryswitch/Sidecar/PeerLoop.h"

#include "celeryswitch/Network/MessageCodec.h"
#include <boost/asio/post.hpp>

namespace celeryswitch::Sidecar {

namespace asio = boost::asio;

namespace {

// Maximum number of actions queued for the peer thread.
constexpr std::size_t ringCapacity = 16 * 1024;
// Delay before a connection event is reported again after the ring of the decision thread was full.
constexpr std::chrono::milliseconds reportRetryDelay { 5 };
// Time without a heartbeat of any entry after which the sidecar registers again, since a state replica may have removed
// it.
constexpr std::chrono::seconds registrationRenewalDelay { 10 };
// Delay before a failed registration is retried.
constexpr std::chrono::milliseconds registrationRetryDelay { 500 };
constexpr std::chrono::seconds registrationTimeout { 5 };

}

PeerLoop::PeerLoop(Dependencies dependencies)
    : dependencies(std::move(dependencies))
    , context(1)
    , work(this->context.get_executor())
    , transport(this->context, this->dependencies.settings.authentication)
    , stateClient(
          this->context, this->transport, { this->dependencies.identity, this->dependencies.settings.stateAddresses })
    , ring(ringCapacity,
          [this] {
              if (!this->isDrainPosted.exchange(true))
                  asio::post(this->context, [this] { this->drainActions(); });
          })
    , reportTimer(this->context)
    , registrationTimer(this->context)
{
}

Core::Result<void> PeerLoop::open()
{
    this->member.identity = this->dependencies.identity;
    BOOST_OUTCOME_TRY(this->member.peerAddress,
        this->transport.listen(this->dependencies.settings.peerAddress,
            [this](Network::PeerConnectionPointer connection) { this->accepted(std::move(connection)); }));
    BOOST_OUTCOME_TRY(this->member.datagramAddress,
        this->transport.bindDatagram(
            this->dependencies.settings.datagramAddress, [this](std::string payload, std::string fromAddress) {
                this->datagramReceived(payload, std::move(fromAddress));
            }));
    asio::post(this->context, [this] { this->registerMember(); });
    return Core::success();
}

std::uint64_t PeerLoop::rejectedCount() const
{
    return this->transport.rejectedCount() + this->malformedCount.load(std::memory_order_relaxed);
}

void PeerLoop::accepted(Network::PeerConnectionPointer connection)
{
    const ConnectionId connectionId = ++this->lastConnectionId;
    this->connections[connectionId] = connection;
    this->dependencies.log("peer connected", connection->remoteAddress());
    this->report(PeerConnected { connectionId });
    connection->start([this, connectionId](std::string payload) { this->frameReceived(connectionId, payload); },
        [this, connectionId](const std::string& reason) { this->disconnect(connectionId, reason); });
}

void PeerLoop::frameReceived(ConnectionId connectionId, const std::string& payload)
{
    auto message = Network::decodeMessage<Messages::PeerMessage>(payload);
    if (!message) {
        this->malformedCount.fetch_add(1, std::memory_order_relaxed);
        return this->disconnect(connectionId, message.error().message());
    }
    // A dropped frame would leave the peers with inconsistent state, so the connection is closed and the entry resyncs.
    if (!this->pendingReports.empty()
        || !this->dependencies.decisionEvents.tryPush(PeerFrame { connectionId, std::move(message).value() }))
        this->disconnect(connectionId, "the decision thread is overloaded");
}

void PeerLoop::datagramReceived(const std::string& payload, std::string fromAddress)
{
    auto datagram = Network::decodeMessage<Messages::PeerDatagram>(payload);
    auto* heartbeat = datagram ? std::get_if<Messages::EntryHeartbeat>(&datagram.value()) : nullptr;
    if (!heartbeat) {
        this->malformedCount.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->lastHeartbeatAt = Core::BootClock::now();
    static_cast<void>(
        this->dependencies.decisionEvents.tryPush(PeerHeartbeat { std::move(*heartbeat), std::move(fromAddress) }));
}

void PeerLoop::report(PeerEvent event)
{
    this->pendingReports.push_back(std::move(event));
    this->flushReports();
}

void PeerLoop::flushReports()
{
    while (!this->pendingReports.empty()
        && this->dependencies.decisionEvents.tryPush(std::move(this->pendingReports.front())))
        this->pendingReports.pop_front();
    if (this->pendingReports.empty())
        return;
    this->reportTimer.expires_after(reportRetryDelay);
    this->reportTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->flushReports();
    });
}

void PeerLoop::disconnect(ConnectionId connectionId, const std::string& reason)
{
    const auto found = this->connections.find(connectionId);
    if (found == this->connections.end())
        return;
    this->dependencies.log("peer disconnected", found->second->remoteAddress() + ": " + reason);
    found->second->close();
    this->connections.erase(found);
    this->report(PeerDisconnected { connectionId });
}

void PeerLoop::drainActions()
{
    this->isDrainPosted.store(false);
    this->ring.drain([this](Action action) { this->handle(action); });
}

void PeerLoop::handle(Action& action)
{
    if (auto* frame = std::get_if<SendFrame>(&action)) {
        const auto found = this->connections.find(frame->connectionId);
        if (found != this->connections.end() && !found->second->send(Network::encodeMessage(frame->message)))
            this->disconnect(frame->connectionId, "the send queue is full");
    } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
        const auto found = this->connections.find(close->connectionId);
        if (found != this->connections.end()) {
            found->second->close();
            this->connections.erase(found);
        }
    } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
        this->transport.sendDatagram(
            heartbeat->address, Network::encodeMessage(Messages::PeerDatagram(heartbeat->heartbeat)));
    }
}

void PeerLoop::registerMember()
{
    if (this->dependencies.registration) {
        this->dependencies.registration(this->member);
        return;
    }
    if (this->dependencies.settings.stateAddresses.empty())
        return;
    this->stateClient.request(
        Messages::RegisterMember { this->member }, registrationTimeout, [this](const auto& reply) {
            if (!this->work.owns_work())
                return;
            const bool isRegistered = reply && reply.value().refusal == Messages::StateRefusal::None;
            if (isRegistered)
                this->dependencies.log("registered", this->member.peerAddress);
            else
                this->dependencies.log("registration failed",
                    reply ? std::string(Core::enumName(reply.value().refusal)) : reply.error().message());
            this->scheduleRegistration(isRegistered ? registrationRenewalDelay : registrationRetryDelay);
        });
}

void PeerLoop::scheduleRegistration(std::chrono::milliseconds delay)
{
    this->registrationTimer.expires_after(delay);
    this->registrationTimer.async_wait([this, delay](const boost::system::error_code& error) {
        if (error)
            return;
        if (delay == registrationRenewalDelay
            && this->lastHeartbeatAt + registrationRenewalDelay > Core::BootClock::now())
            this->scheduleRegistration(registrationRenewalDelay);
        else
            this->registerMember();
    });
}

void PeerLoop::finish()
{
    asio::post(this->context, [this] {
        this->drainActions();
        this->transport.stop();
        this->work.reset();
        this->stateClient.stop();
        this->reportTimer.cancel();
        this->registrationTimer.cancel();
        for (const auto& entry : this->connections)
            entry.second->close();
        this->connections.clear();
    });
}

}
