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
    if (!entry.isUp || entry.isBusy || (entry.inputs.empty() && !entry.isPollDue))
        return;
    if (this->events.now() < entry.frozenUntil) {
        this->occupyProcessor(index, entry.frozenUntil - this->events.now());
        return;
    }
    entry.isBusy = true;
    const Scheduling::SchedulerWork before = entry.scheduler->work();
    Duration cost {};
    if (!entry.inputs.empty()) {
        const EntryInput input = std::move(entry.inputs.front());
        entry.inputs.pop_front();
        cost += this->inputCost(input.kind);
        input.action();
    }
    if (std::exchange(entry.isPollDue, false))
        this->runScheduler(index);
    cost += this->options.processor.costOf(before, entry.scheduler->work());
    for (const Scheduling::SchedulerAction& action : entry.pendingActions)
        cost += this->options.processor.costOf(action);
    const double costSeconds = std::chrono::duration<double>(cost).count();
    if (this->firstArrivalAt != SteadyTime {} && this->events.now() >= this->firstArrivalAt
        && this->events.now() - this->firstArrivalAt < this->options.duration)
        this->entryResults[index].processorSeconds += costSeconds;
    this->occupyProcessor(index, seconds(costSeconds / this->options.processor.share));
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
