#pragma once

#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include "celeryswitch/Dispatch/CreditAllocator.h"
#include "celeryswitch/Ownership/TaskFence.h"
#include "celeryswitch/Sidecar/EndpointHealth.h"
#include "celeryswitch/Sidecar/ResultBatcher.h"
#include "celeryswitch/Sidecar/SidecarActions.h"
#include <optional>
#include <set>

namespace celeryswitch::Sidecar {

/// Settings of a core; fixed for its life.
struct SidecarCoreSettings {
    /// Identity given in Hello: role, instance, incarnation, data centre, rack, service, slots.
    Messages::Hello identity;
    /// Time between heartbeats to an entry.
    Core::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// An entry not heard of for this long counts as lost.
    Core::Duration silenceLimit = std::chrono::seconds(3);
    /// Jobs of at least this many tasks have their results batched.
    std::uint32_t batchedJobTasks = 200;
    /// Results that share a message at most.
    std::size_t resultsPerBatch = 8;
    /// Longest delay of a result whose slot the entry could use.
    Core::Duration shortHold = std::chrono::milliseconds(20);
    /// Longest delay of a result whose slot goes on with the sidecar's queue. Nothing waits for such a result, since
    /// the job has more tasks here.
    Core::Duration longHold = std::chrono::milliseconds(400);
    /// Tasks in the sidecar's queue, over all entries.
    std::size_t queuedTasksLimit = 4000;
    /// Bytes of payloads in the sidecar's queue, over all entries.
    std::size_t queuedBytesLimit = 32 * 1024 * 1024;
    /// Refused connections in a row after which the sidecar drains itself and probes the endpoint.
    std::uint32_t refusalsBeforeDrain = 3;
    Core::Duration probeInterval = std::chrono::milliseconds(250);
    /// Whether the endpoint counts as down until a probe has found that it answers.
    bool startsWithProbe = false;
    Ownership::TaskFenceSettings fence;
};

/// Decisions of a sidecar: grants credits, admits starts through the fence, queues, starts calls, returns results.
/// Pure: events go in through the functions, actions come out of `poll`.
class SidecarCore {
public:
    explicit SidecarCore(SidecarCoreSettings settings);

    /// A peer has connected; its first frame must be Hello.
    void connectionOpened(Core::SteadyTime now, ConnectionId connectionId);
    /// A connection was lost.
    void connectionClosed(ConnectionId connectionId);
    /// A frame arrived; frames of connections that were closed here are ignored.
    void frameReceived(
        Core::SteadyTime now, Core::WallTime wallNow, ConnectionId connectionId, Messages::PeerMessage message);
    /// A heartbeat of an entry arrived from a UDP address.
    void heartbeatReceived(
        Core::SteadyTime now, const Messages::EntryHeartbeat& heartbeat, const std::string& fromAddress);
    /// A call of the endpoint ended.
    void callFinished(Core::SteadyTime now, Core::WallTime wallNow, CallResult result);
    /// A probe of the endpoint ended.
    void probeFinished(Core::SteadyTime now, bool isAnswering);
    /// Takes no new work any more, answers queued tasks as never started, and lets running ones finish.
    void stop(Core::SteadyTime now);

    /// Actions that are due, in order.
    std::vector<Action> poll(Core::SteadyTime now, Core::WallTime wallNow);
    /// When `poll` has to be called although nothing else happens.
    Core::SteadyTime nextWakeUp() const;

    /// Whether `stop` was called and nothing runs or waits to be sent any more.
    bool isStopped() const;
    /// Whether new work is refused.
    bool isDraining() const { return this->isStopping || this->isDrainedByOperator || this->isEndpointDown; }
    Core::ConfigurationVersion configurationVersion() const { return this->configuration.version; }
    /// Tasks that run at the endpoint.
    std::size_t runningTasks() const { return this->running.size(); }
    /// Tasks in the queue.
    std::size_t queuedTasks() const { return this->queuedCount; }
    const SidecarCounts& counts() const { return this->tally; }
    const Ownership::TaskFence& taskFence() const { return this->fence; }

private:
    struct QueuedTask {
        Core::TaskKey task;
        Core::PartitionId partition = 0;
        std::uint32_t jobTaskCount = 0;
        std::string team;
        std::string kind;
        std::string payload;
        std::optional<Core::SteadyTime> deadline;
        Core::SteadyTime acceptedAt;
    };
    struct RunningTask {
        // Entry that gets the result; changes when a partition moves.
        Core::InstanceId entryId;
        // Entry whose credit the task uses.
        Core::InstanceId creditEntryId;
        Core::PartitionId partition = 0;
        std::uint32_t jobTaskCount = 0;
        std::int64_t queueMicroseconds = 0;
    };
    struct Entry {
        // 0 when not connected.
        ConnectionId connectionId = 0;
        std::deque<QueuedTask> queue;
        std::uint64_t creditSequence = 0;
        // Credits granted and recalled but not sent yet, and when the granted ones have to be sent.
        std::uint32_t granted = 0;
        std::uint32_t recalled = 0;
        Core::SteadyTime grantDueAt = Core::SteadyTime::max();
        Core::SteadyTime lastHeard;
        // Where heartbeats go; empty when none was received yet.
        std::string heartbeatAddress;
        Core::SteadyTime lastHeartbeat;
        // Whether a CreditUpdate must be sent even when it changes nothing.
        bool isUpdateDue = false;
    };
    // A slot held back after a failure.
    struct HeldSlot {
        Core::SteadyTime releaseAt;
        Core::InstanceId creditEntryId;
    };
    // Tasks of a job that are here.
    struct JobTasks {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
    };

    void takeHello(Core::SteadyTime now, ConnectionId connectionId, const Messages::Hello& hello);
    void take(
        Core::SteadyTime now, Core::WallTime wallNow, const Core::InstanceId& entryId, Messages::StartTasks& message);
    void take(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::RevokeTasks& message);
    void take(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::CreditReturn& message);
    void take(const Core::InstanceId& entryId, const Messages::RecoverPartition& message);
    void take(Core::SteadyTime now, const Messages::ConfigurationDelivery& message);

    // Reason to refuse every new task of a start, or None.
    Messages::TaskReason refusal(Core::SteadyTime now, const Messages::StartTasks& message, std::uint32_t used);
    // Answers a task that is in the fence already.
    void answerDuplicate(Core::SteadyTime now, const Core::InstanceId& entryId, const Core::TaskKey& task);
    // Moves the tasks of a partition to its new owner.
    void moveTasks(Core::PartitionId partition, const Core::InstanceId& entryId);
    // Starts the first queued tasks of an entry in slots that were assigned to it.
    void startQueued(Core::SteadyTime now, const Core::InstanceId& entryId, std::uint32_t count);
    // Takes the first queued task of an entry.
    QueuedTask popQueue(Entry& entry);
    // Answers every queued task as never started.
    void refuseQueue(Core::SteadyTime now, Messages::TaskReason reason);
    void answerNeverStarted(
        Core::SteadyTime now, const Core::InstanceId& entryId, const Core::TaskKey& task, Messages::TaskReason reason);
    // Latest time to send a result of a batched job after its slot was freed.
    Core::SteadyTime resultDue(Core::SteadyTime now, const Core::TaskKey& task, const RunningTask& ended) const;
    // Adjusts credits and heartbeats after `isDraining` may have changed.
    void drainingChanged(Core::SteadyTime now, bool wasDraining);
    // Learns from a result whether the endpoint works, and frees or holds back the slot.
    void judgeEndpoint(Core::SteadyTime now, const Messages::TaskResult& result, const Core::InstanceId& creditEntryId);
    // The endpoint works again: held slots come back.
    void endpointRecovered(Core::SteadyTime now);
    // Forgets an entry's connection with its credits and unsent results.
    void disconnect(Entry& entry, const Core::InstanceId& entryId);
    // When the credits granted to an entry have to be sent.
    Core::SteadyTime grantDue(const Core::InstanceId& entryId) const;
    // Passes a result on when its entry is connected.
    void addResult(
        const Core::InstanceId& entryId, const Core::JobId& jobId, Messages::TaskResult result, Core::SteadyTime dueAt);

    // Parts of `poll`.
    void releaseSlots(Core::SteadyTime now);
    void assignSlots(Core::SteadyTime now);
    void sendResults(Core::SteadyTime now);
    void sendBatch(Core::SteadyTime now, ResultBatch batch);
    void sendCredits(Core::SteadyTime now);
    void sendHeartbeats(Core::SteadyTime now);
    void closeSilent(Core::SteadyTime now);
    // Appends an action for the next `poll`.
    void act(Action action);
    // Appends a frame for an entry; drops it when the entry is not connected.
    void send(const Core::InstanceId& entryId, Messages::PeerMessage message);

    SidecarCoreSettings settings;
    Ownership::TaskFence fence;
    Dispatch::CreditAllocator allocator;
    ResultBatcher batcher;
    EndpointHealth health;
    Configuration::ConfigurationDocument configuration;
    std::map<Core::InstanceId, Entry> entries;
    // Connected entries; connections that have not said Hello are in `greeting` with the time of their opening.
    std::map<ConnectionId, Core::InstanceId> connections;
    std::map<ConnectionId, Core::SteadyTime> greeting;
    std::unordered_map<Core::TaskKey, RunningTask> running;
    std::unordered_map<Core::JobId, JobTasks> jobTasks;
    std::vector<HeldSlot> heldSlots;
    std::vector<Action> actions;
    std::size_t queuedCount = 0;
    std::size_t queuedBytes = 0;
    std::uint32_t refusedConnections = 0;
    Core::SteadyTime nextHeartbeat {};
    Core::SteadyTime nextExpiry {};
    Core::SteadyTime nextConfigurationFetch {};
    Core::SteadyTime nextProbe = Core::SteadyTime::max();
    bool isStopping = false;
    bool isDrainedByOperator = false;
    bool isEndpointDown = false;
    SidecarCounts tally;
};

}
