#pragma once

#include "celeryswitch/Configuration/RoutingDocument.h"
#include "celeryswitch/Logging/Trace.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include "celeryswitch/Scheduling/KindModel.h"
#include "celeryswitch/Scheduling/SchedulerMetrics.h"
#include "celeryswitch/Scheduling/WorkerBoard.h"
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Scheduling {

/// Settings of a scheduler; fixed for its life.
struct SchedulerSettings {
    std::string dataCentre;
    /// Part of a job's response goal for which it may wait for room before it is refused as not run.
    double waitShare = 0.25;
    /// Time between a caller's sending and the arrival here, and back.
    Core::Duration travelTime = std::chrono::milliseconds(10);
    /// Multiple of the response goal after which an answer has no value.
    double lateFactor = 3;
    /// Value of a late answer against one in time.
    double lateValue = 0.2;
    /// Time to stop a run and learn of it.
    Core::Duration restartTime = std::chrono::milliseconds(60);
    /// Time between two signs of life to a sidecar.
    Core::Duration aliveInterval = std::chrono::milliseconds(200);
    /// Time after the last sign of life of a sidecar after which nothing that this entry ordered runs there any more:
    /// the time that the sidecar keeps runs of a silent entry, the worker's longest lease on a slow clock, and a
    /// margin.
    Core::Duration runsOverTime = std::chrono::milliseconds(700 + 1030 + 120);
    /// After its start an entry is taken to find its workers within this time. Until it has found this share of them,
    /// jobs wait for up to this share of their callers' patience.
    Core::Duration findingTime = std::chrono::seconds(3);
    double findingShare = 0.7;
    double findingPatience = 0.45;
    /// Time for which the outcome of an ended job is remembered, so that a late copy of its request is not run again.
    Core::Duration outcomeRetention = std::chrono::seconds(10);
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
    /// `log` and `registry` outlive the scheduler.
    JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry);

    /// A caller hands in a job for a queue; the request came at `arrivedAt`.
    void submit(Core::SteadyTime now, Core::SteadyTime arrivedAt, RequestNumber request,
        const Configuration::Queue& queue, SubmitJob submission);
    /// A caller asks for a job's state, cancels it, or asks for a queue's length.
    void query(RequestNumber request, const QueryJob& query);
    void cancel(Core::SteadyTime now, RequestNumber request, const CancelJob& cancellation);
    void queryQueue(RequestNumber request, const Configuration::Queue& queue);
    /// The caller of a request has gone.
    void abandoned(Core::SteadyTime now, RequestNumber request);

    /// Sidecars that the entry links to; the first time, it has just learned of them.
    void setLinked(Core::SteadyTime now, std::set<Core::InstanceId> sidecars);
    /// A sidecar is reached, and has not yet told of its worker.
    void sidecarConnected(Core::SteadyTime now, const Messages::Member& sidecar);
    /// The connection to a sidecar is lost.
    void sidecarDisconnected(const Core::InstanceId& sidecar);
    /// Whether runs that this entry ordered may be at a sidecar.
    bool hasRuns(const Core::InstanceId& sidecar) const;
    /// The link to a sidecar without runs of this entry was given up.
    void forgetSidecar(const Core::InstanceId& sidecar);
    /// A sidecar reports.
    void received(Core::SteadyTime now, const Core::InstanceId& sidecar, Messages::WorkerUpdate update);

    /// Answers every job that is left, because the process ends.
    void endAll(Core::SteadyTime now);
    /// Does what is due and returns everything to carry out.
    std::vector<SchedulerAction> poll(Core::SteadyTime now);
    /// When `poll` is due although nothing else happens.
    Core::SteadyTime nextWakeUp() const;

    /// Sets the gauges of the scheduler.
    void collect(Metrics::MetricRegistry& registry) const;
    /// Jobs without an outcome.
    std::size_t openJobs() const { return this->jobs.size(); }
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
        /// Whether a stop was ordered so that the task can run elsewhere.
        bool isRestarting = false;
        /// When its run is expected to end; the largest time before anything is known.
        Core::SteadyTime expectedEnd = Core::SteadyTime::max();
        /// Sidecars whose workers failed or stalled the task.
        std::vector<Core::InstanceId> avoided;
    };
    struct Step {
        std::vector<Task> tasks;
        std::uint32_t waiting = 0;
        std::uint32_t done = 0;
        /// Times of the tasks that are done, on an ordinary worker, in seconds.
        double longestSeconds = 0;
        double sumSeconds = 0;
    };
    struct Job {
        JobSpecification specification;
        Configuration::Queue queue;
        RequestNumber request = 0;
        float rank = 0;
        /// How far a predicted wait is trusted, 0 to 1: work of higher rank may come and go first.
        double waitTrust = 0;
        Core::SteadyTime arrivedAt;
        Core::Duration patience {};
        /// When the caller stops waiting, and when an answer has no value any more at the latest.
        Core::SteadyTime patienceEnd;
        Core::SteadyTime limit;
        /// When it is refused if it has not begun.
        Core::SteadyTime waitUntil;
        std::vector<Step> steps;
        /// Whether tasks were ordered that may have run.
        bool hasBegun = false;
        /// Whether a run is known to have started.
        bool hasRun = false;
        /// Time of the longest run so far, or to which the longest one is extrapolated, in seconds.
        double longestRunSeconds = 0;
        bool isQueued = false;
        /// Orders given, over all tasks.
        std::uint32_t orders = 0;
        /// When its first order was given.
        Core::SteadyTime firstOrderAt;
        Logging::Trace trace;
    };
    struct Outcome {
        CallerAnswer answer;
        Core::SteadyTime endedAt;
    };
    using Jobs = std::map<std::uint64_t, Job>;

    // Value of a kind's work for the room and time that it takes, against all work: the jobs of each kind are worth the
    // same in sum, so that kinds that ask for little go before those that ask for much.
    double rankOf(Core::SteadyTime now, const KindModel& model) const;
    // Part of all work that is asked for by kinds of higher rank.
    double workBefore(Core::SteadyTime now, const KindModel& model) const;
    bool isFindingWorkers(Core::SteadyTime now) const;
    KindModel& modelOf(Core::SteadyTime now, const Configuration::Queue& queue);
    bool isSupported(const JobSpecification& job, std::string& reason) const;
    void estimate(Core::SteadyTime now, Job& job);
    // When a job has to be answered whose longest chain of steps takes this long.
    Core::SteadyTime goalOf(const Job& job, double chainSeconds, double factor) const;
    void placeWaiting(Core::SteadyTime now);
    bool placeStep(Core::SteadyTime now, double ordinaryPace, Job& job, std::uint32_t stepIndex);
    void order(Core::SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement,
        const PlacementRequest& request);
    void takeReport(Core::SteadyTime now, const Core::InstanceId& sidecar, const Messages::RunReport& report);
    void taskDone(Core::SteadyTime now, Jobs::iterator found, const Messages::RunReport& report, double pace);
    void progressed(Core::SteadyTime now, Jobs::iterator found, const Messages::RunReport& report);
    void restart(Core::SteadyTime now, Job& job, const TaskId& id, Task& task);
    void taskBack(Job& job, std::uint32_t stepIndex, Task& task);
    void queue(Job& job);
    void loseRuns(Core::SteadyTime now, const Core::InstanceId& sidecar, std::string_view reason);
    void end(Core::SteadyTime now, Jobs::iterator found, CallerAnswer answer);
    void answer(RequestNumber request, CallerAnswer answer);
    // Ends a job without a result: as not run when none of its runs may have started.
    void giveUp(Core::SteadyTime now, Jobs::iterator found, const std::string& reason);
    // Ends jobs whose answers have no value any more.
    void endExpired(Core::SteadyTime now);
    // Refuses jobs that have waited for room for too long, as not run.
    void refuseWaiting(Core::SteadyTime now);
    // Notes the room that a job finds which is refused.
    void traceRoom(Core::SteadyTime now, Job& job) const;
    // Writes what became of a job, with its whole story when it did not end well.
    void logEnd(Core::SteadyTime now, Job& job, const CallerAnswer& answer);
    void keepAlive(Core::SteadyTime now);

    SchedulerSettings settings;
    Logging::StructuredLog& log;
    SchedulerMetrics metrics;
    WorkerBoard board;
    /// When each sidecar was last sent a sign of life.
    std::map<Core::InstanceId, Core::SteadyTime> aliveSentAt;
    /// What was learned of each queue, by name.
    std::map<std::string, KindModel> models;
    Jobs jobs;
    /// Jobs with tasks that wait for a place.
    std::vector<std::uint64_t> waitingJobs;
    std::unordered_map<std::uint64_t, Outcome> outcomes;
    std::deque<std::pair<Core::SteadyTime, std::uint64_t>> outcomeOrder;
    bool isPlacingDue = false;
    std::set<Core::InstanceId> linked;
    Core::SteadyTime foundSidecarsAt = Core::SteadyTime::max();
    std::vector<SchedulerAction> actions;
};

}
