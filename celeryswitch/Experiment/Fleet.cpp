#include "celeryswitch/Experiment/Fleet.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr std::uint32_t batchedJobTasks = 200;
// Tasks that arrived at the end get time to finish: a batch of 8 tasks of 6 s holds a slot for 48 s, and others wait
// for it.
constexpr Duration drainTime = std::chrono::seconds(240);
constexpr Duration failureRun = std::chrono::milliseconds(1);
constexpr double stragglerFactor = 5;

double milliseconds(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

// Exact quantile; 0 for no values.
double quantile(std::vector<float>& values, double part)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::size_t>(part * double(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

}

Fleet::Fleet(const ExperimentOptions& options)
    : options(options)
    , generator(options.seed)
    , startTime(this->events.now())
    , figures(options.workload.kinds.size())
{
}

ExperimentResult Fleet::run(const ArrivalHandler& jobArrived)
{
    for (std::size_t kind = 0; kind < this->options.workload.kinds.size(); ++kind)
        this->scheduleArrival(kind, jobArrived);
    this->events.runUntil(this->measureUntil() + drainTime);
    return this->result();
}

std::size_t Fleet::dataCentreOfWorker(std::size_t worker) const
{
    return worker % this->options.workload.service.dataCentres.size();
}

std::size_t Fleet::dataCentreOfEntry(std::size_t entry) const
{
    return entry % this->options.workload.service.dataCentres.size();
}

Duration Fleet::delay(std::size_t entry, std::size_t worker) const
{
    const Load::ServiceDescription& service = this->options.workload.service;
    return this->dataCentreOfEntry(entry) == this->dataCentreOfWorker(worker) ? service.insideDataCentreDelay
                                                                              : service.crossDataCentreDelay;
}

void Fleet::send(std::size_t entry, std::size_t worker, EventQueue::Action deliver)
{
    if (this->isMeasuring())
        ++this->messages;
    this->events.after(this->delay(entry, worker), [this, worker, deliver = std::move(deliver)] {
        if (this->isDead(worker))
            this->countWasted();
        else
            deliver();
    });
}

void Fleet::sendHeartbeat(std::size_t entry, std::size_t worker, EventQueue::Action deliver)
{
    if (this->isMeasuring())
        ++this->heartbeats;
    this->events.after(this->delay(entry, worker), [this, worker, deliver = std::move(deliver)] {
        if (!this->isDead(worker))
            deliver();
    });
}

void Fleet::countWasted(std::uint32_t count)
{
    if (this->isMeasuring())
        this->wasted += count;
}

void Fleet::execute(std::size_t worker, JobIndex job, std::uint32_t task, EndHandler ended)
{
    Duration run = this->jobs[job].runs[task];
    if (this->hasFault(worker, WorkerFault::Straggles))
        run = Duration(static_cast<std::int64_t>(double(run.count()) * stragglerFactor));
    if (this->hasFault(worker, WorkerFault::FailsEverything)) {
        this->events.after(failureRun, [ended = std::move(ended)] { ended(false, failureRun); });
        return;
    }
    if (this->hasFault(worker, WorkerFault::Stalls))
        return;
    this->events.after(run, [this, worker, run, ended = std::move(ended)] {
        if (!this->isDead(worker) && !this->hasFault(worker, WorkerFault::Stalls))
            ended(!this->hasFault(worker, WorkerFault::FailsEverything), run);
    });
}

bool Fleet::isDead(std::size_t worker) const { return this->hasFault(worker, WorkerFault::Dies); }

void Fleet::taskEnded(JobIndex index, std::uint32_t task, bool isSuccess)
{
    const JobModel& job = this->jobs[index];
    if (this->isMeasuring())
        ++this->finishedInWindow;
    if (!job.isMeasured)
        return;
    KindFigures& kind = this->figures[job.kind];
    if (!isSuccess) {
        ++kind.failed;
        return;
    }
    ++kind.completed;
    // 200 tasks that arrive at once can't all start at once on 88 slots, whatever the dispatcher does.
    if (this->options.mix == JobMix::Mixed && job.runs.size() >= batchedJobTasks)
        return;
    const Load::ServiceDescription& service = this->options.workload.service;
    const Duration response = this->events.now() + service.clientDelay - job.submittedAt;
    const Duration ideal = job.runs[task] + 2 * (service.clientDelay + service.insideDataCentreDelay);
    kind.ratios.push_back(static_cast<float>(milliseconds(response) / milliseconds(ideal)));
    kind.responses.push_back(static_cast<float>(milliseconds(response)));
}

void Fleet::jobRefused(JobIndex index)
{
    const JobModel& job = this->jobs[index];
    if (job.isMeasured)
        this->figures[job.kind].refused += job.runs.size();
}

bool Fleet::isMeasuring() const
{
    return this->events.now() >= this->measureFrom() && this->events.now() < this->measureUntil();
}

bool Fleet::hasFault(std::size_t worker, WorkerFault fault) const
{
    return this->options.fault == fault && worker < this->options.faultyWorkers
        && this->events.now() >= this->measureFrom();
}

void Fleet::scheduleArrival(std::size_t kind, const ArrivalHandler& jobArrived)
{
    const double rate = this->jobsPerSecond(this->options.workload.kinds[kind]);
    const double wait = -std::log(1 - this->uniform()) / rate;
    // A rate that changes at the start of a flood counts from then on; exponential gaps need no correction.
    const SteadyTime when = this->events.now() + Duration(static_cast<std::int64_t>(wait * 1e9));
    const bool crossesStart = this->events.now() < this->measureFrom() && when >= this->measureFrom();
    if (crossesStart) {
        this->events.at(this->measureFrom(), [this, kind, jobArrived] { this->scheduleArrival(kind, jobArrived); });
        return;
    }
    if (when >= this->measureUntil())
        return;
    this->events.at(when, [this, kind, jobArrived] {
        this->arrive(kind, jobArrived);
        this->scheduleArrival(kind, jobArrived);
    });
}

void Fleet::arrive(std::size_t kindIndex, const ArrivalHandler& jobArrived)
{
    const Load::KindDescription& kind = this->options.workload.kinds[kindIndex];
    JobModel job;
    job.kind = kindIndex;
    job.entry = this->generator(this->options.entries);
    job.submittedAt = this->events.now();
    job.isMeasured = this->isMeasuring();
    for (std::uint32_t task = this->drawJobSize(kind); task > 0; --task)
        job.runs.push_back(kind.distribution.at(this->uniform()));
    if (job.isMeasured)
        this->figures[kindIndex].arrived += job.runs.size();
    this->jobs.push_back(std::move(job));
    const JobIndex index = this->jobs.size() - 1;
    this->events.after(this->options.workload.service.clientDelay, [jobArrived, index] { jobArrived(index); });
}

std::uint32_t Fleet::drawJobSize(const Load::KindDescription& kind)
{
    if (this->options.mix != JobMix::Mixed)
        return this->options.mix == JobMix::Single ? 1 : batchedJobTasks;
    double weights = 0;
    for (const Load::JobSize& size : kind.jobSizes)
        weights += size.weight;
    double place = this->uniform() * weights;
    for (const Load::JobSize& size : kind.jobSizes) {
        place -= size.weight;
        if (place <= 0)
            return size.tasks;
    }
    return kind.jobSizes.back().tasks;
}

double Fleet::jobsPerSecond(const Load::KindDescription& kind) const
{
    double tasksPerJob = kind.meanJobSize();
    if (this->options.mix != JobMix::Mixed)
        tasksPerJob = this->options.mix == JobMix::Single ? 1 : batchedJobTasks;
    const bool isFlood = this->options.floodKind == kind.name && this->events.now() >= this->measureFrom();
    const double factor = isFlood ? this->options.floodFactor : 1;
    return factor * this->options.workload.tasksPerSecond(kind, this->options.loadPercent) / tasksPerJob;
}

double Fleet::uniform() { return std::uniform_real_distribution<double>(0, 1)(this->generator); }

ExperimentResult Fleet::result()
{
    ExperimentResult result;
    std::vector<float> ratios;
    for (std::size_t index = 0; index < this->figures.size(); ++index) {
        KindFigures& kind = this->figures[index];
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
    result.wastedPercent = 100 * double(this->wasted) / std::max<double>(1, double(this->messages));
    return result;
}

}
