#pragma once

#include "Soak/SoakFleet.h"
#include "Soak/SoakWorker.h"
#include <thread>

namespace celeryswitch::Soak {

/// One run of a crowd of clients outside the limits against one process.
struct CrowdSettings {
    std::string program;
    std::string folder;
    std::string network;
    /// "entry", "sidecar" or "state".
    std::string role;
};

/// A fleet of real processes with low limits, one of which meets a crowd: trailers without end, large bodies that stop
/// short of their end, silent connections. Checks that the process lives, stays within its memory and descriptors and
/// then answers an ordinary request. Checks no times and no share of served requests.
class CrowdRun {
public:
    explicit CrowdRun(CrowdSettings settings);
    ~CrowdRun();
    CrowdRun(const CrowdRun&) = delete;
    CrowdRun& operator=(const CrowdRun&) = delete;

    /// Plays the run; returns what did not hold.
    std::vector<std::string> play();

private:
    /// A client of the crowd.
    struct Client {
        int descriptor = -1;
        /// Bytes to send, in order: `head` once, `filler` again and again until `fillerBytes` are sent.
        std::string head;
        std::string filler;
        std::size_t fillerBytes = 0;
        std::size_t sent = 0;
    };

    bool startFleet();
    void add(const std::string& address, std::size_t count, const Client& kind);
    void sendAll();
    // Sends a request whose last bytes arrive one by one.
    void sendByteByByte(const std::string& address, const std::string& head, const std::string& tail);
    // Sends what the socket takes now; returns the count.
    static std::size_t sendSome(Client& client);
    void measure();
    bool isAnswered();
    Http::HttpRequest ordinaryRequest() const;
    std::string requestLine() const;

    CrowdSettings settings;
    std::string process;
    SoakFleet fleet;
    boost::asio::io_context context;
    std::unique_ptr<SoakWorker> worker;
    std::thread workerThread;
    std::vector<Client> clients;
    std::vector<std::string> violations;
};

}
