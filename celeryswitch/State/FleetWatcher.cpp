#include "celeryswitch/State/FleetWatcher.h"

#include "celeryswitch/Network/MessageCodec.h"
#include <algorithm>

namespace celeryswitch::State {

using Logging::LogLevel;
using Messages::StateRefusal;

namespace {

constexpr std::uint32_t watchMilliseconds = 500;
// The same before the first view: a replica that has just started has no news until it finds a leader.
constexpr std::uint32_t firstWatchMilliseconds = 60;
constexpr Core::Duration watchTimeout = std::chrono::seconds(4);
constexpr Core::Duration requestTimeout = std::chrono::seconds(4);
constexpr Core::Duration failurePause = std::chrono::milliseconds(100);
// Pause after a view with news, so that many changes in a row arrive as one.
constexpr Core::Duration newsPause = std::chrono::milliseconds(25);

StateClientSettings clientSettings(const FleetWatcherSettings& settings, std::uint64_t seed)
{
    StateClientSettings result;
    result.identity = settings.identity;
    result.replicas = settings.replicas;
    result.attemptTimeout = std::chrono::milliseconds(400);
    result.seed = seed;
    return result;
}

}

FleetWatcher::FleetWatcher(boost::asio::io_context& context, Network::PeerTransport& transport,
    Logging::StructuredLog& log, FleetWatcherSettings settings, Handlers handlers)
    : log(log)
    , settings(std::move(settings))
    , handlers(std::move(handlers))
    , watchClient(context, transport, clientSettings(this->settings, this->settings.seed))
    , memberClient(context, transport, clientSettings(this->settings, this->settings.seed + 1))
    , watchTimer(context)
    , memberTimer(context)
    , freshness(Core::BootClock::now(), this->settings.contactAgeLimit)
{
}

void FleetWatcher::start()
{
    if (this->settings.isWatching)
        this->watch();
    if (this->settings.registration)
        this->registerMember();
}

void FleetWatcher::setReplicas(std::vector<std::string> addresses)
{
    this->settings.replicas = std::move(addresses);
    this->useReplicas();
}

void FleetWatcher::setRegistration(Messages::Member member)
{
    this->settings.registration = std::move(member);
    this->registerMember();
}

void FleetWatcher::stop()
{
    this->alive.reset();
    this->watchTimer.cancel();
    this->memberTimer.cancel();
    this->watchClient.stop();
    this->memberClient.stop();
}

void FleetWatcher::useReplicas()
{
    std::vector<std::string> addresses = this->learned;
    for (const std::string& address : this->settings.replicas) {
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
            addresses.push_back(address);
    }
    this->watchClient.setReplicas(addresses);
    this->memberClient.setReplicas(std::move(addresses));
}

void FleetWatcher::later(boost::asio::steady_timer& timer, Core::Duration span, void (FleetWatcher::*next)())
{
    timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(span));
    timer.async_wait([this, guard = std::weak_ptr<bool>(this->alive), next](const boost::system::error_code& error) {
        if (!error && !guard.expired())
            (this->*next)();
    });
}

void FleetWatcher::watch()
{
    const std::uint32_t wait = this->viewVersion == 0 ? firstWatchMilliseconds : watchMilliseconds;
    this->watchClient.request(
        Messages::WatchChanges { Messages::WatchView { this->viewVersion, wait, this->knownRoutingVersion } },
        watchTimeout,
        [this, guard = std::weak_ptr<bool>(this->alive)](const Core::Result<Messages::StateReply>& reply) {
            if (guard.expired())
                return;
            const auto* changes = reply ? std::get_if<Messages::FleetChanges>(&reply.value().body) : nullptr;
            if (!changes) {
                this->log.write(LogLevel::Warning, "no state replica answers",
                    { { "detail", reply ? reply.value().detail : reply.error().message() } });
                this->later(this->watchTimer, failurePause, &FleetWatcher::watch);
                return;
            }
            if (this->changesReceived(*changes))
                this->watch();
            else
                this->later(this->watchTimer, newsPause, &FleetWatcher::watch);
        });
}

bool FleetWatcher::changesReceived(const Messages::FleetChanges& changes)
{
    const Messages::FleetView& view = changes.view;
    if (!view.replicas.empty() && view.replicas != this->learned) {
        this->learned = view.replicas;
        this->useReplicas();
    }
    const std::chrono::milliseconds contactAge { view.contactAgeMilliseconds };
    const bool wasFresh = std::exchange(this->isFresh, this->freshness.isFresh(contactAge));
    if (!this->isFresh) {
        if (wasFresh)
            this->log.write(LogLevel::Warning, "state replica without a leader",
                { { "replica", this->watchClient.currentReplica() }, { "age_ms", view.contactAgeMilliseconds } });
        this->watchClient.leaveReplica();
    }
    // A replica that is behind must not take this process back.
    if (view.isUnchanged || view.viewVersion <= this->viewVersion)
        return this->isFresh;
    if (!this->freshness.isUsable(Core::BootClock::now(), contactAge, this->viewVersion == 0))
        return false;
    this->viewVersion = view.viewVersion;
    // Members come first: requests that wait for the document need them.
    this->evacuationsReceived(view.evacuatedDataCentres);
    this->membersReceived(changes);
    this->routingReceived(view);
    return false;
}

void FleetWatcher::membersReceived(const Messages::FleetChanges& changes)
{
    if (changes.isWhole)
        this->members.clear();
    for (const Messages::Member& member : changes.view.members) {
        if (member.removedAt == 0)
            this->members[member.identity.instanceId] = member;
        else
            this->members.erase(member.identity.instanceId);
    }
    std::vector<Messages::Member> all;
    for (const auto& [instanceId, member] : this->members)
        all.push_back(member);
    if (this->handlers.onMembers && (changes.isWhole || !changes.view.members.empty()))
        this->handlers.onMembers(all);
}

void FleetWatcher::routingReceived(const Messages::FleetView& view)
{
    if (view.routingVersion <= this->knownRoutingVersion || view.routing.empty())
        return;
    Core::Result<Configuration::RoutingDocument> document
        = Network::decodeMessage<Configuration::RoutingDocument>(view.routing);
    if (!document) {
        this->log.write(LogLevel::Error, "routing document can't be read",
            { { "version", view.routingVersion }, { "detail", document.error().message() } });
        return;
    }
    this->knownRoutingVersion = view.routingVersion;
    this->log.write(LogLevel::Info, "routing document in force", { { "version", view.routingVersion } });
    if (this->handlers.onRouting)
        this->handlers.onRouting(std::move(document).value());
}

void FleetWatcher::evacuationsReceived(const std::vector<std::string>& dataCentres)
{
    std::set<std::string> received(dataCentres.begin(), dataCentres.end());
    if (received == this->evacuated)
        return;
    this->evacuated = std::move(received);
    std::string names;
    for (const std::string& dataCentre : this->evacuated)
        names += (names.empty() ? "" : ",") + dataCentre;
    this->log.write(LogLevel::Info, "evacuations changed", { { "data_centres", names } });
    if (this->handlers.onEvacuations)
        this->handlers.onEvacuations(this->evacuated);
}

void FleetWatcher::registerMember()
{
    this->memberClient.request(Messages::RegisterMember { *this->settings.registration }, requestTimeout,
        [this, guard = std::weak_ptr<bool>(this->alive)](const Core::Result<Messages::StateReply>& reply) {
            if (guard.expired())
                return;
            const bool isDone = reply && reply.value().refusal == StateRefusal::None;
            this->log.write(isDone ? LogLevel::Info : LogLevel::Warning, isDone ? "registered" : "not registered",
                { { "detail", reply ? reply.value().detail : reply.error().message() } });
            if (isDone && !this->settings.isWatching && this->handlers.onEvacuations) {
                // Without watching, only a renewal shows which data centres are evacuated.
                this->renew();
                return;
            }
            this->later(this->memberTimer, isDone ? this->settings.renewalInterval : failurePause,
                isDone ? &FleetWatcher::renew : &FleetWatcher::registerMember);
        });
}

void FleetWatcher::renew()
{
    this->memberClient.request(
        Messages::RenewLeases { this->settings.identity.instanceId, this->settings.identity.incarnation },
        requestTimeout,
        [this, guard = std::weak_ptr<bool>(this->alive)](const Core::Result<Messages::StateReply>& reply) {
            if (guard.expired())
                return;
            const auto* grant = reply ? std::get_if<Messages::LeaseGrant>(&reply.value().body) : nullptr;
            if (grant && !this->settings.isWatching)
                this->evacuationsReceived(grant->evacuatedDataCentres);
            if (reply && reply.value().refusal == StateRefusal::UnknownMember)
                this->registerMember();
            else
                this->later(
                    this->memberTimer, reply ? this->settings.renewalInterval : failurePause, &FleetWatcher::renew);
        });
}

}
