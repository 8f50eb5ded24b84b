// Links between the entries and the sidecars of the simulated fleet.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr Duration linkCheckInterval = std::chrono::milliseconds(50);
constexpr Duration linkTimeout = std::chrono::milliseconds(550);
constexpr Duration sameDataCentreDelay = std::chrono::microseconds(300);
constexpr Duration crossDataCentreDelay = std::chrono::microseconds(1400);

}

Duration LeasedFleet::delay(std::size_t entry, std::size_t worker) const
{
    return entry % 3 == worker % 3 ? sameDataCentreDelay : crossDataCentreDelay;
}

// A connection delivers what was sent during a cut afterwards, and keeps the order of its messages.
SteadyTime LeasedFleet::arrivalTime(
    const Link& link, std::size_t entry, std::size_t worker, SteadyTime& lastArrivalAt) const
{
    SteadyTime arrival = std::max(this->events.now(), link.cutUntil) + this->delay(entry, worker);
    if (this->events.now() < link.slowUntil)
        arrival += std::chrono::duration_cast<SteadyTime::duration>(link.slowDelay);
    lastArrivalAt = std::max(lastArrivalAt, arrival);
    return lastArrivalAt;
}

// Selects the links of all entries; another prefix of the entries' names results in other links.
void LeasedFleet::selectLinks(const std::string& entryPrefix)
{
    std::vector<Messages::Member> members;
    const auto add = [&members](Messages::Role role, std::string id) {
        members.emplace_back();
        members.back().identity.role = role;
        members.back().identity.instanceId = std::move(id);
    };
    for (std::size_t entry = 0; entry < this->options.entries; ++entry)
        add(Messages::Role::Entry, entryPrefix + std::to_string(entry));
    for (std::size_t worker = 0; worker < this->options.workers; ++worker)
        add(Messages::Role::Sidecar, std::to_string(worker));
    this->linkedWorkers.assign(this->options.entries, {});
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        for (const Messages::Member& sidecar :
            Scheduling::LinkSubset(entryPrefix + std::to_string(entry), this->options.links).select(members))
            this->linkedWorkers[entry].insert(std::stoul(sidecar.identity.instanceId));
        if (entry < this->entries.size() && this->entries[entry]->isUp)
            this->receiveInput(entry, { EntryInputKind::Local, [this, entry] { this->applyLinks(entry); } });
    }
}

void LeasedFleet::applyLinks(std::size_t entry)
{
    std::set<Core::InstanceId> sidecars;
    for (std::size_t worker : this->linkedWorkers[entry])
        sidecars.insert(std::to_string(worker));
    Entry& linked = *this->entries[entry];
    linked.scheduler->setLinkedSidecars(linked.now(this->events.now()), std::move(sidecars));
    this->pollEntry(entry);
}

void LeasedFleet::connect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    Entry& entry = *this->entries[entryIndex];
    Sidecar& sidecar = *this->sidecars[worker];
    if (link.isOpen || this->linkedWorkers[entryIndex].count(worker) == 0 || !entry.isUp || !sidecar.isUp
        || this->events.now() < link.cutUntil || this->events.now() < entry.frozenUntil
        || this->events.now() < sidecar.frozenUntil)
        return;
    link.isOpen = true;
    link.connectionId = ++this->lastId;
    link.lastReceivedAt = this->events.now();
    link.lastArrivalAtSidecar = {};
    link.lastArrivalAtEntry = {};
    sidecar.supervisor->entryConnected(this->events.now(), link.connectionId,
        { Messages::Role::Entry, "entry-" + std::to_string(entryIndex), entry.incarnation, "", "", "", 0 });
    Messages::Member member;
    member.identity.instanceId = std::to_string(worker);
    member.identity.dataCentre = "dc-" + std::to_string(worker % 3);
    const auto accept = [this, entryIndex, member] {
        Entry& linked = *this->entries[entryIndex];
        linked.scheduler->sidecarConnected(linked.now(this->events.now()), member);
    };
    if (this->hasProcessor())
        this->receiveInput(entryIndex, { EntryInputKind::Local, accept });
    else
        accept();
    this->pollSidecar(worker);
    this->pollEntry(entryIndex);
}

void LeasedFleet::disconnect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    if (!std::exchange(link.isOpen, false))
        return;
    const std::uint64_t number = std::exchange(link.connectionId, 0);
    if (this->entries[entryIndex]->isUp)
        this->receiveInput(entryIndex, { EntryInputKind::Local, [this, entryIndex, worker] {
                                            this->entries[entryIndex]->scheduler->sidecarDisconnected(
                                                std::to_string(worker));
                                        } });
    if (!this->sidecars[worker]->isUp || this->events.now() < link.cutUntil)
        return;
    this->runWhenAwake(*this->sidecars[worker], [this, worker, number] {
        this->sidecars[worker]->supervisor->entryDisconnected(this->events.now(), number);
        this->pollSidecar(worker);
    });
}

void LeasedFleet::maintainLinks()
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker) {
            const Link& link = this->links[{ entry, worker }];
            if (link.isOpen && this->events.now() - link.lastReceivedAt > linkTimeout
                && this->events.now() >= this->entries[entry]->frozenUntil)
                this->disconnect(entry, worker);
            else if (this->linkedWorkers[entry].count(worker) == 0)
                this->removeUnusedLink(entry, worker);
            else if (!link.isOpen)
                this->connect(entry, worker);
        }
    }
    this->events.scheduleAfter(linkCheckInterval, [this] { this->maintainLinks(); });
}

// Removes a link that the entry no longer needs, once none of its runs is left there.
void LeasedFleet::removeUnusedLink(std::size_t entry, std::size_t worker)
{
    if (!this->entries[entry]->isUp || this->events.now() < this->entries[entry]->frozenUntil)
        return;
    Scheduling::JobScheduler& scheduler = *this->entries[entry]->scheduler;
    const Core::InstanceId sidecar = std::to_string(worker);
    if (scheduler.hasRuns(sidecar))
        return;
    this->disconnect(entry, worker);
    scheduler.removeSidecar(sidecar);
}

void LeasedFleet::cutOffSidecars()
{
    const SteadyTime until
        = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(this->options.cutOff.length);
    for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker) {
        // Spread evenly, so that all classes of workers lose the same share.
        const double share = this->options.cutOffShare;
        const bool isCutOff = this->options.cutOffRack.empty()
            ? std::floor(static_cast<double>(worker + 1) * share) > std::floor(static_cast<double>(worker) * share)
            : this->rackOf(worker) == this->options.cutOffRack;
        if (!isCutOff)
            continue;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
            this->links[{ entry, worker }].cutUntil = until;
    }
}

}
