
// Sidecars and workers of the simulated fleet: starts, crashes, calls and announcements.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr Duration callDelay = std::chrono::microseconds(200);
constexpr Duration announcementInterval = std::chrono::milliseconds(1500);

}

void LeasedFleet::startSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    sidecar.isUp = true;
    ++sidecar.incarnation;
    sidecar.nextPollAt = SteadyTime::max();
    sidecar.frozenUntil = {};
    sidecar.calls.clear();
    Workers::SupervisorSettings settings;
    settings.incarnation = sidecar.incarnation;
    settings.firstFencingToken = static_cast<std::uint64_t>(Core::toClockSample(this->events.now()) / 1000);
    if (!this->options.mechanisms.isLeaseLimited)
        settings.callerRetryDelay = std::chrono::hours(1);
    if (!this->options.mechanisms.isEntryTimeoutEnabled)
        settings.entryTimeout = std::chrono::hours(1);
    sidecar.supervisor
        = std::make_unique<Workers::RunSupervisor>(settings, *this->log, this->registry, this->events.now());
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
                    const Link& link = this->links[{ entry, index }];
                    if (link.connectionId != send->connection || !link.isOpen)
                        continue;
                    ++this->messages;
                    this->events.scheduleAt(this->arrivalTime(link, entry, index),
                        [this, entry, index, number = link.connectionId, update = std::move(send->update)] {
                            Link& current = this->links[{ entry, index }];
                            if (current.connectionId != number)
                                return;
                            this->runWhenAwake(*this->entries[entry], [this, entry, index, update] {
                                this->links[{ entry, index }].lastReceivedAt = this->events.now();
                                Entry& receiver = *this->entries[entry];
                                this->observeStall(receiver);
                                receiver.scheduler->updateReceived(
                                    receiver.now(this->events.now()), std::to_string(index), update);
                                this->pollEntry(entry);
                            });
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
    });
}

void LeasedFleet::sendOffer(std::size_t index, const Workers::SendOffer& send)
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        const Link& link = this->links[{ entry, index }];
        if (link.connectionId != send.connection || !link.isOpen)
            continue;
        ++this->messages;
        this->events.scheduleAt(this->arrivalTime(link, entry, index),
            [this, entry, index, number = link.connectionId, offer = send.offer] {
                if (this->links[{ entry, index }].connectionId != number)
                    return;
                this->runWhenAwake(*this->entries[entry], [this, entry, index, offer] {
                    Entry& receiver = *this->entries[entry];
                    receiver.scheduler->roomOffered(std::to_string(index), offer);
                    this->pollEntry(entry);
                });
            });
    }
}

void LeasedFleet::startWorker(std::size_t index, const std::string& workerId)
{
    Sidecar& sidecar = *this->sidecars[index];
    const std::uint64_t incarnation = ++sidecar.workerIncarnation;
    LeasedWorkerSettings settings;
    settings.workerId = !workerId.empty() ? workerId : "w-" + std::to_string(index) + "-" + std::to_string(incarnation);
    settings.bornAt = static_cast<std::int64_t>(incarnation) * 1000;
    settings.service = "loans";
    const auto& classes = this->options.workerClasses;
    settings.capacity
        = { classes.empty() ? this->options.workerMilliCores : classes[index % classes.size()].milliCores, 262'144, 0 };
    settings.clockRate = 0.98 + 0.02 * this->uniform();
    sidecar.worker = std::make_unique<LeasedWorkerModel>(
        settings,
        [this, index](const Messages::TaskId& task, std::uint32_t run) { return this->planRun(index, task, run); },
        this->events.now());
    sidecar.nextWorkerAdvanceAt = SteadyTime::max();
    this->announce(index);
}

void LeasedFleet::crashWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    sidecar.worker->terminate(this->events.now());
    this->events.scheduleAfter(std::chrono::milliseconds(700), [this, index] {
        this->finishWorker(index);
        this->startWorker(index, {});
    });
}

// Keeps the records of a terminated worker.
void LeasedFleet::finishWorker(std::size_t index)
{
    const auto& history = this->sidecars[index]->worker->history();
    this->runRecords.insert(this->runRecords.end(), history.begin(), history.end());
}

void LeasedFleet::announce(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    this->runWhenAwake(sidecar, [this, index, announcement = sidecar.worker->announcement(this->events.now())] {
        this->sidecars[index]->supervisor->workerAnnounced(this->events.now(), announcement);
        this->pollSidecar(index);
    });
    this->events.scheduleAfter(announcementInterval, [this, index, incarnation = sidecar.workerIncarnation] {
        if (this->sidecars[index]->workerIncarnation == incarnation)
            this->announce(index);
    });
}

void LeasedFleet::advanceWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    for (auto& [ticket, result] : sidecar.worker->advance(this->events.now())) {
        this->events.scheduleAfter(callDelay, [this, index, ticket = ticket, answer = std::move(result)] {
            this->runWhenAwake(*this->sidecars[index], [this, index, ticket, answer] {
                if (this->sidecars[index]->calls.erase(ticket) == 0)
                    return;
                this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, answer);
                this->pollSidecar(index);
            });
        });
    }
    const SteadyTime due = sidecar.worker->nextEventTime();
    if (due < SteadyTime::max()
        && (due < sidecar.nextWorkerAdvanceAt || sidecar.nextWorkerAdvanceAt <= this->events.now())) {
        sidecar.nextWorkerAdvanceAt = std::max(due, this->events.now() + std::chrono::microseconds(10));
        this->events.scheduleAt(sidecar.nextWorkerAdvanceAt, [this, index, incarnation = sidecar.workerIncarnation] {
            if (this->sidecars[index]->workerIncarnation == incarnation)
                this->advanceWorker(index);
        });
    }
}

void LeasedFleet::callWorker(std::size_t index, Workers::CallWorker order)
{
    Sidecar& sidecar = *this->sidecars[index];
    // The low 20 bits hold the sidecar's incarnation, so that answers to an earlier one are ignored.
    const std::uint64_t ticket = (order.callId << 20) | (sidecar.incarnation & 0xfffff);
    sidecar.calls.insert(ticket);
    this->events.scheduleAfter(order.timeout, [this, index, ticket] {
        this->runWhenAwake(*this->sidecars[index], [this, index, ticket] {
            if (this->sidecars[index]->calls.erase(ticket) == 0)
                return;
            this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, {});
            this->pollSidecar(index);
        });
    });
    auto* renewal = std::get_if<Workers::RenewLeaseCall>(&order.call);
    const LeasedFaults& faults = this->options.faults;
    const bool isLate = this->uniform() < (renewal ? faults.lateRenewals : faults.lateOrders);
    const Duration delay = isLate ? seconds(2 + 10 * this->uniform()) : callDelay;
    if (isLate && faults.isLateLeaseFromArrival && renewal && renewal->leaseEnd)
        *renewal->leaseEnd += std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    this->events.scheduleAfter(delay,
        [this, index, incarnation = sidecar.workerIncarnation, sidecarIncarnation = isLate ? 0 : sidecar.incarnation,
            order = std::move(order)] { this->deliverCall(index, incarnation, sidecarIncarnation, order); });
}

void LeasedFleet::deliverCall(
    std::size_t index, std::uint64_t incarnation, std::uint64_t sidecarIncarnation, const Workers::CallWorker& order)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    Workers::WorkerCall call = order.call;
    Workers::CallResult otherIncarnation;
    otherIncarnation.status = Workers::CallStatus::OtherIncarnation;
    std::optional<Workers::CallResult> result = otherIncarnation;
    const std::uint64_t ticket = (order.callId << 20) | (sidecarIncarnation & 0xfffff);
    this->advanceWorker(index);
    // A late call reaches whichever incarnation answers; the connection of another one broke with its incarnation.
    if (sidecarIncarnation != 0 && sidecar.workerIncarnation != incarnation)
        return;
    if (order.workerId.empty() || order.workerId == sidecar.worker->settings().workerId)
        result = sidecar.worker->handle(this->events.now(), call, ticket);
    this->advanceWorker(index);
    if (!result || sidecarIncarnation == 0)
        return;
    this->events.scheduleAfter(callDelay, [this, index, ticket, answer = std::move(*result)] {
        this->runWhenAwake(*this->sidecars[index], [this, index, ticket, answer] {
            if (this->sidecars[index]->calls.erase(ticket) == 0)
                return;
            this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, answer);
            this->pollSidecar(index);
        });
    });
}

}
