// Workers of the simulated fleet: incarnations, announcements and calls.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr Duration callDelay = std::chrono::microseconds(200);
constexpr Duration announcementInterval = std::chrono::milliseconds(1500);
// Capacity of a large worker / that of a small one.
constexpr std::int64_t smallKindDivisor = 4;
// Time after which a worker ends although nobody confirmed its deregistration.
constexpr Duration unconfirmedDepartureDelay = std::chrono::seconds(2);

}

void LeasedFleet::startWorker(std::size_t index, const std::string& workerId)
{
    Sidecar& sidecar = *this->sidecars[index];
    const std::uint64_t incarnation = ++sidecar.workerIncarnation;
    LeasedWorkerSettings settings;
    settings.workerId = !workerId.empty() ? workerId : "w-" + std::to_string(index) + "-" + std::to_string(incarnation);
    settings.bornAt = this->options.faults.isStartTimeOfDay ? Core::toClockSample(this->events.now()) / 1000
                                                            : static_cast<std::int64_t>(incarnation) * 1000;
    if (!workerId.empty() && !this->options.mechanisms.areIncarnationsDistinct)
        settings.bornAt = sidecar.worker->settings().bornAt;
    settings.service = "loans";
    const auto& classes = this->options.workerClasses;
    settings.capacity
        = { classes.empty() ? this->options.workerMilliCores : classes[index % classes.size()].milliCores, 262'144, 0 };
    if (this->options.racks > 0)
        settings.labels = { this->rackOf(index) };
    Duration silence {};
    if (this->options.faults.areKindsDrawn) {
        const bool isLarge = this->uniform() < 0.5;
        settings.labels.emplace_back(isLarge ? largeKindLabel : smallKindLabel);
        if (!isLarge)
            settings.capacity.milliCores /= smallKindDivisor;
        settings.hasAdmissionControl = false;
        // Every second one announces itself at once.
        silence = seconds((2 * this->uniform() - 1) * std::chrono::duration<double>(announcementInterval).count());
    }
    settings.clockRate = 0.98 + 0.02 * this->uniform();
    sidecar.worker = std::make_unique<LeasedWorkerModel>(
        settings,
        [this, index](const Messages::TaskId& task, std::uint32_t run) { return this->planRun(index, task, run); },
        this->events.now());
    sidecar.nextWorkerAdvanceAt = SteadyTime::max();
    if (silence <= Duration::zero())
        this->announce(index);
    else
        this->events.scheduleAfter(silence, [this, index, incarnation] {
            if (this->sidecars[index]->workerIncarnation == incarnation)
                this->announce(index);
        });
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

void LeasedFleet::departWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    sidecar.worker->setDraining();
    this->sendAnnouncement(index);
    this->events.scheduleAfter(seconds(0.5 + 1.5 * this->uniform()),
        [this, index, incarnation = sidecar.workerIncarnation, isIncarnationStated = this->uniform() < 0.5] {
            if (this->sidecars[index]->workerIncarnation == incarnation)
                this->deregisterWorker(index, isIncarnationStated);
        });
}

// The worker ends when its deregistration is confirmed, or some seconds later.
void LeasedFleet::deregisterWorker(std::size_t index, bool isIncarnationStated)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    const LeasedWorkerSettings& settings = sidecar.worker->settings();
    this->runWhenAwake(sidecar,
        [this, index, workerId = settings.workerId,
            bornAt = isIncarnationStated ? std::optional(settings.bornAt) : std::nullopt] {
            this->sidecars[index]->supervisor->workerLeft(this->events.now(), workerId, bornAt);
            this->pollSidecar(index);
        });
    const bool isConfirmed = sidecar.isUp && this->events.now() >= sidecar.frozenUntil;
    this->events.scheduleAfter(isConfirmed ? Duration(callDelay) : unconfirmedDepartureDelay,
        [this, index, incarnation = sidecar.workerIncarnation] {
            if (this->sidecars[index]->workerIncarnation == incarnation)
                this->crashWorker(index);
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
    this->sendAnnouncement(index);
    this->events.scheduleAfter(announcementInterval, [this, index, incarnation = sidecar.workerIncarnation] {
        if (this->sidecars[index]->workerIncarnation == incarnation)
            this->announce(index);
    });
}

void LeasedFleet::sendAnnouncement(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    this->runWhenAwake(sidecar, [this, index, announcement = sidecar.worker->announcement(this->events.now())] {
        this->sidecars[index]->supervisor->workerAnnounced(this->events.now(), announcement);
        this->pollSidecar(index);
    });
}

void LeasedFleet::advanceWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    for (auto& [ticket, result] : sidecar.worker->advance(this->events.now())) {
        this->events.scheduleAfter(callDelay,
            [this, index, ticket = ticket, answer = std::move(result)] { this->answerCall(index, ticket, answer); });
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

void LeasedFleet::noteCall(
    std::size_t index, std::string_view message, const Workers::CallWorker& order, std::int64_t delayMilliseconds)
{
    if (!this->options.log)
        return;
    const std::string instance = "side-" + std::to_string(index);
    if (const auto* start = std::get_if<Workers::StartCall>(&order.call))
        this->note(instance, message,
            { { "call", "start" }, { "job", Messages::jobText(start->task.job) }, { "task", start->task.index },
                { "run", start->run }, { "token", start->fencingToken }, { "lease_end", start->leaseEnd },
                { "delay_ms", delayMilliseconds }, { "worker", order.workerId } });
    else if (const auto* stop = std::get_if<Workers::StopCall>(&order.call))
        this->note(instance, message,
            { { "call", "stop" }, { "job", Messages::jobText(stop->task.job) }, { "task", stop->task.index },
                { "run", stop->run }, { "token", stop->fencingToken }, { "delay_ms", delayMilliseconds },
                { "worker", order.workerId } });
    else if (const auto& renewal = std::get<Workers::RenewLeaseCall>(order.call); renewal.leaseEnd)
        this->note(instance, message,
            { { "call", "renewal" }, { "token", renewal.fencingToken }, { "lease_end", *renewal.leaseEnd },
                { "delay_ms", delayMilliseconds }, { "worker", order.workerId } });
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
    if (const auto* start = std::get_if<Workers::StartCall>(&order.call); start
        && this->options.mechanisms.areConnectionsIdentified && sidecar.worker->isAlive()
        && start->workerStartedAt != sidecar.worker->settings().bornAt) {
        // As WorkerClient does: the connection broke with its incarnation, and a list of runs identifies the next one.
        Workers::CallResult unsent;
        unsent.status = Workers::CallStatus::NotIdentified;
        unsent.workerStartedAt = sidecar.worker->settings().bornAt;
        this->events.scheduleAfter(
            2 * callDelay, [this, index, ticket, unsent] { this->answerCall(index, ticket, unsent); });
        return;
    }
    auto* renewal = std::get_if<Workers::RenewLeaseCall>(&order.call);
    const LeasedFaults& faults = this->options.faults;
    const double lateOrders = std::holds_alternative<Workers::StopCall>(order.call)
        ? std::max(faults.lateOrders, faults.lateStops)
        : faults.lateOrders;
    const bool isLate = this->uniform() < (renewal ? faults.lateRenewals : lateOrders);
    const Duration delay = isLate ? seconds(2 + 10 * this->uniform()) : callDelay;
    const std::int64_t delayMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    if (isLate && faults.isLateLeaseFromArrival && renewal && renewal->leaseEnd)
        *renewal->leaseEnd += delayMilliseconds;
    if (auto* start = std::get_if<Workers::StartCall>(&order.call); start && isLate && faults.isLateStartFromArrival)
        start->leaseEnd += delayMilliseconds;
    if (isLate)
        this->noteCall(index, "model: call is delayed", order, delayMilliseconds);
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
    if (sidecarIncarnation == 0)
        this->noteCall(index,
            result && result->status == Workers::CallStatus::Accepted ? "model: late call accepted"
                                                                      : "model: late call refused",
            order, 0);
    this->advanceWorker(index);
    if (!result || sidecarIncarnation == 0)
        return;
    const Duration answerTime = std::holds_alternative<Workers::StartCall>(call)
        ? seconds(this->options.faults.startAnswerSeconds)
        : Duration {};
    this->events.scheduleAfter(
        answerTime + callDelay, [this, index, incarnation, answerTime, ticket, answer = std::move(*result)] {
            const bool isAnswered = answerTime <= Duration::zero()
                || (this->sidecars[index]->workerIncarnation == incarnation
                    && this->sidecars[index]->worker->isAlive());
            if (isAnswered)
                this->answerCall(index, ticket, answer);
        });
}

void LeasedFleet::answerCall(std::size_t index, std::uint64_t ticket, const Workers::CallResult& answer)
{
    this->runWhenAwake(*this->sidecars[index], [this, index, ticket, answer] {
        if (this->sidecars[index]->calls.erase(ticket) == 0)
            return;
        this->sidecars[index]->supervisor->callFinished(this->events.now(), ticket >> 20, answer);
        this->pollSidecar(index);
    });
}

}
