#pragma once

#include "StandIns/HttpServer.h"
#include "celeryswitch/Core/Clock.h"
#include <boost/json/object.hpp>
#include <deque>

namespace celeryswitch::StandIns {

/// Settings of a fake platform; fixed for its life.
struct FakePlatformSettings {
    std::uint32_t workers = 11;
    std::uint32_t workersPerRack = 3;
    std::uint32_t processors = 64;
    std::uint64_t memoryBytes = 256ULL << 30;
    /// Data centres that the racks are spread over.
    std::vector<std::string> dataCentres { "recife", "fortaleza", "salvador" };
    /// Age of the usage that is reported.
    std::chrono::milliseconds usageLag { 5000 };
};

/// Stands in for the platform that owns the workers, over HTTP with JSON bodies:
/// - GET /workers: the workers with processors, memory, rack and data centre
/// - POST /leases {"worker","seconds"}, POST /leases/ID/renew {"seconds"}, DELETE /leases/ID
/// - POST /tasks {"leaseId","processors","memoryBytes"}, DELETE /tasks/ID
/// - POST /tasks/ID/checkpoint, POST /tasks/ID/throttle {"percent"}, POST /tasks/ID/stop
/// - GET /usage: use of each worker as it was `usageLag` ago
class FakePlatform {
public:
    /// `clock` outlives the platform.
    FakePlatform(boost::asio::io_context& context, const Core::Clock& clock, FakePlatformSettings settings);

    /// Listens on "address:port"; returns the bound "address:port".
    Core::Result<std::string> listen(const std::string& address) { return this->server.listen(address); }

private:
    struct Lease {
        std::uint32_t worker = 0;
        Core::SteadyTime expiresAt;
    };
    struct Task {
        std::uint64_t leaseId = 0;
        double processors = 0;
        double memoryBytes = 0;
        /// Part of its processors that the task gets, in percent.
        double percent = 100;
        std::uint32_t checkpoints = 0;
    };
    // Use of every worker from a time on.
    struct Usage {
        Core::SteadyTime since;
        std::vector<std::pair<double, double>> processorsAndMemory;
    };

    Answer handle(const Request& request);
    Answer listWorkers() const;
    Answer createLease(const boost::json::object& body);
    Answer changeLease(
        const std::string& method, const std::string& id, const std::string& verb, const boost::json::object& body);
    Answer createTask(const boost::json::object& body);
    Answer changeTask(
        const std::string& method, const std::string& id, const std::string& verb, const boost::json::object& body);
    Answer reportUsage();
    // Ends leases whose time is over, with their tasks.
    void expireLeases();
    // Notes the present use of every worker.
    void noteUsage();

    const Core::Clock& clock;
    FakePlatformSettings settings;
    std::map<std::uint64_t, Lease> leases;
    std::map<std::uint64_t, Task> tasks;
    std::uint64_t lastId = 0;
    std::deque<Usage> history;
    HttpServer server;
};

}
