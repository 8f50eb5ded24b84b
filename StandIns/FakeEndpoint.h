#pragma once

#include "StandIns/HttpServer.h"
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <random>
#include <utility>

namespace celeryswitch::StandIns {

/// Settings of a fake endpoint; fixed for its life.
struct FakeEndpointSettings {
    /// Time a task takes when its body does not say; between the two, equally likely on a logarithmic scale.
    std::chrono::milliseconds shortest { 0 };
    std::chrono::milliseconds longest { 0 };
    /// Part of the tasks, 0 to 1, that end with `failure` when their body does not say.
    double failureRate = 0;
    /// "error", "close", "stall" or "crash".
    std::string failure = "error";
    std::uint64_t seed = 1;
    /// File that each start is appended to and that is read at the start, so that counts outlive a crash; may be empty.
    std::string journal;
};

/// Stands in for an endpoint: answers each task after its service time, or fails as told, and counts how often each
/// task was started. POST / runs a task, GET /starts gives the counts as JSON.
class FakeEndpoint {
public:
    FakeEndpoint(boost::asio::io_context& context, FakeEndpointSettings settings);
    ~FakeEndpoint();
    FakeEndpoint(const FakeEndpoint&) = delete;
    FakeEndpoint& operator=(const FakeEndpoint&) = delete;

    /// Listens on "address:port"; returns the bound "address:port".
    Core::Result<std::string> listen(const std::string& address) { return this->server.listen(address); }

private:
    /// What a body asks for.
    struct Order {
        std::chrono::microseconds serviceTime {};
        std::string failure;
        std::string echo;
    };

    void handle(const Request& request, HttpServer::Respond respond);
    Order readOrder(const std::string& body);
    // Counts a start of a task.
    void countStart(const std::string& job, const std::string& task);
    // Ends a task as ordered.
    void end(const Order& order, const HttpServer::Respond& respond);
    void readJournal();
    std::string startsAsJson() const;
    std::string allStartsAsJson() const;

    boost::asio::io_context& context;
    FakeEndpointSettings settings;
    std::mt19937_64 random;
    // Starts by job and task.
    std::map<std::pair<std::string, std::string>, std::uint64_t> starts;
    std::uint64_t startCount = 0;
    std::uint32_t running = 0;
    std::uint32_t mostRunning = 0;
    // Requests that are never answered; kept so that their connections stay open.
    std::vector<HttpServer::Respond> stalled;
    std::FILE* journalFile = nullptr;
    HttpServer server;
};

}
