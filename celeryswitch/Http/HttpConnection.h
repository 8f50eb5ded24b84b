#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Http/HttpMessage.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Http {

/// Why a request has no answer.
enum class HttpError : std::uint8_t {
    /// The address is no "address:port" with an IP number.
    BadAddress,
    /// No connection was established; the request was not sent.
    ConnectFailed,
    /// The connection ended after the request may have been sent.
    ConnectionLost,
    /// No answer within the timeout; the request may have been sent.
    TimedOut,
    /// The body of the answer is longer than allowed; the request was handled.
    TooLarge,
};

/// Longest body of an answer that the protocols of workers and of the platform allow.
inline constexpr std::size_t longestAnswerBytes = 4 * 1024 * 1024;

/// A keep-alive HTTP/1.1 connection with one request at a time. It connects when it is first used and again after a
/// loss. Every function runs on the io_context's thread.
class HttpConnection {
public:
    /// Called once with the answer or the reason that there is none, never from inside `request`.
    using Handler = std::function<void(Core::Result<HttpResponse>)>;

    /// `address` is "address:port" with an IP number; `context` outlives the connection. An answer whose body is longer
    /// than `bodyBytesLimit` is not read and ends the connection.
    HttpConnection(
        boost::asio::io_context& context, std::string address, std::size_t bodyBytesLimit = longestAnswerBytes);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Sends a request; none may be waiting.
    void request(HttpRequest request, Core::Duration timeout, Handler handler);
    /// Whether the connection is established and the other side has not closed it. To be called between requests.
    bool isOpen() const;
    /// Address that the connection leads to.
    const std::string& address() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

/// Sends one request on a connection of its own and waits for the answer.
Core::Result<HttpResponse> httpCall(const std::string& address, HttpRequest request, Core::Duration timeout,
    std::size_t bodyBytesLimit = longestAnswerBytes);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Http::HttpError> {
    static constexpr std::string_view type = "HttpError";
    static constexpr std::array<std::pair<Http::HttpError, std::string_view>, 5> names { {
        { Http::HttpError::BadAddress, "BadAddress" },
        { Http::HttpError::ConnectFailed, "ConnectFailed" },
        { Http::HttpError::ConnectionLost, "ConnectionLost" },
        { Http::HttpError::TimedOut, "TimedOut" },
        { Http::HttpError::TooLarge, "TooLarge" },
    } };
};

}
