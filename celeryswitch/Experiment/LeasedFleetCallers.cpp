// Callers of the simulated fleet: their requests, and what they do after answers and broken connections.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;
using Scheduling::AnswerKind;
using Scheduling::JobState;

namespace {

constexpr Duration resendDelay = std::chrono::milliseconds(1300);
constexpr std::size_t maximumResubmissions = 3;
// Longest time after which an early leaver closes its connection, and the share of them that do so again.
constexpr double longestStaySeconds = 0.6;
constexpr double secondLeaveShare = 0.5;
constexpr double stretch = 1.6;
constexpr double targetSeconds = 0.06;
// Value of a late answer, and the multiple of the goal from which on an answer has no value.
constexpr double lateValue = 0.2;
constexpr double expiryFactor = 3;
// Share of a job's value that does not depend on its work, and the largest multiple of its kind's mean value.
constexpr double fixedValueShare = 0.3;
constexpr double maximumRelativeWork = 4;

}

LeasedValue LeasedKindResult::valueOf(std::size_t firstSecond, std::size_t endSecond) const
{
    LeasedValue sum;
    for (std::size_t second = firstSecond; second < std::min(endSecond, this->seconds.size()); ++second) {
        sum.owed += this->seconds[second].owed;
        sum.earned += this->seconds[second].earned;
    }
    return sum;
}

double LeasedFleet::arrivalRate(const LeasedJobKind& kind) const
{
    const Duration elapsed = this->events.now() - this->firstArrivalAt;
    const bool isFlood = elapsed >= kind.flood.from && elapsed < kind.flood.from + kind.flood.length;
    return kind.jobsPerSecond * (isFlood ? kind.floodFactor : 1);
}

LeasedValue& LeasedFleet::valueAt(const Job& job)
{
    std::vector<LeasedValue>& values = this->kindResults[job.kind].seconds;
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(job.sentAt - this->firstArrivalAt).count());
    if (values.size() <= second)
        values.resize(second + 1);
    return values[second];
}

void LeasedFleet::createJob(std::size_t kind)
{
    const LeasedJobKind& description = this->options.kinds[kind];
    const SteadyTime end = SteadyTime(std::chrono::seconds(1002))
        + std::chrono::duration_cast<SteadyTime::duration>(this->options.duration);
    if (this->events.now() < end)
        this->events.scheduleAfter(seconds(-std::log(1 - this->uniform()) / this->arrivalRate(description)),
            [this, kind] { this->createJob(kind); });
    const std::uint64_t id = ++this->lastId;
    Job& job = this->jobs[id];
    job.kind = kind;
    job.sentAt = this->events.now();
    const double longest = this->lognormal(description.meanSeconds, description.logDeviation);
    const auto tasks = static_cast<std::uint32_t>(std::clamp(this->lognormal(description.meanTasks, 0.4), 1.0, 32.0));
    for (std::uint32_t index = 0; index < tasks; ++index)
        job.taskSeconds.push_back(longest * (index == 0 ? 1 : 1 - 0.3 * this->uniform()));
    job.isFailing = this->uniform() < description.failingJobShare;
    job.callerTimeout = seconds(1.5 + 2 * (stretch * longest + targetSeconds));
    Scheduling::StepSpecification step;
    step.count = tasks;
    step.need = { static_cast<std::int64_t>(this->lognormal(description.milliCores, 0.2)), 64, 0 };
    step.declaredMilliseconds = static_cast<std::uint32_t>(std::max(1.0, this->lognormal(longest, 0.4) * 1000));
    step.dataRack = description.dataRack;
    step.requiredLabel = description.requiredLabel;
    job.specification = { id, "content", { step }, true, 0, 0, 0 };
    const double relativeWork = longest * tasks * static_cast<double>(step.need.milliCores)
        / (description.meanSeconds * description.meanTasks * description.milliCores);
    job.value
        = description.value * std::min(maximumRelativeWork, fixedValueShare + (1 - fixedValueShare) * relativeWork);
    this->valueAt(job).owed += job.value;
    ++this->kindResults[kind].submitted;
    this->submit(id);
}

std::size_t LeasedFleet::selectEntry(const Job& job)
{
    const double share = this->options.faults.sameEntryRepeats;
    if (share > 0 && job.submissions > 0 && this->uniform() < share)
        return job.entry;
    const std::vector<double>& weights = this->options.entryWeights;
    if (!weights.empty())
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random);
    return static_cast<std::size_t>(this->uniform() * static_cast<double>(this->entries.size()));
}

void LeasedFleet::planEarlyLeave(std::uint64_t id)
{
    Job& job = this->jobs.at(id);
    if (this->options.faults.earlyLeavers <= 0
        || this->uniform() >= (job.hasLeftEarly ? secondLeaveShare : this->options.faults.earlyLeavers))
        return;
    this->events.scheduleAfter(seconds(longestStaySeconds * this->uniform()), [this, id, request = job.request] {
        if (this->jobs.at(id).request != request)
            return;
        this->jobs.at(id).hasLeftEarly = true;
        this->abandonRequest(id, true);
    });
}

void LeasedFleet::submit(std::uint64_t id)
{
    Job& job = this->jobs.at(id);
    const std::size_t index = this->selectEntry(job);
    Entry& entry = *this->entries[index];
    if (!entry.isUp) {
        // Connections to a process that is down are refused; the caller retries until its timeout.
        if (this->events.now() < job.sentAt + job.callerTimeout)
            this->events.scheduleAfter(std::chrono::milliseconds(100), [this, id] { this->submit(id); });
        return;
    }
    if (job.submissions == 0) {
        job.firstEntry = index;
        ++this->entryResults[index].submitted;
        this->entryResults[index].value.owed += job.value;
    }
    ++job.submissions;
    const Scheduling::RequestNumber request = ++this->lastId;
    job.request = request;
    job.entry = index;
    job.requestSentAt = this->events.now();
    job.requests.emplace_back(this->events.now(), index);
    job.isHeldUp = false;
    entry.requests[request] = id;
    this->planEarlyLeave(id);
    this->events.scheduleAfter(job.callerTimeout, [this, id, request] {
        if (this->jobs.at(id).request == request)
            this->abandonRequest(id,
                this->jobs.at(id).isHeldUp || this->isReadingLate(this->jobs.at(id).entry) || this->uniform() < 0.5);
    });
    const Configuration::Queue queue { this->options.kinds[job.kind].name, "h", "/", "loans", 1500, 60, stretch,
        this->options.kinds[job.kind].priority, this->options.kinds[job.kind].attempts };
    job.requestArrivesAt = this->receiveFromCaller(index, {},
        { EntryInputKind::Request,
            [this, index, id, request, queue] {
                Entry& awake = *this->entries[index];
                Job& submitted = this->jobs.at(id);
                submitted.isHeldUp = submitted.request == request && this->events.now() > submitted.requestSentAt;
                const SteadyTime now = awake.now(this->events.now());
                this->observeStall(awake);
                if (this->options.mechanisms.areCallersChecked && awake.requests.count(request) == 0)
                    return;
                if (this->hasProcessor() && !awake.overloadGuard.admits(now, queue.name)
                    && !awake.scheduler->isKnown(id))
                    return this->refuseUnread(index, request);
                this->payAdmission(index);
                awake.scheduler->submit(now, now, request, queue, { submitted.specification, submitted.callerTimeout });
                this->pollEntry(index);
            },
            request });
}

SteadyTime LeasedFleet::callerArrivalTime(const Entry& entry, SteadyTime earliest) const
{
    const SteadyTime arrival = std::max(this->events.now(), earliest);
    if (this->events.now() >= entry.callersSlowUntil)
        return arrival;
    return std::max(arrival, this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(entry.callerDelay));
}

SteadyTime LeasedFleet::receiveFromCaller(std::size_t index, SteadyTime earliest, EntryInput input)
{
    Entry& entry = *this->entries[index];
    const SteadyTime arrival = this->callerArrivalTime(entry, earliest);
    if (arrival <= this->events.now()) {
        this->receiveInput(index, std::move(input));
        return arrival;
    }
    this->events.scheduleAt(arrival, [this, index, incarnation = entry.incarnation, input = std::move(input)] {
        if (this->entries[index]->incarnation == incarnation)
            this->receiveInput(index, input);
    });
    return arrival;
}

// Whether the entry may be late to end a job by its deadline, so that the end of the connection has to be read.
bool LeasedFleet::isReadingLate(std::size_t index) const
{
    const Entry& entry = *this->entries[index];
    return this->events.now() < entry.closesReadAt || this->events.now() < entry.slowUntil
        || this->events.now() < entry.callersSlowUntil || !entry.backlog.empty() || !entry.inputs.empty();
}

void LeasedFleet::resubmit(std::uint64_t id)
{
    Job& job = this->jobs.at(id);
    job.request = 0;
    if (job.resubmissions++ < maximumResubmissions)
        this->events.scheduleAfter(resendDelay, [this, id] { this->submit(id); });
}

void LeasedFleet::abandonRequest(std::uint64_t id, bool isNoticed)
{
    Job& job = this->jobs.at(id);
    const std::size_t index = job.entry;
    const Scheduling::RequestNumber request = job.request;
    Entry& entry = *this->entries[index];
    entry.requests.erase(request);
    if (isNoticed)
        this->closeCallerConnection(index, request, job.requestArrivesAt);
    this->resubmit(id);
}

void LeasedFleet::closeCallerConnection(
    std::size_t index, Scheduling::RequestNumber request, SteadyTime requestArrivesAt)
{
    Entry& entry = *this->entries[index];
    const auto read = [this, index, request] {
        Entry& awake = *this->entries[index];
        awake.closedRequests.erase(request);
        awake.scheduler->callerDisconnected(awake.now(this->events.now()), request);
        this->pollEntry(index);
    };
    // The machine knows of the end before the process reads it.
    const SteadyTime arrival = this->callerArrivalTime(entry, requestArrivesAt);
    if (arrival <= this->events.now())
        entry.closedRequests.insert(request);
    else
        this->events.scheduleAt(arrival, [this, index, request, incarnation = entry.incarnation] {
            if (this->entries[index]->incarnation == incarnation)
                this->entries[index]->closedRequests.insert(request);
        });
    if (this->events.now() >= entry.frozenUntil || this->events.now() >= entry.closesReadAt) {
        this->receiveFromCaller(index, requestArrivesAt, { EntryInputKind::CallerClosed, read });
        return;
    }
    this->events.scheduleAt(
        std::max(entry.closesReadAt, requestArrivesAt), [this, index, read, incarnation = entry.incarnation] {
            if (this->entries[index]->incarnation == incarnation)
                this->receiveInput(index, { EntryInputKind::CallerClosed, read });
        });
}

void LeasedFleet::breakCallerConnection()
{
    std::vector<std::uint64_t> open;
    for (const auto& entry : this->entries) {
        for (const auto& [request, job] : entry->requests)
            open.push_back(job);
    }
    if (!open.empty())
        this->abandonRequest(open[static_cast<std::size_t>(this->uniform() * static_cast<double>(open.size()))], true);
}

void LeasedFleet::handleAnswer(std::uint64_t id, const Scheduling::CallerAnswer& answer)
{
    Job& job = this->jobs.at(id);
    if (answer.kind == AnswerKind::NotRun)
        ++job.refusals;
    if (answer.kind == AnswerKind::GivenUp) {
        this->resubmit(id);
        return;
    }
    job.request = 0;
    if (job.isAnswered)
        return;
    job.isAnswered = true;
    job.answeredAt = this->events.now();
    LeasedKindResult& kindResult = this->kindResults[job.kind];
    const double response = std::chrono::duration<double>(this->events.now() - job.sentAt).count();
    const double goal = stretch * job.taskSeconds.front() + targetSeconds;
    job.isCompleted = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    const bool isExpectedFailure
        = answer.kind == AnswerKind::State && answer.state == JobState::Failed && job.isFailing;
    if (job.isCompleted || isExpectedFailure) {
        ++(response <= goal ? kindResult.inTime : kindResult.late);
        kindResult.responses.push_back(response);
        LeasedEntryResult& entryResult = this->entryResults[job.firstEntry];
        entryResult.inTime += response <= goal ? 1 : 0;
        if (response <= goal * expiryFactor) {
            const double earned = job.value * (response <= goal ? 1 : lateValue);
            this->valueAt(job).earned += earned;
            entryResult.value.earned += earned;
        }
    } else {
        ++(answer.kind == AnswerKind::NotRun ? kindResult.refused : kindResult.failed);
    }
}

}
