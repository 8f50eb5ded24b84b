#include "celeryswitch/Experiment/LeasedFleet.h"

#include "celeryswitch/Experiment/LeasedFleetParts.h"
#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;
using Scheduling::AnswerKind;
using Scheduling::JobState;

namespace {

constexpr Duration nearDelay = std::chrono::microseconds(300);
constexpr Duration farDelay = std::chrono::microseconds(1400);
constexpr Duration resendDelay = std::chrono::milliseconds(1300);
constexpr double stretch = 1.6;
constexpr double targetSeconds = 0.06;

}

LeasedFleet::LeasedFleet(LeasedOptions value)
    : options(std::move(value))
    , random(this->options.seed)
    , figures(this->options.kinds.size())
{
    Logging::LogSettings settings;
    settings.level = this->options.log ? Logging::LogLevel::Debug : Logging::LogLevel::Error;
    settings.recordsPerSecond = 0;
    settings.output = [this](const std::string& record) {
        if (this->options.log)
            this->options.log(this->events.now(), record);
    };
    this->log = std::make_unique<Logging::StructuredLog>(std::move(settings), this->logClock);
}

LeasedFleet::~LeasedFleet() = default;

double LeasedFleet::lognormal(double mean, double spread)
{
    return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(this->random);
}

Duration LeasedFleet::delay(std::size_t entry, std::size_t worker) const
{
    return entry % 3 == worker % 3 ? nearDelay : farDelay;
}

// Chooses the links of every entry; other names of the entries give other links.
void LeasedFleet::chooseLinks(const std::string& names)
{
    std::vector<Messages::Member> members;
    const auto add = [&members](Messages::Role role, std::string id) {
        members.emplace_back();
        members.back().identity.role = role;
        members.back().identity.instanceId = std::move(id);
    };
    for (std::size_t entry = 0; entry < this->options.entries; ++entry)
        add(Messages::Role::Entry, names + std::to_string(entry));
    for (std::size_t worker = 0; worker < this->options.workers; ++worker)
        add(Messages::Role::Sidecar, std::to_string(worker));
    this->linked.assign(this->options.entries, {});
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        for (const Messages::Member& sidecar :
            Scheduling::linkedSidecars(members, names + std::to_string(entry), this->options.links))
            this->linked[entry].insert(std::stoul(sidecar.identity.instanceId));
        if (entry < this->entries.size() && this->entries[entry]->isUp)
            this->whenAwake(*this->entries[entry], [this, entry] { this->linksChosen(entry); });
    }
}

void LeasedFleet::linksChosen(std::size_t entry)
{
    std::set<Core::InstanceId> sidecars;
    for (std::size_t worker : this->linked[entry])
        sidecars.insert(std::to_string(worker));
    this->entries[entry]->scheduler->setLinked(this->events.now(), std::move(sidecars));
    this->stepEntry(entry);
}

LeasedResult LeasedFleet::run()
{
    this->chooseLinks("entry-");
    for (std::size_t index = 0; index < this->options.workers; ++index) {
        this->sidecars.push_back(std::make_unique<Sidecar>());
        this->startWorker(index);
        this->startSidecar(index);
    }
    for (std::size_t index = 0; index < this->options.entries; ++index) {
        this->entries.push_back(std::make_unique<Entry>());
        this->startEntry(index);
    }
    this->watchLinks();
    const SteadyTime begin = this->events.now() + std::chrono::seconds(2);
    this->events.at(begin, [this] {
        for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind)
            this->arrive(kind);
    });
    this->planFaults();
    const SteadyTime end = begin + std::chrono::duration_cast<SteadyTime::duration>(this->options.duration);
    this->events.runUntil(end + std::chrono::seconds(20));
    LeasedResult result;
    for (auto& sidecar : this->sidecars) {
        sidecar->worker->advance(this->events.now());
        this->pastRuns.insert(
            this->pastRuns.end(), sidecar->worker->history().begin(), sidecar->worker->history().end());
    }
    result.kinds = this->figures;
    result.runs = this->pastRuns.size();
    result.messages = this->messages;
    result.orders = this->registry.counter("celeryswitch_runs_ordered_total", "").value();
    result.ordersReturned
        = this->registry.counter("celeryswitch_runs_ended_total", "", { { "end", "not-started" } }).value();
    this->check(result);
    return result;
}

void LeasedFleet::arrive(std::size_t kind)
{
    const LeasedKind& description = this->options.kinds[kind];
    const SteadyTime end = SteadyTime(std::chrono::seconds(1002))
        + std::chrono::duration_cast<SteadyTime::duration>(this->options.duration);
    if (this->events.now() < end)
        this->events.after(
            seconds(-std::log(1 - this->uniform()) / description.jobsPerSecond), [this, kind] { this->arrive(kind); });
    const std::uint64_t id = ++this->lastNumber;
    Job& job = this->jobs[id];
    job.kind = kind;
    job.sentAt = this->events.now();
    const double longest = this->lognormal(description.meanSeconds, description.spread);
    const auto tasks = static_cast<std::uint32_t>(std::clamp(this->lognormal(description.meanTasks, 0.4), 1.0, 32.0));
    for (std::uint32_t index = 0; index < tasks; ++index)
        job.taskSeconds.push_back(longest * (index == 0 ? 1 : 1 - 0.3 * this->uniform()));
    job.isFailing = this->uniform() < description.failingShare;
    job.patience = seconds(1.5 + 2 * (stretch * longest + targetSeconds));
    Scheduling::StepSpecification step;
    step.count = tasks;
    step.need = { static_cast<std::int64_t>(this->lognormal(description.milliCores, 0.2)), 64, 0 };
    step.declaredMilliseconds = static_cast<std::uint32_t>(std::max(1.0, this->lognormal(longest, 0.4) * 1000));
    job.specification = { id, "content", { step }, true, 0, 0, 0 };
    ++this->figures[kind].asked;
    this->submit(id);
}

void LeasedFleet::submit(std::uint64_t id)
{
    Job& job = this->jobs.at(id);
    const std::size_t index = static_cast<std::size_t>(this->uniform() * static_cast<double>(this->entries.size()));
    Entry& entry = *this->entries[index];
    if (!entry.isUp) {
        // Connections to a process that is down are refused, and the caller tries again.
        if (this->events.now() < job.sentAt + job.patience)
            this->events.after(std::chrono::milliseconds(100), [this, id] { this->submit(id); });
        return;
    }
    ++job.submissions;
    const Scheduling::RequestNumber request = ++this->lastNumber;
    entry.requests[request] = id;
    const Configuration::Queue queue { this->options.kinds[job.kind].name, "h", "/", "loans", 1500, 60, stretch, 0,
        this->options.kinds[job.kind].attempts };
    this->whenAwake(entry, [this, index, id, request, queue] {
        const Job& submitted = this->jobs.at(id);
        this->entries[index]->scheduler->submit(
            this->events.now(), this->events.now(), request, queue, { submitted.specification, submitted.patience });
        this->stepEntry(index);
    });
}

void LeasedFleet::startEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    entry.isUp = true;
    ++entry.life;
    entry.plannedAt = SteadyTime::max();
    entry.frozenUntil = {};
    Scheduling::SchedulerSettings settings;
    settings.dataCentre = "dc-" + std::to_string(index % 3);
    if (!this->options.mechanisms.isUnreachableWaitedFor)
        settings.runsOverTime = std::chrono::milliseconds(1);
    entry.scheduler = std::make_unique<Scheduling::JobScheduler>(settings, *this->log, this->registry);
    this->linksChosen(index);
    for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker)
        this->connect(index, worker);
}

void LeasedFleet::killEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    if (!entry.isUp)
        return;
    entry.isUp = false;
    for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker)
        this->disconnect(index, worker);
    entry.scheduler.reset();
    for (const auto& [request, id] : std::exchange(entry.requests, {})) {
        if (!this->jobs.at(id).isAnswered)
            this->events.after(resendDelay, [this, id = id] { this->submit(id); });
    }
    this->events.after(restartDelay, [this, index] { this->startEntry(index); });
}

void LeasedFleet::stepEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    this->whenAwake(entry, [this, index, &entry] {
        for (Scheduling::SchedulerAction& action : entry.scheduler->poll(this->events.now())) {
            if (auto* answer = std::get_if<Scheduling::AnswerRequest>(&action)) {
                auto node = entry.requests.extract(answer->request);
                if (!node.empty())
                    this->answered(node.mapped(), answer->answer);
                continue;
            }
            auto& send = std::get<Scheduling::SendWork>(action);
            const std::size_t worker = std::stoul(send.sidecar);
            const Link& link = this->links[{ index, worker }];
            if (!link.isOpen || this->events.now() < link.cutUntil)
                continue;
            ++this->messages;
            this->events.after(this->delay(index, worker),
                [this, index, worker, number = link.number, message = std::move(send.message)] {
                    if (this->links[{ index, worker }].number != number)
                        return;
                    Sidecar& sidecar = *this->sidecars[worker];
                    this->whenAwake(sidecar, [this, worker, number, message] {
                        this->sidecars[worker]->supervisor->messageReceived(this->events.now(), number, message);
                        this->stepSidecar(worker);
                    });
                });
        }
        const SteadyTime due = entry.scheduler->nextWakeUp();
        if (due < entry.plannedAt || entry.plannedAt <= this->events.now()) {
            entry.plannedAt = std::max(due, this->events.now() + std::chrono::microseconds(100));
            if (due < SteadyTime::max())
                this->events.at(entry.plannedAt, [this, index, life = entry.life] {
                    if (this->entries[index]->life == life)
                        this->stepEntry(index);
                });
        }
    });
}

void LeasedFleet::answered(std::uint64_t id, const Scheduling::CallerAnswer& answer)
{
    Job& job = this->jobs.at(id);
    if (answer.kind == AnswerKind::NotRun)
        ++job.refusals;
    if (job.isAnswered)
        return;
    job.isAnswered = true;
    job.answeredAt = this->events.now();
    LeasedFigures& figure = this->figures[job.kind];
    const double response = std::chrono::duration<double>(this->events.now() - job.sentAt).count();
    const double goal = stretch * job.taskSeconds.front() + targetSeconds;
    job.isCompleted = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    const bool isRightFailure = answer.kind == AnswerKind::State && answer.state == JobState::Failed && job.isFailing;
    if (job.isCompleted || isRightFailure)
        ++(response <= goal ? figure.inTime : figure.late);
    else
        ++(answer.kind == AnswerKind::NotRun ? figure.refused : figure.failed);
}

}
