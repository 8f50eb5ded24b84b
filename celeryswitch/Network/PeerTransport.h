#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Network/PeerConnection.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

namespace celeryswitch::Network {

/// Keys that authenticate frames: frames are sent with `currentKeyId` and accepted with any listed key.
struct AuthenticationKeys {
    std::uint8_t currentKeyId = 0;
    /// Key id to secret of at least 16 bytes; two entries while keys are being rotated.
    std::map<std::uint8_t, std::string> keys;
};

/// Why a socket could not be opened or connected.
enum class TransportError : std::uint8_t {
    BadAddress,
    ListenFailed,
    ConnectFailed,
};

/// Opens listeners, connections and datagram sockets on one io_context.
class PeerTransport {
public:
    using AcceptHandler = std::function<void(PeerConnectionPointer)>;
    using ConnectHandler = std::function<void(Core::Result<PeerConnectionPointer>)>;
    using DatagramHandler = std::function<void(std::string payload, std::string fromAddress)>;

    PeerTransport(boost::asio::io_context& context, AuthenticationKeys keys);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Listens on "address:port" (port 0: chosen by the system); returns the bound "address:port". `onAccept` is called
    /// after the peer has proved that it has a key.
    Core::Result<std::string> listen(const std::string& address, AcceptHandler onAccept);
    /// Connects to "address:port" within the connect limit and authenticates both sides.
    void connect(const std::string& address, ConnectHandler onConnect);
    /// Changes the connect limit, which is 2 s by default. A machine that is down does not answer, and its operating
    /// system's next attempt comes after a second, so that a short limit finds it sooner once it is back.
    void setConnectLimit(std::chrono::milliseconds limit);
    /// Changes the number of accepted connections whose handshake may be open, which is 256 by default, and that of
    /// connections that the system keeps until they are accepted; called before `listen`.
    void setHandshakeLimit(std::size_t limit);
    /// Binds the datagram socket to "address:port"; returns the bound "address:port".
    Core::Result<std::string> bindDatagram(const std::string& address, DatagramHandler onDatagram);
    /// Sends an authenticated datagram of at most 1,200 bytes; failures are counted, not reported.
    void sendDatagram(const std::string& address, const std::string& payload);
    /// Stops listening and closes the datagram socket; open connections stay.
    void stop();
    /// Frames and datagrams refused for their size, version, form or authentication.
    std::uint64_t rejectedCount() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Network::TransportError> {
    static constexpr std::string_view type = "TransportError";
    static constexpr std::array<std::pair<Network::TransportError, std::string_view>, 3> names { {
        { Network::TransportError::BadAddress, "BadAddress" },
        { Network::TransportError::ListenFailed, "ListenFailed" },
        { Network::TransportError::ConnectFailed, "ConnectFailed" },
    } };
};

}
