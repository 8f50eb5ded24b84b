#pragma once

#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Workers/RunTable.h"
#include "celeryswitch/Workers/SupervisorMetrics.h"
#include "celeryswitch/Workers/WorkerClock.h"
#include "celeryswitch/Workers/WorkerHealth.h"
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Workers {

/// How long orders to a worker take at most.
struct CallTimes {
    /// Time that an order to extend the lease waits for an end.
    std::chrono::milliseconds holdWait {};
    /// Time without an answer after which an order counts as unanswered, beyond the wait that it asks for.
    Core::Duration callTimeout {};
    /// The same for orders to start, which workers answer at once.
    Core::Duration startTimeout {};
};

/// Settings of a supervisor; fixed for its life.
struct SupervisorSettings {
    Core::Incarnation incarnation = 0;
    /// Length of the worker's lease that each order asks for; the worker's own limit goes first.
    Core::Duration leaseLength = std::chrono::milliseconds(900);
    /// Times of orders to a worker that answers.
    CallTimes times { std::chrono::milliseconds(400), std::chrono::milliseconds(120), std::chrono::milliseconds(40) };
    /// Time for which an unanswered order makes further ones likely, and the times of orders then: a lost answer costs
    /// less, and ends are not learned of while one is awaited.
    Core::Duration distrustTime = std::chrono::seconds(3);
    CallTimes distrustedTimes { std::chrono::milliseconds(50), std::chrono::milliseconds(25),
        std::chrono::milliseconds(20) };
    /// Time without a sign of life of an entry after which its runs are stopped.
    Core::Duration entrySilenceLimit = std::chrono::milliseconds(700);
    /// The same after its connection has ended. With the lease it stays below the 1.3 s after which callers of an entry
    /// that died come back, also if this process dies in between.
    Core::Duration reconnectTime = std::chrono::milliseconds(300);
    /// Time that a stop may take at the worker.
    Core::Duration stopTime = std::chrono::milliseconds(50);
    /// Time for which the runs of an earlier life of this sidecar are kept for an entry to claim them.
    Core::Duration claimTime = std::chrono::milliseconds(250);
    /// Time for which ended runs are remembered.
    Core::Duration endedRetention = std::chrono::seconds(5);
    /// Shortest time between two updates that only tell of changed room, and longest time between two updates.
    Core::Duration statusInterval = std::chrono::milliseconds(15);
    Core::Duration aliveInterval = std::chrono::milliseconds(200);
    /// Age of a run from which on its progress is reported, and time between two reports of it.
    Core::Duration progressInterval = std::chrono::milliseconds(100);
};

/// Give an order to the worker; its result comes back under `callId`.
struct CallWorker {
    std::uint64_t callId = 0;
    WorkerCall call;
    std::string workerId;
    Core::Duration timeout {};
};
/// Send an update to an entry.
struct SendUpdate {
    std::uint64_t connection = 0;
    Messages::WorkerUpdate update;
};
/// Close the connection of an entry.
struct DropEntry {
    std::uint64_t connection = 0;
};

using SupervisorAction = std::variant<CallWorker, SendUpdate, DropEntry>;

/// Drives the runs on one leased worker for the entries: gives orders, keeps the lease, notes ends once, and stops what
/// no living entry wants. Pure: it has no sockets or clocks; the same inputs at the same times give the same actions.
class RunSupervisor {
public:
    /// `log` and `registry` outlive the supervisor.
    RunSupervisor(SupervisorSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry,
        Core::SteadyTime now);

    /// An entry has connected.
    void entryConnected(Core::SteadyTime now, std::uint64_t connection, const Messages::Hello& hello);
    /// A connection has ended.
    void entryDisconnected(Core::SteadyTime now, std::uint64_t connection);
    /// A message of a connected entry.
    void received(Core::SteadyTime now, std::uint64_t connection, Messages::WorkMessage message);
    /// The worker has told of itself. Returns false when the announcement is older than what is known.
    bool announced(Core::SteadyTime now, const WorkerAnnouncement& announcement);
    /// The worker has ended on purpose.
    void workerLeft(Core::SteadyTime now, const std::string& workerId);
    /// An order was answered, or its time is over.
    void called(Core::SteadyTime now, std::uint64_t callId, CallResult result);
    /// This process is about to end: no more runs are started.
    void drain();
    /// What is known of the worker; nothing before its first announcement.
    std::optional<Messages::WorkerProfile> workerProfile() const;
    /// Does what is due and returns everything to carry out.
    std::vector<SupervisorAction> poll(Core::SteadyTime now);
    /// When `poll` is due although nothing else happens.
    Core::SteadyTime nextWakeUp() const;

    /// Sets the gauges of the supervisor.
    void collect(Core::SteadyTime now, Metrics::MetricRegistry& registry) const;
    /// Runs that were ordered and have not ended.
    std::size_t activeRuns() const { return this->runs.activeCount(); }

private:
    /// Unanswered orders in a row after which the worker counts as out of contact.
    static constexpr std::uint32_t unansweredLimit = 2;

    /// An entry and what it may rely on.
    struct Entry {
        Core::Incarnation incarnation = 0;
        /// 0 while it is not connected.
        std::uint64_t connection = 0;
        /// Its runs are stopped after this time.
        Core::SteadyTime permittedUntil;
        std::uint64_t handledSequence = 0;
        std::vector<Messages::RunReport> reports;
        Messages::WorkerProfile profileSent;
        /// Room and readiness as they were sent last.
        Messages::Room freeSent;
        bool isReadySent = false;
        Core::SteadyTime updatedAt;
        bool isUpdateDue = true;
    };
    /// One life of the worker.
    struct WorkerLife {
        /// Known from its first announcement on.
        std::optional<WorkerAnnouncement> profile;
        std::optional<std::int64_t> bornAt;
        WorkerClock clock;
        std::uint64_t fencingToken = 0;
        std::uint64_t notedEnds = 0;
        /// Largest end of the lease that was asked for, on the worker's clock.
        std::int64_t leaseEnd = 0;
        /// Whether its lists were read once.
        bool isListed = false;
        bool isDraining = false;
    };
    /// An order without an answer.
    struct PendingCall {
        WorkerCall call;
        Core::SteadyTime sentAt;
        bool isLongPoll = false;
    };

    Entry* entryOf(std::uint64_t connection, Core::InstanceId* id = nullptr);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartRuns& order);
    void handle(Core::SteadyTime now, Entry& entry, const Messages::StopRuns& order);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::ClaimRuns& claims);
    void permit(Core::SteadyTime now, Entry& entry, std::int64_t clockEcho);
    void useKnownWorker();
    RunRefusal refusalOf(const Messages::StartRuns& order, const TaskId& task);
    void startQueued(Core::SteadyTime now);
    bool isStartable(Core::SteadyTime now, const Run& run) const;
    Messages::WorkerProfile profile() const;
    Messages::WorkerLoad load(Core::SteadyTime now) const;
    bool isReady() const;
    Messages::Room freeRoom() const;
    void answerClaims(Core::SteadyTime now);

    void endLife(Core::SteadyTime now, std::string_view reason);
    void giveStart(Core::SteadyTime now, Run& run);
    void giveStop(Core::SteadyTime now, Run& run);
    void giveHold(Core::SteadyTime now, bool isLongPoll);
    void startAnswered(Core::SteadyTime now, const StartCall& call, const CallResult& result);
    void stopAnswered(Core::SteadyTime now, const StopCall& call, const CallResult& result);
    void holdAnswered(Core::SteadyTime now, const PendingCall& pending, const CallResult& result);
    void takeEnded(Core::SteadyTime now, const EndedRow& row);
    void noteProgress(Core::SteadyTime now, Run& run, std::uint32_t percent);
    void reportProgress(Core::SteadyTime now, Run& run);
    void noteContact(Core::SteadyTime now, const CallResult& result);
    // Gives no orders that ask for news for a while after one was refused or reset.
    void pauseAfter(Core::SteadyTime now, const PendingCall& call, const CallResult& result);
    void raiseToken(Core::SteadyTime now);
    std::int64_t extendLease(Core::SteadyTime now);
    std::uint64_t give(Core::SteadyTime now, WorkerCall call, Core::Duration timeout, bool isLongPoll = false);
    // Times of an order that is given now.
    const CallTimes& callTimes(Core::SteadyTime now) const;

    // Lets the end of a run count for the worker's health, and logs what changes by it.
    void judgeEnd(Core::SteadyTime now, const Run& run);
    // The same for a start that the worker refused because it is unhealthy.
    void judgeRefusal(Core::SteadyTime now);
    void logProbation(Core::SteadyTime now, bool wasOnProbation, std::string_view cause);
    void fire(Core::SteadyTime now, Run& run, RunEvent event);
    void endRun(Core::SteadyTime now, Run& run, RunEvent event, RunEnd end, RunRefusal refusal = RunRefusal::None);
    void report(Core::SteadyTime now, const Run& run);
    void stopExpired(Core::SteadyTime now);
    void loseLapsed(Core::SteadyTime now);
    void holdIfDue(Core::SteadyTime now);
    void sendUpdates(Core::SteadyTime now);
    bool isLookDue(Core::SteadyTime now) const;
    // Whether a run is under way that an entry wants.
    bool hasWantedRun() const;
    // Whether an order was not answered a short while ago.
    bool isDistrusted(Core::SteadyTime now) const;

    SupervisorSettings settings;
    Logging::StructuredLog& log;
    SupervisorMetrics metrics;
    Core::SteadyTime startedAt;
    WorkerLife life;
    WorkerHealth health;
    RunTable runs;
    std::map<Core::InstanceId, Entry> entries;
    /// What entries said of the worker, until it is known.
    std::optional<Messages::KnownWorker> offered;
    /// Claims that wait for the first reading of the worker's lists.
    std::vector<std::pair<Core::InstanceId, Messages::ClaimedRun>> claims;
    std::uint64_t lastCall = 0;
    std::unordered_map<std::uint64_t, PendingCall> pending;
    bool isLongPollOut = false;
    bool isLookOut = false;
    Core::SteadyTime nextLook;
    /// Until then no order asks for news.
    Core::SteadyTime pausedUntil;
    /// When a call of the worker was answered last.
    Core::SteadyTime contactAt;
    std::uint32_t unansweredCalls = 0;
    Core::SteadyTime unansweredAt;
    bool isDrained = false;
    std::vector<SupervisorAction> actions;
};

}
