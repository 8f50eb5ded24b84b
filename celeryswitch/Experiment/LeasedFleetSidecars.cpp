// Sidecars of the simulated fleet.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

// As in WorkerSidecarSettings.
constexpr Duration drainTimeout = std::chrono::seconds(3);

}

void LeasedFleet::startSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    sidecar.restart();
    sidecar.drainDeadline = SteadyTime::max();
    sidecar.calls.clear();
    Workers::SupervisorSettings settings;
    settings.incarnation = sidecar.incarnation;
    settings.firstFencingToken
        = static_cast<std::uint64_t>(Core::toClockSample(sidecar.timeOfDay(this->events.now())) / 1000);
    if (!this->options.mechanisms.isLeaseLimited)
        settings.callerRetryDelay = std::chrono::hours(1);
    if (!this->options.mechanisms.isEntryTimeoutEnabled)
        settings.entryTimeout = std::chrono::hours(1);
    sidecar.supervisor = std::make_unique<Workers::RunSupervisor>(
        settings, this->logOf("side-" + std::to_string(index)), this->registry, this->events.now());
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->connect(entry, index);
    this->pollSidecar(index);
}

void LeasedFleet::killSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.isUp)
        return;
    sidecar.isUp = false;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->disconnect(entry, index);
    sidecar.supervisor.reset();
    this->events.scheduleAfter(restartDelay, [this, index] { this->startSidecar(index); });
}

void LeasedFleet::replaceSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    this->runWhenAwake(sidecar, [this, index] {
        Sidecar& draining = *this->sidecars[index];
        this->note("side-" + std::to_string(index), "model: sidecar drains", {});
        draining.supervisor->drain();
        draining.drainDeadline = std::min(draining.drainDeadline,
            this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(drainTimeout));
        this->pollSidecar(index);
        this->events.scheduleAt(draining.drainDeadline, [this, index, incarnation = draining.incarnation] {
            if (this->sidecars[index]->incarnation == incarnation)
                this->pollSidecar(index);
        });
    });
}

// Ends a draining sidecar after the poll that reported its last run.
void LeasedFleet::finishDraining(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (sidecar.drainDeadline == SteadyTime::max()
        || (sidecar.supervisor->activeRuns() > 0 && this->events.now() < sidecar.drainDeadline))
        return;
    this->events.scheduleAfter({}, [this, index, incarnation = sidecar.incarnation] {
        if (this->sidecars[index]->incarnation == incarnation)
            this->killSidecar(index);
    });
}

// Nobody is told: the entries notice the silence, and the worker continues.
void LeasedFleet::cutPowerOfSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.isUp)
        return;
    this->note("side-" + std::to_string(index), "model: power lost", {});
    sidecar.isUp = false;
    sidecar.supervisor.reset();
    this->events.scheduleAfter(seconds(2 + 4 * this->uniform()), [this, index] { this->startSidecar(index); });
}

void LeasedFleet::pollSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    this->runWhenAwake(sidecar, [this, index, &sidecar] {
        for (Workers::SupervisorAction& action : sidecar.supervisor->poll(this->events.now())) {
            if (auto* order = std::get_if<Workers::CallWorker>(&action)) {
                this->callWorker(index, std::move(*order));
            } else if (const auto* offer = std::get_if<Workers::SendOffer>(&action)) {
                this->sendOffer(index, *offer);
            } else if (auto* send = std::get_if<Workers::SendUpdate>(&action)) {
                for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
                    Link& link = this->links[{ entry, index }];
                    if (link.connectionId != send->connection || !link.isOpen)
                        continue;
                    ++this->messages;
                    this->events.scheduleAt(this->arrivalTime(link, entry, index, link.lastArrivalAtEntry),
                        [this, entry, index, number = link.connectionId, update = std::move(send->update)] {
                            Link& current = this->links[{ entry, index }];
                            if (current.connectionId != number)
                                return;
                            const auto read = [this, entry, index, update] {
                                this->links[{ entry, index }].lastReceivedAt = this->events.now();
                                Entry& receiver = *this->entries[entry];
                                this->observeStall(receiver);
                                receiver.scheduler->updateReceived(
                                    receiver.now(this->events.now()), std::to_string(index), update);
                                this->pollEntry(entry);
                            };
                            this->receiveInput(entry, { EntryInputKind::SidecarMessage, read });
                        });
                }
            }
        }
        const SteadyTime due = sidecar.supervisor->nextWakeUp();
        if (due < sidecar.nextPollAt || sidecar.nextPollAt <= this->events.now()) {
            sidecar.nextPollAt = std::max(due, this->events.now() + std::chrono::microseconds(100));
            if (due < SteadyTime::max())
                this->events.scheduleAt(sidecar.nextPollAt, [this, index, incarnation = sidecar.incarnation] {
                    if (this->sidecars[index]->incarnation == incarnation)
                        this->pollSidecar(index);
                });
        }
        this->finishDraining(index);
    });
}

void LeasedFleet::sendOffer(std::size_t index, const Workers::SendOffer& send)
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        Link& link = this->links[{ entry, index }];
        if (link.connectionId != send.connection || !link.isOpen)
            continue;
        ++this->messages;
        this->events.scheduleAt(this->arrivalTime(link, entry, index, link.lastArrivalAtEntry),
            [this, entry, index, number = link.connectionId, offer = send.offer] {
                if (this->links[{ entry, index }].connectionId != number)
                    return;
                const auto read = [this, entry, index, offer] {
                    Entry& receiver = *this->entries[entry];
                    receiver.scheduler->roomOffered(std::to_string(index), offer);
                    this->pollEntry(entry);
                };
                this->receiveInput(entry, { EntryInputKind::SidecarMessage, read });
            });
    }
}

}
