#include "ExplorerWorld.h"

#include <algorithm>

namespace celeryswitch::Explorer {

namespace {

// Faults and new jobs end before the schedule does. One schedule in sixteen is long enough for a takeover and the skew
// allowance to pass during one isolation.
constexpr Core::Duration shortFaults = std::chrono::seconds(17);
constexpr Core::Duration longFaults = std::chrono::seconds(38);
constexpr Core::Duration settleTime = std::chrono::seconds(7);
constexpr std::uint32_t slots = 2;

std::string addressOf(std::uint32_t process) { return "process-" + std::to_string(process); }

std::uint32_t processOf(const std::string& address)
{
    return static_cast<std::uint32_t>(std::stoul(address.substr(address.find('-') + 1)));
}

}

World::World(std::uint64_t seed, const Mechanisms& mechanisms, Coverage& coverage)
    : loop(seed)
    , mechanisms(mechanisms)
    , coverage(coverage)
    , entries(2 + (this->loop.happens(200) ? 1 : 0))
    , sidecars(2 + (this->loop.happens(200) ? 1 : 0))
    , network(this->loop,
          { [this](Place place) { return this->isAlive(place); },
              [this](std::uint32_t process) { return this->lifeOf(process); },
              [this](Place place, std::uint64_t connectionId) {
                  if (this->isEntry(place.process))
                      return this->toEntry(place, Entry::ConnectionOpened { connectionId });
                  SidecarNode& node = this->sidecarOf(place.process);
                  node.core->connectionOpened(node.clock.steady(this->loop), connectionId);
              },
              [this](Place place, std::uint64_t connectionId) {
                  if (this->isEntry(place.process))
                      return this->toEntry(place, Entry::ConnectionClosed { connectionId, "" });
                  this->sidecarOf(place.process).core->connectionClosed(connectionId);
                  this->planPoll(place, {});
              },
              [this](Place place, std::uint64_t connectionId, const Messages::PeerMessage& message) {
                  if (this->isEntry(place.process))
                      return this->toEntry(place, Entry::FrameReceived { connectionId, message });
                  SidecarNode& node = this->sidecarOf(place.process);
                  node.core->frameReceived(
                      node.clock.steady(this->loop), node.clock.wallTime(this->loop), connectionId, message);
                  this->planPoll(place, {});
              } })
    , state(this->loop, mechanisms)
    , callers(this->loop, coverage, static_cast<std::uint32_t>(this->entries.size()),
          [this](std::uint32_t entry, const Entry::CallerRequest& request) {
              if (!this->entries[entry].core)
                  return false;
              this->toEntry({ entry, this->entries[entry].life }, request);
              return true;
          })
    , isLong(this->loop.choose(16) == 0)
    , freezePerMille(this->loop.choose(3) == 0 ? 4 : 0)
{
}

void World::run()
{
    const auto count = static_cast<std::uint32_t>(this->entries.size() + this->sidecars.size());
    for (std::uint32_t process = 0; process < count; ++process) {
        if (this->isEntry(process))
            this->startEntry(process);
        else
            this->startSidecar(process);
        this->tick(process);
    }
    const Core::Duration faultsEnd = this->isLong ? longFaults : shortFaults;
    this->callers.plan(faultsEnd + std::chrono::seconds(1));
    this->planFaults(this->isLong ? std::chrono::seconds(10) : faultsEnd);
    this->loop.runUntil(faultsEnd + settleTime);
    this->coverage.transfers += this->state.transfers;
}

bool World::isAlive(Place place) const
{
    if (this->isEntry(place.process))
        return this->entries[place.process].life == place.life && this->entries[place.process].core;
    const SidecarNode& node = this->sidecars[place.process - this->entries.size()];
    return node.life == place.life && node.core;
}

std::uint32_t World::lifeOf(std::uint32_t process) const
{
    return this->isEntry(process) ? this->entries[process].life : this->sidecars[process - this->entries.size()].life;
}

void World::startEntry(std::uint32_t process)
{
    EntryNode& node = this->entries[process];
    const Place place { process, ++node.life };
    node.clock = NodeClock::draw(this->loop);
    node.inbox.clear();
    node.isPollPlanned = false;
    node.frozenUntil = {};
    Entry::EntryCoreSettings settings;
    settings.identity = { Messages::Role::Entry, addressOf(process), incarnationOf(place), "dc", "rack" };
    settings.peerAddress = settings.datagramAddress = addressOf(process);
    settings.isDeduplicationEnabled = this->mechanisms.hasJobTableLookup;
    settings.isLeaseCheckEnabled = this->mechanisms.hasLeaseCheck;
    settings.isRecoveryEnabled = this->mechanisms.hasRecovery;
    node.core = std::make_unique<Entry::EntryCore>(settings);
    this->planPoll(place, {});
}

void World::startSidecar(std::uint32_t process)
{
    SidecarNode& node = this->sidecarOf(process);
    const Place place { process, ++node.life };
    node.clock = NodeClock::draw(this->loop);
    node.isPollPlanned = false;
    Sidecar::SidecarCoreSettings settings;
    settings.identity
        = { Messages::Role::Sidecar, addressOf(process), incarnationOf(place), "dc", "rack", "service", slots };
    settings.fence.isEpochChecked = this->mechanisms.hasEpochCheck;
    settings.fence.isClockEchoChecked = this->mechanisms.hasClockEcho;
    node.core = std::make_unique<Sidecar::SidecarCore>(settings);
    this->registerSidecar(place);
    this->planPoll(place, {});
}

void World::registerSidecar(Place place)
{
    const Messages::Hello identity { Messages::Role::Sidecar, addressOf(place.process), incarnationOf(place), "dc",
        "rack", "service", slots };
    this->state.request([this, place] { return this->isAlive(place); },
        Messages::RegisterMember { { identity, addressOf(place.process), addressOf(place.process), {}, 0 } },
        std::chrono::seconds(5),
        [this, place](const std::optional<Messages::StateReply>& reply) {
            if (!reply && this->isAlive(place))
                this->registerSidecar(place);
        });
}

void World::stopProcess(std::uint32_t process, Core::Duration pause)
{
    const Place place { process, this->lifeOf(process) };
    if (!this->isAlive(place))
        return;
    this->network.processDied(place, this->loop.happens(300));
    if (this->isEntry(process))
        this->entries[process].core.reset();
    else
        this->sidecarOf(process).core.reset();
    this->loop.after(pause, [this, process] {
        if (this->isEntry(process))
            this->startEntry(process);
        else
            this->startSidecar(process);
    });
}

void World::toEntry(Place place, Entry::EntryEvent event)
{
    EntryNode& node = this->entries[place.process];
    if (!this->isAlive(place))
        return;
    if (node.frozenUntil > this->loop.now) {
        node.inbox.push_back(std::move(event));
        return;
    }
    node.core->handle(node.clock.steady(this->loop), node.clock.wall(this->loop), std::move(event));
    this->planPoll(place, {});
}

void World::planPoll(Place place, Core::Duration delay)
{
    bool& isPlanned = this->isEntry(place.process) ? this->entries[place.process].isPollPlanned
                                                   : this->sidecarOf(place.process).isPollPlanned;
    if (std::exchange(isPlanned, true))
        return;
    this->loop.after(delay + this->loop.span(0, 2), [this, place] {
        if (!this->isAlive(place))
            return;
        if (this->isEntry(place.process))
            this->pollEntry(place);
        else
            this->pollSidecar(place);
    });
}

void World::pollEntry(Place place)
{
    EntryNode& node = this->entries[place.process];
    node.isPollPlanned = false;
    if (node.frozenUntil > this->loop.now)
        return;
    std::vector<Entry::EntryAction> actions
        = node.core->poll(node.clock.steady(this->loop), node.clock.wall(this->loop));
    if (actions.empty() || !this->loop.happens(this->freezePerMille)) {
        this->performEntry(place, std::move(actions));
        return;
    }
    // The process stops between its decision and the effects.
    this->freeze(place.process, this->loop.span(200, 9000));
    const Core::Duration span = node.frozenUntil - this->loop.now;
    this->loop.after(span, [this, place, actions = std::move(actions)] { this->performEntry(place, actions); });
}

void World::freeze(std::uint32_t process, Core::Duration span)
{
    EntryNode& node = this->entries[process];
    const Place place { process, node.life };
    if (!this->isAlive(place) || node.frozenUntil > this->loop.now)
        return;
    node.frozenUntil = this->loop.now + span;
    this->loop.after(span + std::chrono::microseconds(1), [this, place] { this->thaw(place); });
}

void World::thaw(Place place)
{
    if (!this->isAlive(place))
        return;
    for (Entry::EntryEvent& event : std::exchange(this->entries[place.process].inbox, {}))
        this->toEntry(place, std::move(event));
    this->planPoll(place, {});
}

void World::performEntry(Place place, std::vector<Entry::EntryAction> actions)
{
    for (Entry::EntryAction& action : actions) {
        if (this->isAlive(place))
            this->performEntry(place, action);
    }
}

void World::performEntry(Place place, Entry::EntryAction& action)
{
    if (const auto* open = std::get_if<Entry::OpenConnection>(&action)) {
        this->network.connect(place, open->connectionId, processOf(open->address));
    } else if (const auto* frame = std::get_if<Entry::SendFrame>(&action)) {
        this->network.send(place, frame->connectionId, frame->message);
    } else if (const auto* close = std::get_if<Entry::CloseConnection>(&action)) {
        this->network.close(place, close->connectionId);
    } else if (const auto* sent = std::get_if<Entry::SendDatagram>(&action)) {
        const std::uint32_t to = processOf(sent->address);
        const auto heartbeat = std::get<Messages::EntryHeartbeat>(sent->datagram);
        this->datagram(place.process, to, [this, place, to, heartbeat] {
            SidecarNode& node = this->sidecarOf(to);
            if (node.core)
                node.core->heartbeatReceived(node.clock.steady(this->loop), heartbeat, addressOf(place.process));
        });
    } else if (auto* call = std::get_if<Entry::SendStateRequest>(&action)) {
        const std::uint64_t callId = call->callId;
        this->state.request(
            [this, place] {
                return this->isAlive(place) && this->entries[place.process].cutFromStateUntil <= this->loop.now;
            },
            call->body, call->timeout,
            [this, place, callId](std::optional<Messages::StateReply> reply) {
                this->toEntry(place, Entry::StateReplyReceived { callId, std::move(reply) });
            });
    } else if (const auto* answer = std::get_if<Entry::AnswerCaller>(&action)) {
        this->callers.answered(*answer);
    } else if (std::holds_alternative<Entry::StopFinished>(action)) {
        this->stopProcess(place.process, this->loop.span(10, 3000));
    }
}

void World::pollSidecar(Place place)
{
    SidecarNode& node = this->sidecarOf(place.process);
    node.isPollPlanned = false;
    for (Sidecar::Action& action : node.core->poll(node.clock.steady(this->loop), node.clock.wallTime(this->loop)))
        this->performSidecar(place, action);
}

void World::performSidecar(Place place, Sidecar::Action& action)
{
    if (const auto* frame = std::get_if<Sidecar::SendFrame>(&action)) {
        this->network.send(place, frame->connectionId, frame->message);
    } else if (const auto* close = std::get_if<Sidecar::CloseConnection>(&action)) {
        this->network.close(place, close->connectionId);
    } else if (const auto* sent = std::get_if<Sidecar::SendHeartbeat>(&action)) {
        const std::uint32_t to = processOf(sent->address);
        this->datagram(place.process, to, [this, to, heartbeat = sent->heartbeat] {
            this->toEntry({ to, this->entries[to].life }, Entry::DatagramReceived { heartbeat });
        });
    } else if (const auto* call = std::get_if<Sidecar::StartCall>(&action)) {
        this->startCall(place, *call);
    }
}

void World::startCall(Place place, const Sidecar::StartCall& call)
{
    Messages::TaskResult result;
    result.taskIndex = call.task.taskIndex;
    if (this->loop.happens(30)) {
        // The endpoint refuses the connection; nothing starts.
        result.reason = Messages::TaskReason::EndpointRefusedConnection;
    } else {
        this->callers.started(call.task);
        const bool isFailed = this->loop.happens(100);
        result.outcome = isFailed ? Messages::TaskOutcome::Failed : Messages::TaskOutcome::Succeeded;
        result.statusCode = isFailed ? 500 : 200;
        result.body = Callers::resultOf(call.task);
    }
    const Core::Duration runTime = this->loop.happens(100) ? this->loop.span(1000, 6000) : this->loop.span(1, 300);
    this->loop.after(runTime, [this, place, task = call.task, result] {
        if (!this->isAlive(place))
            return;
        SidecarNode& node = this->sidecarOf(place.process);
        node.core->callFinished(node.clock.steady(this->loop), node.clock.wallTime(this->loop), { task, result });
        this->planPoll(place, {});
    });
}

void World::datagram(std::uint32_t from, std::uint32_t to, std::function<void()> deliver)
{
    if (this->network.isBlocked(from, to) || this->loop.happens(100))
        return;
    if (this->loop.happens(50))
        this->loop.after(this->loop.span(0, 900), deliver);
    this->loop.after(this->loop.happens(50) ? this->loop.span(0, 900) : this->loop.span(0, 10), std::move(deliver));
}

void World::tick(std::uint32_t process)
{
    const Place place { process, this->lifeOf(process) };
    if (this->isAlive(place))
        this->planPoll(place, {});
    this->loop.after(this->loop.span(60, 160), [this, process] { this->tick(process); });
}

void World::planFaults(Core::Duration until)
{
    const std::uint32_t count = this->loop.choose(8);
    for (std::uint32_t number = 0; number < count; ++number)
        this->loop.after(this->loop.span(1000, static_cast<std::uint32_t>(until / std::chrono::milliseconds(1))),
            [this] { this->fault(); });
}

void World::fault()
{
    const auto entry = this->loop.choose(static_cast<std::uint32_t>(this->entries.size()));
    const auto sidecar = static_cast<std::uint32_t>(
        this->entries.size() + this->loop.choose(static_cast<std::uint32_t>(this->sidecars.size())));
    switch (this->loop.choose(11)) {
    case 0:
        return this->stopProcess(entry, this->loop.span(10, 8000));
    case 1:
        return this->stopProcess(sidecar, this->loop.span(10, 5000));
    case 2:
        return this->freeze(entry, this->loop.span(100, 9000));
    case 3:
        return this->network.breakBetween(entry, sidecar);
    case 4:
        return this->network.block(entry, sidecar, this->loop.span(100, 9000));
    case 5:
        return this->network.stall(entry, sidecar, this->loop.span(100, 9000));
    case 6:
        this->entries[entry].cutFromStateUntil = this->loop.now + this->loop.span(500, 9000);
        return;
    case 7:
        return this->state.changeLeader(this->loop.span(0, 2000));
    case 8:
        return this->toEntry({ entry, this->entries[entry].life }, Entry::StopRequested {});
    case 9:
        // The entry loses its lease while starts are on their way.
        this->entries[entry].cutFromStateUntil = this->loop.now + this->loop.span(4000, 12000);
        return this->network.stall(entry, sidecar, this->loop.span(4000, 12000));
    case 10:
        return this->isolate(entry, sidecar);
    }
}

// An entry loses the state service and the other entries, and keeps a sidecar that the others lose.
void World::isolate(std::uint32_t entry, std::uint32_t sidecar)
{
    const Core::Duration span = this->isLong ? this->loop.span(15000, 30000) : this->loop.span(4000, 12000);
    this->entries[entry].cutFromStateUntil = this->loop.now + span;
    for (std::uint32_t process = 0; process < this->entries.size(); ++process) {
        if (process == entry)
            continue;
        this->network.block(process, entry, span);
        this->network.block(process, sidecar, span);
    }
}

}
