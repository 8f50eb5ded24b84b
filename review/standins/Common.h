// Small tools shared by the stand-ins of the review: time, the record, HTTP/1.1 over loopback, child processes.
#pragma once

#include <atomic>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

namespace json = boost::json;

/// Milliseconds since 1970.
std::int64_t wallMilliseconds();
/// Milliseconds of the steady clock.
std::int64_t steadyMilliseconds();
/// Waits.
void sleepMilliseconds(std::int64_t span);

/// Appends lines with their time to a file that several processes share.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    /// Writes one line.
    void write(const std::string& line) const;

private:
    int descriptor;
};

/// A request or a response; `status` is that of a response.
struct Message {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    int status = 0;
};

/// One connection of a client.
class Connection {
public:
    /// Connects to "address:port"; `isOpen` tells whether that worked.
    Connection(const std::string& address, std::int64_t timeoutMilliseconds);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    bool isOpen() const { return this->descriptor >= 0; }
    /// Ends it with a reset.
    void reset();
    /// Sends a request and waits for its response; nothing when none came in time.
    std::optional<Message> exchange(const Message& request);

private:
    int descriptor = -1;
};

/// Sends one request on a connection of its own.
std::optional<Message> call(const std::string& address, const Message& request, std::int64_t timeoutMilliseconds);

/// Serves HTTP/1.1 with a thread for each connection.
class Server {
public:
    using Handler = std::function<Message(const Message&)>;
    /// Listens at "address:port" and serves until the process ends. False when the address is in use.
    bool start(const std::string& address, Handler handler);

private:
    Handler handler;
};

/// A process that this one started; killed at the end.
class Child {
public:
    Child() = default;
    ~Child() { this->kill(); }
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    /// Starts a program in a folder, with its output appended to a file.
    void start(const std::vector<std::string>& command, const std::map<std::string, std::string>& environment,
        const std::string& folder, const std::string& outputFile);
    void signal(int number) const;
    /// Ends it with SIGKILL and waits for the end.
    void kill();
    /// Waits until it has ended by itself.
    bool waitEnd(std::int64_t spanMilliseconds);
    bool isRunning();

private:
    pid_t id = -1;
};

/// Whether a port can be bound at an address.
bool isPortFree(const std::string& ip, int port);

}
