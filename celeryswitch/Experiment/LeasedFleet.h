#pragma once

#include "celeryswitch/Experiment/EventQueue.h"
#include "celeryswitch/Experiment/LeasedFaults.h"
#include "celeryswitch/Experiment/LeasedProcessor.h"
#include "celeryswitch/Experiment/LeasedWorkerModel.h"
#include "celeryswitch/Scheduling/DecisionPacer.h"
#include "celeryswitch/Scheduling/JobScheduler.h"
#include "celeryswitch/Scheduling/LinkSubset.h"
#include "celeryswitch/Scheduling/OverloadGuard.h"
#include "celeryswitch/Scheduling/StallGuard.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// A part of a run, counted from the first arrival of a job.
struct LeasedPeriod {
    Core::Duration from {};
    Core::Duration length {};
};

/// A kind of jobs for leased workers, with log-normally distributed run times, numbers of tasks and declared times.
struct LeasedJobKind {
    std::string name;
    double jobsPerSecond = 10;
    /// Mean run time of a job's longest task, in seconds, and the standard deviation of its logarithm.
    double meanSeconds = 0.2;
    double logDeviation = 0.4;
    double meanTasks = 2;
    double milliCores = 3000;
    std::uint32_t attempts = 3;
    /// Share of the jobs whose tasks fail on every worker.
    double failingJobShare = 0;
    /// Priority of the queue; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Value of a job of mean work that is answered in time.
    double value = 1;
    /// Factor of the arrival rate during a flood.
    double floodFactor = 1;
    LeasedPeriod flood;
    /// Rack that holds the data of the jobs; empty when they prefer none.
    std::string dataRack;
    /// Label that the workers of the jobs have to carry; empty for any worker.
    std::string requiredLabel;
};

/// Size and speed of a worker.
struct LeasedWorkerClass {
    std::int64_t milliCores = 0;
    /// Speed relative to the workers that the kinds' run times refer to.
    double speed = 1;
};

/// Labels of the kinds of workers that LeasedFaults::areKindsDrawn draws: a large one and a small one.
constexpr std::string_view largeKindLabel = "large";
constexpr std::string_view smallKindLabel = "small";

/// Options of one simulation run.
struct LeasedOptions {
    std::vector<LeasedJobKind> kinds;
    std::size_t entries = 3;
    /// Shares of the jobs that go to each entry, relative to each other; if there are none, all get the same.
    std::vector<double> entryWeights;
    LeasedProcessor processor;
    std::size_t workers = 11;
    Scheduling::LinkSubsetSettings links;
    std::int64_t workerMilliCores = 32'000;
    /// Classes that the workers take in turn; if there are none, all have `workerMilliCores`.
    std::vector<LeasedWorkerClass> workerClasses;
    /// Share of the workers' sidecars that are cut off from all entries during a period.
    double cutOffShare = 0;
    LeasedPeriod cutOff;
    /// Rack whose sidecars are cut off instead, if it is not empty.
    std::string cutOffRack;
    /// Number of racks, "rack-0" and so on, which the workers take in turn; 0 when workers carry no labels.
    std::size_t racks = 0;
    /// Run time of tasks outside of the rack that they prefer / run time in it.
    double farFactor = 1;
    /// As in SchedulerSettings: what the entries know of `farFactor`, and their decision to wait.
    double knownFarFactor = 1;
    Scheduling::PlacementWaitPolicy placementWait = Scheduling::decidePlacementWait;
    /// Receives each action of an entry; may be empty.
    std::function<void(Core::SteadyTime, std::size_t entry, const Scheduling::SchedulerAction&)> actionObserver;
    /// As in SchedulerSettings.
    std::uint32_t reservationsPerTask = Scheduling::SchedulerSettings {}.reservationsPerTask;
    Core::Duration duration = std::chrono::seconds(30);
    LeasedFaults faults;
    LeasedMechanisms mechanisms;
    std::uint64_t seed = 1;
    /// Receives the processes' log records with their virtual time; may be empty.
    std::function<void(Core::SteadyTime, const std::string&)> log;
};

/// Value of jobs: of all that were submitted, and what was earned with them. A late answer earns a fifth, and nothing
/// beyond three times the response goal.
struct LeasedValue {
    double owed = 0;
    double earned = 0;

    double share() const { return this->owed > 0 ? this->earned / this->owed : 1; }
};

/// Numbers of one kind's jobs by outcome.
struct LeasedKindResult {
    std::uint64_t submitted = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Response times of the jobs that were completed, in seconds.
    std::vector<double> responses;
    /// Value of the jobs by the second in which they were submitted.
    std::vector<LeasedValue> seconds;

    /// Value of the jobs submitted in a range of seconds.
    LeasedValue valueOf(std::size_t firstSecond, std::size_t endSecond) const;
};

/// Result of the jobs whose first request went to an entry.
struct LeasedEntryResult {
    std::uint64_t submitted = 0;
    std::uint64_t inTime = 0;
    LeasedValue value;
    /// Time of a whole core that the entry used while jobs arrived.
    double processorSeconds = 0;
};

/// Result of a simulation run.
struct LeasedResult {
    std::vector<LeasedKindResult> kinds;
    std::vector<LeasedEntryResult> entries;
    std::uint64_t runs = 0;
    /// Start orders, and those that were returned without a start.
    std::uint64_t orders = 0;
    std::uint64_t ordersReturned = 0;
    /// Tasks with a rack preference by place, and steps that waited for their rack and that gave it up.
    std::uint64_t tasksNear = 0;
    std::uint64_t tasksFar = 0;
    std::uint64_t rackWaits = 0;
    std::uint64_t rackWaitFallbacks = 0;
    std::uint64_t messages = 0;
    /// Invariant violations, each with the task or job and what was observed.
    std::vector<std::string> violations;
};

/// Simulates entries, sidecars and leased workers on a virtual clock, with network delays and faults: real
/// JobSchedulers and RunSupervisors, and models of everything else.
class LeasedFleet {
public:
    explicit LeasedFleet(LeasedOptions options);
    ~LeasedFleet();
    LeasedFleet(const LeasedFleet&) = delete;
    LeasedFleet& operator=(const LeasedFleet&) = delete;

    /// Runs the simulation and checks its invariants.
    LeasedResult run();

private:
    struct Entry;
    struct Sidecar;
    struct Job;
    struct Link;
    /// What an entry reads, by what it costs.
    enum class EntryInputKind : std::uint8_t {
        Request,
        CallerClosed,
        SidecarMessage,
        Local,
    };
    struct EntryInput {
        EntryInputKind kind = EntryInputKind::Local;
        /// Handles the input.
        std::function<void()> action;
        /// Number of a request.
        Scheduling::RequestNumber request = 0;
        Core::SteadyTime arrivedAt;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    double lognormal(double mean, double logDeviation);
    Core::Duration delay(std::size_t entry, std::size_t worker) const;
    // Rack of a worker; empty when workers carry no labels.
    std::string rackOf(std::size_t worker) const
    {
        return this->options.racks > 0 ? "rack-" + std::to_string(worker % this->options.racks) : std::string();
    }
    // Time at which a message that is sent now arrives.
    Core::SteadyTime arrivalTime(
        const Link& link, std::size_t entry, std::size_t worker, Core::SteadyTime& lastArrivalAt) const;
    template <typename Process, typename Action> void runWhenAwake(Process& process, Action action);
    template <typename Process> void handleInOrder(Process& process, std::function<void()> action);
    template <typename Process> void scheduleBacklog(Process& process);
    void stallEntry(std::size_t index);
    void slowDown(std::size_t index);
    void slowLinks(std::size_t worker);
    void slowCallerLinks(std::size_t entry);
    // Time at which what a caller sends now arrives at an entry's machine, and not before `earliest`.
    Core::SteadyTime callerArrivalTime(const Entry& entry, Core::SteadyTime earliest) const;
    // Lets an entry handle an input at that time; returns it.
    Core::SteadyTime receiveFromCaller(std::size_t entry, Core::SteadyTime earliest, EntryInput input);
    std::unique_ptr<Logging::StructuredLog> createLog(const std::string& instance);
    // Log of a process; its records carry the name.
    Logging::StructuredLog& logOf(const std::string& instance);
    // Writes a record of the model itself.
    void note(const std::string& instance, std::string_view message, std::initializer_list<Logging::LogField> fields);
    void suspendEntry(std::size_t index);
    void breakCallerConnection();
    void deliverStrayAnnouncement(std::size_t index);

    void selectLinks(const std::string& entryPrefix);
    void applyLinks(std::size_t entry);
    void createJob(std::size_t kind);
    void submit(std::uint64_t job);
    std::size_t selectEntry(const Job& job);
    void planEarlyLeave(std::uint64_t job);
    void resubmit(std::uint64_t job);
    // The caller ends its open request and retries later. Its entry need not notice: it ends the job by the caller's
    // deadline, unless the request was held up, which nothing but the end of the connection tells.
    void abandonRequest(std::uint64_t job, bool isNoticed);
    void closeCallerConnection(std::size_t entry, Scheduling::RequestNumber request, Core::SteadyTime requestArrivesAt);
    bool isReadingLate(std::size_t entry) const;
    void startEntry(std::size_t index);
    void killEntry(std::size_t index);
    // Recognizes a stall of an entry before it decides on an event.
    void observeStall(Entry& entry);
    void checkCallers(Entry& entry);
    void pollEntry(std::size_t index);
    void carryOut(std::size_t index, Scheduling::SchedulerAction action);
    // Lets an order name the incarnation of the worker that its sidecar knows.
    void nameKnownIncarnation(std::size_t worker, Messages::WorkMessage& message) const;
    bool hasProcessor() const { return this->options.processor.share > 0; }
    // Handles an input of an entry, after those before if they take time.
    void receiveInput(std::size_t index, EntryInput input);
    Core::Duration inputCost(EntryInputKind kind) const;
    // Handles the next input of an entry whose processor is free, and polls its scheduler.
    void useProcessor(std::size_t index);
    Core::Duration slowed(Core::Duration cost) const;
    void payAdmission(std::size_t index);
    void refuseUnread(std::size_t index, Scheduling::RequestNumber request);
    void tickEntry(std::size_t index);
    void occupyProcessor(std::size_t index, Core::Duration time);
    void runScheduler(std::size_t index);
    void startSidecar(std::size_t index);
    void killSidecar(std::size_t index);
    void cutPowerOfSidecar(std::size_t index);
    void replaceSidecar(std::size_t index);
    void finishDraining(std::size_t index);
    void pollSidecar(std::size_t index);
    void sendOffer(std::size_t index, const Workers::SendOffer& send);
    // An empty id stands for a new one.
    void startWorker(std::size_t index, const std::string& workerId);
    void crashWorker(std::size_t index);
    void departWorker(std::size_t index);
    void deregisterWorker(std::size_t index, bool isIncarnationStated);
    void announce(std::size_t index);
    void sendAnnouncement(std::size_t index);
    void advanceWorker(std::size_t index);
    // Writes a record of a call that can start a run, stop one or prolong the lease.
    void noteCall(
        std::size_t index, std::string_view message, const Workers::CallWorker& order, std::int64_t delayMilliseconds);
    void callWorker(std::size_t index, Workers::CallWorker order);
    void deliverCall(std::size_t index, std::uint64_t incarnation, std::uint64_t sidecarIncarnation,
        const Workers::CallWorker& order);
    // Passes the answer to a call to its sidecar, unless the call has timed out.
    void answerCall(std::size_t index, std::uint64_t ticket, const Workers::CallResult& answer);
    void connect(std::size_t entry, std::size_t worker);
    void disconnect(std::size_t entry, std::size_t worker);
    void maintainLinks();
    void removeUnusedLink(std::size_t entry, std::size_t worker);
    void handleAnswer(std::uint64_t job, const Scheduling::CallerAnswer& answer);
    // Arrival rate of a kind's jobs now, per second.
    double arrivalRate(const LeasedJobKind& kind) const;
    // Account of the second in which a job was submitted.
    LeasedValue& valueAt(const Job& job);
    void cutOffSidecars();
    void finishWorker(std::size_t index);
    void scheduleFaults();
    RunPlan planRun(std::size_t worker, const Messages::TaskId& task, std::uint32_t run);
    void checkInvariants(LeasedResult& result) const;
    void checkRunsOfTask(std::vector<const RunRecord*> runs, LeasedResult& result) const;
    void checkPlaceOfRun(const RunRecord& run, LeasedResult& result) const;

    LeasedOptions options;
    pcg64 random;
    EventQueue events;
    Core::ManualClock logClock;
    /// Log of all processes, and of each process if records are wanted.
    std::unique_ptr<Logging::StructuredLog> log;
    std::map<std::string, std::unique_ptr<Logging::StructuredLog>> processLogs;
    Metrics::MetricRegistry registry;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Sidecar>> sidecars;
    std::map<std::pair<std::size_t, std::size_t>, Link> links;
    /// Workers that each entry is linked to.
    std::vector<std::set<std::size_t>> linkedWorkers;
    std::map<std::uint64_t, Job> jobs;
    Core::SteadyTime firstArrivalAt;
    std::vector<LeasedKindResult> kindResults;
    std::vector<LeasedEntryResult> entryResults;
    std::vector<RunRecord> runRecords;
    std::uint64_t lastId = 0;
    std::uint64_t messages = 0;
};

}
