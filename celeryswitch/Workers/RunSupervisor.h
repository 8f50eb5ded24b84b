#pragma once

#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Workers/RoomReservations.h"
#include "celeryswitch/Workers/RunTable.h"
#include "celeryswitch/Workers/SupervisorMetrics.h"
#include "celeryswitch/Workers/WorkerClock.h"
#include "celeryswitch/Workers/WorkerHealth.h"
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Workers {

/// Time limits of calls to a worker.
struct CallTimeouts {
    /// Time for which a long-polling lease renewal waits at the worker for a run to end.
    std::chrono::milliseconds leasePollWait {};
    /// Time without a response after which a call counts as unanswered, in addition to the wait that it requests.
    Core::Duration callTimeout {};
    /// The same for start calls, which workers answer immediately.
    Core::Duration startTimeout {};
};

/// Settings of a RunSupervisor; constant after construction.
struct SupervisorSettings {
    Core::Incarnation incarnation = 0;
    /// Lease duration that each call requests; the worker may enforce a shorter one.
    Core::Duration leaseLength = std::chrono::milliseconds(800);
    /// Longest lease that a worker grants, whatever a call requests.
    Core::Duration longestLease = std::chrono::milliseconds(1000);
    /// Time limits while the worker answers normally.
    CallTimeouts timeouts { std::chrono::milliseconds(400), std::chrono::milliseconds(120),
        std::chrono::milliseconds(40) };
    /// Time after an unanswered call during which the contact counts as unstable, and the time limits that apply then.
    /// They are shorter because the ends of runs stay unknown while a lost response is awaited.
    Core::Duration unstableContactPeriod = std::chrono::seconds(3);
    CallTimeouts unstableContactTimeouts { std::chrono::milliseconds(50), std::chrono::milliseconds(25),
        std::chrono::milliseconds(20) };
    /// Fencing token of the first call; higher than all tokens of earlier processes beside the same worker.
    std::uint64_t firstFencingToken = 1;
    /// Time without proof that an entry is alive after which its runs are stopped.
    Core::Duration entryTimeout = std::chrono::milliseconds(700);
    /// The same from the loss of its connection.
    Core::Duration reconnectGracePeriod = std::chrono::milliseconds(300);
    /// Time after the failure of an entry, or after its answer that it gave up, from which callers repeat their jobs at
    /// another entry.
    Core::Duration callerRetryDelay = std::chrono::milliseconds(1300);
    /// The lease of a worker ends at least this long before a caller may repeat the job of a run that must end. The
    /// close of the caller's connection may reach the entry that late: after TCP's shortest retransmission timeout,
    /// 200 ms, and a round trip.
    Core::Duration retryMargin = std::chrono::milliseconds(210);
    /// Time limit of a stop at the worker.
    Core::Duration stopTimeout = std::chrono::milliseconds(50);
    /// Time for which runs of a previous incarnation of this sidecar are kept for an entry to claim.
    Core::Duration claimPeriod = std::chrono::milliseconds(250);
    /// Retention of ended runs.
    Core::Duration endedRetention = std::chrono::seconds(5);
    /// Time for which offered room is held for the entry's answer.
    Core::Duration offerPeriod = std::chrono::milliseconds(30);
    /// Minimum time between updates that only report changed capacity or readiness, and maximum time between updates.
    Core::Duration loadUpdateInterval = std::chrono::milliseconds(15);
    Core::Duration maximumUpdateInterval = std::chrono::milliseconds(200);
    /// Age from which the progress of a run is reported, and the minimum time between its progress reports.
    Core::Duration progressInterval = std::chrono::milliseconds(100);
};

/// Send a call to the worker; its result is passed to RunSupervisor::callFinished with `callId`.
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
/// Offer room to an entry.
struct SendOffer {
    std::uint64_t connection = 0;
    Messages::RoomOffer offer;
};
/// Close the connection to an entry.
struct DisconnectEntry {
    std::uint64_t connection = 0;
};

using SupervisorAction = std::variant<CallWorker, SendUpdate, SendOffer, DisconnectEntry>;

/// Manages the runs on one leased worker on behalf of the entries: starts and stops runs, renews the lease, reports
/// each end once, and stops runs whose entry is gone. Deterministic: it has no sockets or clocks, and equal inputs at
/// equal times give equal actions.
class RunSupervisor {
public:
    /// `log` and `registry` must outlive the supervisor.
    RunSupervisor(SupervisorSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry,
        Core::SteadyTime now);

    /// Handles a new connection of an entry.
    void entryConnected(Core::SteadyTime now, std::uint64_t connection, const Messages::Hello& hello);
    /// Handles the end of a connection.
    void entryDisconnected(Core::SteadyTime now, std::uint64_t connection);
    /// Handles a message from a connected entry.
    void messageReceived(Core::SteadyTime now, std::uint64_t connection, Messages::WorkMessage message);
    /// Handles an announcement of the worker. Returns false if it belongs to an earlier incarnation of the worker.
    bool workerAnnounced(Core::SteadyTime now, const WorkerAnnouncement& announcement);
    /// Handles the deregistration of the worker. `workerStartedAt`, in milliseconds since 1970, names its incarnation
    /// if the worker stated it.
    void workerLeft(Core::SteadyTime now, const std::string& workerId, std::optional<std::int64_t> workerStartedAt);
    /// Handles the response to a call, or its timeout.
    void callFinished(Core::SteadyTime now, std::uint64_t callId, CallResult result);
    /// Starts no more runs, because this process is about to exit.
    void drain();
    /// Sets whether the worker's data centre is evacuated. While it is, nothing starts: queued runs are refused and
    /// reservations are dropped. Runs that have started may end.
    void setEvacuated(Core::SteadyTime now, bool value);
    /// Profile of the worker; std::nullopt until it is known.
    std::optional<Messages::WorkerProfile> workerProfile() const;
    /// Performs all due work and returns the actions to execute.
    std::vector<SupervisorAction> poll(Core::SteadyTime now);
    /// Time at which `poll` has to be called if no event occurs earlier.
    Core::SteadyTime nextWakeUp() const;

    /// Updates the gauges of the supervisor.
    void collect(Core::SteadyTime now, Metrics::MetricRegistry& registry) const;
    /// Number of runs whose start was requested from the worker and that have not ended.
    std::size_t activeRuns() const { return this->runs.activeCount(); }

private:
    /// Consecutive unanswered calls after which the worker counts as out of contact.
    static constexpr std::uint32_t unansweredCallLimit = 2;
    /// First amount by which a fencing token is raised that the worker refused although no newer one was given out: an
    /// earlier process used higher ones, for example because the time of day was set back by less than this many
    /// milliseconds. Doubles with each refusal.
    static constexpr std::uint64_t minimumTokenStep = 60'001;
    static constexpr std::uint64_t maximumTokenStep = std::uint64_t(1) << 32;
    /// An announced clock that is further ahead of the worker's responses is not that of the worker, in milliseconds.
    static constexpr std::int64_t announcedClockTolerance = 100;
    /// Minimum rest of the lease with which a run is started.
    static constexpr Core::Duration minimumStartLease = std::chrono::milliseconds(200);

    /// State of an entry.
    struct Entry {
        Core::Incarnation incarnation = 0;
        /// 0 while the entry is not connected.
        std::uint64_t connection = 0;
        /// Latest time at which the entry is proven to have been alive: it returned a clock sample of that time.
        Core::SteadyTime provenAliveAt;
        /// Time at which the runs of the entry are stopped, unless it proves that it is alive.
        Core::SteadyTime aliveUntil;
        std::uint64_t handledSequence = 0;
        std::vector<Messages::RunReport> reports;
        Messages::WorkerProfile profileSent;
        /// Free capacity and readiness as of the last update.
        Messages::Room freeSent;
        bool isReadySent = false;
        /// Newest order that the last update acknowledged.
        std::uint64_t sequenceSent = 0;
        Core::SteadyTime updatedAt;
        bool isUpdateDue = true;
    };
    /// State of one incarnation of the worker.
    struct WorkerIncarnation {
        /// Known from the first announcement, or from an entry.
        std::optional<WorkerAnnouncement> profile;
        std::optional<std::int64_t> workerStartedAt;
        /// When a call was sent whose response identified the incarnation; responses to earlier calls may be those of
        /// an earlier incarnation.
        Core::SteadyTime identifiedAt;
        WorkerClock clock;
        /// Highest fencing token that the worker is known to have seen.
        std::uint64_t seenToken = 0;
        std::uint64_t acknowledgedEnds = 0;
        /// Latest requested end of the lease, on the worker's clock, in milliseconds.
        std::int64_t leaseEnd = 0;
        /// Whether the worker's lists of running and ended runs were received at least once.
        bool isRunListKnown = false;
        bool isDraining = false;
        /// Whether the worker has deregistered and not announced itself since.
        bool hasLeft = false;
    };
    /// A call that awaits its response.
    struct PendingCall {
        WorkerCall call;
        std::uint64_t fencingToken = 0;
        Core::SteadyTime sentAt;
        bool isLongPoll = false;
    };

    // Whether an entry has to be told of orders received, of changed capacity or of changed readiness.
    bool hasNews(const Entry& entry) const;
    Entry* findEntry(std::uint64_t connection, Core::InstanceId* id = nullptr);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartRuns& request);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartReserved& request);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::ReserveRoom& request);
    // Queues the runs of a request, or refuses them.
    void queueRuns(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartRuns& request);
    // Offers the first reservation's room, or drops the reservation if its entry can't use it. Returns false if it has
    // to wait.
    bool offerReserved(Core::SteadyTime now);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::StopRuns& request);
    void handle(Core::SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::ClaimRuns& claims);
    void extendEntryLifetime(Core::SteadyTime now, Entry& entry, std::int64_t clockEcho);
    void stopUnclaimedRuns(Core::SteadyTime now, const Core::InstanceId& id, const Messages::ClaimRuns& claims);
    void adoptEntryProvidedWorker();
    void adoptAnnouncement(Core::SteadyTime now, const WorkerAnnouncement& announcement);
    RunRefusal startRefusal(const Messages::StartRuns& request, const TaskId& task);
    void startQueued(Core::SteadyTime now);
    bool isStartable(Core::SteadyTime now, const Run& run) const;
    Messages::WorkerProfile profile() const;
    Messages::WorkerLoad load(Core::SteadyTime now) const;
    bool isReady() const;
    // Why nothing starts on the worker for now; None if runs may start.
    Messages::RunRefusal startBlock() const;
    Messages::Room freeRoom() const;
    void answerClaims(Core::SteadyTime now);

    // Refuses the runs and drops the reservations that wait for an incarnation of the worker that has ended.
    void refuseQueued(Core::SteadyTime now);
    // Ends all runs, because the worker is replaced by one with another id.
    void endWorkerIncarnation(Core::SteadyTime now, std::string_view reason);
    // Recognizes another incarnation of the worker by its own response. Returns false if the response is of an earlier
    // incarnation and must be ignored.
    bool identifyWorker(Core::SteadyTime now, const PendingCall& call, const CallResult& result);
    void sendStart(Core::SteadyTime now, Run& run);
    void sendStop(Core::SteadyTime now, Run& run);
    void sendRenewLease(Core::SteadyTime now, bool isLongPoll);
    void startAnswered(Core::SteadyTime now, const PendingCall& pending, const CallResult& result);
    void stopAnswered(Core::SteadyTime now, const PendingCall& pending, const CallResult& result);
    void renewLeaseAnswered(Core::SteadyTime now, const PendingCall& pending, const CallResult& result);
    void handleEndedRun(Core::SteadyTime now, const EndedRunRecord& record);
    void handleRunningRun(Core::SteadyTime now, const PendingCall& call, const RunningRunRecord& record);
    // Stops a run that the worker lists although it should not exist.
    void stopUnexpectedRun(Core::SteadyTime now, const PendingCall& call, const RunningRunRecord& record);
    void recordProgress(Core::SteadyTime now, Run& run, std::uint32_t percent);
    void reportProgress(Core::SteadyTime now, Run& run);
    void recordContact(Core::SteadyTime now, const CallResult& result);
    // Suspends lease renewals for a while after a call whose connection was refused or reset.
    void backOffAfterFailure(Core::SteadyTime now, const PendingCall& call, const CallResult& result);
    // Whether calls that may still be executed could start runs or prolong the lease; a response to a call with the
    // current fencing token excludes it.
    bool hasDoubtfulCalls() const { return this->worker.seenToken <= this->doubtfulToken; }
    // Records which calls the worker has certainly voided, and which may still be executed.
    void recordTokens(const PendingCall& call, const CallResult& result);
    // Raises the fencing token above those of earlier processes, whose starts the incarnation of the worker that began
    // at `workerStartedAt` may still execute.
    void voidEarlierProcesses(Core::SteadyTime now, std::int64_t workerStartedAt);
    // Raises the fencing token after the worker refused that of a call, unless a newer one was given out meanwhile.
    void raiseRefusedToken(const PendingCall& call);
    // Time by which the lease has to end, so that no active run outlives its entry until callers retry.
    Core::SteadyTime leaseLimit() const;
    // Whether a run of an entry may start under the lease: no call is in doubt, and the lease ends before the callers
    // of the entry retry.
    bool isLeaseAvailable(Core::SteadyTime now, const Core::InstanceId& entryId) const;
    // Whether at `time` nothing could run on the worker any more, because neither an answered call nor one that was in
    // doubt prolonged the lease until then.
    bool isLeaseCertainlyOver(Core::SteadyTime time) const;
    // End of the lease to request now, on the worker's clock; std::nullopt if it must not be extended.
    std::optional<std::int64_t> extendLease(Core::SteadyTime now);
    std::uint64_t sendCall(Core::SteadyTime now, WorkerCall call, Core::Duration timeout, bool isLongPoll = false);
    // Time limits of a call that is sent now.
    const CallTimeouts& currentTimeouts(Core::SteadyTime now) const;

    // Feeds the end of a run into the worker's health and logs a change of its probation.
    void recordEnd(Core::SteadyTime now, const Run& run);
    // The same for a start that the worker refused because it is unhealthy.
    void recordRefusal(Core::SteadyTime now);
    void logProbation(Core::SteadyTime now, bool wasOnProbation, std::string_view cause);
    void fire(Core::SteadyTime now, Run& run, RunEvent event);
    // Tells a run to stop, and logs why.
    void stopRun(Core::SteadyTime now, Run& run, std::string_view reason);
    // Logs the end of a run that may have started and was not done, with what the end was concluded from.
    void logEnd(Core::SteadyTime now, const Run& run, RunEvent evidence) const;
    // Ends a run that may have started.
    void endRun(Core::SteadyTime now, Run& run, RunEvent event, RunEnd end, RunRefusal refusal = RunRefusal::None);
    // Ends a run that certainly never started.
    void endUnstartedRun(Core::SteadyTime now, Run& run, RunEvent event, NoStartProof proof, RunRefusal refusal);
    // Ends a run that is absent from a list of the worker. `listedBy` is the start time of the incarnation that sent
    // the list, if it stated it.
    void endUnlistedRun(Core::SteadyTime now, Run& run, std::optional<std::int64_t> listedBy);
    // Tells the entry of a run with the next update, and, for `report`, sends that at once.
    void addReport(Core::SteadyTime now, const Run& run);
    void report(Core::SteadyTime now, const Run& run);
    void reportRefusedStarts(Run& run);
    void stopExpiredRuns(Core::SteadyTime now);
    void endRunsOfExpiredLease(Core::SteadyTime now);
    // Whether the start of a run was not answered and may still be executed, at any time and by any incarnation of the
    // worker under the same id.
    bool isStartInDoubt(const Run& run) const;
    void renewLeaseIfDue(Core::SteadyTime now);
    void sendUpdates(Core::SteadyTime now);
    bool isListPollDue(Core::SteadyTime now) const;
    // Whether a started run belongs to an entry.
    bool hasOwnedRun() const;
    // Whether a call went unanswered within the last `unstableContactPeriod`.
    bool isContactUnstable(Core::SteadyTime now) const;

    SupervisorSettings settings;
    Logging::StructuredLog& log;
    SupervisorMetrics metrics;
    Core::SteadyTime startedAt;
    WorkerIncarnation worker;
    WorkerHealth health;
    RunTable runs;
    RoomReservations reservations;
    std::map<Core::InstanceId, Entry> entries;
    /// Newest profile of the worker that an entry sent; used until the worker announces itself.
    std::optional<Messages::KnownWorker> entryProvidedWorker;
    /// Announcement of another incarnation that no response of the worker has confirmed yet, and when it arrived.
    std::optional<WorkerAnnouncement> announcedSuccessor;
    Core::SteadyTime successorAnnouncedAt;
    std::uint64_t fencingToken;
    /// Highest fencing token of a call that may be executed at any time, because it was not answered or was sent by an
    /// earlier process.
    std::uint64_t doubtfulToken;
    /// When a response last voided calls that were in doubt.
    Core::SteadyTime doubtEndedAt;
    /// Amount by which the fencing token is raised at the next refusal.
    std::uint64_t tokenStep = minimumTokenStep;
    /// Claims that wait for the worker's first lists of runs.
    std::vector<std::pair<Core::InstanceId, Messages::ClaimedRun>> claims;
    std::uint64_t lastCall = 0;
    std::unordered_map<std::uint64_t, PendingCall> pending;
    bool isLongPollPending = false;
    bool isListPollPending = false;
    Core::SteadyTime nextListPollAt;
    /// No lease is renewed before this time.
    Core::SteadyTime backoffUntil;
    /// Time of the last response of the worker.
    Core::SteadyTime contactAt;
    std::uint32_t unansweredCalls = 0;
    Core::SteadyTime unansweredAt;
    bool isShuttingDown = false;
    bool isEvacuated = false;
    std::vector<SupervisorAction> actions;
};

}
