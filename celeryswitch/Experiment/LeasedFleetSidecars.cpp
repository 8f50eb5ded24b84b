// The fleet's sidecars and workers: lives, calls and announcements.
#include "celeryswitch/Experiment/LeasedFleetParts.h"

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
    ++sidecar.life;
    sidecar.plannedAt = SteadyTime::max();
    sidecar.frozenUntil = {};
    sidecar.calls.clear();
    Workers::SupervisorSettings settings;
    settings.incarnation = sidecar.life;
    if (!this->options.mechanisms.isEntryWatched)
        settings.entryTimeout = std::chrono::hours(1);
    sidecar.supervisor
        = std::make_unique<Workers::RunSupervisor>(settings, *this->log, this->registry, this->events.now());
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->connect(entry, index);
    this->stepSidecar(index);
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
    this->events.after(restartDelay, [this, index] { this->startSidecar(index); });
}

void LeasedFleet::stepSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    this->whenAwake(sidecar, [this, index, &sidecar] {
        for (Workers::SupervisorAction& action : sidecar.supervisor->poll(this->events.now())) {
            if (auto* order = std::get_if<Workers::CallWorker>(&action)) {
                this->call(index, std::move(*order));
            } else if (auto* send = std::get_if<Workers::SendUpdate>(&action)) {
                for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
                    const Link& link = this->links[{ entry, index }];
                    if (link.number != send->connection || !link.isOpen || this->events.now() < link.cutUntil)
                        continue;
                    ++this->messages;
                    this->events.after(this->delay(entry, index),
                        [this, entry, index, number = link.number, update = std::move(send->update)] {
                            Link& current = this->links[{ entry, index }];
                            if (current.number != number)
                                return;
                            this->whenAwake(*this->entries[entry], [this, entry, index, update] {
                                this->links[{ entry, index }].heardAt = this->events.now();
                                this->entries[entry]->scheduler->received(
                                    this->events.now(), std::to_string(index), update);
                                this->stepEntry(entry);
                            });
                        });
                }
            }
        }
        const SteadyTime due = sidecar.supervisor->nextWakeUp();
        if (due < sidecar.plannedAt || sidecar.plannedAt <= this->events.now()) {
            sidecar.plannedAt = std::max(due, this->events.now() + std::chrono::microseconds(100));
            if (due < SteadyTime::max())
                this->events.at(sidecar.plannedAt, [this, index, life = sidecar.life] {
                    if (this->sidecars[index]->life == life)
                        this->stepSidecar(index);
                });
        }
    });
}

void LeasedFleet::startWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    const std::uint64_t life = ++sidecar.workerLife;
    LeasedWorkerSettings settings;
    settings.workerId = "w-" + std::to_string(index) + "-" + std::to_string(life);
    settings.bornAt = static_cast<std::int64_t>(life);
    settings.service = "loans";
    settings.capacity = { this->options.workerMilliCores, 262'144, 0 };
    settings.clockRate = 0.98 + 0.02 * this->uniform();
    sidecar.worker = std::make_unique<LeasedWorkerModel>(
        settings,
        [this, index](const Messages::TaskId& task, std::uint32_t run) { return this->planRun(index, task, run); },
        this->events.now());
    sidecar.workerPlannedAt = SteadyTime::max();
    this->announce(index);
}

void LeasedFleet::crashWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    sidecar.worker->die(this->events.now());
    this->events.after(std::chrono::milliseconds(700), [this, index] {
        const auto& history = this->sidecars[index]->worker->history();
        this->pastRuns.insert(this->pastRuns.end(), history.begin(), history.end());
        this->startWorker(index);
    });
}

void LeasedFleet::announce(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    this->whenAwake(sidecar, [this, index, announcement = sidecar.worker->announcement(this->events.now())] {
        this->sidecars[index]->supervisor->workerAnnounced(this->events.now(), announcement);
        this->stepSidecar(index);
    });
    this->events.after(announcementInterval, [this, index, life = sidecar.workerLife] {
        if (this->sidecars[index]->workerLife == life)
            this->announce(index);
    });
}

void LeasedFleet::wakeWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    for (auto& [ticket, result] : sidecar.worker->advance(this->events.now())) {
        this->events.after(callDelay, [this, index, ticket = ticket, answer = std::move(result)] {
            this->whenAwake(*this->sidecars[index], [this, index, ticket, answer] {
                if (this->sidecars[index]->calls.erase(ticket) == 0)
                    return;
                this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, answer);
                this->stepSidecar(index);
            });
        });
    }
    const SteadyTime due = sidecar.worker->nextChange();
    if (due < SteadyTime::max() && (due < sidecar.workerPlannedAt || sidecar.workerPlannedAt <= this->events.now())) {
        sidecar.workerPlannedAt = std::max(due, this->events.now() + std::chrono::microseconds(10));
        this->events.at(sidecar.workerPlannedAt, [this, index, life = sidecar.workerLife] {
            if (this->sidecars[index]->workerLife == life)
                this->wakeWorker(index);
        });
    }
}

void LeasedFleet::call(std::size_t index, Workers::CallWorker order)
{
    Sidecar& sidecar = *this->sidecars[index];
    // The low bits tell the lives of the sidecar.
    const std::uint64_t ticket = (order.callId << 20) | (sidecar.life & 0xfffff);
    sidecar.calls.insert(ticket);
    this->events.after(order.timeout, [this, index, ticket] {
        this->whenAwake(*this->sidecars[index], [this, index, ticket] {
            if (this->sidecars[index]->calls.erase(ticket) == 0)
                return;
            this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, {});
            this->stepSidecar(index);
        });
    });
    const bool isLate = this->uniform() < this->options.faults.lateOrders;
    const Duration delay = isLate ? seconds(2 + 10 * this->uniform()) : callDelay;
    this->events.after(delay,
        [this, index, life = sidecar.workerLife, sidecarLife = isLate ? 0 : sidecar.life, order = std::move(order)] {
            this->carryOut(index, life, sidecarLife, order);
        });
}

void LeasedFleet::carryOut(
    std::size_t index, std::uint64_t life, std::uint64_t sidecarLife, const Workers::CallWorker& order)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    Workers::WorkerCall call = order.call;
    Workers::CallResult otherLife;
    otherLife.status = Workers::CallStatus::OtherIncarnation;
    std::optional<Workers::CallResult> result = otherLife;
    const std::uint64_t ticket = (order.callId << 20) | (sidecarLife & 0xfffff);
    this->wakeWorker(index);
    if (order.workerId.empty() || (sidecar.workerLife == life && order.workerId == sidecar.worker->settings().workerId))
        result = sidecar.worker->handle(this->events.now(), call, ticket);
    this->wakeWorker(index);
    if (!result || sidecarLife == 0)
        return;
    this->events.after(callDelay, [this, index, ticket, answer = std::move(*result)] {
        this->whenAwake(*this->sidecars[index], [this, index, ticket, answer] {
            if (this->sidecars[index]->calls.erase(ticket) == 0)
                return;
            this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, answer);
            this->stepSidecar(index);
        });
    });
}

}
