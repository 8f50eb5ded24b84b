#pragma once

#include "celeryswitch/Entry/RequestHandler.h"

namespace celeryswitch::Entry {

/// State of an entry core for metrics and readiness checks.
struct EntrySnapshot {
    EntryCounters counters;
    std::size_t runningJobs = 0;
    std::size_t storedJobs = 0;
    std::size_t storedBytes = 0;
    std::size_t waitingRequests = 0;
    std::size_t connectedSidecars = 0;
    std::size_t heldPartitions = 0;
    Core::ConfigurationVersion configurationVersion = 0;
    /// Whether leases and configuration are current and the entry is not stopping.
    bool isReady = false;
};

/// Decision logic of an entry: consumes events and produces actions. Performs no I/O and is deterministic; the same
/// calls give the same actions.
class EntryCore {
public:
    explicit EntryCore(EntryCoreSettings settings);
    EntryCore(const EntryCore&) = delete;
    EntryCore& operator=(const EntryCore&) = delete;

    /// Handles one event. `wallMilliseconds` is the wall clock time in milliseconds since 1970.
    void handle(Core::SteadyTime now, std::int64_t wallMilliseconds, EntryEvent event);
    /// Runs due timers and returns all actions produced since the last call, in order.
    std::vector<EntryAction> poll(Core::SteadyTime now, std::int64_t wallMilliseconds);
    /// Latest time of the next call of `poll` if no event arrives earlier.
    Core::SteadyTime nextWakeUp() const;
    /// Current state for metrics and readiness checks.
    EntrySnapshot snapshot() const;
    /// Latest fleet view received from the state replicas.
    const Messages::FleetView& view() const { return this->ownership.view(); }

private:
    void setTime(Core::SteadyTime now, std::int64_t wallMilliseconds);
    void handle(CallerRequest event);
    void handle(const ConnectionOpened& event);
    void handle(const ConnectionClosed& event);
    void handle(FrameReceived event);
    void handle(const DatagramReceived& event);
    void handle(const StateReplyReceived& event);
    void handle(const StopRequested& event);
    void handleSidecarFrame(ConnectionId connectionId, Messages::PeerMessage& message);
    void handleEntryFrame(ConnectionId connectionId, Messages::PeerMessage& message);
    void handleAcceptedFrame(ConnectionId connectionId, Messages::PeerMessage& message);
    void recordsReceived(
        const Core::InstanceId& sidecarId, ConnectionId connectionId, Messages::PartitionRecords& part);
    void sidecarConnected(const Core::InstanceId& sidecarId);
    void partitionGained(Core::PartitionId partition);
    void partitionLost(Core::PartitionId partition);
    void viewReceived(const Messages::FleetView& view);
    void deliverConfiguration(ConnectionId connectionId, Core::ConfigurationVersion knownVersion);
    void runSlowTick();
    void advanceStop();

    EntryContext context;
    Dispatch::Dispatcher dispatcher;
    Ownership::JobTable jobTable;
    Ownership::PartitionLeases leases;
    ReportSender reportSender;
    SidecarLinks sidecarLinks;
    JobRunner jobRunner;
    OwnershipClient ownership;
    EntryLinks entryLinks;
    RequestHandler requestHandler;
    // Connections accepted from other entries; the ID is empty until the peer's Hello arrives.
    std::map<ConnectionId, Core::InstanceId> acceptedConnections;
    // Records from multi-part RecoverPartition replies of which the last part has not arrived.
    std::map<std::pair<Core::InstanceId, Core::PartitionId>, std::vector<Messages::FenceRecord>> partialRecords;
    Core::ConfigurationVersion configurationVersion = 0;
    Core::SteadyTime nextTick {};
    Core::SteadyTime nextSlowTick {};
    bool isStopping = false;
    bool isLeaving = false;
    bool isStopped = false;
};

}
