#pragma once

#include "Soak/CrowdClients.h"
#include "Soak/CrowdPlay.h"
#include "Soak/SoakFleet.h"
#include "Soak/SoakWorker.h"
#include <thread>

namespace celeryswitch::Soak {

/// One run of a crowd of clients outside the limits against one process.
struct CrowdSettings {
    std::string program;
    std::string folder;
    std::string network;
    /// Listener that the crowd connects to: that of an "entry", a "sidecar" or a "state" replica, or the "readiness"
    /// check of an entry.
    std::string listener;
    CrowdPlay play = CrowdPlay::Stalled;
};

/// A fleet of real processes with low limits, one of which meets a crowd. Checks that every process lives and stays
/// within its memory and descriptors, and that the listener answers an ordinary request. Checks no times and no share
/// of served requests.
class CrowdRun {
public:
    explicit CrowdRun(CrowdSettings settings);
    ~CrowdRun();
    CrowdRun(const CrowdRun&) = delete;
    CrowdRun& operator=(const CrowdRun&) = delete;

    /// Plays the run; returns what did not hold.
    std::vector<std::string> play();

private:
    bool startProcesses(const std::vector<std::string>& processes);
    // Starts the fleet and hands in its routing document, until an ordinary request is answered.
    bool startService();
    void playCrowd();
    void playStalled();
    void playFields();
    void playJobs(const std::string& body, std::size_t count);
    void playNested();
    void playReads();
    void playUnrouted();
    void playFrozen();
    void playHandshakes();
    void playDocuments();
    void playLargest();
    void playRepeated();
    void measure();
    void measure(const std::string& process);
    void checkAnswered(const std::string& listener);
    // Whether an ordinary request to a listener is answered.
    bool isAnswered(const std::string& listener);
    // Address of a listener.
    std::string address(const std::string& listener) const;
    // Address and process of the listener under test.
    std::string address() const { return this->address(this->settings.listener); }
    std::string process() const;
    // Address of the listener for other processes of the system, beside the listener under test.
    std::string peerAddress() const;
    Http::HttpRequest ordinaryRequest(const std::string& listener) const;
    // Request line and fields of a request with a body, up to the fields that frame the body.
    std::string requestHead() const;
    std::string jobHead() const;

    CrowdSettings settings;
    CrowdLimits limits;
    SoakFleet fleet;
    boost::asio::io_context context;
    std::unique_ptr<SoakWorker> worker;
    std::thread workerThread;
    CrowdClients clients;
    std::vector<std::string> violations;
};

}
