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
    /// Lets each later life be a large or a small worker, with the label of its kind, that does not guard its capacity
    /// and announces itself some time after it began.
    void setKindsDrawn(bool value) { this->areKindsDrawn = value; }
    /// Crashes the worker if it is a small one, and lets it return as a large one.
    void restoreKind();
    /// Cuts or heals the path of orders.
    void setCut(bool isCut) { this->relay->setCut(isCut); }
    /// Part of the orders that are not answered and are carried out some seconds later.
    void setLatePart(double value) { this->latePart = value; }
    /// Processor room, and the part of it that runs use now, in thousandths of a core.
    std::int64_t milliCores() const { return this->model->settings().capacity.milliCores; }
    std::int64_t usedMilliCores() const { return this->model->usedRoom().milliCores; }
    /// Labels of the kinds of workers; without drawn kinds all are large.
    static constexpr const char* largeLabel = "large";
    static constexpr const char* smallLabel = "small";
    /// Label that only the worker of this name has.
    static std::string rackLabel(const std::string& name) { return "rack-" + name; }
    /// Every run of every life.
    std::vector<Experiment::RunRecord> history() const;

private:
    Core::Result<void> listen();
    void live();
    void end(Core::Duration until);
    void beginAgain(Core::Duration until);
    void announce();
    void received(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request);
    void carryOut(const Http::HttpSession::Pointer& session, std::uint64_t life, const Workers::WorkerCall& call,
        const std::string& expectedWorker);
    void turn();

    boost::asio::io_context& context;
    std::string name;
    Experiment::LeasedWorkerModel::Planner planner;
    pcg64 random;
    /// Its connections end with the life of the worker.
    std::optional<Http::HttpServer> server;
    std::string serverAddress = "127.0.0.1:0";
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
    bool areKindsDrawn = false;
    /// When the present life announces itself at the earliest.
    Core::SteadyTime announcedFrom;
};

}
