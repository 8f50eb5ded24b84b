#include "celeryswitch/State/StateProcess.h"

#include "celeryswitch/Core/EventLoop.h"
#include "celeryswitch/State/ControlGateway.h"
#include "celeryswitch/State/GroupFormation.h"
#include "celeryswitch/State/PeerLinks.h"
#include "celeryswitch/State/ReplicaOrders.h"
#include "celeryswitch/State/StorageThread.h"
#include "celeryswitch/Storage/DataFolder.h"
#include "celeryswitch/Storage/SystemFileSystem.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <random>

namespace celeryswitch::State {

using Core::Result;
using Core::SteadyTime;
using Messages::StateRefusal;

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t handshakeLimit = 256;
// Time between two announcements of a replica that is not part of a group.
constexpr Core::Duration announcementInterval = std::chrono::milliseconds(100);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}

/// Threads and rings of a process.
class StateProcess::Implementation {
public:
    Implementation(StateSettings settings, LogHook log, Storage::DataFolder folder, Consensus::ReplicaStore store,
        StorageThread::Reopen reopen, Consensus::RecoveredState recovered)
        : settings(std::move(settings))
        , log(std::move(log))
        , folder(std::move(folder))
        , recovered(std::move(recovered))
        , work(boost::asio::make_work_guard(this->context))
        , links(this->context, this->settings.authenticationKeys, this->identity(),
              [this](LinkEvent event) { return this->inbound.tryPush(std::move(event)); })
        , inbound(ringCapacity, [this] { this->wakeup.notify(); })
        , outbound(ringCapacity, [this] { this->wakePeerThread(); })
        , storage(std::move(store), std::move(reopen), [this] { this->wakeup.notify(); })
    {
    }

    ~Implementation() { this->stop(); }

    // Serves operators; called before `start`.
    Result<void> serveControl(const std::string& address, const ControlProtocol& protocol, Logging::StructuredLog& log)
    {
        this->gateway.emplace(this->context, protocol, log, this->settings.allowance, this->identity(),
            this->settings.authenticationKeys, this->settings.evacuableDataCentres,
            [this](ClientRequest request) { return this->inbound.tryPush(std::move(request)); });
        BOOST_OUTCOME_TRY(this->gateway->listen(address));
        return Core::success();
    }

    // Listens and starts the threads.
    Result<void> start()
    {
        this->links.setConnectLimit(this->settings.connectLimit);
        this->links.setHandshakeLimit(
            Http::deriveLimits(this->settings.allowance, { .handshakes = handshakeLimit }).handshakes);
        BOOST_OUTCOME_TRY(this->boundAddress, this->links.listen(this->settings.peerAddress));
        if (this->settings.initialReplicas.empty())
            this->settings.initialReplicas[this->settings.replicaName] = this->boundAddress;
        this->orders.setKnownReplicas(this->settings.initialReplicas);
        if (this->folder.isFormed() || this->hasData()) {
            this->begin();
        } else {
            this->formation.emplace(this->settings.replicaName,
                Messages::ReplicaInfo { this->folder.replicaId(), this->boundAddress }, this->settings.initialReplicas);
            BOOST_OUTCOME_TRY(this->follow(this->formation->start()));
        }
        this->peerThread = std::thread([this] {
            Core::runEventLoop(this->context, [this](const std::string& detail) {
                if (this->log)
                    this->log("unexpected error: " + detail);
            });
        });
        this->decisionThread = std::thread([this] { this->decide(); });
        return Core::success();
    }

    void stop()
    {
        this->isStopping = true;
        this->wakeup.notify();
        if (this->decisionThread.joinable())
            this->decisionThread.join();
        if (this->peerThread.joinable()) {
            boost::asio::post(this->context, [this] {
                this->links.stop();
                if (this->gateway)
                    this->gateway->stop();
                this->work.reset();
                this->context.stop();
            });
            this->peerThread.join();
        }
    }

    void setKnownReplicas(std::map<std::string, std::string> addresses)
    {
        this->orders.setKnownReplicas(std::move(addresses));
    }

    void depart(std::function<void()> onDone)
    {
        this->orders.depart(Core::BootClock::now() + this->settings.departureLimit, std::move(onDone));
        this->wakeup.notify();
    }

    StateMetrics metrics() const
    {
        const SyncTimes times = this->storage.syncTimes();
        const std::lock_guard<std::mutex> guard(this->metricsMutex);
        StateMetrics result = this->published;
        result.syncs = times.count;
        result.syncTime = times.total;
        result.longestSync = times.longest;
        result.ringRefusals = this->inbound.refusedCount() + this->outbound.refusedCount();
        return result;
    }

    void collect(Metrics::MetricRegistry& registry) const
    {
        if (this->gateway)
            this->gateway->collect(registry);
    }

    const std::string& address() const { return this->boundAddress; }
    const std::string& replicaId() const { return this->folder.replicaId(); }

private:
    Messages::Hello identity() const
    {
        return { Messages::Role::State, this->folder.replicaId(), randomNumber(), this->settings.dataCentre,
            this->settings.rack, "", 0 };
    }

    // Whether the data folder holds anything that was promised.
    bool hasData() const
    {
        return this->recovered.term != 0 || this->recovered.snapshot || !this->recovered.entries.empty();
    }

    // Begins to take part with what was recovered.
    void begin()
    {
        StateCoreSettings coreSettings;
        coreSettings.replica.id = this->folder.replicaId();
        coreSettings.replica.address = this->boundAddress;
        coreSettings.replica.heartbeatInterval = this->settings.heartbeatInterval;
        coreSettings.replica.electionTimeoutMinimum = this->settings.electionTimeoutMinimum;
        coreSettings.replica.electionTimeoutMaximum = this->settings.electionTimeoutMaximum;
        coreSettings.replica.seed = randomNumber();
        coreSettings.snapshotThreshold = this->settings.snapshotThreshold;
        coreSettings.keeper.isEnabled = this->settings.isGroupKept;
        coreSettings.keeper.toleratedLosses = this->settings.toleratedLosses;
        this->recovered.initialGroup = this->folder.initialGroup();
        this->formation.reset();
        this->core.emplace(std::move(coreSettings), std::move(this->recovered), Core::BootClock::now());
        this->write("replica " + this->folder.replicaId() + " at " + this->boundAddress + " begins as "
            + std::string(Core::enumName(this->core->replica().role())));
    }

    // Begins anew with what the storage holds, as after a restart of the process.
    void beginAgain(Consensus::RecoveredState held)
    {
        this->write("storage works again, this replica begins anew");
        for (ClientReply& reply : this->core->refuseWaiting())
            this->send(std::move(reply));
        this->backlog.clear();
        ++this->storageOpenings;
        this->recovered = std::move(held);
        this->begin();
    }

    // Acts on a verdict about the first group.
    Result<void> follow(GroupFormation::Verdict verdict)
    {
        if (verdict == GroupFormation::Verdict::Undecided)
            return Core::success();
        if (verdict == GroupFormation::Verdict::Form) {
            BOOST_OUTCOME_TRY(this->folder.form(this->formation->group()));
        }
        this->begin();
        return Core::success();
    }

    // Decision thread.
    void decide()
    {
        while (!this->isStopping) {
            SteadyTime due = Core::BootClock::now() + announcementInterval;
            if (this->core) {
                this->step(Consensus::Tick {});
                if (this->settings.isGroupKept && !this->core->isDeparting()
                    && this->core->isWithoutLeader(Core::BootClock::now()))
                    this->announce();
            } else {
                this->announce();
            }
            this->inbound.drain([this](LinkEvent&& event) { this->take(std::move(event)); });
            this->storage.outcomes().drain([this](StorageOutcome&& outcome) { this->take(outcome); });
            this->pushBacklog();
            this->followDeparture();
            this->publish();
            if (this->core)
                due = std::min(due, this->core->nextWakeUp());
            this->wakeup.waitUntil(due);
        }
    }

    // Begins the departure that was asked for, and ends it when the group has answered or the time is up.
    void followDeparture()
    {
        if (!this->orders.isDeparting())
            return;
        if (this->core && !this->core->isDeparting())
            this->step(Depart {});
        const DepartureVerdict verdict = this->core ? this->core->departureVerdict() : DepartureVerdict::Removed;
        const bool isDecided = verdict != DepartureVerdict::Undecided;
        if (const std::function<void()> onDone = this->orders.takeDeparted(Core::BootClock::now(), isDecided)) {
            this->write("departure: " + std::string(Core::enumName(verdict)));
            onDone();
        }
    }

    void take(LinkEvent event)
    {
        if (auto* message = std::get_if<Messages::ConsensusMessage>(&event)) {
            if (const auto* announcement = std::get_if<Messages::ReplicaAnnouncement>(message))
                this->take(*announcement);
            else if (this->core)
                this->step(Consensus::MessageReceived { std::move(*message) });
        } else if (auto* request = std::get_if<ClientRequest>(&event)) {
            if (this->core)
                this->step(std::move(*request));
            else
                this->send(ClientReply {
                    request->connection, { request->request.requestId, StateRefusal::NotLeader, "", {} } });
        } else if (auto* gone = std::get_if<ClientGone>(&event)) {
            if (this->core)
                this->step(*gone);
        }
    }

    void take(const Messages::ReplicaAnnouncement& announcement)
    {
        if (announcement.isReplyWanted)
            this->send(Consensus::OutgoingMessage { { announcement.replica.id, "" }, this->announcement(false) });
        if (this->core)
            this->step(announcement);
        if (!this->formation)
            return;
        const Result<void> followed = this->follow(this->formation->received(announcement));
        if (!followed) {
            // The group must not run on a replica that may forget it; the next announcement tries again.
            this->write("can't record the first group: " + followed.error().message());
        }
    }

    void take(const StorageOutcome& outcome)
    {
        if (outcome.reopened) {
            this->beginAgain(*outcome.reopened);
        } else if (outcome.failure.empty()) {
            this->step(Consensus::StorageSynced { outcome.sequence });
        } else {
            this->write("storage failed, this replica stops voting: " + outcome.failure);
            this->step(Consensus::StorageFailed { outcome.failure });
        }
    }

    void step(StateInput input)
    {
        const std::int64_t wall = Core::toUnixMilliseconds(std::chrono::system_clock::now());
        StateOutput output = this->core->step(Core::BootClock::now(), wall, std::move(input));
        if (!output.storage.empty()) {
            this->backlog.push_back({ std::move(output.storage), output.storageSequence, this->storageOpenings });
            this->pushBacklog();
        }
        for (Consensus::OutgoingMessage& outgoing : output.messages) {
            ++this->messagesSent;
            this->send(std::move(outgoing));
        }
        for (ClientReply& reply : output.replies)
            this->send(std::move(reply));
    }

    void send(LinkOutput output) { this->outbound.tryPush(std::move(output)); }

    // Gives waiting writes to the storage thread; those that don't fit stay here.
    void pushBacklog()
    {
        while (!this->backlog.empty() && this->storage.tryPush(std::move(this->backlog.front())))
            this->backlog.pop_front();
    }

    Messages::ReplicaAnnouncement announcement(bool isReplyWanted) const
    {
        return { this->settings.replicaName, { this->folder.replicaId(), this->boundAddress },
            this->core.has_value() && (this->folder.isFormed() || this->core->replica().term() != 0),
            this->folder.initialGroup(), isReplyWanted };
    }

    // Asks the initial replicas what they are.
    void announce()
    {
        const SteadyTime now = Core::BootClock::now();
        if (now < this->nextAnnouncement)
            return;
        this->nextAnnouncement = now + announcementInterval;
        std::map<std::string, std::string> addresses = this->orders.knownReplicas();
        if (this->core) {
            for (const Messages::ReplicaInfo& voter : this->core->replica().log().group().voters)
                addresses.emplace(voter.address, voter.address);
        }
        for (const auto& [name, address] : addresses) {
            if (name != this->settings.replicaName && address != this->boundAddress)
                this->send(Consensus::OutgoingMessage { { name, address }, this->announcement(true) });
        }
    }

    void publish()
    {
        StateMetrics current;
        if (this->core) {
            current.role = this->core->replica().role();
            current.term = this->core->replica().term();
            current.commitIndex = this->core->replica().commitIndex();
            current.appliedIndex = this->core->appliedIndex();
            current.configurationVersion = this->core->machine().configuration().version;
            current.stopReason = this->core->replica().stopReason();
        }
        current.messagesSent = this->messagesSent;
        const std::lock_guard<std::mutex> guard(this->metricsMutex);
        if (current.role != this->published.role)
            this->write(
                "role " + std::string(Core::enumName(current.role)) + " in term " + std::to_string(current.term));
        this->published = std::move(current);
    }

    void wakePeerThread()
    {
        if (this->isPeerWoken.exchange(true))
            return;
        boost::asio::post(this->context, [this] {
            this->isPeerWoken = false;
            this->outbound.drain([this](LinkOutput&& output) {
                auto* reply = std::get_if<ClientReply>(&output);
                if (reply && reply->connection == ControlGateway::connection)
                    this->gateway->reply(std::move(reply->reply));
                else
                    this->links.send(std::move(output));
            });
        });
    }

    void write(const std::string& line) const
    {
        if (this->log)
            this->log(line);
    }

    StateSettings settings;
    LogHook log;
    Storage::DataFolder folder;
    Consensus::RecoveredState recovered;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    PeerLinks links;
    /// Serves operators, when they are served here.
    std::optional<ControlGateway> gateway;
    Wakeup wakeup;
    Core::Ring<LinkEvent> inbound;
    Core::Ring<LinkOutput> outbound;
    std::atomic<bool> isPeerWoken { false };
    StorageThread storage;
    std::string boundAddress;
    /// Decides about the first group, until there is a core.
    std::optional<GroupFormation> formation;
    std::optional<StateCore> core;
    /// Writes that the storage thread's ring did not take.
    std::deque<StorageBatch> backlog;
    /// How often the storage was opened again.
    std::uint64_t storageOpenings = 0;
    std::uint64_t messagesSent = 0;
    SteadyTime nextAnnouncement;
    ReplicaOrders orders;
    mutable std::mutex metricsMutex;
    StateMetrics published;
    std::atomic<bool> isStopping { false };
    std::thread peerThread;
    std::thread decisionThread;
};

StateProcess::Builder& StateProcess::Builder::setSettings(StateSettings value)
{
    this->settings = std::move(value);
    return *this;
}

StateProcess::Builder& StateProcess::Builder::setLog(LogHook value)
{
    this->log = std::move(value);
    return *this;
}

StateProcess::Builder& StateProcess::Builder::setFileSystem(Storage::FileSystem& value)
{
    this->files = &value;
    return *this;
}

StateProcess::Builder& StateProcess::Builder::setControl(
    std::string address, const ControlProtocol& value, Logging::StructuredLog& log)
{
    this->controlAddress = std::move(address);
    this->protocol = &value;
    this->controlLog = &log;
    return *this;
}

Result<std::unique_ptr<StateProcess>> StateProcess::Builder::start()
{
    static Storage::SystemFileSystem systemFiles;
    Storage::FileSystem& used = this->files ? *this->files : systemFiles;
    std::optional<Storage::FirstStart> firstStart;
    if (this->settings.isFirstStart)
        firstStart = GroupFormation::firstStart(this->settings.replicaName, this->settings.initialReplicas);
    BOOST_OUTCOME_TRY(Storage::DataFolder folder,
        Storage::DataFolder::open(used, this->settings.dataFolder, this->settings.replicaName,
            Storage::DataFolder::systemRandomSuffix, firstStart));
    Consensus::RecoveredState recovered;
    BOOST_OUTCOME_TRY(
        Consensus::ReplicaStore store, Consensus::ReplicaStore::open(used, this->settings.dataFolder, recovered));
    if (store.droppedBytes() > 0 && this->log)
        this->log("dropped " + std::to_string(store.droppedBytes()) + " bytes of a write that a crash cut off");
    auto implementation = std::make_unique<Implementation>(
        this->settings, this->log, std::move(folder), std::move(store),
        [&used, path = this->settings.dataFolder](
            Consensus::RecoveredState& held) { return Consensus::ReplicaStore::reopen(used, path, held); },
        std::move(recovered));
    if (this->protocol) {
        BOOST_OUTCOME_TRY(implementation->serveControl(this->controlAddress, *this->protocol, *this->controlLog));
    }
    BOOST_OUTCOME_TRY(implementation->start());
    return std::unique_ptr<StateProcess>(new StateProcess(std::move(implementation)));
}

StateProcess::StateProcess(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

StateProcess::~StateProcess() = default;

void StateProcess::setKnownReplicas(std::map<std::string, std::string> addresses)
{
    this->implementation->setKnownReplicas(std::move(addresses));
}

void StateProcess::depart(std::function<void()> onDone) { this->implementation->depart(std::move(onDone)); }

void StateProcess::stop() { this->implementation->stop(); }

const std::string& StateProcess::peerAddress() const { return this->implementation->address(); }

const std::string& StateProcess::replicaId() const { return this->implementation->replicaId(); }

StateMetrics StateProcess::metrics() const { return this->implementation->metrics(); }

void StateProcess::collect(Metrics::MetricRegistry& registry) const { this->implementation->collect(registry); }

}
