#pragma once

#include "celeryswitch/Experiment/EventQueue.h"
#include "celeryswitch/Experiment/LeasedWorkerModel.h"
#include "celeryswitch/Scheduling/JobScheduler.h"
#include "celeryswitch/Scheduling/LinkSubset.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// A kind of jobs for leased workers: lognormal times and widths, declared times that are off.
struct LeasedKind {
    std::string name;
    double jobsPerSecond = 10;
    /// Mean time of a job's longest task, in seconds, and the spread of its logarithm.
    double meanSeconds = 0.2;
    double spread = 0.4;
    double meanTasks = 2;
    double milliCores = 3000;
    std::uint32_t attempts = 3;
    /// Part of the jobs whose tasks fail on every worker.
    double failingShare = 0;
};

/// What goes wrong during a run of the fleet, at random times; each is how often a minute.
struct LeasedFaults {
    double entryKills = 0;
    double sidecarKills = 0;
    double workerCrashes = 0;
    double linkCuts = 0;
    double sidecarFreezes = 0;
    double entryFreezes = 0;
    /// Workers that fail what they run, stand still, or are slow, for some seconds.
    double greyWorkers = 0;
    /// Part of the orders that are not answered and carried out 2 to 12 s later.
    double lateOrders = 0;
    /// Changes of the sidecars that the entries link to, as when entries come and go.
    double linkChanges = 0;
};

/// Mechanisms that a test switches off, to show that the checks notice; all are on in every real process.
struct LeasedMechanisms {
    /// Runs end with the entry that ordered them.
    bool isEntryWatched = true;
    /// An unanswered start is made void before its task may run elsewhere.
    bool isUnansweredResolved = true;
    /// An entry waits until nothing can run on an unreachable worker.
    bool isUnreachableWaitedFor = true;
};

/// One run of the fleet on the virtual clock.
struct LeasedOptions {
    std::vector<LeasedKind> kinds;
    std::size_t entries = 3;
    std::size_t workers = 11;
    Scheduling::LinkSubsetSettings links;
    std::int64_t workerMilliCores = 32'000;
    Core::Duration duration = std::chrono::seconds(30);
    LeasedFaults faults;
    LeasedMechanisms mechanisms;
    std::uint64_t seed = 1;
    /// Receives the processes' log records, with the virtual time; may be empty.
    std::function<void(Core::SteadyTime, const std::string&)> log;
};

/// What became of the jobs of one kind.
struct LeasedFigures {
    std::uint64_t asked = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Outcome of a run.
struct LeasedResult {
    std::vector<LeasedFigures> kinds;
    std::uint64_t runs = 0;
    /// Orders to start a run, and those of them that came back without a start.
    std::uint64_t orders = 0;
    std::uint64_t ordersReturned = 0;
    std::uint64_t messages = 0;
    /// Broken promises, each with the task or job and what was seen.
    std::vector<std::string> violations;
};

/// Entries, sidecars and leased workers on the virtual clock, joined by links with delays, under faults: the real
/// schedulers and supervisors with models of everything around them.
class LeasedFleet {
public:
    explicit LeasedFleet(LeasedOptions options);
    ~LeasedFleet();
    LeasedFleet(const LeasedFleet&) = delete;
    LeasedFleet& operator=(const LeasedFleet&) = delete;

    /// Runs everything and checks the promises.
    LeasedResult run();

private:
    struct Entry;
    struct Sidecar;
    struct Job;
    struct Link;

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    double lognormal(double mean, double spread);
    Core::Duration delay(std::size_t entry, std::size_t worker) const;
    template <typename Process, typename Action> void whenAwake(Process& process, Action action);

    void chooseLinks(const std::string& names);
    void linksChosen(std::size_t entry);
    void arrive(std::size_t kind);
    void submit(std::uint64_t job);
    void startEntry(std::size_t index);
    void killEntry(std::size_t index);
    void stepEntry(std::size_t index);
    void startSidecar(std::size_t index);
    void killSidecar(std::size_t index);
    void stepSidecar(std::size_t index);
    void startWorker(std::size_t index);
    void crashWorker(std::size_t index);
    void announce(std::size_t index);
    void wakeWorker(std::size_t index);
    void call(std::size_t index, Workers::CallWorker order);
    void carryOut(std::size_t index, std::uint64_t life, std::uint64_t sidecarLife, const Workers::CallWorker& order);
    void connect(std::size_t entry, std::size_t worker);
    void disconnect(std::size_t entry, std::size_t worker);
    void watchLinks();
    void leaveSidecar(std::size_t entry, std::size_t worker);
    void answered(std::uint64_t job, const Scheduling::CallerAnswer& answer);
    void planFaults();
    RunPlan planRun(std::size_t worker, const Messages::TaskId& task, std::uint32_t run);
    void check(LeasedResult& result) const;

    LeasedOptions options;
    pcg64 random;
    EventQueue events;
    Core::ManualClock logClock;
    std::unique_ptr<Logging::StructuredLog> log;
    Metrics::MetricRegistry registry;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Sidecar>> sidecars;
    std::map<std::pair<std::size_t, std::size_t>, Link> links;
    /// Workers that each entry links to.
    std::vector<std::set<std::size_t>> linked;
    std::map<std::uint64_t, Job> jobs;
    std::vector<LeasedFigures> figures;
    std::vector<RunHistory> pastRuns;
    std::uint64_t lastNumber = 0;
    std::uint64_t messages = 0;
};

}
