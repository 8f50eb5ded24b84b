#include "celeryswitch/Network/PeerTransport.h"

#include "celeryswitch/Core/SocketAddress.h"
#include "celeryswitch/Network/DatagramCodec.h"
#include "celeryswitch/Network/HandshakeSession.h"
#include <algorithm>
#include <boost/asio/ip/udp.hpp>

namespace celeryswitch::Network {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Connections whose handshake is not done; a flood of silent connections can't use up the process's files.
constexpr std::size_t maximumHandshakes = 256;
// Wait before accepting again after a failure such as too many open files.
constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

// Endpoint of "address:port".
template <typename Protocol> Core::Result<typename Protocol::endpoint> parseAddress(const std::string& text)
{
    const std::optional<Core::SocketAddress> address = Core::parseSocketAddress(text);
    if (!address)
        return Core::Error(TransportError::BadAddress, text);
    return typename Protocol::endpoint(address->ip, address->port);
}

}

/// Sockets of a transport.
class PeerTransport::Implementation : public std::enable_shared_from_this<PeerTransport::Implementation> {
public:
    Implementation(asio::io_context& context, AuthenticationKeys keys)
        : context(context)
        , keys(std::move(keys))
        , datagramCodec(this->keys)
        , acceptor(context)
        , acceptTimer(context)
        , datagramSocket(context)
    {
    }

    Core::Result<std::string> listen(const std::string& address, AcceptHandler handler)
    {
        BOOST_OUTCOME_TRY(const auto endpoint, parseAddress<tcp>(address));
        error_code error;
        this->acceptor.open(endpoint.protocol(), error);
        if (!error)
            this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            this->acceptor.bind(endpoint, error);
        if (!error)
            this->acceptor.listen(static_cast<int>(this->handshakeLimit), error);
        if (error)
            return Core::Error(TransportError::ListenFailed, address + ": " + error.message());
        this->onAccept = std::move(handler);
        this->accept();
        return toAddress(this->acceptor.local_endpoint());
    }

    void connect(const std::string& address, ConnectHandler handler)
    {
        const auto endpoint = parseAddress<tcp>(address);
        if (!endpoint) {
            asio::post(this->context, [handler = std::move(handler), error = endpoint.error()] { handler(error); });
            return;
        }
        HandshakeSession::connect(this->context, endpoint.value(), this->keys, this->rejected, this->connectLimit,
            [handler = std::move(handler)](auto result) { handler(std::move(result)); });
    }

    Core::Result<std::string> bindDatagram(const std::string& address, DatagramHandler handler)
    {
        BOOST_OUTCOME_TRY(const auto endpoint, parseAddress<udp>(address));
        error_code error;
        this->datagramSocket.open(endpoint.protocol(), error);
        if (!error)
            this->datagramSocket.bind(endpoint, error);
        if (!error)
            this->datagramSocket.non_blocking(true, error);
        if (error)
            return Core::Error(TransportError::ListenFailed, address + ": " + error.message());
        this->onDatagram = std::move(handler);
        this->receive();
        return toAddress(this->datagramSocket.local_endpoint());
    }

    void sendDatagram(const std::string& address, const std::string& payload)
    {
        const auto endpoint = parseAddress<udp>(address);
        if (!endpoint || payload.size() > maximumDatagramBytes || !this->datagramSocket.is_open()) {
            ++this->unsentDatagrams;
            return;
        }
        error_code error;
        this->datagramSocket.send_to(
            asio::buffer(this->datagramCodec.seal(this->clock.wallNow(), payload)), endpoint.value(), 0, error);
        if (error)
            ++this->unsentDatagrams;
    }

    void stop()
    {
        error_code ignored;
        this->isStopped = true;
        this->acceptor.close(ignored);
        this->acceptTimer.cancel();
        this->datagramSocket.close(ignored);
        this->onAccept = nullptr;
        this->onDatagram = nullptr;
    }

    const RejectCounter& rejectCounter() const { return this->rejected; }

    std::chrono::milliseconds connectLimit { HandshakeSession::timeLimit };
    std::size_t handshakeLimit = maximumHandshakes;

private:
    void accept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](const error_code& error, tcp::socket socket) {
            if (self->isStopped)
                return;
            if (error)
                return self->acceptLater();
            self->startHandshake(std::move(socket));
            self->accept();
        });
    }

    void acceptLater()
    {
        this->acceptTimer.expires_after(acceptRetryDelay);
        this->acceptTimer.async_wait([self = this->shared_from_this()](const error_code& error) {
            if (!error && !self->isStopped)
                self->accept();
        });
    }

    void startHandshake(tcp::socket socket)
    {
        if (this->handshakes.size() >= this->handshakeLimit)
            this->giveUpHandshake();
        const std::uint64_t number = ++this->lastHandshake;
        this->handshakes[number] = HandshakeSession::accept(
            std::move(socket), this->keys, this->rejected, [self = this->shared_from_this(), number](auto result) {
                self->handshakes.erase(number);
                if (result && self->onAccept)
                    self->onAccept(std::move(result).value());
            });
    }

    // Ends the oldest handshake without an offer, or else the oldest one: that of a peer which has the key takes a
    // round trip.
    void giveUpHandshake()
    {
        this->rejected->fetch_add(1, std::memory_order_relaxed);
        auto chosen = std::find_if(this->handshakes.begin(), this->handshakes.end(), [](const auto& entry) {
            const auto session = entry.second.lock();
            return !session || !session->hasOffer();
        });
        if (chosen == this->handshakes.end())
            chosen = this->handshakes.begin();
        const auto session = chosen->second.lock();
        this->handshakes.erase(chosen);
        if (session)
            session->giveUp();
    }

    void receive()
    {
        this->datagramSocket.async_receive_from(asio::buffer(this->datagramBuffer), this->datagramSender,
            [self = this->shared_from_this()](const error_code& error, std::size_t count) {
                if (self->isStopped)
                    return;
                if (!error)
                    self->datagramReceived(count);
                if (!self->isStopped)
                    self->receive();
            });
    }

    void datagramReceived(std::size_t count)
    {
        auto payload = this->datagramCodec.open(this->clock.wallNow(), { this->datagramBuffer.data(), count });
        if (payload)
            this->onDatagram(std::move(payload).value(), toAddress(this->datagramSender));
        else
            this->rejected->fetch_add(1, std::memory_order_relaxed);
    }

    asio::io_context& context;
    AuthenticationKeys keys;
    Core::SystemClock clock;
    DatagramCodec datagramCodec;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    udp::socket datagramSocket;
    udp::endpoint datagramSender;
    // One byte more than the largest datagram, so that a longer one is recognized.
    std::array<char, DatagramCodec::headBytes + maximumDatagramBytes + 1> datagramBuffer {};
    AcceptHandler onAccept;
    DatagramHandler onDatagram;
    // Open handshakes, in the order in which they began.
    std::map<std::uint64_t, std::weak_ptr<HandshakeSession>> handshakes;
    std::uint64_t lastHandshake = 0;
    std::uint64_t unsentDatagrams = 0;
    RejectCounter rejected = std::make_shared<std::atomic<std::uint64_t>>(0);
    bool isStopped = false;
};

PeerTransport::PeerTransport(asio::io_context& context, AuthenticationKeys keys)
    : implementation(std::make_shared<Implementation>(context, std::move(keys)))
{
}

PeerTransport::~PeerTransport() { this->implementation->stop(); }

Core::Result<std::string> PeerTransport::listen(const std::string& address, AcceptHandler onAccept)
{
    return this->implementation->listen(address, std::move(onAccept));
}

void PeerTransport::connect(const std::string& address, ConnectHandler onConnect)
{
    this->implementation->connect(address, std::move(onConnect));
}

void PeerTransport::setConnectLimit(std::chrono::milliseconds limit) { this->implementation->connectLimit = limit; }

void PeerTransport::setHandshakeLimit(std::size_t limit) { this->implementation->handshakeLimit = limit; }

Core::Result<std::string> PeerTransport::bindDatagram(const std::string& address, DatagramHandler onDatagram)
{
    return this->implementation->bindDatagram(address, std::move(onDatagram));
}

void PeerTransport::sendDatagram(const std::string& address, const std::string& payload)
{
    this->implementation->sendDatagram(address, payload);
}

void PeerTransport::stop() { this->implementation->stop(); }

std::uint64_t PeerTransport::rejectedCount() const
{
    return this->implementation->rejectCounter()->load(std::memory_order_relaxed);
}

}
