#pragma once

#include "celeryswitch/Network/FrameCodec.h"
#include "celeryswitch/Network/PeerConnection.h"
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <vector>

namespace celeryswitch::Network {

/// Frames and datagrams refused, shared by a transport and its connections.
using RejectCounter = std::shared_ptr<std::atomic<std::uint64_t>>;

/// Frames over one TCP socket whose handshake is done.
class SocketConnection final : public PeerConnection, public std::enable_shared_from_this<SocketConnection> {
public:
    /// Bytes that may wait to be sent.
    static constexpr std::size_t sendQueueBytes = 32 * 1024 * 1024;
    /// Time that `close` gives to frames not yet sent.
    static constexpr std::chrono::seconds lingerLimit { 1 };

    SocketConnection(boost::asio::ip::tcp::socket socket, const ConnectionKeys& keys, RejectCounter rejected);

    void start(FrameHandler onFrame, CloseHandler onClose) override;
    bool send(std::string payload) override;
    void close() override;
    std::string remoteAddress() const override { return this->peerAddress; }

private:
    // Waits for bytes.
    void read();
    // Delivers each whole frame, then reads on.
    void deliver();
    // Delivers each whole frame; returns the reason when the connection can't be continued.
    std::optional<std::string> deliverFrames();
    // Sends what waits, several frames at once.
    void write();
    // Sends the rest of `inWrite` once the socket takes it.
    void writeLater(const std::vector<boost::asio::const_buffer>& buffers);
    // Ends the connection after an error of the peer or the network.
    void fail(const std::string& reason);
    // After `close`: tells the peer that nothing follows and waits for it to close as well.
    void finish();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer lingerTimer;
    std::string peerAddress;
    FrameSealer sealer;
    FrameOpener opener;
    RejectCounter rejected;
    FrameHandler onFrame;
    CloseHandler onClose;
    std::vector<char> readBuffer;
    // Frame heads and payloads that wait, and those handed to the socket.
    std::deque<std::string> waiting;
    std::vector<std::string> inWrite;
    std::size_t queuedBytes = 0;
    // No more frames are taken or delivered.
    bool isClosed = false;
    bool isReading = false;
    bool isDelivering = false;
};

/// "address:port" of an endpoint.
template <typename Endpoint> std::string toAddress(const Endpoint& endpoint)
{
    const std::string address = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + address + "]:" + port : address + ":" + port;
}

}
