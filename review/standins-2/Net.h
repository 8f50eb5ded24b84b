// Small blocking HTTP/1.1 client and server for the stand-ins of this review.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t steadyMilliseconds();
/// Milliseconds since 1970.
std::int64_t unixMilliseconds();
/// Lets this thread wait.
void waitMilliseconds(std::int64_t span);

/// A request or a response.
struct Message {
    std::string method;
    std::string path;
    /// 0 in a request, or when no response came.
    int status = 0;
    /// Headers by name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// A connection of a client, which is kept open between requests.
class Connection {
public:
    explicit Connection(std::string address);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Sends a request and waits for its response; status 0 when none comes.
    Message call(const std::string& method, const std::string& path, const std::map<std::string, std::string>& headers,
        const std::string& body, std::int64_t limit);
    /// Ends the connection.
    void close();
    bool isOpen() const { return this->descriptor >= 0; }

private:
    bool open(std::int64_t limit);

    std::string address;
    int descriptor = -1;
    std::string unread;
};

/// One call on a connection of its own.
Message callOnce(const std::string& address, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t limit);

/// A server with one thread a connection.
class Server {
public:
    /// Gives the response; nothing leaves the request without one.
    using Handler = std::function<std::optional<Message>(const Message&)>;

    Server(const std::string& address, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Resets all open connections, as when the process behind them has ended.
    void resetConnections();
    bool isListening() const { return this->listener >= 0; }

private:
    void accept();
    void serve(int descriptor);

    Handler handler;
    int listener = -1;
    std::atomic<bool> isStopping { false };
    std::thread acceptor;
    struct Shared;
    std::shared_ptr<Shared> shared;
};

/// Text of a string field of a flat JSON object; empty when there is none. Escapes are not resolved.
std::string jsonText(const std::string& json, const std::string& name);
/// Whole number of a field of a JSON object.
std::optional<std::int64_t> jsonNumber(const std::string& json, const std::string& name);

}
