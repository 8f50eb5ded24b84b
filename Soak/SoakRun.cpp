#include "Soak/SoakRun.h"

#include "Soak/SoakWire.h"
#include <boost/asio/steady_timer.hpp>
#include <cmath>

namespace celeryswitch::Soak {

using Core::Duration;
using Core::SteadyTime;

namespace {

// One in this many jobs can only run on one worker while there are faults.
constexpr std::uint64_t boundJobInterval = 4;
constexpr std::chrono::milliseconds resendTime { 1300 };
constexpr std::chrono::seconds leadTime { 10 };
// Time after the last fault until service is expected to be whole again, and length of the calm time that follows.
constexpr std::chrono::seconds recoveryTime { 8 };
constexpr std::chrono::seconds calmTime { 5 };
constexpr std::chrono::seconds finishTime { 9 };
// Time in which the operator's last calls end, before the last reads: longer than the time-out of a call.
constexpr std::chrono::milliseconds settleTime { 1200 };
// Part of the calm time's jobs that has to be completed, but for those refused while the workers were in full use;
// these may be this part of all at most, since the load leaves a third of the room free on average.
constexpr double calmShare = 0.97;
constexpr double refusedFullShare = 0.1;
// Part of the workers' room in use from which on they are full: what is left fits no whole job.
constexpr double fullShare = 0.9;

SteadyTime now() { return Core::BootClock::now(); }

Duration seconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); }

std::string textOf(Duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + " ms";
}

}

SoakRun::SoakRun(SoakSettings value)
    : settings(std::move(value))
    , random(this->settings.seed)
    , faultRandom(this->settings.seed + 1'000'000)
    , fleet(this->settings.program, this->settings.folder, this->settings.network, this->settings.size)
    , changeRandom(this->settings.seed + 2'000'000)
{
}

void SoakRun::later(Duration span, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        this->context, std::chrono::duration_cast<std::chrono::steady_clock::duration>(span));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

void SoakRun::violation(const std::string& text)
{
    this->result.violations.push_back(textOf(now() - this->startedAt) + ": " + text);
}

SoakResult SoakRun::play()
{
    this->startedAt = now();
    this->startFleet();
    this->watchReadiness();
    this->operate();
    const SteadyTime limit = now() + leadTime;
    while (this->ready.size() < this->settings.size.entries && now() < limit)
        this->context.run_for(std::chrono::milliseconds(20));
    if (this->ready.size() < this->settings.size.entries)
        this->violation("not every entry is ready " + textOf(leadTime) + " after the start");
    this->startedAt = now();
    this->arrive();
    this->watchProcesses();
    if (!this->settings.isCalm)
        this->planFaults();
    if (this->settings.hasChanges) {
        for (const auto& worker : this->workers)
            worker->setKindsDrawn(true);
        this->planChanges();
        this->planLimitChanges();
    }
    this->context.run_for(this->settings.duration + recoveryTime + calmTime);
    this->isOver = true;
    this->context.run_for(settleTime);
    for (const std::string& state : this->fleet.processes("state"))
        this->read(state, true);
    this->context.run_for(finishTime);
    this->check();
    return this->result;
}

void SoakRun::startFleet()
{
    for (std::uint32_t number = 1; number <= this->settings.size.workers; ++number) {
        this->workers.push_back(std::make_unique<SoakWorker>(
            this->context, std::to_string(number), this->fleet.controlAddress("sidecar-" + std::to_string(number)),
            [this, worker = this->workers.size()](
                const Messages::TaskId& task, std::uint32_t) { return this->planOf(worker, task); },
            this->settings.seed * 100 + number));
        if (const Core::Result<void> started = this->workers.back()->start(); !started)
            this->violation("a worker can't start: " + started.error().message());
        this->fleet.setWorkerAddress(number, this->workers.back()->address());
    }
    for (const char* role : { "sidecar", "entry", "state" }) {
        for (const std::string& process : this->fleet.processes(role)) {
            if (const Core::Result<void> started = this->fleet.start(process); !started)
                this->violation(process + " can't start: " + started.error().message());
        }
    }
}

void SoakRun::watchReadiness()
{
    for (const std::string& entry : this->fleet.processes("entry")) {
        const auto probe = std::make_shared<Http::HttpConnection>(this->context, this->fleet.readinessAddress(entry));
        probe->request({ "GET", "/v1/ready", {}, "" }, std::chrono::milliseconds(400),
            [this, entry, probe](const Core::Result<Http::HttpResponse>& response) {
                if (response && response.value().statusCode == 200)
                    this->ready.insert(entry);
                else
                    this->ready.erase(entry);
            });
    }
    this->later(std::chrono::milliseconds(500), [this] { this->watchReadiness(); });
}

Experiment::RunPlan SoakRun::planOf(std::size_t worker, const Messages::TaskId& task)
{
    const auto found = this->jobs.find(task.job.number);
    if (found == this->jobs.end() || task.index >= found->second.taskTimes.size()) {
        this->violation("a worker was told to start a task that no caller sent");
        return { std::chrono::milliseconds(1), true, {} };
    }
    const Job& job = found->second;
    Experiment::RunPlan plan { job.taskTimes[task.index], false, { job.milliCores, 64, 0 } };
    const auto greyness = this->grey.find(worker);
    if (greyness == this->grey.end() || now() >= greyness->second.first)
        return plan;
    if (greyness->second.second)
        return { std::chrono::milliseconds(5), true, plan.need };
    plan.time = {};
    return plan;
}

void SoakRun::arrive()
{
    if (this->isOver)
        return;
    this->later(seconds(-std::log(1 - this->uniform()) / this->settings.jobsPerSecond), [this] { this->arrive(); });
    const std::uint64_t number = ++this->lastJob;
    Job& job = this->jobs[number];
    job.id = Messages::jobText(number);
    job.queue = static_cast<std::uint32_t>(this->pick(queueCount));
    const double mean = job.queue == 0 ? 0.06 : job.queue == 1 ? 0.2 : 0.6;
    const double longest = mean * (0.5 + this->uniform());
    for (std::size_t left = 1 + this->pick(4); left > 0; --left)
        job.taskTimes.push_back(seconds(longest * (1 - 0.3 * this->uniform())));
    job.milliCores = static_cast<std::uint32_t>(2000 + this->pick(2000));
    job.sentAt = now();
    job.patience = seconds(1.5 + 3 * (1.6 * longest + 0.06));
    job.isCalm = now() >= this->startedAt + this->settings.duration + recoveryTime;
    // A job that loses its only worker is refused rather than placed elsewhere.
    if (number % boundJobInterval == 0 && now() < this->startedAt + this->settings.duration)
        job.requiredLabel = SoakWorker::rackLabel(std::to_string(1 + number / boundJobInterval % this->workers.size()));
    else if (this->settings.hasChanges && number % boundJobInterval == 1)
        job.requiredLabel = SoakWorker::largeLabel;
    this->submit(number);
}

SoakRun::Caller& SoakRun::callerFor(const std::string& entry)
{
    for (Caller& caller : this->callers) {
        if (caller.entry == entry && !caller.isBusy)
            return caller;
    }
    this->callers.push_back(
        { entry, std::make_unique<Http::HttpConnection>(this->context, this->fleet.entryAddress(entry)), false });
    return this->callers.back();
}

void SoakRun::submit(std::uint64_t number)
{
    Job& job = this->jobs.at(number);
    const Duration left = job.sentAt + job.patience - now();
    if (left <= std::chrono::milliseconds(20)) {
        job.isEnded = true;
        return;
    }
    std::vector<std::string> entries(this->ready.begin(), this->ready.end());
    if (entries.empty())
        entries = this->fleet.processes("entry");
    const std::string entry = entries[this->pick(entries.size())];
    Caller& caller = this->callerFor(entry);
    caller.isBusy = true;
    ++job.submissions;
    const double longest = std::chrono::duration<double>(job.taskTimes.front()).count();
    Http::HttpRequest request = writeJob(queueHost(job.queue), queuePrefix(job.queue), job.id,
        static_cast<std::uint32_t>(job.taskTimes.size()), { job.milliCores, 64, 0 },
        static_cast<std::uint32_t>(longest * 1000 * (0.7 + 0.6 * this->uniform())), job.requiredLabel,
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    const SteadyTime sentAt = now();
    caller.connection->request(std::move(request), left,
        [this, number, entry, sentAt, &caller](const Core::Result<Http::HttpResponse>& response) {
            caller.isBusy = false;
            const auto stopped = this->stoppedAt.find(entry);
            const bool isCut = !response && response.error().is(Http::HttpError::ConnectionLost)
                && stopped != this->stoppedAt.end() && now() < stopped->second + std::chrono::seconds(6)
                && now() > sentAt + std::chrono::milliseconds(200) && this->harmedAt[entry] < stopped->second;
            if (isCut)
                this->violation(
                    entry + " cut a request off in a graceful stop, " + textOf(now() - sentAt) + " after it was sent");
            this->answered(number, entry, response);
        });
}

void SoakRun::answered(std::uint64_t number, const std::string& entry, const Core::Result<Http::HttpResponse>& response)
{
    Job& job = this->jobs.at(number);
    if (!response) {
        const bool isUnsent = response.error().is(Http::HttpError::ConnectFailed);
        if (isUnsent)
            --job.submissions;
        this->later(isUnsent ? std::chrono::milliseconds(100) : resendTime, [this, number] { this->submit(number); });
        return;
    }
    const std::uint16_t status = response.value().statusCode;
    if (status == 504 || status == 502) {
        this->later(resendTime, [this, number] { this->submit(number); });
        return;
    }
    job.isEnded = true;
    if (status == 503 || status == 429) {
        ++job.refusals;
        job.isRefusedFull = this->isFull();
        if (!response.value().headers.contains("Retry-After"))
            this->violation(entry + " refused job " + job.id + " without telling when to come back");
    } else if (status == 200) {
        job.isCompleted = response.value().body.find("completed") != std::string::npos;
    } else {
        this->violation(entry + " answered job " + job.id + " with " + std::to_string(status));
    }
}

bool SoakRun::isFull() const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const auto& worker : this->workers) {
        used += worker->usedMilliCores();
        all += worker->milliCores();
    }
    return static_cast<double>(used) >= fullShare * static_cast<double>(all);
}

void SoakRun::operate()
{
    if (this->isOver)
        return;
    const std::uint64_t version = this->nextVersion += 1 + this->pick(3);
    this->put(version, 0);
    // Two operators at the same time, and an older document that arrives again.
    if (this->uniform() < 0.2)
        this->put(++this->nextVersion, 0);
    if (this->uniform() < 0.2 && version > 4)
        this->later(std::chrono::milliseconds(300), [this, version] { this->put(version - 1, 0); });
    const std::vector<std::string> states = this->fleet.processes("state");
    this->read(states[this->pick(states.size())], false);
    this->later(std::chrono::milliseconds(200 + this->pick(600)), [this] { this->operate(); });
}

void SoakRun::put(std::uint64_t version, std::uint32_t attempt)
{
    const std::vector<std::string> states = this->fleet.processes("state");
    const auto call = std::make_shared<Http::HttpConnection>(
        this->context, this->fleet.controlAddress(states[this->pick(states.size())]));
    call->request({ "POST", "/v1/config/put", { { "Content-Type", "application/json" } },
                      writeDocument(version, this->contentOf(version)) },
        std::chrono::seconds(1), [this, version, attempt, call](const Core::Result<Http::HttpResponse>& response) {
            if (response && response.value().statusCode == 200)
                this->confirmed = std::max(this->confirmed, version);
            else if (response && response.value().statusCode < 500 && response.value().statusCode != 307)
                this->violation("a valid document was refused with " + std::to_string(response.value().statusCode));
            else if (attempt < 8 && !this->isOver)
                this->later(std::chrono::milliseconds(100 << std::min(attempt, 4U)),
                    [this, version, attempt] { this->put(version, attempt + 1); });
        });
}

void SoakRun::read(const std::string& state, bool isLast)
{
    const auto call = std::make_shared<Http::HttpConnection>(this->context, this->fleet.controlAddress(state));
    call->request({ "GET", "/v1/config/get", {}, "" }, std::chrono::seconds(1),
        [this, state, isLast, call, least = this->confirmed](const Core::Result<Http::HttpResponse>& response) {
            if (!response || response.value().statusCode != 200) {
                if (isLast)
                    this->later(std::chrono::milliseconds(300), [this, state] { this->read(state, true); });
                return;
            }
            const std::uint64_t version = readVersion(response.value().body);
            if (version < least)
                this->violation(state + " showed version " + std::to_string(version) + " after " + std::to_string(least)
                    + " was confirmed");
            if (response.value().body != writeDocument(version, this->contentOf(version)))
                this->violation(state + " showed another content under version " + std::to_string(version));
            if (isLast)
                this->result.confirmedVersion = std::max(this->result.confirmedVersion, version);
        });
}

void SoakRun::check()
{
    std::map<Messages::TaskId, std::vector<Experiment::RunRecord>> byTask;
    for (const auto& worker : this->workers) {
        for (const Experiment::RunRecord& run : worker->history())
            byTask[run.task].push_back(run);
    }
    std::map<std::uint64_t, std::set<std::uint32_t>> done;
    std::set<std::uint64_t> started;
    for (auto& [task, runs] : byTask) {
        this->result.runs += runs.size();
        std::sort(runs.begin(), runs.end(),
            [](const auto& left, const auto& right) { return left.startedAt < right.startedAt; });
        started.insert(task.job.number);
        for (std::size_t index = 0; index < runs.size(); ++index) {
            if (runs[index].end == Messages::RunEnd::Done)
                done[task.job.number].insert(task.index);
            const std::string& label = this->jobs.at(task.job.number).requiredLabel;
            const std::vector<std::string>& labels = runs[index].labels;
            if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end())
                this->result.violations.push_back("task " + Messages::jobText(task.job) + "."
                    + std::to_string(task.index) + " ran on a worker without the label " + label);
            if (runs[index].isBeyondCapacity && this->settings.hasChanges)
                this->result.violations.push_back(
                    "worker " + runs[index].workerId + " was brought over its capacity by a start");
            if (index > 0 && runs[index].startedAt < runs[index - 1].endedAt)
                this->result.violations.push_back("task " + Messages::jobText(task.job) + "."
                    + std::to_string(task.index) + " ran twice, " + textOf(runs[index].startedAt - this->startedAt)
                    + " after the start, the first for " + textOf(runs[index].startedAt - runs[index - 1].startedAt)
                    + " before");
        }
    }
    for (const auto& [number, job] : this->jobs) {
        ++this->result.jobs;
        this->result.completed += job.isCompleted ? 1 : 0;
        this->result.refused += job.refusals;
        this->result.calmJobs += job.isCalm ? 1 : 0;
        this->result.calmCompleted += job.isCalm && job.isCompleted ? 1 : 0;
        this->result.calmRefusedFull += job.isCalm && job.isRefusedFull ? 1 : 0;
        if (job.isCompleted && done[number].size() != job.taskTimes.size())
            this->result.violations.push_back("job " + job.id + " was shown as completed without all its tasks");
        if (job.submissions > 0 && job.refusals == job.submissions && started.count(number) > 0)
            this->result.violations.push_back("job " + job.id + " was refused as not run, though it had");
        if (!job.isEnded)
            this->result.violations.push_back("job " + job.id + " has no end");
    }
    const auto calm = static_cast<double>(this->result.calmJobs);
    const auto refusedFull = static_cast<double>(this->result.calmRefusedFull);
    if (static_cast<double>(this->result.calmCompleted) < calmShare * (calm - refusedFull)
        || refusedFull > refusedFullShare * calm)
        this->result.violations.push_back("only " + std::to_string(this->result.calmCompleted) + " of "
            + std::to_string(this->result.calmJobs) + " jobs were completed after the last fault, and "
            + std::to_string(this->result.calmRefusedFull) + " refused while the workers were in full use");
    if (this->result.confirmedVersion < this->confirmed)
        this->result.violations.push_back("version " + std::to_string(this->confirmed)
            + " was confirmed, and the last one read is " + std::to_string(this->result.confirmedVersion));
}

}
