#include "celeryswitch/Network/HandshakeSession.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace celeryswitch::Network {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

void HandshakeSession::connect(asio::io_context& context, const tcp::endpoint& endpoint, const AuthenticationKeys& keys,
    RejectCounter rejected, std::chrono::milliseconds limit, DoneHandler onDone)
{
    const auto session
        = std::make_shared<HandshakeSession>(tcp::socket(context), keys, std::move(rejected), std::move(onDone));
    session->startTimer(limit);
    session->socket.async_connect(endpoint, [session](const error_code& error) {
        if (error)
            return session->fail({ TransportError::ConnectFailed, error.message() });
        session->sendThen(session->handshake.offer(), [session] {
            session->exchange(
                Handshake::answerBytes, [session](auto bytes) { return session->handshake.takeAnswer(bytes); },
                [session] { session->succeed(); });
        });
    });
}

std::shared_ptr<HandshakeSession> HandshakeSession::accept(
    tcp::socket socket, const AuthenticationKeys& keys, RejectCounter rejected, DoneHandler onDone)
{
    const auto session
        = std::make_shared<HandshakeSession>(std::move(socket), keys, std::move(rejected), std::move(onDone));
    session->startTimer(timeLimit);
    session->exchange(
        Handshake::offerBytes, [session](auto bytes) { return session->handshake.takeOffer(bytes); },
        [session] {
            session->isOffered = true;
            session->exchange(
                Handshake::proofBytes,
                [session](auto bytes) -> Core::Result<std::string> {
                    BOOST_OUTCOME_TRY(session->handshake.takeProof(bytes));
                    return std::string();
                },
                [session] { session->succeed(); });
        });
    return session;
}

HandshakeSession::HandshakeSession(
    tcp::socket socket, const AuthenticationKeys& keys, RejectCounter rejected, DoneHandler onDone)
    : socket(std::move(socket))
    , timer(this->socket.get_executor())
    , handshake(keys, randomBytes(nonceBytes))
    , rejected(std::move(rejected))
    , onDone(std::move(onDone))
{
}

void HandshakeSession::startTimer(std::chrono::milliseconds limit)
{
    this->timer.expires_after(limit);
    this->timer.async_wait([self = this->shared_from_this()](const error_code& error) {
        if (!error)
            self->fail({ TransportError::ConnectFailed, "no handshake within the time limit" });
    });
}

void HandshakeSession::exchange(std::size_t count, Step step, std::function<void()> next)
{
    this->incoming.resize(count);
    asio::async_read(this->socket, asio::buffer(this->incoming),
        [self = this->shared_from_this(), step = std::move(step), next = std::move(next)](
            const error_code& error, std::size_t) mutable {
            if (error)
                return self->fail({ TransportError::ConnectFailed, error.message() });
            auto reply = step(self->incoming);
            if (!reply) {
                self->rejected->fetch_add(1, std::memory_order_relaxed);
                return self->fail(reply.error());
            }
            if (reply.value().empty())
                return next();
            self->sendThen(std::move(reply).value(), std::move(next));
        });
}

void HandshakeSession::sendThen(std::string message, std::function<void()> next)
{
    this->outgoing = std::move(message);
    asio::async_write(this->socket, asio::buffer(this->outgoing),
        [self = this->shared_from_this(), next = std::move(next)](const error_code& error, std::size_t) {
            if (error)
                return self->fail({ TransportError::ConnectFailed, error.message() });
            next();
        });
}

void HandshakeSession::succeed()
{
    if (!this->onDone)
        return;
    this->timer.cancel();
    error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    const DoneHandler handler = std::exchange(this->onDone, nullptr);
    handler(PeerConnectionPointer(
        std::make_shared<SocketConnection>(std::move(this->socket), this->handshake.connectionKeys(), this->rejected)));
}

void HandshakeSession::fail(const Core::Error& error)
{
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
    if (const DoneHandler handler = std::exchange(this->onDone, nullptr))
        handler(error);
}

}
