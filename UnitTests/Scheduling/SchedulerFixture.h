#pragma once

#include "celeryswitch/Scheduling/JobScheduler.h"
#include <algorithm>
#include <catch2/catch.hpp>

namespace celeryswitch::Scheduling {

using Messages::RunEnd;
using Messages::RunRefusal;
using Messages::RunState;

/// A scheduler whose sidecars and callers are played by the test.
class SchedulerFixture {
public:
    explicit SchedulerFixture(std::size_t workers = 2, SchedulerSettings schedulerSettings = settings())
        : log(logSettings(), this->clock)
        , scheduler(std::move(schedulerSettings), this->log, this->registry)
    {
        this->queue.name = "checkout";
        this->queue.service = "loans";
        this->queue.timeoutMilliseconds = 1500;
        this->queue.targetMilliseconds = 60;
        this->queue.stretch = 1.6;
        this->queue.maximumAttempts = 2;
        std::set<Core::InstanceId> linked;
        for (std::size_t index = 1; index <= workers; ++index)
            linked.insert("side-" + std::to_string(index));
        this->scheduler.setLinkedSidecars(this->now(), linked);
        for (std::size_t index = 1; index <= workers; ++index)
            this->connect("side-" + std::to_string(index));
        this->clock.advance(std::chrono::seconds(5));
        for (std::size_t index = 1; index <= workers; ++index)
            this->update("side-" + std::to_string(index), { 32'000, 65'536, 0 });
    }

    Core::SteadyTime now() const { return this->clock.steadyNow(); }
    void connect(const std::string& sidecar, Messages::Room free = { 32'000, 65'536, 0 })
    {
        Messages::Member member;
        member.identity.instanceId = sidecar;
        member.identity.dataCentre = "a";
        this->scheduler.sidecarConnected(this->now(), member);
        this->update(sidecar, free);
    }
    // Delivers a sidecar's update with this free room of its worker.
    void update(const std::string& sidecar, Messages::Room free, std::vector<Messages::RunReport> reports = {})
    {
        Messages::WorkerUpdate update;
        update.incarnation = 1;
        update.clockSample = Core::toClockSample(this->now());
        update.handledSequence = 1'000'000;
        update.profile
            = { { "w-" + sidecar, this->bornAt, "loans", { 32'000, 65'536, 0 }, { "a", "rack-" + sidecar } } };
        update.load = this->load;
        update.load.free = free;
        update.load.isReady = true;
        update.reports = std::move(reports);
        this->scheduler.updateReceived(this->now(), sidecar, std::move(update));
        this->pollScheduler();
    }
    void report(const std::string& sidecar, const StepJobId& job, std::uint32_t index, RunEnd end,
        RunRefusal refusal = RunRefusal::None, std::uint32_t run = 0)
    {
        this->update(sidecar, { 32'000, 65'536, 0 },
            { { this->orderedTask(job, index), run ? run : this->runOf(job, index), RunState::Ended, end, refusal,
                60'000, 0 } });
    }
    void reportStarted(const std::string& sidecar, const StepJobId& job, std::uint32_t index)
    {
        this->update(sidecar, { 32'000, 65'536, 0 },
            { { this->orderedTask(job, index), this->runOf(job, index), RunState::Running, RunEnd::NotStarted,
                RunRefusal::None, 0, 0 } });
    }
    SubmitJob makeJob(const StepJobId& id, std::uint32_t tasks = 1, std::int64_t milliCores = 3000) const
    {
        SubmitJob submission;
        submission.job.id = id;
        submission.job.content = "content";
        submission.job.isBestEffort = true;
        submission.callerTimeout = std::chrono::seconds(2);
        submission.job.steps.resize(1);
        submission.job.steps[0].count = tasks;
        submission.job.steps[0].need = { milliCores, 64, 0 };
        submission.job.steps[0].declaredMilliseconds = 60;
        return submission;
    }
    // Offers the room of a reservation.
    void offer(const std::pair<std::string, Messages::ReserveRoom>& reserve)
    {
        this->scheduler.roomOffered(reserve.first, { reserve.second.reservation });
        this->pollScheduler();
    }
    // Number of tasks of a job that were ordered in reserved room.
    std::size_t reservedTasks(const StepJobId& job) const
    {
        std::size_t tasks = 0;
        for (const auto& [sidecar, reserved] : this->reservedStarts)
            tasks += reserved.start.job == job ? reserved.start.tasks.size() : 0;
        return tasks;
    }
    // Whether a reservation was released at its sidecar.
    bool isReleased(const std::pair<std::string, Messages::ReserveRoom>& reserve) const
    {
        return std::any_of(this->releases.begin(), this->releases.end(), [&](const auto& release) {
            const auto& numbers = release.second.reservations;
            return release.first == reserve.first
                && std::find(numbers.begin(), numbers.end(), reserve.second.reservation) != numbers.end();
        });
    }
    // All workers are full and release room at this rate each.
    void fillWorkers(std::size_t workers, std::int64_t freedMilliCoresPerSecond)
    {
        this->load.freedMilliCoresPerSecond = freedMilliCoresPerSecond;
        for (std::size_t index = 1; index <= workers; ++index)
            this->update("side-" + std::to_string(index), { 0, 65'536, 0 });
    }
    void submit(RequestNumber request, SubmitJob submission)
    {
        this->scheduler.submit(this->now(), this->now(), request, this->queue, std::move(submission));
        this->pollScheduler();
    }
    void advance(Core::Duration span)
    {
        this->clock.advance(span);
        this->pollScheduler();
    }
    void pollScheduler()
    {
        if (this->areCallersChecked && this->scheduler.isCallerCheckDue(this->now()))
            this->scheduler.callersChecked(this->now());
        for (SchedulerAction& action : this->scheduler.poll(this->now())) {
            if (auto* send = std::get_if<SendToSidecar>(&action)) {
                this->recordEcho(*send);
                if (auto* start = std::get_if<Messages::StartRuns>(&send->message))
                    this->starts.emplace_back(send->sidecar, *start);
                else if (auto* reserved = std::get_if<Messages::StartReserved>(&send->message))
                    this->reservedStarts.emplace_back(send->sidecar, *reserved);
                else if (auto* reserve = std::get_if<Messages::ReserveRoom>(&send->message))
                    this->reserves.emplace_back(send->sidecar, *reserve);
                else if (auto* release = std::get_if<Messages::ReleaseRoom>(&send->message))
                    this->releases.emplace_back(send->sidecar, *release);
                else if (auto* stop = std::get_if<Messages::StopRuns>(&send->message))
                    this->stops.emplace_back(send->sidecar, *stop);
                else if (auto* claim = std::get_if<Messages::ClaimRuns>(&send->message))
                    this->claims.emplace_back(send->sidecar, *claim);
                else if (auto* known = std::get_if<Messages::KnownWorker>(&send->message))
                    this->knownWorkers.emplace_back(send->sidecar, *known);
            } else {
                const auto& answer = std::get<AnswerRequest>(action);
                REQUIRE(this->answers.count(answer.request) == 0);
                this->answers[answer.request] = answer.answer;
            }
        }
    }
    // Sidecar and run number of the latest start order for a task.
    std::pair<std::string, std::uint32_t> orderOf(const StepJobId& job, std::uint32_t index) const
    {
        for (auto order = this->starts.rbegin(); order != this->starts.rend(); ++order) {
            for (const auto& [taskIndex, run] : order->second.tasks) {
                if (order->second.job == job && taskIndex == index)
                    return { order->first, run };
            }
        }
        return { "", 0 };
    }
    // A task with the number of its latest start order.
    Messages::OrderedTask orderedTask(const StepJobId& job, std::uint32_t index) const
    {
        Messages::OrderedTask ordered { { job, 0, 0, index }, 0 };
        const auto add = [&](const Messages::StartRuns& start) {
            const auto isIndex = [index](const auto& task) { return task.first == index; };
            if (start.job == job && std::any_of(start.tasks.begin(), start.tasks.end(), isIndex))
                ordered.order = std::max(ordered.order, start.order);
        };
        for (const auto& [sidecar, start] : this->starts)
            add(start);
        for (const auto& [sidecar, reserved] : this->reservedStarts)
            add(reserved.start);
        return ordered;
    }
    std::uint32_t runOf(const StepJobId& job, std::uint32_t index) const { return this->orderOf(job, index).second; }

    Core::ManualClock clock;
    Logging::StructuredLog log;
    Metrics::MetricRegistry registry;
    JobScheduler scheduler;
    Configuration::Queue queue;
    Messages::WorkerLoad load;
    // Incarnation of the workers in the next updates.
    std::int64_t bornAt = 1;
    std::vector<std::pair<std::string, Messages::StartRuns>> starts;
    std::vector<std::pair<std::string, Messages::StartReserved>> reservedStarts;
    std::vector<std::pair<std::string, Messages::ReserveRoom>> reserves;
    std::vector<std::pair<std::string, Messages::ReleaseRoom>> releases;
    std::vector<std::pair<std::string, Messages::StopRuns>> stops;
    std::vector<std::pair<std::string, Messages::ClaimRuns>> claims;
    std::vector<std::pair<std::string, Messages::KnownWorker>> knownWorkers;
    // Clock samples that messages returned, by the sidecar, in order.
    std::map<std::string, std::vector<std::int64_t>> echoes;
    // Whether the callers' connections are checked whenever that is due.
    bool areCallersChecked = true;
    std::map<RequestNumber, CallerAnswer> answers;

private:
    void recordEcho(const SendToSidecar& send)
    {
        std::visit(
            [&](const auto& message) {
                if constexpr (requires { message.clockEcho; })
                    this->echoes[send.sidecar].push_back(message.clockEcho);
                else if constexpr (requires { message.start.clockEcho; })
                    this->echoes[send.sidecar].push_back(message.start.clockEcho);
            },
            send.message);
    }
    static Logging::LogSettings logSettings()
    {
        Logging::LogSettings settings;
        settings.output = [](const std::string&) {};
        return settings;
    }
    static SchedulerSettings settings()
    {
        SchedulerSettings settings;
        settings.dataCentre = "a";
        return settings;
    }
};

}
