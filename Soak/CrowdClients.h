#pragma once

#include "celeryswitch/Core/Clock.h"
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace celeryswitch::Soak {

/// Connections of a crowd that send what they were told and read nothing.
class CrowdClients {
public:
    /// Bytes that a client sends, in order: `head` once, `filler` again and again until `fillerBytes` are sent.
    struct Kind {
        std::string head;
        std::string filler;
        std::size_t fillerBytes = 0;
    };

    ~CrowdClients();

    /// Adds `count` clients of a kind; they connect while others send.
    void add(const std::string& address, std::size_t count, const Kind& kind);
    /// Sends until every client has sent all, or nothing more is taken.
    void sendAll();
    /// Sends a request whose last bytes, `tail`, arrive one by one.
    void sendByteByByte(const std::string& address, const std::string& head, const std::string& tail);
    /// Closes all connections.
    void close();

private:
    struct Client {
        int descriptor = -1;
        Kind kind;
        std::size_t sent = 0;
    };

    // Sends what the socket takes now; returns the count.
    static std::size_t sendSome(Client& client);

    std::vector<Client> clients;
};

/// Connections that each send one request at an interval, read its answer, and connect again when they are closed. With
/// an empty request they are silent.
class ServedCrowd {
public:
    ServedCrowd(std::string address, std::string request, std::size_t count);
    ~ServedCrowd();
    ServedCrowd(const ServedCrowd&) = delete;
    ServedCrowd& operator=(const ServedCrowd&) = delete;

private:
    struct Client {
        int descriptor = -1;
        bool isWaiting = false;
        Core::SteadyTime sendAt;
    };

    void run();
    void turn(Client& client, Core::SteadyTime now) const;
    static void close(Client& client);

    std::string address;
    std::string request;
    std::vector<Client> clients;
    std::atomic<bool> isStopping { false };
    std::thread thread;
};

}
