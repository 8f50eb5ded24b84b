#pragma once

#include "celeryswitch/Configuration/RoutingDocument.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include "celeryswitch/Scheduling/WorkerBoard.h"
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Scheduling {

/// Settings of a scheduler; fixed for its life.
struct SchedulerSettings {
    std::string dataCentre;
    /// Part of a job's response goal for which it may wait for room before it is refused as not run.
    double waitShare = 0.22;
    /// Time between two signs of life to a sidecar.
    Core::Duration aliveInterval = std::chrono::milliseconds(200);
    /// Time after the last sign of life of a sidecar after which nothing that this entry ordered runs there any more: the
    /// time that the sidecar keeps runs of a silent entry, the worker's longest lease on a slow clock, and a margin.
    Core::Duration runsOverTime = std::chrono::milliseconds(700 + 1030 + 120);
    /// Time for which the outcome of an ended job is remembered, so that a late copy of its request is not run again.
    Core::Duration outcomeRetention = std::chrono::seconds(10);
    /// Time that a caller without a time of its own waits, at most.
    Core::Duration longestPatience = std::chrono::seconds(60);
};

/// Answer a caller.
struct AnswerRequest {
    RequestNumber request = 0;
    CallerAnswer answer;
};
/// Send a message to a sidecar.
struct SendWork {
    Core::InstanceId sidecar;
    Messages::WorkMessage message;
};

using SchedulerAction = std::variant<AnswerRequest, SendWork>;

/// Decides for one entry which jobs run where: admits, places, repeats and answers. Pure: it has no sockets or clocks;
/// the same inputs at the same times give the same actions.
class JobScheduler {
public:
    /// `log` outlives the scheduler.
    JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log);

    /// A caller hands in a job for a queue.
    void submit(Core::SteadyTime now, RequestNumber request, const Configuration::Queue& queue, SubmitJob submission);
    /// A caller asks for a job's state, cancels it, or asks for a queue's length.
    void query(RequestNumber request, const QueryJob& query);
    void cancel(Core::SteadyTime now, RequestNumber request, const CancelJob& cancellation);
    void queryQueue(RequestNumber request, const Configuration::Queue& queue);
    /// The caller of a request has gone.
    void abandoned(Core::SteadyTime now, RequestNumber request);

    /// A sidecar is reached, and has not yet told of its worker.
    void sidecarConnected(Core::SteadyTime now, const Core::InstanceId& sidecar, const std::string& dataCentre);
    /// The connection to a sidecar is lost.
    void sidecarDisconnected(const Core::InstanceId& sidecar);
    /// A sidecar is no member any more.
    void sidecarRemoved(Core::SteadyTime now, const Core::InstanceId& sidecar);
    /// A sidecar reports.
    void received(Core::SteadyTime now, const Core::InstanceId& sidecar, Messages::WorkerUpdate update);

    /// Does what is due and returns everything to carry out.
    std::vector<SchedulerAction> poll(Core::SteadyTime now);
    /// When `poll` is due although nothing else happens.
    Core::SteadyTime nextWakeUp() const;

    /// Jobs without an outcome.
    std::size_t openJobs() const { return this->jobs.size(); }
    /// Workers that could run tasks now.
    std::size_t usableWorkers() const;
    /// Every worker that is known.
    const WorkerBoard& workers() const { return this->board; }

private:
    enum class TaskPhase : std::uint8_t {
        Waiting,
        Ordered,
        Done,
    };
    struct Task {
        TaskPhase phase = TaskPhase::Waiting;
        /// Number of the next or current run.
        std::uint32_t run = 1;
        std::uint32_t failures = 0;
        Core::InstanceId sidecar;
        /// Sidecars whose workers failed the task.
        std::vector<Core::InstanceId> failedAt;
    };
    struct Step {
        std::vector<Task> tasks;
        std::uint32_t waiting = 0;
        std::uint32_t done = 0;
    };
    struct Job {
        JobSpecification specification;
        Configuration::Queue queue;
        RequestNumber request = 0;
        Core::SteadyTime arrivedAt;
        /// When it is given up.
        Core::SteadyTime deadline;
        /// When it is refused if it has not begun.
        Core::SteadyTime waitUntil;
        std::vector<Step> steps;
        bool hasBegun = false;
    };
    struct Outcome {
        CallerAnswer answer;
        Core::SteadyTime endedAt;
    };
    using Jobs = std::map<std::uint64_t, Job>;

    Core::Duration responseGoal(const Configuration::Queue& queue, const JobSpecification& job) const;
    bool isSupported(const JobSpecification& job, std::string& reason) const;
    void placeWaiting(Core::SteadyTime now);
    bool placeStep(Core::SteadyTime now, Job& job, std::uint32_t stepIndex);
    void order(Core::SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement);
    void takeReport(Core::SteadyTime now, const Core::InstanceId& sidecar, const Messages::RunReport& report);
    void taskBack(Job& job, std::uint32_t stepIndex, Task& task);
    void loseRuns(Core::SteadyTime now, const Core::InstanceId& sidecar, std::string_view reason);
    void end(Core::SteadyTime now, Jobs::iterator found, CallerAnswer answer);
    void answer(RequestNumber request, CallerAnswer answer);
    void expireJobs(Core::SteadyTime now);
    void keepAlive(Core::SteadyTime now);

    SchedulerSettings settings;
    Logging::StructuredLog& log;
    WorkerBoard board;
    /// When each sidecar was last sent a sign of life.
    std::map<Core::InstanceId, Core::SteadyTime> aliveSentAt;
    /// Open jobs by id; those that wait are tried in the order of their arrival.
    Jobs jobs;
    std::deque<std::uint64_t> waitingJobs;
    std::unordered_map<std::uint64_t, Outcome> outcomes;
    std::deque<std::pair<Core::SteadyTime, std::uint64_t>> outcomeOrder;
    bool isPlacingDue = false;
    std::vector<SchedulerAction> actions;
};

}
