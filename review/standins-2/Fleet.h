// The project's processes on loopback addresses, as the platform starts them, with the platform's settings files.
#pragma once

#include "Worker.h"
#include <fstream>
#include <sys/types.h>

namespace review {

/// How large a fleet is.
struct FleetSize {
    int states = 3;
    int entries = 2;
    int sidecars = 2;
    std::int64_t milliCores = 64000;
    /// Kinds of the workers by number.
    std::vector<std::string> kinds { "a", "a", "b" };
    /// Whether the workers refuse what does not fit.
    bool isGuarding = true;
};

/// A small deployment: state replicas, entries and sidecars with their workers, in one temporary folder.
class Fleet {
public:
    /// `program` is the built program.
    Fleet(std::string program, FleetSize size);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts everything; false when something can't start.
    bool start();
    /// Starts the workers alone.
    bool startWorkers();
    /// Starts one process.
    bool startProcess(const std::string& name);
    /// From now on settings files name the replicas with these numbers as seeds, and say that the whole system has been
    /// started before.
    void setLaterSeeds(std::vector<int> numbers)
    {
        this->seeds = std::move(numbers);
        this->isFirstStart = false;
    }
    /// Sends a signal to one process and waits for its end if it kills.
    void signal(const std::string& name, int number);
    /// Takes the data folder of a process that has ended away, as a machine that loses its disk.
    void loseDisk(const std::string& name);
    /// Whether a process runs.
    bool isRunning(const std::string& name);
    /// Waits until every entry answers that it is ready; false after 20 s.
    bool waitReady();
    /// Puts a desired state as an operator does: again, to the next replica, until it is acknowledged; false when it is
    /// refused, or after `limit` milliseconds.
    bool put(const std::string& document, std::int64_t limit = 20'000);
    /// Address of clients at an entry, by number from 1.
    std::string front(int number) const;
    std::string control(int number) const;
    Worker& worker(int number) { return *this->workers.at(static_cast<std::size_t>(number - 1)); }
    /// All runs of all workers.
    std::vector<RunRecord> history();
    const FleetSize& size() const { return this->fleetSize; }

private:
    std::string ipOf(const std::string& name) const;
    void writeSettings(const std::string& name);

    std::string program;
    FleetSize fleetSize;
    std::vector<int> seeds;
    bool isFirstStart = true;
    std::string folder;
    std::string network;
    std::map<std::string, std::string> addresses;
    std::map<std::string, pid_t> processes;
    std::map<std::string, bool> wasStarted;
    std::vector<std::unique_ptr<Worker>> workers;
};

/// Record of a case: each line with the milliseconds since its start.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream file;
    std::int64_t startedAt;
};

/// A route of a desired state.
struct RouteText {
    std::string name = "r-order";
    std::string host = "order.example";
    std::string prefix = "/order/";
    std::int64_t timeout = 1500;
    std::int64_t target = 60;
    std::int64_t attempts = 4;
};

/// A desired state with routes to the service "pedidos".
std::string desiredState(std::int64_t version, const std::vector<RouteText>& routes, std::int64_t bodyBytes = 262144,
    bool isGuarding = true);
/// A job of one step.
std::string jobText(
    const std::string& spec, int count, std::int64_t milliCores, std::int64_t estimated, const std::string& more = {});
/// Whether the disruption is to be left out.
bool isCalm();

}
