#include "celeryswitch/Experiment/QueueStrategy.h"

#include <algorithm>

namespace celeryswitch::Experiment {

namespace {

double seconds(Core::Duration span) { return std::chrono::duration<double>(span).count(); }

}

QueueStrategy::QueueStrategy(Fleet& fleet)
    : fleet(fleet)
    , workers(fleet.workerCount())
    , knownWork(fleet.options.entries, std::vector<double>(fleet.workerCount(), 0))
    , generator(fleet.options.seed + 77)
{
}

void QueueStrategy::jobArrived(JobIndex job)
{
    for (std::uint32_t task = 0; task < this->fleet.jobs[job].runs.size(); ++task) {
        const Item item = this->itemOf(job, task);
        switch (this->fleet.options.strategy) {
        case StrategyKind::Probes:
            this->probe(item);
            break;
        case StrategyKind::LateBinding:
            this->reserve(item);
            break;
        case StrategyKind::SlotCredits:
        case StrategyKind::ExpectedWait:
            this->sendToShortestWait(item);
            break;
        }
    }
}

QueueStrategy::Item QueueStrategy::itemOf(JobIndex job, std::uint32_t task) const
{
    const double arrival = seconds(this->fleet.events.now().time_since_epoch());
    const double slack = this->fleet.options.queue.slackPerExpectedRun * this->expectedSeconds(job);
    return { arrival + slack, this->fleet.jobs[job].entry, job, task };
}

double QueueStrategy::expectedSeconds(JobIndex job) const
{
    return seconds(this->fleet.options.workload.kinds[this->fleet.jobs[job].kind].distribution.mean());
}

void QueueStrategy::probe(const Item& item)
{
    const std::size_t first = this->randomWorker();
    std::size_t second = this->randomWorker();
    while (second == first && this->workers.size() > 1)
        second = this->randomWorker();
    // The answers meet at the entry when the slower one is there.
    const std::size_t slower
        = this->fleet.delay(item.entry, first) > this->fleet.delay(item.entry, second) ? first : second;
    const std::size_t faster = slower == first ? second : first;
    this->fleet.send(item.entry, faster, [this, item, faster] { this->fleet.send(item.entry, faster, [] {}); });
    this->fleet.send(item.entry, slower, [this, item, slower, faster] {
        this->fleet.send(item.entry, slower, [this, item, slower, faster] {
            this->sendTask(this->workers[slower].work < this->workers[faster].work ? slower : faster, item);
        });
    });
}

void QueueStrategy::sendToShortestWait(const Item& item)
{
    std::vector<double>& known = this->knownWork[item.entry];
    const double slots = this->fleet.options.workload.service.slotsPerWorker;
    const auto cost = [&](std::size_t worker) {
        return std::max(0.0, known[worker] / slots - this->expectedSeconds(item.job) / 2)
            + 2 * seconds(this->fleet.delay(item.entry, worker));
    };
    std::size_t best = this->randomWorker();
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        if (cost(worker) < cost(best))
            best = worker;
    }
    known[best] += this->expectedSeconds(item.job);
    this->sendTask(best, item);
}

void QueueStrategy::reserve(const Item& item)
{
    const std::size_t first = this->randomWorker();
    std::size_t second = this->randomWorker();
    while (second == first && this->workers.size() > 1)
        second = this->randomWorker();
    for (std::size_t worker : { first, second }) {
        this->fleet.send(item.entry, worker, [this, worker, item] {
            this->workers[worker].queue.insert(item);
            this->startNext(worker);
        });
    }
}

void QueueStrategy::sendTask(std::size_t worker, const Item& item)
{
    this->fleet.send(item.entry, worker, [this, worker, item] {
        this->workers[worker].work += this->expectedSeconds(item.job);
        this->workers[worker].queue.insert(item);
        this->startNext(worker);
    });
}

void QueueStrategy::startNext(std::size_t index)
{
    Worker& worker = this->workers[index];
    while (worker.running < this->fleet.options.workload.service.slotsPerWorker && !worker.queue.empty()) {
        const Item item = *worker.queue.begin();
        worker.queue.erase(worker.queue.begin());
        ++worker.running;
        if (this->fleet.options.strategy == StrategyKind::LateBinding)
            this->fetch(index, item);
        else
            this->run(index, item);
    }
}

void QueueStrategy::fetch(std::size_t worker, const Item& item)
{
    // The slot is kept for the task while it is fetched.
    this->fleet.send(item.entry, worker, [this, worker, item] {
        const bool isMine = this->fetched.insert({ item.job, item.task }).second;
        if (!isMine)
            this->fleet.countWasted(2);
        this->fleet.send(item.entry, worker, [this, worker, item, isMine] {
            if (isMine) {
                this->run(worker, item);
                return;
            }
            --this->workers[worker].running;
            this->startNext(worker);
        });
    });
}

void QueueStrategy::run(std::size_t index, const Item& item)
{
    this->fleet.execute(index, item.job, item.task, [this, index, item](bool isSuccess, Core::Duration) {
        Worker& worker = this->workers[index];
        --worker.running;
        worker.work = std::max(0.0, worker.work - this->expectedSeconds(item.job));
        this->fleet.send(item.entry, index, [this, index, item, isSuccess, work = worker.work] {
            this->knownWork[item.entry][index] = work;
            this->fleet.taskEnded(item.job, item.task, isSuccess);
        });
        this->startNext(index);
    });
}

std::size_t QueueStrategy::randomWorker() { return this->generator(static_cast<std::uint32_t>(this->workers.size())); }

}
