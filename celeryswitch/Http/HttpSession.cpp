#include "celeryswitch/Http/HttpSession.h"

#include "celeryswitch/Http/RequestReader.h"
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <exception>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace celeryswitch::Http {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Time for which the rest of a refused request is read, and the bytes that are read at once.
constexpr std::chrono::seconds drainTime { 2 };
constexpr std::size_t drainBytes = 64 * 1024;
// Status of a request whose handling failed unexpectedly.
constexpr std::uint16_t internalErrorStatus = 500;
// Unlike an attempt to read, this also finds the end of a connection behind bytes of a next request.
constexpr short callerEndEvents = POLLRDHUP;

/// Session over a Beast stream.
class StreamSession final : public HttpSession, public std::enable_shared_from_this<StreamSession> {
    using Timer = boost::asio::steady_timer;
    static constexpr Timer::time_point never = Timer::time_point::max();

public:
    StreamSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<const HttpLimits> currentLimits,
        std::shared_ptr<ReceiveBudget> budget, Handlers handlers)
        : socket(std::move(socket))
        , timer(this->socket.get_executor())
        , currentLimits(std::move(currentLimits))
        , limits(*this->currentLimits)
        , budget(std::move(budget))
        , budgetNumber(this->budget->add(*this))
        , handlers(std::move(handlers))
    {
    }
    ~StreamSession() override
    {
        this->hold(0);
        this->budget->remove(this->budgetNumber);
        this->handlers.onClose();
    }
    StreamSession(const StreamSession&) = delete;
    StreamSession& operator=(const StreamSession&) = delete;

    // Waits for the first bytes of the next request.
    void readNext()
    {
        this->isBusy = false;
        ++this->requestNumber;
        if (this->isFinishing) {
            this->shutDown();
            return;
        }
        this->progressAt = Timer::clock_type::now();
        this->expireAt(this->progressAt + this->currentLimits->idleTime);
        if (this->reader.hasBytes()) {
            boost::asio::post(
                this->socket.get_executor(), [self = this->shared_from_this()] { self->firstBytesRead({}); });
            return;
        }
        this->socket.async_read_some(
            this->reader.prepare(), [self = this->shared_from_this()](error_code error, std::size_t count) {
                self->reader.commit(count);
                self->firstBytesRead(error);
            });
    }

    void respond(HttpResponse answer) override
    {
        if (this->isAnswered)
            return;
        this->response = {};
        this->response.version(11);
        this->response.result(answer.statusCode);
        answer.headers.forEach(
            [this](std::string_view name, std::string_view value) { this->response.set(name, value); });
        this->response.keep_alive(this->isKeptAlive && !this->isFinishing && !this->isLeaving);
        this->answerBody = std::move(answer.body);
        this->sharedBody = std::move(answer.sharedBody);
        const std::string& body = this->sharedBody ? *this->sharedBody : this->answerBody;
        this->response.body() = { body.data(), body.size() };
        this->response.prepare_payload();
        this->isAnswered = true;
        // The socket nearly always takes the whole; an asynchronous write would cost another turn of the event loop.
        this->serializer.emplace(this->response);
        error_code error;
        while (!error && !this->serializer->is_done())
            http::write_some(this->socket, *this->serializer, error);
        if (error != boost::asio::error::would_block && error != boost::asio::error::try_again) {
            this->written(error);
            return;
        }
        this->enter(ConnectionPhase::Answering);
        this->progressAt = Timer::clock_type::now();
        this->expireAt(this->progressAt + this->limits.bodyTime);
        if (!this->hold(Core::blockBytes(this->answerBody.capacity())))
            return;
        http::async_write(this->socket, *this->serializer,
            [self = this->shared_from_this()](error_code failure, std::size_t) { self->written(failure); });
    }

    void requestDecoded() override { this->hold(0); }

    void finish() override
    {
        this->isFinishing = true;
        if (!this->isBusy) {
            error_code ignored;
            this->socket.cancel(ignored);
        }
    }

    bool isClosedByCaller() override
    {
        pollfd watched { this->descriptor(), callerEndEvents, 0 };
        return watched.fd < 0 || ::poll(&watched, 1, 0) > 0;
    }

    void closeAfterResponse() override { this->isKeptAlive = false; }

    void release() override { this->isLeaving = true; }

    void idleLimitChanged() override
    {
        if (this->phase == ConnectionPhase::Silent || this->phase == ConnectionPhase::Idle)
            this->expireAt(this->progressAt + this->currentLimits->idleTime);
    }

    ConnectionState state(Timer::time_point now) const override
    {
        return { 0, this->phase, this->heldBytes, now - this->progressAt, this->isLeaving };
    }

    void closeFor(CloseReason reason) override
    {
        this->budget->countClosed(reason);
        this->close();
    }

protected:
    int descriptor() override { return this->socket.native_handle(); }

private:
    // Closes the connection at a deadline unless it is moved. One wait serves the deadlines of many requests:
    // cancelling one for each would cost another turn of the event loop.
    void expireAfter(Core::Duration time) { this->expireAt(Timer::clock_type::now() + time); }

    void expireAt(Timer::time_point time)
    {
        this->deadline = time;
        if (this->deadline < this->waitEnd)
            this->awaitDeadline();
    }

    void awaitDeadline()
    {
        this->waitEnd = this->deadline;
        this->timer.expires_at(this->deadline);
        this->timer.async_wait([weak = this->weak_from_this()](error_code error) {
            const std::shared_ptr<StreamSession> self = weak.lock();
            if (error || !self)
                return;
            self->waitEnd = never;
            if (self->deadline > Timer::clock_type::now()) {
                if (self->deadline != never)
                    self->awaitDeadline();
                return;
            }
            self->timeOut();
        });
    }

    void timeOut()
    {
        if (this->phase == ConnectionPhase::Header)
            this->budget->countClosed(CloseReason::HeaderTime);
        else if (this->phase == ConnectionPhase::Body)
            this->budget->countClosed(CloseReason::BodyTime);
        else if (this->phase == ConnectionPhase::Answering)
            this->budget->countClosed(CloseReason::AnswerTime);
        this->close();
    }

    void close()
    {
        this->phase = ConnectionPhase::Closed;
        this->hold(0);
        this->deadline = never;
        error_code ignored;
        this->socket.close(ignored);
    }

    void enter(ConnectionPhase next)
    {
        this->phase = next;
        this->markedBytes = 0;
    }

    // Accounts for the bytes that this connection holds; false when that closed it.
    bool hold(std::size_t bytes)
    {
        this->budget->change(std::exchange(this->heldBytes, bytes), bytes);
        return this->phase != ConnectionPhase::Closed;
    }

    // Progress is a doubling of the bytes, so that single bytes at long intervals are none.
    void noteProgress(std::size_t bytes)
    {
        if (bytes < 2 * this->markedBytes)
            return;
        this->markedBytes = bytes;
        this->progressAt = Timer::clock_type::now();
    }

    void firstBytesRead(error_code error)
    {
        if (this->phase == ConnectionPhase::Closed)
            return;
        if (error) {
            this->refuseMalformed(error);
            return;
        }
        this->limits = *this->currentLimits;
        this->reader.begin(this->limits.headerBytes, this->limits.bodyBytes);
        this->isBusy = true;
        this->isHeaderTimed = false;
        this->enter(ConnectionPhase::Header);
        this->parse();
    }

    void parse()
    {
        error_code error;
        const RequestReader::Progress progress = this->reader.parse(error);
        if (progress == RequestReader::Progress::Failed) {
            this->refuseMalformed(error);
            return;
        }
        if (progress == RequestReader::Progress::Complete) {
            this->phase = ConnectionPhase::Waiting;
            this->hold(this->reader.heldBytes());
            this->requestRead();
            return;
        }
        const std::size_t bytes = this->reader.heldBytes();
        this->noteProgress(bytes);
        if (!this->hold(bytes))
            return;
        if (progress == RequestReader::Progress::HeaderMissing) {
            if (!std::exchange(this->isHeaderTimed, true))
                this->expireAfter(this->limits.headerTime);
            this->readMore();
        } else {
            this->readBody();
        }
    }

    void readMore()
    {
        this->socket.async_read_some(
            this->reader.prepare(), [self = this->shared_from_this()](error_code error, std::size_t count) {
                if (self->phase == ConnectionPhase::Closed)
                    return;
                if (error) {
                    self->refuseMalformed(error);
                    return;
                }
                self->reader.commit(count);
                self->parse();
            });
    }

    // Reads the body, at first after the interim response that the caller may wait for.
    void readBody()
    {
        const bool isFirst = this->phase == ConnectionPhase::Header;
        if (isFirst) {
            this->phase = ConnectionPhase::Body;
            this->bodyBeganAt = Timer::clock_type::now();
        }
        const std::chrono::duration<double> earned(static_cast<double>(this->reader.bodyBytes())
            / static_cast<double>(std::max<std::size_t>(1, this->limits.bodyBytesPerSecond)));
        this->expireAt(this->bodyBeganAt
            + std::min<Core::Duration>(
                this->limits.bodyTime, this->limits.idleTime + std::chrono::duration_cast<Core::Duration>(earned)));
        if (!isFirst || !this->reader.expectsContinue()) {
            this->readMore();
            return;
        }
        this->interim = {};
        this->interim.version(11);
        this->interim.result(http::status::continue_);
        http::async_write(
            this->socket, this->interim, [self = this->shared_from_this()](error_code error, std::size_t) {
                if (!error && self->phase != ConnectionPhase::Closed)
                    self->readMore();
            });
    }

    void requestRead()
    {
        // Bytes that were held up may arrive together with the end of the connection: nobody waits for the answer.
        if (this->handlers.onAbandoned && this->isClosedByCaller()) {
            this->shutDown();
            return;
        }
        HttpRequest request = this->reader.release(this->isKeptAlive);
        // No time limit while the request waits for its answer.
        this->deadline = never;
        this->isAnswered = false;
        // An unexpected error ends this connection, not the process.
        try {
            this->handlers.onRequest(this->shared_from_this(), std::move(request));
        } catch (const std::exception& failure) {
            this->isKeptAlive = false;
            if (!this->isAnswered)
                this->respond(this->handlers.onMalformed(internalErrorStatus, failure.what()));
        }
        if (this->handlers.onAbandoned && !this->isAnswered)
            this->watchCaller();
    }

    // Notices that the caller has gone while its request waits; bytes of a next request end the watch.
    void watchCaller()
    {
        this->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
            [self = this->shared_from_this(), request = this->requestNumber](error_code error) {
                if (self->isAnswered || request != self->requestNumber)
                    return;
                if (error || self->isClosedByCaller())
                    self->handlers.onAbandoned(self);
                else if (!self->hasMoreBytes())
                    self->watchCaller();
            });
    }

    bool hasMoreBytes()
    {
        char byte = 0;
        return ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    // Answers a request that can't be read, if the caller is still there, and ends the connection.
    void refuseMalformed(error_code error)
    {
        std::uint16_t status = 0;
        if (error == http::error::body_limit)
            status = contentTooLargeStatus;
        else if (error == http::error::header_limit || error == http::error::buffer_overflow)
            status = headerTooLargeStatus;
        else if (error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message)
            status = 400;
        if (status == 0) {
            this->shutDown();
            return;
        }
        this->isKeptAlive = false;
        this->isMalformed = true;
        this->isBusy = true;
        this->isAnswered = false;
        this->respond(this->handlers.onMalformed(status, error.message()));
    }

    void written(error_code error)
    {
        if (this->phase == ConnectionPhase::Closed)
            return;
        this->enter(ConnectionPhase::Idle);
        // An assignment would keep the memory.
        std::string().swap(this->answerBody);
        this->sharedBody.reset();
        this->hold(0);
        if (error || !this->response.keep_alive()) {
            this->shutDown();
            return;
        }
        this->readNext();
    }

    void shutDown()
    {
        error_code ignored;
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        if (!this->isMalformed || this->phase == ConnectionPhase::Closed)
            return;
        // Closing with unread bytes would reset the connection and could destroy the response on its way.
        this->enter(ConnectionPhase::Draining);
        this->progressAt = Timer::clock_type::now();
        this->expireAt(this->progressAt + drainTime);
        this->drain();
    }

    // Reads and discards what the caller still sends.
    void drain()
    {
        // Nobody looks at the bytes, so that all connections of the thread share one place for them.
        static thread_local std::array<char, drainBytes> discarded;
        this->reader.discard();
        this->socket.async_read_some(
            boost::asio::buffer(discarded), [self = this->shared_from_this()](error_code error, std::size_t) {
                if (!error)
                    self->drain();
            });
    }

    boost::asio::ip::tcp::socket socket;
    Timer timer;
    Timer::time_point deadline = never;
    // Moment at which the wait in progress ends.
    Timer::time_point waitEnd = never;
    // Limits in force, and those of the request in progress.
    std::shared_ptr<const HttpLimits> currentLimits;
    HttpLimits limits;
    std::shared_ptr<ReceiveBudget> budget;
    std::uint64_t budgetNumber;
    Handlers handlers;
    RequestReader reader;
    ConnectionPhase phase = ConnectionPhase::Silent;
    std::size_t heldBytes = 0;
    // Bytes at the latest progress and its time.
    std::size_t markedBytes = 0;
    Timer::time_point progressAt = Timer::clock_type::now();
    Timer::time_point bodyBeganAt {};
    using ResponseBody = http::span_body<const char>;
    // What `response` refers to.
    std::string answerBody;
    std::shared_ptr<const std::string> sharedBody;
    http::response<ResponseBody> response;
    std::optional<http::response_serializer<ResponseBody>> serializer;
    http::response<http::empty_body> interim;
    bool isBusy = false;
    bool isHeaderTimed = false;
    bool isMalformed = false;
    bool isKeptAlive = false;
    bool isFinishing = false;
    bool isLeaving = false;
    bool isAnswered = false;
    std::uint64_t requestNumber = 0;
};

}

HttpSession::Pointer HttpSession::start(boost::asio::ip::tcp::socket socket, std::shared_ptr<const HttpLimits> limits,
    std::shared_ptr<ReceiveBudget> budget, Handlers handlers)
{
    error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    // Lets `respond` send without waiting.
    socket.non_blocking(true, ignored);
    auto session
        = std::make_shared<StreamSession>(std::move(socket), std::move(limits), std::move(budget), std::move(handlers));
    session->readNext();
    return session;
}

std::vector<HttpSession*> HttpSession::closedByCallers(const std::vector<HttpSession*>& sessions)
{
    std::vector<pollfd> watched;
    watched.reserve(sessions.size());
    for (HttpSession* session : sessions)
        watched.push_back({ session->descriptor(), callerEndEvents, 0 });
    int count = 0;
    do {
        count = ::poll(watched.data(), watched.size(), 0);
    } while (count < 0 && errno == EINTR);
    std::vector<HttpSession*> closed;
    for (std::size_t index = 0; index < sessions.size(); ++index) {
        // A failed call has looked at no descriptor.
        const bool isClosed
            = count < 0 ? sessions[index]->isClosedByCaller() : watched[index].fd < 0 || watched[index].revents != 0;
        if (isClosed)
            closed.push_back(sessions[index]);
    }
    return closed;
}

}
