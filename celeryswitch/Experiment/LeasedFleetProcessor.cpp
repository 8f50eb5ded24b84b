// Entries of the simulated fleet whose work takes processor time: inputs wait in order of arrival, and what an input
// leads to leaves the entry when its cost has been paid.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

// As in SchedulingEntry.
constexpr Duration minimumSleep = std::chrono::milliseconds(1);
constexpr Duration tickInterval = std::chrono::milliseconds(50);

}

void LeasedFleet::receiveInput(std::size_t index, EntryInput input)
{
    Entry& entry = *this->entries[index];
    if (!this->hasProcessor()) {
        this->runWhenAwake(entry, std::move(input.action));
        return;
    }
    if (!entry.isUp)
        return;
    input.arrivedAt = this->events.now();
    entry.inputs.push_back(std::move(input));
    this->useProcessor(index);
}

Duration LeasedFleet::inputCost(EntryInputKind kind) const
{
    const LeasedProcessor& processor = this->options.processor;
    switch (kind) {
    case EntryInputKind::Request:
        return processor.requestCost;
    case EntryInputKind::CallerClosed:
        return processor.closeCost;
    case EntryInputKind::SidecarMessage:
        return processor.receiveCost;
    case EntryInputKind::Local:
        break;
    }
    return {};
}

void LeasedFleet::useProcessor(std::size_t index)
{
    Entry& entry = *this->entries[index];
    if (!entry.isUp || entry.isBusy)
        return;
    const bool mayPoll = entry.isPollDue && this->events.now() >= entry.pacer.nextAt();
    if (entry.inputs.empty() && !mayPoll) {
        if (entry.isPollDue)
            this->events.scheduleAt(entry.pacer.nextAt(), [this, index] { this->useProcessor(index); });
        return;
    }
    if (this->events.now() < entry.frozenUntil) {
        this->occupyProcessor(index, entry.frozenUntil - this->events.now());
        return;
    }
    entry.isBusy = true;
    const Scheduling::SchedulerWork before = entry.scheduler->work();
    entry.inputCost = {};
    if (!entry.inputs.empty()) {
        const EntryInput input = std::move(entry.inputs.front());
        entry.inputs.pop_front();
        entry.inputCost += this->inputCost(input.kind);
        input.action();
    }
    if (mayPoll) {
        entry.isPollDue = false;
        this->runScheduler(index);
    }
    Duration cost = this->options.processor.costOf(before, entry.scheduler->work());
    for (const Scheduling::SchedulerAction& action : entry.pendingActions)
        cost += this->options.processor.costOf(action);
    if (mayPoll)
        entry.pacer.decided(this->events.now(), this->events.now() + this->slowed(cost));
    cost += entry.inputCost;
    const double costSeconds = std::chrono::duration<double>(cost).count();
    if (this->firstArrivalAt != SteadyTime {} && this->events.now() >= this->firstArrivalAt
        && this->events.now() - this->firstArrivalAt < this->options.duration)
        this->entryResults[index].processorSeconds += costSeconds;
    this->occupyProcessor(index, this->slowed(cost));
}

// Time that work takes on the entry's share of a core.
Duration LeasedFleet::slowed(Duration cost) const
{
    return seconds(std::chrono::duration<double>(cost).count() / this->options.processor.share);
}

// Pays for reading and admitting a request that is not refused unread.
void LeasedFleet::payAdmission(std::size_t index)
{
    this->entries[index]->inputCost += this->options.processor.admissionCost;
}

void LeasedFleet::refuseUnread(std::size_t index, Scheduling::RequestNumber request)
{
    this->entries[index]->pendingActions.push_back(Scheduling::AnswerRequest {
        request, { Scheduling::AnswerKind::NotRun, {}, 0, std::chrono::seconds(1), "entry overloaded" } });
}

// Measures the lag of the entry's event loop, as the ticks of a SchedulingEntry do.
void LeasedFleet::tickEntry(std::size_t index)
{
    const SteadyTime dueAt = this->events.now();
    this->receiveInput(index, { EntryInputKind::Local, [this, index, dueAt] {
                                   Entry& entry = *this->entries[index];
                                   entry.overloadGuard.loopObserved(this->events.now(), this->events.now() - dueAt);
                                   this->pollEntry(index);
                                   this->events.scheduleAfter(
                                       tickInterval, [this, index, incarnation = entry.incarnation] {
                                           if (this->entries[index]->incarnation == incarnation)
                                               this->tickEntry(index);
                                       });
                               } });
}

// Carries out the pending actions after a time, and goes on with the next input.
void LeasedFleet::occupyProcessor(std::size_t index, Duration time)
{
    Entry& entry = *this->entries[index];
    entry.isBusy = true;
    this->events.scheduleAfter(time, [this, index, incarnation = entry.incarnation] {
        Entry& free = *this->entries[index];
        if (!free.isUp || free.incarnation != incarnation)
            return;
        if (this->events.now() < free.frozenUntil) {
            this->occupyProcessor(index, free.frozenUntil - this->events.now());
            return;
        }
        free.isBusy = false;
        for (Scheduling::SchedulerAction& action : std::exchange(free.pendingActions, {}))
            this->carryOut(index, std::move(action));
        this->useProcessor(index);
    });
}

void LeasedFleet::runScheduler(std::size_t index)
{
    Entry& entry = *this->entries[index];
    this->observeStall(entry);
    this->checkCallers(entry);
    for (Scheduling::SchedulerAction& action : entry.scheduler->poll(entry.now(this->events.now())))
        entry.pendingActions.push_back(std::move(action));
    SteadyTime due = entry.scheduler->nextWakeUp();
    if (due == SteadyTime::max())
        return;
    due += std::chrono::duration_cast<SteadyTime::duration>(entry.clockLag);
    due = std::max(due, this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(minimumSleep));
    entry.nextPollAt = due;
    this->events.scheduleAt(due, [this, index, incarnation = entry.incarnation, due] {
        const Entry& woken = *this->entries[index];
        if (woken.incarnation == incarnation && woken.nextPollAt == due)
            this->pollEntry(index);
    });
}

}
