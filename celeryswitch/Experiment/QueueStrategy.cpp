#include "celeryswitch/Experiment/QueueStrategy.h"

#include <algorithm>

namespace celeryswitch::Experiment {

namespace {

double seconds(Core::Duration span) { return std::chrono::duration<double>(span).count(); }

}

QueueStrategy::QueueStrategy(FleetSimulation& simulation)
    : simulation(simulation)
    , workers(simulation.workerCount())
    , reportedWork(simulation.options.entries, std::vector<double>(simulation.workerCount(), 0))
    , generator(simulation.options.seed + 77)
{
}

void QueueStrategy::submitJob(JobIndex job)
{
    for (std::uint32_t task = 0; task < this->simulation.jobs[job].runTimes.size(); ++task) {
        const QueueItem item = this->makeItem(job, task);
        switch (this->simulation.options.strategy) {
        case StrategyKind::Probes:
            this->probeWorkers(item);
            break;
        case StrategyKind::LateBinding:
            this->reserveSlots(item);
            break;
        case StrategyKind::SlotCredits:
        case StrategyKind::ExpectedWait:
            this->sendToShortestWait(item);
            break;
        }
    }
}

QueueStrategy::QueueItem QueueStrategy::makeItem(JobIndex job, std::uint32_t task) const
{
    const double arrival = seconds(this->simulation.events.now().time_since_epoch());
    const double slack = this->simulation.options.queue.slackPerExpectedRun * this->expectedSeconds(job);
    return { arrival + slack, this->simulation.jobs[job].entry, job, task };
}

double QueueStrategy::expectedSeconds(JobIndex job) const
{
    return seconds(this->simulation.options.workload.kinds[this->simulation.jobs[job].kind].distribution.mean());
}

void QueueStrategy::probeWorkers(const QueueItem& item)
{
    const std::size_t first = this->randomWorker();
    std::size_t second = this->randomWorker();
    while (second == first && this->workers.size() > 1)
        second = this->randomWorker();
    // The entry decides when the slower of the two answers arrives.
    const std::size_t slower
        = this->simulation.delay(item.entry, first) > this->simulation.delay(item.entry, second) ? first : second;
    const std::size_t faster = slower == first ? second : first;
    this->simulation.send(
        item.entry, faster, [this, item, faster] { this->simulation.send(item.entry, faster, [] {}); });
    this->simulation.send(item.entry, slower, [this, item, slower, faster] {
        this->simulation.send(item.entry, slower, [this, item, slower, faster] {
            this->sendTask(this->workers[slower].work < this->workers[faster].work ? slower : faster, item);
        });
    });
}

void QueueStrategy::sendToShortestWait(const QueueItem& item)
{
    std::vector<double>& reported = this->reportedWork[item.entry];
    const double slots = this->simulation.options.workload.service.slotsPerWorker;
    const auto cost = [&](std::size_t worker) {
        return std::max(0.0, reported[worker] / slots - this->expectedSeconds(item.job) / 2)
            + 2 * seconds(this->simulation.delay(item.entry, worker));
    };
    std::size_t best = this->randomWorker();
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        if (cost(worker) < cost(best))
            best = worker;
    }
    reported[best] += this->expectedSeconds(item.job);
    this->sendTask(best, item);
}

void QueueStrategy::reserveSlots(const QueueItem& item)
{
    const std::size_t first = this->randomWorker();
    std::size_t second = this->randomWorker();
    while (second == first && this->workers.size() > 1)
        second = this->randomWorker();
    for (std::size_t worker : { first, second }) {
        this->simulation.send(item.entry, worker, [this, worker, item] {
            this->workers[worker].queue.insert(item);
            this->startNext(worker);
        });
    }
}

void QueueStrategy::sendTask(std::size_t worker, const QueueItem& item)
{
    this->simulation.send(item.entry, worker, [this, worker, item] {
        this->workers[worker].work += this->expectedSeconds(item.job);
        this->workers[worker].queue.insert(item);
        this->startNext(worker);
    });
}

void QueueStrategy::startNext(std::size_t index)
{
    Worker& worker = this->workers[index];
    while (worker.running < this->simulation.options.workload.service.slotsPerWorker && !worker.queue.empty()) {
        const QueueItem item = *worker.queue.begin();
        worker.queue.erase(worker.queue.begin());
        ++worker.running;
        if (this->simulation.options.strategy == StrategyKind::LateBinding)
            this->fetchTask(index, item);
        else
            this->runItem(index, item);
    }
}

void QueueStrategy::fetchTask(std::size_t worker, const QueueItem& item)
{
    // The slot stays reserved while the task is fetched.
    this->simulation.send(item.entry, worker, [this, worker, item] {
        const bool isFirst = this->fetchedTasks.insert({ item.job, item.task }).second;
        if (!isFirst)
            this->simulation.countWastedMessages(2);
        this->simulation.send(item.entry, worker, [this, worker, item, isFirst] {
            if (isFirst) {
                this->runItem(worker, item);
                return;
            }
            --this->workers[worker].running;
            this->startNext(worker);
        });
    });
}

void QueueStrategy::runItem(std::size_t index, const QueueItem& item)
{
    this->simulation.runTask(index, item.job, item.task, [this, index, item](bool isSuccess, Core::Duration) {
        Worker& worker = this->workers[index];
        --worker.running;
        worker.work = std::max(0.0, worker.work - this->expectedSeconds(item.job));
        this->simulation.send(item.entry, index, [this, index, item, isSuccess, work = worker.work] {
            this->reportedWork[item.entry][index] = work;
            this->simulation.recordTaskEnd(item.job, item.task, isSuccess);
        });
        this->startNext(index);
    });
}

std::size_t QueueStrategy::randomWorker() { return this->generator(static_cast<std::uint32_t>(this->workers.size())); }

}
