#pragma once

#include "celeryswitch/Experiment/LeasedWorkerModel.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include <functional>
#include <memory>

namespace celeryswitch::Workers {

using Core::SteadyTime;

/// A supervisor with a model of its worker; calls are answered immediately unless a test loses them.
class SupervisorFixture {
public:
    SupervisorFixture()
        : log(logSettings(), this->clock)
        , worker(
              { "w1", 77, "loans", { 32'000, 65'536, 0 } }, [this](const TaskId&, std::uint32_t) { return this->plan; },
              this->now())
    {
        this->restart(5);
    }

    /// Starts a new incarnation of the sidecar without any state.
    void restart(Core::Incarnation incarnation)
    {
        SupervisorSettings settings;
        settings.incarnation = incarnation;
        settings.firstFencingToken = static_cast<std::uint64_t>(Core::toUnixMilliseconds(this->clock.wallNow()));
        this->restart(settings);
    }
    void restart(const SupervisorSettings& settings)
    {
        this->supervisor = std::make_unique<RunSupervisor>(settings, this->log, this->registry, this->now());
        this->timeouts.clear();
    }
    SteadyTime now() const { return this->clock.steadyNow(); }
    /// Connects the entry `name` with connection number `number`.
    void connect(std::uint64_t number, const std::string& name, Core::Incarnation incarnation = 1)
    {
        this->supervisor->entryConnected(
            this->now(), number, { Messages::Role::Entry, name, incarnation, "a", "", "", 0 });
    }
    /// Announces the worker and lets the supervisor receive its lists of runs.
    void announceWorker()
    {
        this->supervisor->workerAnnounced(this->now(), this->worker.announcement(this->now()));
        this->advance(std::chrono::milliseconds(5));
    }
    /// Requests one run of each task of a job.
    void startTasks(std::uint64_t connection, const Messages::StepJobId& job, std::uint32_t tasks = 1,
        std::int64_t milliCores = 3000, float rank = 1, Core::Duration startWithin = std::chrono::milliseconds(500))
    {
        Messages::StartRuns start;
        start.sequence = ++this->sequence;
        start.order = this->nextOrder(job);
        start.clockEcho = Core::toClockSample(this->now());
        start.job = job;
        start.content = "content";
        start.need = { milliCores, 64, 0 };
        start.expectedMilliseconds = 200;
        start.rank = rank;
        start.startWithinMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(startWithin).count();
        start.deadlineMicroseconds = 5'000'000;
        start.bornAt = this->orderedBornAt;
        for (std::uint32_t index = 0; index < tasks; ++index)
            start.tasks.emplace_back(index, 1);
        this->supervisor->messageReceived(this->now(), connection, start);
    }
    /// The first task of a job with the number of its latest start order.
    Messages::OrderedTask orderedTask(const Messages::StepJobId& job) const
    {
        return { { job, 0, 0, 0 }, this->orders.at(job) };
    }
    /// Claims a run of the first task of each job for its latest order.
    void claim(std::uint64_t connection, const std::vector<std::uint64_t>& jobs, std::uint32_t run = 1)
    {
        Messages::ClaimRuns claims;
        for (const std::uint64_t job : jobs)
            claims.runs.push_back({ this->orderedTask(job), run, { 3000, 64, 0 } });
        this->supervisor->messageReceived(this->now(), connection, std::move(claims));
    }
    /// Stops the run of the first task of a job.
    void stop(std::uint64_t connection, const Messages::OrderedTask& ordered)
    {
        this->supervisor->messageReceived(
            this->now(), connection, Messages::StopRuns { Core::toClockSample(this->now()), { ordered } });
    }
    /// Reserves room for units of the size of `startTasks`.
    void reserve(std::uint64_t connection, std::uint64_t reservation, std::uint32_t units = 1,
        std::int64_t milliCores = 3000, float rank = 1, Core::Duration startWithin = std::chrono::milliseconds(500))
    {
        this->supervisor->messageReceived(this->now(), connection,
            Messages::ReserveRoom { ++this->sequence, Core::toClockSample(this->now()), reservation,
                { milliCores, 64, 0 }, units, 1, rank,
                std::chrono::duration_cast<std::chrono::microseconds>(startWithin).count() });
    }
    /// Requests one run of a job in reserved room.
    void startReserved(
        std::uint64_t connection, std::uint64_t reservation, const Messages::StepJobId& job, float rank = 1)
    {
        Messages::StartRuns start;
        start.sequence = ++this->sequence;
        start.order = this->nextOrder(job);
        start.clockEcho = Core::toClockSample(this->now());
        start.job = job;
        start.need = { 3000, 64, 0 };
        start.expectedMilliseconds = 200;
        start.rank = rank;
        start.startWithinMicroseconds = 30'000;
        start.deadlineMicroseconds = 5'000'000;
        start.bornAt = this->orderedBornAt;
        start.tasks = { { 0, 1 } };
        this->supervisor->messageReceived(
            this->now(), connection, Messages::StartReserved { reservation, std::move(start) });
    }
    /// Replaces the worker by another incarnation under the same id, which runs nothing and has seen no fencing token.
    void restartWorker(std::int64_t bornAt, const Room& capacity = { 32'000, 65'536, 0 })
    {
        this->endedHistory.insert(
            this->endedHistory.end(), this->worker.history().begin(), this->worker.history().end());
        this->worker.terminate(this->now());
        this->worker = Experiment::LeasedWorkerModel(
            { "w1", bornAt, "loans", capacity }, [this](const TaskId&, std::uint32_t) { return this->plan; },
            this->now());
    }
    /// Advances the time of the worker alone, as after a crash of the sidecar.
    void advanceWorker(Core::Duration span)
    {
        this->clock.advance(span);
        this->worker.advance(this->now());
    }
    /// Executes a lost call now; its lease counts from its arrival.
    std::optional<CallResult> executeLate(WorkerCall call, SteadyTime sentAt)
    {
        const std::int64_t delay = std::chrono::duration_cast<std::chrono::milliseconds>(this->now() - sentAt).count();
        if (auto* renewal = std::get_if<RenewLeaseCall>(&call); renewal && renewal->leaseEnd)
            *renewal->leaseEnd += delay;
        else if (auto* start = std::get_if<StartCall>(&call))
            start->leaseEnd += delay;
        return this->worker.handle(this->now(), call, 999'999);
    }
    /// Advances the time in steps of 1 ms; the entries in `liveConnections` send EntryAlive in each step.
    void advance(Core::Duration span)
    {
        const SteadyTime end = this->now() + std::chrono::duration_cast<SteadyTime::duration>(span);
        while (this->now() < end) {
            this->clock.advance(std::chrono::milliseconds(1));
            for (const std::uint64_t connection : this->liveConnections)
                this->supervisor->messageReceived(
                    this->now(), connection, Messages::EntryAlive { Core::toClockSample(this->now()) });
            this->processEvents();
        }
    }
    /// All reports for a job so far, to any entry.
    std::vector<Messages::RunReport> reportsOf(const Messages::StepJobId& job) const
    {
        std::vector<Messages::RunReport> found;
        for (const Messages::RunReport& report : this->reports) {
            if (report.ordered.task.job == job)
                found.push_back(report);
        }
        return found;
    }
    /// Runs of a job on the worker so far.
    std::vector<Experiment::RunRecord> historyOf(const Messages::StepJobId& job) const
    {
        std::vector<Experiment::RunRecord> found;
        for (const Experiment::RunRecord& run : this->worker.history()) {
            if (run.task.job == job)
                found.push_back(run);
        }
        return found;
    }

    /// Whether any run of a job was reported as ended.
    bool isReportedEnded(const Messages::StepJobId& job) const
    {
        const auto reports = this->reportsOf(job);
        return std::any_of(reports.begin(), reports.end(),
            [](const Messages::RunReport& report) { return report.state == Messages::RunState::Ended; });
    }
    /// Whether the worker executes a run of a job.
    bool isRunning(const Messages::StepJobId& job) const
    {
        const auto history = this->historyOf(job);
        return std::any_of(history.begin(), history.end(),
            [](const Experiment::RunRecord& run) { return run.endedAt == SteadyTime::max(); });
    }

    Core::ManualClock clock;
    Logging::StructuredLog log;
    Metrics::MetricRegistry registry;
    /// Incarnation of the worker that start orders name: that of the newest profile that an entry received.
    std::int64_t orderedBornAt = 77;
    /// Behaviour of the next runs.
    Experiment::RunPlan plan { std::chrono::milliseconds(200), false, { 3000, 64, 0 } };
    Experiment::LeasedWorkerModel worker;
    std::unique_ptr<RunSupervisor> supervisor;
    /// Connections of the entries that are alive.
    std::vector<std::uint64_t> liveConnections;
    /// Whether calls reach the worker; lost calls are kept in `lostCalls`.
    bool isWorkerReachable = true;
    /// Whether a start reaches no other incarnation of the worker than the one that it names. Without it, a connection
    /// leads to the next incarnation, as through a relay that stays up.
    bool areStartsIdentified = true;
    /// Whether every call fails at once without a response, as if the worker reset its connections.
    bool isWorkerResetting = false;
    /// Whether the worker refuses every start because it is unhealthy.
    bool isWorkerRefusingStarts = false;
    /// Whether the next start call is lost and kept in `lostCalls`.
    bool isNextStartLost = false;
    /// The same for the next long-polling lease renewal.
    bool isNextLongPollLost = false;
    /// Whether stop calls are lost.
    bool areStopsLost = false;
    std::vector<WorkerCall> lostCalls;
    /// Changes the worker's responses if set.
    std::function<void(CallResult&)> alterResult;
    /// Runs of earlier incarnations of the worker.
    std::vector<Experiment::RunRecord> endedHistory;
    /// All reports, and the newest load, sent to any entry.
    std::vector<Messages::RunReport> reports;
    Messages::WorkerLoad load;
    /// All offers so far: connection and reservation.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> offers;
    std::vector<WorkerCall> calls;
    /// Receives each update with its connection; may be empty.
    std::function<void(std::uint64_t, const Messages::WorkerUpdate&)> onUpdate;

private:
    std::uint64_t nextOrder(const Messages::StepJobId& job) { return this->orders[job] = ++this->lastOrder; }
    static Logging::LogSettings logSettings()
    {
        Logging::LogSettings settings;
        settings.output = [](const std::string&) {};
        return settings;
    }
    void processEvents()
    {
        for (auto& [ticket, result] : this->worker.advance(this->now())) {
            if (this->alterResult)
                this->alterResult(result);
            this->supervisor->callFinished(
                this->now(), ticket, this->isWorkerResetting ? CallResult {} : std::move(result));
        }
        // Handling a call may cause further calls.
        for (int round = 0; round < 20; ++round) {
            std::vector<SupervisorAction> actions = this->supervisor->poll(this->now());
            if (actions.empty())
                break;
            for (SupervisorAction& action : actions)
                this->perform(action);
        }
        std::erase_if(this->timeouts, [this](const auto& timeout) {
            if (this->now() < timeout.second)
                return false;
            this->supervisor->callFinished(this->now(), timeout.first, CallResult {});
            return true;
        });
    }
    void perform(SupervisorAction& action)
    {
        if (auto* send = std::get_if<SendUpdate>(&action)) {
            for (const Messages::RunReport& report : send->update.reports)
                this->reports.push_back(report);
            this->load = send->update.load;
            for (const Messages::WorkerProfile& profile : send->update.profile)
                this->orderedBornAt = profile.workerId.empty() ? this->orderedBornAt : profile.bornAt;
            if (this->onUpdate)
                this->onUpdate(send->connection, send->update);
        } else if (const auto* offer = std::get_if<SendOffer>(&action)) {
            this->offers.emplace_back(offer->connection, offer->offer.reservation);
        } else if (auto* call = std::get_if<CallWorker>(&action)) {
            this->calls.push_back(call->call);
            if (this->isWorkerResetting) {
                this->supervisor->callFinished(this->now(), call->callId, CallResult {});
                return;
            }
            if (this->isWorkerRefusingStarts && std::holds_alternative<StartCall>(call->call)) {
                CallResult refusal;
                refusal.status = CallStatus::Unhealthy;
                this->supervisor->callFinished(this->now(), call->callId, std::move(refusal));
                return;
            }
            const auto* start = std::get_if<StartCall>(&call->call);
            if (start && this->areStartsIdentified && this->isWorkerReachable
                && start->workerStartedAt != this->worker.settings().bornAt) {
                // As WorkerClient does: the connection to the earlier incarnation broke, and a new one is identified.
                CallResult unsent;
                unsent.status = CallStatus::NotIdentified;
                unsent.workerStartedAt = this->worker.settings().bornAt;
                this->supervisor->callFinished(this->now(), call->callId, std::move(unsent));
                return;
            }
            const auto* hold = std::get_if<RenewLeaseCall>(&call->call);
            const bool isLost = !this->isWorkerReachable
                || (std::holds_alternative<StartCall>(call->call) && std::exchange(this->isNextStartLost, false))
                || (std::holds_alternative<StopCall>(call->call) && this->areStopsLost)
                || (hold && hold->wait > std::chrono::milliseconds::zero()
                    && std::exchange(this->isNextLongPollLost, false));
            if (isLost) {
                this->lostCalls.push_back(call->call);
                this->timeouts.emplace_back(call->callId, this->now() + call->timeout);
            } else if (std::optional<CallResult> result = this->worker.handle(this->now(), call->call, call->callId)) {
                if (this->alterResult)
                    this->alterResult(*result);
                this->supervisor->callFinished(this->now(), call->callId, std::move(*result));
            }
        }
    }

    std::uint64_t sequence = 0;
    std::uint64_t lastOrder = 0;
    /// Latest start order of each job.
    std::map<Messages::StepJobId, std::uint64_t> orders;
    std::vector<std::pair<std::uint64_t, SteadyTime>> timeouts;
};

/// A supervisor with an announced worker and one live entry on connection 1.
struct ReadySupervisor : SupervisorFixture {
    ReadySupervisor()
    {
        this->connect(1, "entry-1");
        this->liveConnections = { 1 };
        this->announceWorker();
    }
};

}
