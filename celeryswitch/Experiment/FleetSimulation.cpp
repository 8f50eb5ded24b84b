#include "celeryswitch/Experiment/FleetSimulation.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr std::uint32_t batchedJobTasks = 200;
// Time after the measurement for remaining tasks to finish: a batch of 8 tasks of 6 s occupies a slot for 48 s, and
// other tasks wait for it.
constexpr Duration drainTime = std::chrono::seconds(240);
constexpr Duration failureRunTime = std::chrono::milliseconds(1);
constexpr double stragglerFactor = 5;

double milliseconds(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

// Exact quantile; 0 if there are no values.
double quantile(std::vector<float>& values, double probability)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::size_t>(probability * double(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

}

FleetSimulation::FleetSimulation(const ExperimentOptions& options)
    : options(options)
    , generator(options.seed)
    , startTime(this->events.now())
    , kindSamples(options.workload.kinds.size())
{
}

ExperimentResult FleetSimulation::run(const ArrivalHandler& jobArrived)
{
    for (std::size_t kind = 0; kind < this->options.workload.kinds.size(); ++kind)
        this->scheduleArrival(kind, jobArrived);
    this->events.runUntil(this->measurementEnd() + drainTime);
    return this->result();
}

std::size_t FleetSimulation::dataCentreOfWorker(std::size_t worker) const
{
    return worker % this->options.workload.service.dataCentres.size();
}

std::size_t FleetSimulation::dataCentreOfEntry(std::size_t entry) const
{
    return entry % this->options.workload.service.dataCentres.size();
}

Duration FleetSimulation::delay(std::size_t entry, std::size_t worker) const
{
    const Load::ServiceDescription& service = this->options.workload.service;
    return this->dataCentreOfEntry(entry) == this->dataCentreOfWorker(worker) ? service.insideDataCentreDelay
                                                                              : service.crossDataCentreDelay;
}

void FleetSimulation::send(std::size_t entry, std::size_t worker, EventQueue::Action deliver)
{
    if (this->isMeasuring())
        ++this->messages;
    this->events.scheduleAfter(this->delay(entry, worker), [this, worker, deliver = std::move(deliver)] {
        if (this->isCrashed(worker))
            this->countWastedMessages();
        else
            deliver();
    });
}

void FleetSimulation::sendHeartbeat(std::size_t entry, std::size_t worker, EventQueue::Action deliver)
{
    if (this->isMeasuring())
        ++this->heartbeats;
    this->events.scheduleAfter(this->delay(entry, worker), [this, worker, deliver = std::move(deliver)] {
        if (!this->isCrashed(worker))
            deliver();
    });
}

void FleetSimulation::countWastedMessages(std::uint32_t count)
{
    if (this->isMeasuring())
        this->wastedMessages += count;
}

void FleetSimulation::runTask(std::size_t worker, JobIndex job, std::uint32_t task, EndHandler onEnd)
{
    Duration runTime = this->jobs[job].runTimes[task];
    if (this->hasFault(worker, WorkerFault::Straggles))
        runTime = Duration(static_cast<std::int64_t>(double(runTime.count()) * stragglerFactor));
    if (this->hasFault(worker, WorkerFault::FailsEverything)) {
        this->events.scheduleAfter(failureRunTime, [onEnd = std::move(onEnd)] { onEnd(false, failureRunTime); });
        return;
    }
    if (this->hasFault(worker, WorkerFault::Stalls))
        return;
    this->events.scheduleAfter(runTime, [this, worker, runTime, onEnd = std::move(onEnd)] {
        if (!this->isCrashed(worker) && !this->hasFault(worker, WorkerFault::Stalls))
            onEnd(!this->hasFault(worker, WorkerFault::FailsEverything), runTime);
    });
}

bool FleetSimulation::isCrashed(std::size_t worker) const { return this->hasFault(worker, WorkerFault::Dies); }

void FleetSimulation::recordTaskEnd(JobIndex index, std::uint32_t task, bool isSuccess)
{
    const SimulatedJob& job = this->jobs[index];
    if (this->isMeasuring())
        ++this->finishedInWindow;
    if (!job.isMeasured)
        return;
    KindSamples& kind = this->kindSamples[job.kind];
    if (!isSuccess) {
        ++kind.failed;
        return;
    }
    ++kind.completed;
    // 200 tasks that arrive together can't all start at once on 88 slots under any strategy, so their ratio says
    // nothing about dispatch.
    if (this->options.mix == JobMix::Mixed && job.runTimes.size() >= batchedJobTasks)
        return;
    const Load::ServiceDescription& service = this->options.workload.service;
    const Duration response = this->events.now() + service.clientDelay - job.submittedAt;
    const Duration ideal = job.runTimes[task] + 2 * (service.clientDelay + service.insideDataCentreDelay);
    kind.ratios.push_back(static_cast<float>(milliseconds(response) / milliseconds(ideal)));
    kind.responses.push_back(static_cast<float>(milliseconds(response)));
}

void FleetSimulation::recordRefusal(JobIndex index)
{
    const SimulatedJob& job = this->jobs[index];
    if (job.isMeasured)
        this->kindSamples[job.kind].refused += job.runTimes.size();
}

bool FleetSimulation::isMeasuring() const
{
    return this->events.now() >= this->measurementStart() && this->events.now() < this->measurementEnd();
}

bool FleetSimulation::hasFault(std::size_t worker, WorkerFault fault) const
{
    return this->options.fault == fault && worker < this->options.faultyWorkers
        && this->events.now() >= this->measurementStart();
}

void FleetSimulation::scheduleArrival(std::size_t kind, const ArrivalHandler& jobArrived)
{
    const double rate = this->jobsPerSecond(this->options.workload.kinds[kind]);
    const double gapSeconds = -std::log(1 - this->uniform()) / rate;
    // Draw again at the start of the flood, when the rate changes; exponential gaps are memoryless, so no correction is
    // needed.
    const SteadyTime when = this->events.now() + Duration(static_cast<std::int64_t>(gapSeconds * 1e9));
    const bool isAcrossStart = this->events.now() < this->measurementStart() && when >= this->measurementStart();
    if (isAcrossStart) {
        this->events.scheduleAt(
            this->measurementStart(), [this, kind, jobArrived] { this->scheduleArrival(kind, jobArrived); });
        return;
    }
    if (when >= this->measurementEnd())
        return;
    this->events.scheduleAt(when, [this, kind, jobArrived] {
        this->createJob(kind, jobArrived);
        this->scheduleArrival(kind, jobArrived);
    });
}

void FleetSimulation::createJob(std::size_t kindIndex, const ArrivalHandler& jobArrived)
{
    const Load::KindDescription& kind = this->options.workload.kinds[kindIndex];
    SimulatedJob job;
    job.kind = kindIndex;
    job.entry = this->generator(this->options.entries);
    job.submittedAt = this->events.now();
    job.isMeasured = this->isMeasuring();
    for (std::uint32_t task = this->sampleJobSize(kind); task > 0; --task)
        job.runTimes.push_back(kind.distribution.at(this->uniform()));
    if (job.isMeasured)
        this->kindSamples[kindIndex].arrived += job.runTimes.size();
    this->jobs.push_back(std::move(job));
    const JobIndex index = this->jobs.size() - 1;
    this->events.scheduleAfter(this->options.workload.service.clientDelay, [jobArrived, index] { jobArrived(index); });
}

std::uint32_t FleetSimulation::sampleJobSize(const Load::KindDescription& kind)
{
    if (this->options.mix != JobMix::Mixed)
        return this->options.mix == JobMix::Single ? 1 : batchedJobTasks;
    double weights = 0;
    for (const Load::JobSize& size : kind.jobSizes)
        weights += size.weight;
    double position = this->uniform() * weights;
    for (const Load::JobSize& size : kind.jobSizes) {
        position -= size.weight;
        if (position <= 0)
            return size.tasks;
    }
    return kind.jobSizes.back().tasks;
}

double FleetSimulation::jobsPerSecond(const Load::KindDescription& kind) const
{
    double tasksPerJob = kind.meanJobSize();
    if (this->options.mix != JobMix::Mixed)
        tasksPerJob = this->options.mix == JobMix::Single ? 1 : batchedJobTasks;
    const bool isFlood = this->options.floodKind == kind.name && this->events.now() >= this->measurementStart();
    const double factor = isFlood ? this->options.floodFactor : 1;
    return factor * this->options.workload.tasksPerSecond(kind, this->options.loadPercent) / tasksPerJob;
}

double FleetSimulation::uniform() { return std::uniform_real_distribution<double>(0, 1)(this->generator); }

ExperimentResult FleetSimulation::result()
{
    ExperimentResult result;
    std::vector<float> ratios;
    for (std::size_t index = 0; index < this->kindSamples.size(); ++index) {
        KindSamples& kind = this->kindSamples[index];
        ratios.insert(ratios.end(), kind.ratios.begin(), kind.ratios.end());
        result.kinds.push_back({ this->options.workload.kinds[index].name, kind.arrived, kind.completed, kind.failed,
            kind.refused, quantile(kind.ratios, 0.5), quantile(kind.ratios, 0.99), quantile(kind.responses, 0.99) });
        result.arrived += kind.arrived;
        result.completed += kind.completed;
        result.failed += kind.failed;
        result.refused += kind.refused;
    }
    result.p50 = quantile(ratios, 0.5);
    result.p99 = quantile(ratios, 0.99);
    const double tasks = std::max<double>(1, double(this->finishedInWindow));
    result.messagesPerTask = double(this->messages) / tasks;
    result.messagesWithHeartbeats = double(this->messages + this->heartbeats) / tasks;
    result.wastedPercent = 100 * double(this->wastedMessages) / std::max<double>(1, double(this->messages));
    return result;
}

}
