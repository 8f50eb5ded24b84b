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

/// Settings of a SidecarCore; constant after construction.
struct SidecarCoreSettings {
    /// Identity sent in Hello: role, instance, incarnation, data centre, rack, service, slots.
    Messages::Hello identity;
    /// Time between heartbeats to an entry.
    Core::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Time without a message after which an entry counts as lost.
    Core::Duration entryTimeout = std::chrono::seconds(3);
    /// Jobs of at least this many tasks have their results batched.
    std::uint32_t batchedJobTasks = 200;
    /// Maximum number of results per message.
    std::size_t resultsPerBatch = 8;
    /// Maximum delay of a result whose slot the entry could use.
    Core::Duration shortResultDelay = std::chrono::milliseconds(20);
    /// Maximum delay of a result whose slot continues with the sidecar's queue. Nothing waits for such a result, since
    /// the job has more tasks on this sidecar.
    Core::Duration longResultDelay = std::chrono::milliseconds(400);
    /// Maximum number of tasks in the sidecar's queue, over all entries.
    std::size_t queuedTasksLimit = 4000;
    /// Maximum total payload size in the sidecar's queue, in bytes, over all entries.
    std::size_t queuedBytesLimit = 32 * 1024 * 1024;
    /// Consecutive refused connections after which the sidecar drains itself and probes the endpoint.
    std::uint32_t refusalsBeforeDrain = 3;
    Core::Duration probeInterval = std::chrono::milliseconds(250);
    /// Whether the endpoint counts as down until the first successful probe.
    bool startsWithProbe = false;
    Ownership::TaskFenceSettings fence;
};

/// Decision logic of a sidecar: grants credits, admits starts through the fence, queues tasks, starts calls, returns
/// results. Deterministic, without I/O: events are passed to the functions, and `poll` returns the actions.
class SidecarCore {
public:
    explicit SidecarCore(SidecarCoreSettings settings);

    /// Handles a new connection of a peer, whose first frame must be Hello.
    void connectionOpened(Core::SteadyTime now, ConnectionId connectionId);
    /// Handles the loss of a connection.
    void connectionClosed(ConnectionId connectionId);
    /// Handles a frame; frames of connections closed by this sidecar are ignored.
    void frameReceived(
        Core::SteadyTime now, Core::WallTime wallNow, ConnectionId connectionId, Messages::PeerMessage message);
    /// Handles a heartbeat that an entry sent from a UDP address.
    void heartbeatReceived(
        Core::SteadyTime now, const Messages::EntryHeartbeat& heartbeat, const std::string& fromAddress);
    /// Handles the end of a call to the endpoint.
    void callFinished(Core::SteadyTime now, Core::WallTime wallNow, CallResult result);
    /// Handles the result of a probe of the endpoint.
    void probeFinished(Core::SteadyTime now, bool isReachable);
    /// Refuses new tasks from now on, answers queued ones as never started, and lets running ones finish.
    void stop(Core::SteadyTime now);

    /// Returns the actions that are due, in the order of execution.
    std::vector<Action> poll(Core::SteadyTime now, Core::WallTime wallNow);
    /// Time at which `poll` has to be called if no event occurs earlier.
    Core::SteadyTime nextWakeUp() const;

    /// Whether `stop` was called, no task runs and every result was sent.
    bool isStopped() const;
    /// Whether new tasks are refused.
    bool isDraining() const { return this->isStopping || this->isDrainedByOperator || this->isEndpointDown; }
    Core::ConfigurationVersion configurationVersion() const { return this->configuration.version; }
    /// Number of tasks that run at the endpoint.
    std::size_t runningTasks() const { return this->running.size(); }
    /// Number of queued tasks.
    std::size_t queuedTasks() const { return this->queuedCount; }
    const SidecarCounts& counts() const { return this->counters; }
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
        // Granted and recalled credits that were not sent yet, and the time by which the grants must be sent.
        std::uint32_t granted = 0;
        std::uint32_t recalled = 0;
        Core::SteadyTime grantDueAt = Core::SteadyTime::max();
        Core::SteadyTime lastMessageAt;
        // Destination of heartbeats; empty until the first heartbeat of the entry.
        std::string heartbeatAddress;
        Core::SteadyTime lastHeartbeat;
        // Whether a CreditUpdate must be sent even when it changes nothing.
        bool isUpdateDue = false;
    };
    // A slot withheld after a failure.
    struct HeldSlot {
        Core::SteadyTime releaseAt;
        Core::InstanceId creditEntryId;
    };
    // Numbers of tasks of a job on this sidecar.
    struct JobTasks {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
    };

    void handleHello(Core::SteadyTime now, ConnectionId connectionId, const Messages::Hello& hello);
    void handle(
        Core::SteadyTime now, Core::WallTime wallNow, const Core::InstanceId& entryId, Messages::StartTasks& message);
    void handle(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::RevokeTasks& message);
    void handle(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::CreditReturn& message);
    void handle(const Core::InstanceId& entryId, const Messages::RecoverPartition& message);
    void handle(Core::SteadyTime now, const Messages::ConfigurationDelivery& message);

    // Reason to refuse every new task of a start, or None.
    Messages::TaskReason refusal(Core::SteadyTime now, const Messages::StartTasks& message, std::uint32_t used);
    // Answers a start of a task that the fence has already recorded.
    void answerDuplicate(Core::SteadyTime now, const Core::InstanceId& entryId, const Core::TaskKey& task);
    // Assigns the tasks of a partition to its new owner.
    void transferTasks(Core::PartitionId partition, const Core::InstanceId& entryId);
    // Starts up to `count` queued tasks of an entry in slots assigned to it.
    void startQueued(Core::SteadyTime now, const Core::InstanceId& entryId, std::uint32_t count);
    // Removes and returns the first queued task of an entry.
    QueuedTask popQueue(Entry& entry);
    // Answers every queued task as never started.
    void refuseQueue(Core::SteadyTime now, Messages::TaskReason reason);
    void answerNeverStarted(
        Core::SteadyTime now, const Core::InstanceId& entryId, const Core::TaskKey& task, Messages::TaskReason reason);
    // Time by which a result must be sent; later than `now` only for batched jobs.
    Core::SteadyTime resultDeadline(Core::SteadyTime now, const Core::TaskKey& task, const RunningTask& ended) const;
    // Updates credits, heartbeats and the queue if `isDraining` has changed.
    void drainingChanged(Core::SteadyTime now, bool wasDraining);
    // Updates the endpoint's health from a result, and frees or withholds the slot.
    void updateEndpointHealth(
        Core::SteadyTime now, const Messages::TaskResult& result, const Core::InstanceId& creditEntryId);
    // Releases withheld slots after the endpoint has recovered.
    void endpointRecovered(Core::SteadyTime now);
    // Removes the connection of an entry, its credits and its unsent results.
    void disconnect(Entry& entry, const Core::InstanceId& entryId);
    // Time by which the credits granted to an entry must be sent.
    Core::SteadyTime grantDeadline(const Core::InstanceId& entryId) const;
    // Adds a result to a batch if its entry is connected.
    void addResult(
        const Core::InstanceId& entryId, const Core::JobId& jobId, Messages::TaskResult result, Core::SteadyTime dueAt);

    // Steps of `poll`.
    void releaseSlots(Core::SteadyTime now);
    void assignSlots(Core::SteadyTime now);
    void sendResults(Core::SteadyTime now);
    void sendBatch(Core::SteadyTime now, ResultBatch batch);
    void sendCredits(Core::SteadyTime now);
    void sendHeartbeats(Core::SteadyTime now);
    void closeTimedOutConnections(Core::SteadyTime now);
    // Adds an action that the next `poll` returns.
    void addAction(Action action);
    // Adds a frame for an entry; ignored if the entry is not connected.
    void send(const Core::InstanceId& entryId, Messages::PeerMessage message);

    SidecarCoreSettings settings;
    Ownership::TaskFence fence;
    Dispatch::CreditAllocator allocator;
    ResultBatcher batcher;
    EndpointHealth health;
    Configuration::ConfigurationDocument configuration;
    std::map<Core::InstanceId, Entry> entries;
    // Entries by connection; connections that have not sent Hello are in `unidentifiedConnections`, with the time at
    // which they were opened.
    std::map<ConnectionId, Core::InstanceId> connections;
    std::map<ConnectionId, Core::SteadyTime> unidentifiedConnections;
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
    SidecarCounts counters;
};

}
