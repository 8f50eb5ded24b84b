// Stand-in of a worker, which starts, stops and ends runs under leases as the users' pages say.
#pragma once

#include "Net.h"
#include <mutex>

namespace review {

/// A run as the worker saw it.
struct RunRecord {
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::int64_t startedAt = 0;
    /// 0 while it runs.
    std::int64_t endedAt = 0;
    std::string how;
    /// Life of the worker that ran it, and its kind.
    std::string life;
    std::string kind;
    /// Room used on the worker with this run, and its capacity, in thousandths of a core.
    std::int64_t used = 0;
    std::int64_t capacity = 0;
};

/// What a worker is.
struct WorkerSettings {
    std::string id;
    /// Where it listens for its sidecar.
    std::string address;
    /// Where its sidecar takes its pings.
    std::string control;
    std::string service = "pedidos";
    std::string zone;
    std::string kind = "a";
    std::string rack = "r1-1";
    std::int64_t milliCores = 64000;
    std::int64_t heartbeatInterval = 1500;
    /// Whether it refuses what does not fit; otherwise it starts whatever it is told to start.
    bool isGuarding = true;
};

/// A worker. Its tasks last as long as their spec says: "ms=N".
class Worker {
public:
    explicit Worker(WorkerSettings settings);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Crashes, and starts again after a while under the same id, as a machine of the given kind and size. Its first
    /// ping follows `firstPing` milliseconds later.
    void reboot(std::int64_t downTime, const std::string& kind, std::int64_t milliCores, std::int64_t firstPing);
    /// From now on a share of the orders, in percent, gets no answer and is carried out 2 to 5 s later.
    void leaveUnanswered(int percent) { this->latePercent = percent; }
    /// All runs of all lives so far.
    std::vector<RunRecord> history();
    /// Runs at work now.
    std::size_t runningCount();
    bool isListening() const { return this->server->isListening(); }

private:
    struct Running {
        std::size_t record = 0;
        std::int64_t run = 0;
        std::int64_t endsAt = 0;
        std::int64_t milliCores = 0;
    };
    struct Ended {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    std::optional<Message> received(const Message& request);
    std::optional<Message> carryOut(const Message& request);
    std::optional<Message> start(const Message& request);
    std::optional<Message> stop(const Message& request);
    std::optional<Message> hold(const Message& request);
    Message answer(int status, const std::string& fields = {}) const;
    void listen();
    bool isFenced(const Message& request);
    void extendLease(const Message& request);
    std::int64_t clock() const { return steadyMilliseconds() - this->bootedAt; }
    void end(const std::string& task, const std::string& how);
    void turn();
    void keepTime();
    void announce();

    WorkerSettings settings;
    std::mutex mutex;
    bool isDown = false;
    std::int64_t life = 1;
    std::int64_t born = 0;
    std::int64_t bootedAt = 0;
    std::int64_t leaseEnd = 0;
    std::int64_t fence = 0;
    std::int64_t lastEnd = 0;
    std::int64_t sequence = 0;
    std::map<std::string, Running> running;
    std::map<std::string, std::int64_t> lastRuns;
    std::vector<Ended> ended;
    std::vector<RunRecord> records;
    std::atomic<bool> isStopping { false };
    std::atomic<int> latePercent { 0 };
    std::atomic<int> waitingOrders { 0 };
    /// Time of the next ping.
    std::atomic<std::int64_t> nextPing { 0 };
    std::unique_ptr<Server> server;
    std::thread clockThread;
    std::thread heartbeatThread;
};

}
