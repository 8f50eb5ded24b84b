#include "celeryswitch/Network/SocketConnection.h"

#include <boost/asio/write.hpp>
#include <exception>

namespace celeryswitch::Network {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t readBufferBytes = 64 * 1024;
// Buffers of one write: heads and payloads of 32 frames.
constexpr std::size_t buffersPerWrite = 64;

}

SocketConnection::SocketConnection(asio::ip::tcp::socket socket, const ConnectionKeys& keys, RejectCounter rejected)
    : socket(std::move(socket))
    , lingerTimer(this->socket.get_executor())
    , sealer(keys)
    , opener(keys)
    , rejected(std::move(rejected))
{
    error_code ignored;
    this->peerAddress = toAddress(this->socket.remote_endpoint(ignored));
    // Lets `write` send without waiting.
    this->socket.non_blocking(true, ignored);
}

void SocketConnection::start(FrameHandler onFrame, CloseHandler onClose)
{
    this->onFrame = std::move(onFrame);
    this->onClose = std::move(onClose);
    this->readBuffer.resize(readBufferBytes);
    this->read();
}

void SocketConnection::read()
{
    this->isReading = true;
    this->socket.async_read_some(
        asio::buffer(this->readBuffer), [self = this->shared_from_this()](const error_code& error, std::size_t count) {
            self->isReading = false;
            if (error)
                return self->fail(error.message());
            // A closed connection reads on, and discards, until the peer has closed as well.
            if (self->isClosed)
                return self->read();
            self->opener.append({ self->readBuffer.data(), count });
            self->deliver();
        });
}

void SocketConnection::deliver()
{
    this->isDelivering = true;
    const std::optional<std::string> failure = this->deliverFrames();
    this->isDelivering = false;
    if (this->inWrite.empty())
        this->write();
    if (failure)
        this->fail(*failure);
    else if (!this->isReading)
        this->read();
}

std::optional<std::string> SocketConnection::deliverFrames()
{
    while (!this->isClosed) {
        auto next = this->opener.next();
        if (!next) {
            this->rejected->fetch_add(1, std::memory_order_relaxed);
            return next.error().message();
        }
        if (!next.value())
            break;
        // An unexpected error ends this connection, not the process.
        try {
            this->onFrame(std::move(*next.value()));
        } catch (const std::exception& failure) {
            return std::string("frame not handled: ") + failure.what();
        }
    }
    return {};
}

bool SocketConnection::send(std::string payload)
{
    if (this->isClosed || payload.size() > maximumFrameBytes
        || this->queuedBytes + payload.size() + FrameSealer::headBytes > sendQueueBytes)
        return false;
    std::string head = this->sealer.head(payload);
    this->queuedBytes += head.size() + payload.size();
    this->waiting.push_back(std::move(head));
    this->waiting.push_back(std::move(payload));
    // Answers to frames that were read together are written together.
    if (this->inWrite.empty() && !this->isDelivering)
        this->write();
    return true;
}

void SocketConnection::write()
{
    while (!this->waiting.empty()) {
        std::vector<asio::const_buffer> buffers;
        std::size_t unsent = 0;
        while (!this->waiting.empty() && this->inWrite.size() < buffersPerWrite) {
            this->inWrite.push_back(std::move(this->waiting.front()));
            this->waiting.pop_front();
            unsent += this->inWrite.back().size();
        }
        buffers.reserve(this->inWrite.size());
        for (const std::string& part : this->inWrite)
            buffers.push_back(asio::buffer(part));
        // The socket nearly always takes the whole; an asynchronous write would cost another turn of the event loop.
        error_code error;
        std::size_t sent = this->socket.write_some(buffers, error);
        this->queuedBytes -= sent;
        if (sent < unsent) {
            for (asio::const_buffer& buffer : buffers) {
                const std::size_t done = std::min(sent, buffer.size());
                buffer += done;
                sent -= done;
            }
            // Reports an error from the event loop, not from inside `send`.
            return this->writeLater(buffers);
        }
        this->inWrite.clear();
    }
}

void SocketConnection::writeLater(const std::vector<asio::const_buffer>& buffers)
{
    asio::async_write(
        this->socket, buffers, [self = this->shared_from_this()](const error_code& error, std::size_t count) {
            self->inWrite.clear();
            self->queuedBytes -= std::min(count, self->queuedBytes);
            if (error)
                return self->fail(error.message());
            self->write();
            if (self->isClosed && self->inWrite.empty())
                self->finish();
        });
}

void SocketConnection::fail(const std::string& reason)
{
    error_code ignored;
    this->socket.close(ignored);
    this->lingerTimer.cancel();
    this->waiting.clear();
    if (this->isClosed)
        return;
    this->isClosed = true;
    this->onFrame = nullptr;
    if (CloseHandler handler = std::move(this->onClose))
        handler(reason);
}

void SocketConnection::close()
{
    if (this->isClosed)
        return;
    this->isClosed = true;
    this->onClose = nullptr;
    // The frame handler may be running: it is released from the event loop.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->onFrame = nullptr; });
    this->lingerTimer.expires_after(lingerLimit);
    this->lingerTimer.async_wait([self = this->shared_from_this()](const error_code& error) {
        error_code closeError;
        if (!error)
            self->socket.close(closeError);
    });
    // Frames that wait for the end of a delivery.
    if (this->inWrite.empty())
        this->write();
    if (this->inWrite.empty())
        this->finish();
}

void SocketConnection::finish()
{
    // Closing a socket with unread bytes would reset the connection and lose frames that the peer has not read yet.
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->readBuffer.resize(readBufferBytes);
    if (!this->isReading)
        this->read();
}

}
