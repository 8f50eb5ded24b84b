#pragma once

#include "celeryswitch/Entry/RequestHandler.h"

namespace celeryswitch::Entry {

/// What an entry's core shows of its state.
struct EntrySnapshot {
    EntryCounters counters;
    std::size_t runningJobs = 0;
    std::size_t rememberedJobs = 0;
    std::size_t storedBytes = 0;
    std::size_t waitingRequests = 0;
    std::size_t connectedSidecars = 0;
    std::size_t heldPartitions = 0;
    Core::ConfigurationVersion configurationVersion = 0;
    /// Whether new submissions are accepted, as far as leases and configuration go.
    bool isReady = false;
};

/// All decisions of an entry: events come in, actions go out. Pure; the same calls give the same actions.
class EntryCore {
public:
    explicit EntryCore(EntryCoreSettings settings);
    EntryCore(const EntryCore&) = delete;
    EntryCore& operator=(const EntryCore&) = delete;

    /// Handles one event. `wallMilliseconds` is the wall clock in milliseconds since 1970.
    void handle(Core::SteadyTime now, std::int64_t wallMilliseconds, EntryEvent event);
    /// Does what is due and returns every action since the last call, in order.
    std::vector<EntryAction> poll(Core::SteadyTime now, std::int64_t wallMilliseconds);
    /// Time by which `poll` has to be called although nothing else happens.
    Core::SteadyTime nextWakeUp() const;
    /// State for metrics and readiness.
    EntrySnapshot snapshot() const;
    /// Newest view of the fleet.
    const Messages::FleetView& view() const { return this->driver.view(); }

private:
    void setTime(Core::SteadyTime now, std::int64_t wallMilliseconds);
    void handle(CallerRequest event);
    void handle(const ConnectionOpened& event);
    void handle(const ConnectionClosed& event);
    void handle(FrameReceived event);
    void handle(const DatagramReceived& event);
    void handle(const StateReplied& event);
    void handle(const StopRequested& event);
    void sidecarFrame(ConnectionId connectionId, Messages::PeerMessage& message);
    void entryFrame(ConnectionId connectionId, Messages::PeerMessage& message);
    void acceptedFrame(ConnectionId connectionId, Messages::PeerMessage& message);
    void recordsReceived(
        const Core::InstanceId& sidecarId, ConnectionId connectionId, Messages::PartitionRecords& part);
    void sidecarOpened(const Core::InstanceId& sidecarId);
    void partitionGained(Core::PartitionId partition);
    void partitionLost(Core::PartitionId partition);
    void viewReceived(const Messages::FleetView& view);
    void deliverConfiguration(ConnectionId connectionId, Core::ConfigurationVersion knownVersion);
    void tickSlowly();
    void tickStop();

    EntryContext context;
    Dispatch::Dispatcher dispatcher;
    Ownership::JobTable table;
    Ownership::PartitionLeases leases;
    ReportSender report;
    SidecarLinks links;
    JobRunner runner;
    OwnershipDriver driver;
    Forwarding forwarding;
    RequestHandler requests;
    // Entries that connected here; the name is empty until their Hello.
    std::map<ConnectionId, Core::InstanceId> accepted;
    // Parts of answers to RecoverPartition that are not whole yet.
    std::map<std::pair<Core::InstanceId, Core::PartitionId>, std::vector<Messages::FenceRecord>> partialRecords;
    Core::ConfigurationVersion configurationVersion = 0;
    Core::SteadyTime nextTick {};
    Core::SteadyTime nextSlowTick {};
    bool isStopping = false;
    bool isLeaving = false;
    bool isStopped = false;
};

}
