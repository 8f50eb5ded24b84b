#pragma once

#include "celeryswitch/Experiment/LeasedWorkerModel.h"
#include "celeryswitch/Http/HttpConnection.h"
#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Scenario/TcpRelay.h"
#include <pcg_random.hpp>
#include <random>

namespace celeryswitch::Soak {

/// A worker behind HTTP, with leases, fences and room, and the faults that a worker can have.
class SoakWorker {
public:
    /// `control` is the address of the sidecar that the worker announces itself to. Runs do what `planner` says.
    SoakWorker(boost::asio::io_context& context, std::string name, std::string control,
        Experiment::LeasedWorkerModel::Planner planner, std::uint64_t seed);

    /// Listens, begins a life and announces it. `address` is what the sidecar reaches it by.
    Core::Result<void> start();
    /// Address by which the sidecar reaches the worker: a relay that can be cut.
    const std::string& address() const { return this->relay->address(); }
    /// Stops answering, and ends everything a moment later. A new life begins after `until`, every second one under the
    /// id of the life before.
    void crash(Core::Duration until);
    /// Cuts or heals the path of orders.
    void setCut(bool isCut) { this->relay->setCut(isCut); }
    /// Part of the orders that are not answered and are carried out some seconds later.
    void setLatePart(double value) { this->latePart = value; }
    /// Processor room, and the part of it that runs use now, in thousandths of a core.
    std::int64_t milliCores() const { return this->model->settings().capacity.milliCores; }
    std::int64_t usedMilliCores() const { return this->model->usedRoom().milliCores; }
    /// Label that only the worker of this name has.
    static std::string rackLabel(const std::string& name) { return "rack-" + name; }
    /// Every run of every life.
    std::vector<Experiment::RunRecord> history() const;

private:
    void live();
    void end(Core::Duration until);
    void announce();
    void received(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request);
    void carryOut(const Http::HttpSession::Pointer& session, std::uint64_t life, const Workers::WorkerCall& call,
        const std::string& expectedWorker);
    void turn();

    boost::asio::io_context& context;
    std::string name;
    Experiment::LeasedWorkerModel::Planner planner;
    pcg64 random;
    Http::HttpServer server;
    std::unique_ptr<Scenario::TcpRelay> relay;
    Http::HttpConnection heartbeats;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer heartbeatTimer;
    boost::asio::steady_timer lifeTimer;
    std::unique_ptr<Experiment::LeasedWorkerModel> model;
    std::uint64_t life = 0;
    std::vector<Experiment::RunRecord> past;
    /// Orders that wait for an end.
    std::map<std::uint64_t, Http::HttpSession::Pointer> waiting;
    std::uint64_t lastTicket = 0;
    double latePart = 0;
    /// Whether the worker is about to crash: it begins what it is told to, and its answers never leave.
    bool isFailing = false;
    bool isAnnouncing = false;
};

}
