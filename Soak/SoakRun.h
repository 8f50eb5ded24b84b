#pragma once

#include "Soak/SoakFleet.h"
#include "Soak/SoakWire.h"
#include "Soak/SoakWorker.h"
#include <deque>
#include <set>

namespace celeryswitch::Soak {

/// One run of the soak.
struct SoakSettings {
    std::string program;
    std::string folder;
    std::string network;
    SoakSize size;
    std::uint64_t seed = 1;
    /// Time with faults; a calm time follows.
    Core::Duration duration = std::chrono::seconds(15);
    double jobsPerSecond = 40;
    /// Without faults: the whole path on a calm day.
    bool isCalm = false;
    /// Whether there are planned changes beside the faults: state replicas that are replaced, limits that change on
    /// open connections, and workers that return as another kind.
    bool hasChanges = false;
};

/// What a run came to.
struct SoakResult {
    std::uint64_t jobs = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t runs = 0;
    /// Jobs of the calm time at the end.
    std::uint64_t calmJobs = 0;
    std::uint64_t calmCompleted = 0;
    std::uint64_t calmRefusedFull = 0;
    std::uint64_t confirmedVersion = 0;
    /// Faults in the order in which they were injected, with their times.
    std::vector<std::string> faults;
    /// Broken promises.
    std::vector<std::string> violations;
};

/// Callers, an operator and workers around a fleet of real processes, and faults from outside: signals, restarts, lost
/// disks, cut and silent paths to workers, crashed workers, orders that are carried out late. Checks the platform's
/// promises from what callers, workers and the operator see.
class SoakRun {
public:
    explicit SoakRun(SoakSettings settings);

    /// Plays the run.
    SoakResult play();

private:
    /// Queues that every document has.
    static constexpr std::uint32_t queueCount = 3;

    struct Job {
        std::string id;
        std::uint32_t queue = 0;
        std::vector<Core::Duration> taskTimes;
        std::uint32_t milliCores = 0;
        /// Label of the one worker that can run it; empty when all can.
        std::string requiredLabel;
        Core::SteadyTime sentAt;
        Core::Duration patience {};
        std::uint32_t submissions = 0;
        std::uint32_t refusals = 0;
        bool isEnded = false;
        bool isCompleted = false;
        bool isCalm = false;
        /// Whether it was refused while the workers were in full use.
        bool isRefusedFull = false;
    };
    /// A connection of a caller, which is kept while its entry serves it.
    struct Caller {
        std::string entry;
        std::unique_ptr<Http::HttpConnection> connection;
        bool isBusy = false;
        Core::SteadyTime openedAt;
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(this->faultRandom); }
    std::size_t draw(std::size_t count)
    {
        return static_cast<std::size_t>(this->chance() * static_cast<double>(count));
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(this->uniform() * static_cast<double>(count));
    }
    void later(Core::Duration span, std::function<void()> action);
    void fault(const std::string& text);
    void violation(const std::string& text);

    void startFleet();
    void watchReadiness();
    void arrive();
    void submit(std::uint64_t number);
    // Whether nearly all room of the workers is in use.
    bool isFull() const;
    void answered(std::uint64_t number, const std::string& entry, const Core::Result<Http::HttpResponse>& response);
    Caller& callerFor(const std::string& entry);
    Experiment::RunPlan planOf(std::size_t worker, const Messages::TaskId& task);

    void operate();
    void put(std::uint64_t version, std::uint32_t attempt);
    void read(const std::string& state, bool isLast);

    // Content of the document of a version.
    DocumentContent contentOf(std::uint64_t version) const;

    void planChanges();
    // Replaces state replicas at the same time: the new ones start first and the old ones are told to stop, or the old
    // ones are lost first.
    void replaceStates(std::size_t count, bool isPlanned);
    void retireState(const std::string& state);
    // Removes a replica that was told to stop once it has ended.
    void awaitRetirement(const std::string& state, Core::SteadyTime toldAt);
    void loseDisk(const std::string& state);
    // Whether no replica is harmed, stops or is being replaced.
    bool areStatesWhole() const;
    // Changes the limit of bodies twice in the calm time, and sends requests between the two limits on connections that
    // were open before.
    void planLimitChanges();
    void changeLimit(bool isRaised);
    // Waits until a version is confirmed and in force, and sends the requests.
    void awaitLimit(std::uint64_t version, bool isRaised);
    void probeLimit(Caller& caller, bool isAllowed);

    void planFaults();
    void injectFault();
    void restart(const std::string& process, Core::Duration span, const std::string& what, bool isDataLost = false);
    void freeze(const std::string& process, Core::Duration span);
    void stopGracefully(const std::string& process);
    void watchProcesses();

    void check();

    SoakSettings settings;
    /// Of the traffic and of the faults, so that the faults of a seed do not depend on the traffic.
    pcg64 random;
    pcg64 faultRandom;
    boost::asio::io_context context;
    SoakFleet fleet;
    std::vector<std::unique_ptr<SoakWorker>> workers;
    std::map<std::uint64_t, Job> jobs;
    std::uint64_t lastJob = 0;
    std::deque<Caller> callers;
    std::set<std::string> ready;
    /// Processes that a fault has taken down or frozen.
    std::set<std::string> harmed;
    /// When a process was last killed or frozen.
    std::map<std::string, Core::SteadyTime> harmedAt;
    /// When each process was started last; the beginning of time for the first start.
    std::map<std::string, Core::SteadyTime> startedAtOf;
    /// When each entry was told to stop gracefully.
    std::map<std::string, Core::SteadyTime> stoppedAt;
    /// Grey workers: until when, and whether they fail or stand still.
    std::map<std::size_t, std::pair<Core::SteadyTime, bool>> grey;
    std::uint64_t nextVersion = 0;
    std::uint64_t confirmed = 0;
    Core::SteadyTime startedAt;
    Core::SteadyTime diskLostAt;
    /// Of the planned changes.
    pcg64 changeRandom;
    /// Versions with which the limit of bodies changes, first from the small to the large one.
    std::vector<std::uint64_t> limitChanges;
    /// Connections that were open before the limit changed.
    std::deque<Caller> oldCallers;
    /// State replicas that a planned change deals with.
    std::set<std::string> replaced;
    bool isOver = false;
    SoakResult result;
};

}
