#pragma once

#include "celeryswitch/Network/SocketConnection.h"
#include <boost/asio/io_context.hpp>

namespace celeryswitch::Network {

/// Runs the handshake over a fresh socket and hands over the connection, or the error, within a time limit.
class HandshakeSession : public std::enable_shared_from_this<HandshakeSession> {
public:
    /// Time from the start of the connect, or from the accept, until both sides have proved their key.
    static constexpr std::chrono::seconds timeLimit { 2 };
    using DoneHandler = std::function<void(Core::Result<PeerConnectionPointer>)>;

    /// Connects to `endpoint` within `limit`. `onDone` is called once, from the event loop.
    static void connect(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& endpoint,
        const AuthenticationKeys& keys, RejectCounter rejected, std::chrono::milliseconds limit, DoneHandler onDone);
    /// Takes an accepted socket. `onDone` is called once, from the event loop or by `giveUp`.
    static std::shared_ptr<HandshakeSession> accept(boost::asio::ip::tcp::socket socket, const AuthenticationKeys& keys,
        RejectCounter rejected, DoneHandler onDone);

    HandshakeSession(boost::asio::ip::tcp::socket socket, const AuthenticationKeys& keys, RejectCounter rejected,
        DoneHandler onDone);

    /// Whether the peer's offer has been taken; a connection without one is silent or speaks another protocol.
    bool hasOffer() const { return this->isOffered; }
    /// Ends the handshake in favour of another one.
    void giveUp() { this->fail({ TransportError::ConnectFailed, "too many handshakes" }); }

private:
    // Takes the peer's message and returns this side's next one, empty when none follows.
    using Step = std::function<Core::Result<std::string>(std::string_view)>;

    // Ends the session when the time is over.
    void startTimer(std::chrono::milliseconds limit);
    // Reads `count` bytes, takes them with `step`, sends the reply, then calls `next`.
    void exchange(std::size_t count, Step step, std::function<void()> next);
    // Sends a message, then calls `next`.
    void sendThen(std::string message, std::function<void()> next);
    void succeed();
    void fail(const Core::Error& error);

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    Handshake handshake;
    RejectCounter rejected;
    DoneHandler onDone;
    std::string incoming;
    std::string outgoing;
    bool isOffered = false;
};

}
