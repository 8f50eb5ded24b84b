#include "celeryswitch/Experiment/LeasedFleet.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;
using Scheduling::AnswerKind;
using Scheduling::JobState;

namespace {

constexpr Duration nearDelay = std::chrono::microseconds(300);
constexpr Duration farDelay = std::chrono::microseconds(1400);
constexpr Duration callDelay = std::chrono::microseconds(200);
constexpr Duration restartDelay = std::chrono::milliseconds(500);
constexpr Duration announcementInterval = std::chrono::milliseconds(1500);
constexpr Duration linkCheck = std::chrono::milliseconds(50);
constexpr Duration linkSilence = std::chrono::milliseconds(550);
constexpr Duration resendDelay = std::chrono::milliseconds(1300);
constexpr double stretch = 1.6;
constexpr double targetSeconds = 0.06;

Duration seconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); }

}

/// A process that may be down or frozen.
struct LeasedFleetProcess {
    std::uint64_t life = 0;
    bool isUp = false;
    SteadyTime frozenUntil;
    /// When its next step is planned.
    SteadyTime plannedAt = SteadyTime::max();
};

struct LeasedFleet::Entry : LeasedFleetProcess {
    std::unique_ptr<Scheduling::JobScheduler> scheduler;
    /// Job of each request without an answer.
    std::map<Scheduling::RequestNumber, std::uint64_t> requests;
};

struct LeasedFleet::Sidecar : LeasedFleetProcess {
    std::unique_ptr<Workers::RunSupervisor> supervisor;
    std::unique_ptr<LeasedWorkerModel> worker;
    std::uint64_t workerLife = 0;
    std::set<std::uint64_t> calls;
    SteadyTime workerPlannedAt = SteadyTime::max();
    /// How the worker behaves until then: fails, stands still, or is slow.
    enum class Grey { None, Fails, Stalls, Slow } grey = Grey::None;
    SteadyTime greyUntil;
};

struct LeasedFleet::Link {
    std::uint64_t number = 0;
    bool isOpen = false;
    SteadyTime cutUntil;
    SteadyTime heardAt;
};

struct LeasedFleet::Job {
    std::size_t kind = 0;
    Scheduling::JobSpecification specification;
    std::vector<double> taskSeconds;
    bool isFailing = false;
    SteadyTime sentAt;
    Duration patience {};
    std::size_t submissions = 0;
    std::size_t refusals = 0;
    bool isAnswered = false;
    bool isCompleted = false;
    SteadyTime answeredAt;
};

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

// Runs an action of a process, when it thaws if it is frozen; nothing happens in another life of it.
template <typename Process, typename Action> void LeasedFleet::whenAwake(Process& process, Action action)
{
    if (!process.isUp)
        return;
    if (this->events.now() >= process.frozenUntil) {
        action();
        return;
    }
    this->events.at(process.frozenUntil, [this, &process, life = process.life, action = std::move(action)] {
        if (process.life == life)
            this->whenAwake(process, action);
    });
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
                        this->sidecars[worker]->supervisor->received(this->events.now(), number, message);
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

void LeasedFleet::startSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    sidecar.isUp = true;
    ++sidecar.life;
    sidecar.plannedAt = SteadyTime::max();
    sidecar.frozenUntil = {};
    sidecar.calls.clear();
    Workers::SupervisorSettings settings;
    settings.incarnation = sidecar.life;
    if (!this->options.mechanisms.isEntryWatched)
        settings.entrySilenceLimit = std::chrono::hours(1);
    sidecar.supervisor
        = std::make_unique<Workers::RunSupervisor>(settings, *this->log, this->registry, this->events.now());
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->connect(entry, index);
    this->stepSidecar(index);
}

void LeasedFleet::killSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.isUp)
        return;
    sidecar.isUp = false;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->disconnect(entry, index);
    sidecar.supervisor.reset();
    this->events.after(restartDelay, [this, index] { this->startSidecar(index); });
}

void LeasedFleet::stepSidecar(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    this->whenAwake(sidecar, [this, index, &sidecar] {
        for (Workers::SupervisorAction& action : sidecar.supervisor->poll(this->events.now())) {
            if (auto* order = std::get_if<Workers::CallWorker>(&action)) {
                this->call(index, std::move(*order));
            } else if (auto* send = std::get_if<Workers::SendUpdate>(&action)) {
                for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
                    const Link& link = this->links[{ entry, index }];
                    if (link.number != send->connection || !link.isOpen || this->events.now() < link.cutUntil)
                        continue;
                    ++this->messages;
                    this->events.after(this->delay(entry, index),
                        [this, entry, index, number = link.number, update = std::move(send->update)] {
                            Link& current = this->links[{ entry, index }];
                            if (current.number != number)
                                return;
                            this->whenAwake(*this->entries[entry], [this, entry, index, update] {
                                this->links[{ entry, index }].heardAt = this->events.now();
                                this->entries[entry]->scheduler->received(
                                    this->events.now(), std::to_string(index), update);
                                this->stepEntry(entry);
                            });
                        });
                }
            }
        }
        const SteadyTime due = sidecar.supervisor->nextWakeUp();
        if (due < sidecar.plannedAt || sidecar.plannedAt <= this->events.now()) {
            sidecar.plannedAt = std::max(due, this->events.now() + std::chrono::microseconds(100));
            if (due < SteadyTime::max())
                this->events.at(sidecar.plannedAt, [this, index, life = sidecar.life] {
                    if (this->sidecars[index]->life == life)
                        this->stepSidecar(index);
                });
        }
    });
}

void LeasedFleet::startWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    const std::uint64_t life = ++sidecar.workerLife;
    LeasedWorkerSettings settings;
    settings.workerId = "w-" + std::to_string(index) + "-" + std::to_string(life);
    settings.bornAt = static_cast<std::int64_t>(life);
    settings.service = "loans";
    settings.capacity = { this->options.workerMilliCores, 262'144, 0 };
    settings.clockRate = 0.98 + 0.02 * this->uniform();
    sidecar.worker = std::make_unique<LeasedWorkerModel>(
        settings,
        [this, index](const Messages::TaskId& task, std::uint32_t run) { return this->planRun(index, task, run); },
        this->events.now());
    sidecar.workerPlannedAt = SteadyTime::max();
    this->announce(index);
}

void LeasedFleet::crashWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    sidecar.worker->die(this->events.now());
    this->events.after(std::chrono::milliseconds(700), [this, index] {
        const auto& history = this->sidecars[index]->worker->history();
        this->pastRuns.insert(this->pastRuns.end(), history.begin(), history.end());
        this->startWorker(index);
    });
}

void LeasedFleet::announce(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    this->whenAwake(sidecar, [this, index, announcement = sidecar.worker->announcement(this->events.now())] {
        this->sidecars[index]->supervisor->announced(this->events.now(), announcement);
        this->stepSidecar(index);
    });
    this->events.after(announcementInterval, [this, index, life = sidecar.workerLife] {
        if (this->sidecars[index]->workerLife == life)
            this->announce(index);
    });
}

void LeasedFleet::wakeWorker(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    for (auto& [ticket, result] : sidecar.worker->advance(this->events.now())) {
        this->events.after(callDelay, [this, index, ticket = ticket, answer = std::move(result)] {
            this->whenAwake(*this->sidecars[index], [this, index, ticket, answer] {
                if (this->sidecars[index]->calls.erase(ticket) == 0)
                    return;
                this->sidecars[index]->supervisor->called(this->events.now(), ticket >> 20, answer);
                this->stepSidecar(index);
            });
        });
    }
    const SteadyTime due = sidecar.worker->nextChange();
    if (due < SteadyTime::max() && (due < sidecar.workerPlannedAt || sidecar.workerPlannedAt <= this->events.now())) {
        sidecar.workerPlannedAt = std::max(due, this->events.now() + std::chrono::microseconds(10));
        this->events.at(sidecar.workerPlannedAt, [this, index, life = sidecar.workerLife] {
            if (this->sidecars[index]->workerLife == life)
                this->wakeWorker(index);
        });
    }
}

void LeasedFleet::call(std::size_t index, Workers::CallWorker order)
{
    Sidecar& sidecar = *this->sidecars[index];
    // The low bits tell the lives of the sidecar.
    const std::uint64_t ticket = (order.callId << 20) | (sidecar.life & 0xfffff);
    sidecar.calls.insert(ticket);
    this->events.after(order.timeout, [this, index, ticket] {
        this->whenAwake(*this->sidecars[index], [this, index, ticket] {
            if (this->sidecars[index]->calls.erase(ticket) == 0)
                return;
            this->sidecars[index]->supervisor->called(this->events.now(), ticket >> 20, {});
            this->stepSidecar(index);
        });
    });
    const bool isLate = this->uniform() < this->options.faults.lateOrders;
    const Duration delay = isLate ? seconds(2 + 10 * this->uniform()) : callDelay;
    this->events.after(delay,
        [this, index, life = sidecar.workerLife, sidecarLife = isLate ? 0 : sidecar.life, order = std::move(order)] {
            this->carryOut(index, life, sidecarLife, order);
        });
}

void LeasedFleet::carryOut(
    std::size_t index, std::uint64_t life, std::uint64_t sidecarLife, const Workers::CallWorker& order)
{
    Sidecar& sidecar = *this->sidecars[index];
    if (!sidecar.worker->isAlive())
        return;
    Workers::WorkerCall call = order.call;
    Workers::CallResult otherLife;
    otherLife.status = Workers::CallStatus::OtherLife;
    std::optional<Workers::CallResult> result = otherLife;
    const std::uint64_t ticket = (order.callId << 20) | (sidecarLife & 0xfffff);
    this->wakeWorker(index);
    if (order.workerId.empty() || (sidecar.workerLife == life && order.workerId == sidecar.worker->settings().workerId))
        result = sidecar.worker->handle(this->events.now(), call, ticket);
    this->wakeWorker(index);
    if (!result || sidecarLife == 0)
        return;
    this->events.after(callDelay, [this, index, ticket, answer = std::move(*result)] {
        this->whenAwake(*this->sidecars[index], [this, index, ticket, answer] {
            if (this->sidecars[index]->calls.erase(ticket) == 0)
                return;
            this->sidecars[index]->supervisor->called(this->events.now(), ticket >> 20, answer);
            this->stepSidecar(index);
        });
    });
}

void LeasedFleet::connect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    Entry& entry = *this->entries[entryIndex];
    Sidecar& sidecar = *this->sidecars[worker];
    if (link.isOpen || this->linked[entryIndex].count(worker) == 0 || !entry.isUp || !sidecar.isUp
        || this->events.now() < link.cutUntil || this->events.now() < entry.frozenUntil
        || this->events.now() < sidecar.frozenUntil)
        return;
    link.isOpen = true;
    link.number = ++this->lastNumber;
    link.heardAt = this->events.now();
    sidecar.supervisor->entryConnected(this->events.now(), link.number,
        { Messages::Role::Entry, "entry-" + std::to_string(entryIndex), entry.life, "", "", "", 0 });
    Messages::Member member;
    member.identity.instanceId = std::to_string(worker);
    member.identity.dataCentre = "dc-" + std::to_string(worker % 3);
    entry.scheduler->sidecarConnected(this->events.now(), member);
    this->stepSidecar(worker);
    this->stepEntry(entryIndex);
}

void LeasedFleet::disconnect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    if (!std::exchange(link.isOpen, false))
        return;
    const std::uint64_t number = std::exchange(link.number, 0);
    if (this->entries[entryIndex]->isUp)
        this->whenAwake(*this->entries[entryIndex], [this, entryIndex, worker] {
            this->entries[entryIndex]->scheduler->sidecarDisconnected(std::to_string(worker));
        });
    if (this->sidecars[worker]->isUp && this->events.now() >= link.cutUntil)
        this->whenAwake(*this->sidecars[worker], [this, worker, number] {
            this->sidecars[worker]->supervisor->entryDisconnected(this->events.now(), number);
        });
}

void LeasedFleet::watchLinks()
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker) {
            const Link& link = this->links[{ entry, worker }];
            if (link.isOpen && this->events.now() - link.heardAt > linkSilence
                && this->events.now() >= this->entries[entry]->frozenUntil)
                this->disconnect(entry, worker);
            else if (this->linked[entry].count(worker) == 0)
                this->leaveSidecar(entry, worker);
            else if (!link.isOpen)
                this->connect(entry, worker);
        }
    }
    this->events.after(linkCheck, [this] { this->watchLinks(); });
}

// Ends a link that the entry no longer wants, once nothing of it runs there.
void LeasedFleet::leaveSidecar(std::size_t entry, std::size_t worker)
{
    if (!this->entries[entry]->isUp || this->events.now() < this->entries[entry]->frozenUntil)
        return;
    Scheduling::JobScheduler& scheduler = *this->entries[entry]->scheduler;
    const Core::InstanceId sidecar = std::to_string(worker);
    if (scheduler.hasRuns(sidecar))
        return;
    this->disconnect(entry, worker);
    scheduler.forgetSidecar(sidecar);
}

RunPlan LeasedFleet::planRun(std::size_t worker, const Messages::TaskId& task, std::uint32_t)
{
    const Sidecar& sidecar = *this->sidecars[worker];
    const Job& job = this->jobs.at(task.job);
    RunPlan plan { seconds(job.taskSeconds.at(task.index)), job.isFailing, job.specification.steps.front().need };
    if (this->events.now() >= sidecar.greyUntil)
        return plan;
    if (sidecar.grey == Sidecar::Grey::Fails)
        return { std::chrono::milliseconds(2), true, plan.need };
    if (sidecar.grey == Sidecar::Grey::Stalls)
        plan.time = {};
    else if (sidecar.grey == Sidecar::Grey::Slow)
        plan.time *= 6;
    return plan;
}

void LeasedFleet::planFaults()
{
    const double minutes = std::chrono::duration<double>(this->options.duration).count() / 60;
    const SteadyTime begin = this->events.now() + std::chrono::seconds(3);
    const auto plan = [&](double perMinute, auto action) {
        const auto count = std::poisson_distribution<int>(std::max(1e-9, perMinute * minutes))(this->random);
        for (int number = 0; number < count; ++number)
            this->events.at(begin
                    + std::chrono::duration_cast<SteadyTime::duration>(
                        seconds(this->uniform() * std::chrono::duration<double>(this->options.duration).count())),
                action);
    };
    const auto pick
        = [this](std::size_t count) { return static_cast<std::size_t>(this->uniform() * static_cast<double>(count)); };
    const LeasedFaults& faults = this->options.faults;
    plan(faults.entryKills, [this, pick] { this->killEntry(pick(this->entries.size())); });
    plan(faults.sidecarKills, [this, pick] { this->killSidecar(pick(this->sidecars.size())); });
    plan(faults.workerCrashes, [this, pick] { this->crashWorker(pick(this->sidecars.size())); });
    plan(faults.linkCuts, [this, pick] {
        const SteadyTime until
            = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.2 + 3 * this->uniform()));
        const std::size_t worker = pick(this->sidecars.size());
        const bool isOne = this->uniform() < 0.5;
        const std::size_t only = pick(this->entries.size());
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (!isOne || entry == only)
                this->links[{ entry, worker }].cutUntil = until;
        }
    });
    plan(faults.sidecarFreezes, [this, pick] {
        this->sidecars[pick(this->sidecars.size())]->frozenUntil = this->events.now()
            + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.1 + 2.5 * this->uniform()));
    });
    plan(faults.entryFreezes, [this, pick] {
        this->entries[pick(this->entries.size())]->frozenUntil = this->events.now()
            + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.1 + 2.5 * this->uniform()));
    });
    plan(faults.linkChanges, [this] { this->chooseLinks("entry-" + std::to_string(++this->lastNumber) + "-"); });
    plan(faults.greyWorkers, [this, pick] {
        Sidecar& sidecar = *this->sidecars[pick(this->sidecars.size())];
        constexpr Sidecar::Grey kinds[] { Sidecar::Grey::Fails, Sidecar::Grey::Stalls, Sidecar::Grey::Slow };
        sidecar.grey = kinds[pick(3)];
        sidecar.greyUntil = this->events.now() + std::chrono::seconds(5);
    });
}

void LeasedFleet::check(LeasedResult& result) const
{
    std::map<Messages::TaskId, std::vector<const RunHistory*>> byTask;
    for (const RunHistory& run : this->pastRuns)
        byTask[run.task].push_back(&run);
    const auto at = [](SteadyTime time) { return std::to_string(Core::toClockSample(time) / 1000) + " ms"; };
    std::map<std::uint64_t, std::set<std::uint32_t>> done;
    std::set<std::uint64_t> started;
    for (auto& [task, runs] : byTask) {
        std::sort(runs.begin(), runs.end(),
            [](const RunHistory* left, const RunHistory* right) { return left->startedAt < right->startedAt; });
        const std::string name = "task " + std::to_string(task.job) + "." + std::to_string(task.index);
        for (std::size_t index = 0; index < runs.size(); ++index) {
            started.insert(task.job);
            if (runs[index]->end == Messages::RunEnd::Done)
                done[task.job].insert(task.index);
            if (index > 0 && runs[index]->startedAt < runs[index - 1]->endedAt)
                result.violations.push_back(name + " ran twice at " + at(runs[index]->startedAt)
                    + ", the earlier run from " + at(runs[index - 1]->startedAt) + " to "
                    + at(runs[index - 1]->endedAt));
        }
    }
    for (const auto& [id, job] : this->jobs) {
        if (job.isCompleted && done[id].size() != job.taskSeconds.size())
            result.violations.push_back(
                "job " + std::to_string(id) + " was answered as completed without all its tasks");
        if (job.submissions > 0 && job.refusals == job.submissions && started.count(id) > 0)
            result.violations.push_back("job " + std::to_string(id) + " was answered as not run, though it had");
    }
}

}
