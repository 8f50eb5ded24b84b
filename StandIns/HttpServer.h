#pragma once

#include "celeryswitch/Core/Result.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace celeryswitch::StandIns {

/// Why a stand-in could not start.
enum class ServerError : std::uint8_t {
    BadAddress,
    ListenFailed,
};

/// A request as a stand-in sees it.
struct Request {
    std::string method;
    /// Path without query.
    std::string path;
    /// Headers by name, in the case they were sent.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An answer; `closes` ends the connection without an answer.
struct Answer {
    unsigned statusCode = 200;
    std::string body;
    bool closes = false;
};

/// A small HTTP/1.1 server with keep-alive. Every function and handler runs on the io_context's thread.
class HttpServer {
public:
    /// Gives the answer to a request, now or later; never when it is dropped.
    using Respond = std::function<void(Answer)>;
    using Handler = std::function<void(const Request&, Respond)>;

    HttpServer(boost::asio::io_context& context, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on "address:port" (port 0: chosen by the system); returns the bound "address:port".
    Core::Result<std::string> listen(const std::string& address);

private:
    class Implementation;
    class Session;
    std::shared_ptr<Implementation> implementation;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<StandIns::ServerError> {
    static constexpr std::string_view type = "ServerError";
    static constexpr std::array<std::pair<StandIns::ServerError, std::string_view>, 2> names { {
        { StandIns::ServerError::BadAddress, "BadAddress" },
        { StandIns::ServerError::ListenFailed, "ListenFailed" },
    } };
};

}
