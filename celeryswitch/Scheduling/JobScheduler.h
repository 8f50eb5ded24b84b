#pragma once

#include "celeryswitch/Configuration/RoutingDocument.h"
#include "celeryswitch/Logging/Trace.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Scheduling/CapacityIndex.h"
#include "celeryswitch/Scheduling/JobBudget.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include "celeryswitch/Scheduling/QueueModel.h"
#include "celeryswitch/Scheduling/SchedulerMetrics.h"
#include "celeryswitch/Scheduling/TaskTable.h"
#include "celeryswitch/Scheduling/WorkerTable.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Scheduling {

/// Settings of a scheduler; constant during its lifetime.
struct SchedulerSettings {
    std::string dataCentre;
    /// Share of a job's response goal that it may wait for room before it is refused as not run.
    double maximumWaitShare = 0.25;
    /// Network time to the caller and back, in sum.
    Core::Duration callerRoundTrip = std::chrono::milliseconds(10);
    /// Multiple of the response goal at which the answer loses its value.
    double expiryFactor = 3;
    /// Value of a late answer relative to one in time.
    double lateAnswerValue = 0.2;
    /// Time to stop a run and to learn that it has ended.
    Core::Duration restartOverhead = std::chrono::milliseconds(60);
    /// Maximum time between two checks of the callers' connections while events are handled.
    Core::Duration callerCheckInterval = std::chrono::milliseconds(50);
    /// Interval of the heartbeats to each sidecar.
    Core::Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// Time after the last contact with a sidecar from which no run that this entry ordered can still be running there.
    /// It adds up the time for which a sidecar keeps the runs of an entry it hears nothing from, the worker's longest
    /// lease on a slow clock, and a margin.
    Core::Duration unreachableRunsTimeout = std::chrono::milliseconds(700 + 1030 + 120);
    /// While an entry discovers its workers, for at most `discoveryTime` after it learned of its sidecars and until
    /// `discoveryShare` of them have a usable worker, jobs may wait for up to `discoveryWaitShare` of their callers'
    /// timeout.
    Core::Duration discoveryTime = std::chrono::seconds(3);
    double discoveryShare = 0.7;
    double discoveryWaitShare = 0.45;
    /// Number of workers on which room is reserved for each task that has to wait.
    std::uint32_t reservationsPerTask = 3;
    /// Run time of a task with a rack preference on a worker without the label of the rack / run time with it, 1 to
    /// 100.
    double farFactor = 1;
    /// Decides whether a step waits for workers of its rack; asked where `farFactor` is above 1.
    PlacementWaitPolicy placementWait = decidePlacementWait;
    /// Processor room that a task is taken to need at least, in thousandths of a core: each run costs its sidecar a
    /// record and calls, also when its caller asks for no room.
    std::int64_t minimumTaskMilliCores = 10;
    /// Candidates and steps that a part of a decision (placing, refusing, ending jobs) looks at before it leaves the
    /// rest to the next decision. Jobs take turns: one of many steps does not keep others waiting.
    std::uint64_t decisionWorkLimit = 15'000;
    /// Memory for the records of open jobs and for outcomes, in bytes. Jobs beyond it are refused as not run.
    std::size_t jobBudgetBytes = 64 * 1024 * 1024;
    /// Retention period of the outcomes of ended jobs; a repeated request within it gets the same answer instead of a
    /// second run.
    Core::Duration outcomeRetention = std::chrono::seconds(10);
};

/// Action: answer a caller's request.
struct AnswerRequest {
    RequestNumber request = 0;
    CallerAnswer answer;
};
/// Action: send a message to a sidecar.
struct SendToSidecar {
    Core::InstanceId sidecar;
    Messages::WorkMessage message;
};

using SchedulerAction = std::variant<AnswerRequest, SendToSidecar>;

/// Work that a scheduler has done since it was created, in numbers that the same inputs give again.
struct SchedulerWork {
    std::uint64_t polls = 0;
    /// Jobs and workers looked at by walks over all of them.
    std::uint64_t jobsVisited = 0;
    std::uint64_t workersVisited = 0;
    /// Workers examined for a step's tasks, and each choice of one of them.
    std::uint64_t candidatesEvaluated = 0;
    /// Steps looked at, to admit a job or to place their tasks.
    std::uint64_t stepsVisited = 0;
};

/// Schedules the jobs of one entry: admission, placement, retries and answers. Pure: it has no sockets or clocks, and
/// the same inputs at the same times give the same actions.
class JobScheduler {
public:
    /// `log` and `registry` outlive the scheduler.
    JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry);

    /// Submits a job to a queue; its request reached the entry at `arrivedAt`. A job id that is already known is not
    /// run again.
    void submit(Core::SteadyTime now, Core::SteadyTime arrivedAt, RequestNumber request,
        const Configuration::Queue& queue, SubmitJob submission);
    /// Whether a job is open here, or its outcome is kept.
    bool isKnown(const StepJobId& job) const { return this->jobs.count(job) > 0 || this->outcomes.count(job) > 0; }
    /// Answers the query for a job's state, the cancellation of a job and the query for a queue's length.
    void query(RequestNumber request, const QueryJob& query);
    void cancel(Core::SteadyTime now, RequestNumber request, const CancelJob& cancellation);
    void queryQueue(RequestNumber request, const Configuration::Queue& queue);
    /// The caller of a request has disconnected: its job is cancelled without an answer.
    void callerDisconnected(Core::SteadyTime now, RequestNumber request);
    /// Whether the connections of the callers have to be checked before the next `poll`.
    bool isCallerCheckDue(Core::SteadyTime now) const;
    /// Every caller of an open request whose connection had ended at `now` was passed to `callerDisconnected`. Sidecars
    /// bound a run by the newest clock sample that its entry sent back, because callers repeat a job some time after
    /// their connection ended: only samples that were received before such a check are sent back.
    void callersChecked(Core::SteadyTime now);
    /// Until then nothing is placed, refused, ended or restarted: what has arrived during a stall is not read yet.
    void deferDecisions(Core::SteadyTime until) { this->decisionsFrom = until; }

    /// Sets the sidecars that the entry is linked to. The first non-empty set starts `discoveryTime`.
    void setLinkedSidecars(Core::SteadyTime now, std::set<Core::InstanceId> sidecars);
    /// Sets the data centres whose workers get no new runs. Waiting jobs that no other worker can run are refused.
    void setEvacuatedDataCentres(Core::SteadyTime now, std::set<std::string> dataCentres);
    /// A connection to a sidecar was opened; the sidecar has not yet reported its worker's state.
    void sidecarConnected(Core::SteadyTime now, const Messages::Member& sidecar);
    /// The connection to a sidecar was lost.
    void sidecarDisconnected(const Core::InstanceId& sidecar);
    /// Whether a run that this entry ordered may still be at a sidecar.
    bool hasRuns(const Core::InstanceId& sidecar) const;
    /// Removes a sidecar that is no longer linked; it must have no runs of this entry.
    void removeSidecar(const Core::InstanceId& sidecar);
    /// Applies a sidecar's update.
    void updateReceived(Core::SteadyTime now, const Core::InstanceId& sidecar, Messages::WorkerUpdate update);
    /// A sidecar offers room that was reserved there; `poll` accepts or declines it.
    void roomOffered(const Core::InstanceId& sidecar, const Messages::RoomOffer& offer);

    /// Answers all open jobs because the process ends.
    void endAllJobs(Core::SteadyTime now);
    /// Performs all due work and returns the actions to carry out, in order.
    std::vector<SchedulerAction> poll(Core::SteadyTime now);
    /// Time by which `poll` has to be called when no other input arrives.
    Core::SteadyTime nextWakeUp() const;

    /// Updates the scheduler's gauges.
    void collect(Metrics::MetricRegistry& registry) const;
    /// Number of jobs without an answer.
    std::size_t openJobs() const { return this->jobs.size(); }
    std::size_t evacuatedDataCentreCount() const { return this->evacuatedDataCentres.size(); }
    /// All known workers.
    const WorkerTable& workers() const { return this->workerTable; }
    /// Memory of the open jobs.
    const JobBudget& budget() const { return this->jobBudget; }
    /// Work done so far.
    const SchedulerWork& work() const { return this->workDone; }

private:
    /// Wait of a step for workers of the rack that it prefers.
    struct RackWait {
        Core::SteadyTime begunAt;
        NearQueue queue;
        /// Time at which waiting no longer pays.
        Core::SteadyTime until;
    };
    struct Step {
        TaskTable tasks;
        /// Steps that it depends on and that are not done, and steps that depend on it.
        std::uint32_t openDependencies = 0;
        std::vector<std::uint32_t> dependents;
        /// Number of reservations for its tasks.
        std::uint32_t reservations = 0;
        /// Whether it is in the job's list of placeable steps, and whether a task of it was ever ordered.
        bool isPlaceable = false;
        bool hasStarted = false;
        /// Times of the completed tasks, scaled to a worker of median speed, in seconds.
        double longestSeconds = 0;
        double sumSeconds = 0;
        std::unique_ptr<RackWait> rackWait;
        /// Whether it waited for its rack and then took other workers; it does not wait again.
        bool hasLeftRack = false;
    };
    /// Room that a step's waiting tasks have reserved on a worker.
    struct Reservation {
        std::uint64_t number = 0;
        Core::InstanceId sidecar;
        std::uint32_t step = 0;
        /// Tasks that were not started in it yet.
        std::uint32_t units = 0;
        /// Time at which the sidecar drops it.
        Core::SteadyTime until;
        float rank = 0;
        /// Incarnation of the worker that the reservation was decided on.
        std::int64_t bornAt = 0;
    };
    struct Job {
        JobSpecification specification;
        Configuration::Queue queue;
        RequestNumber request = 0;
        float rank = 0;
        /// How far a predicted wait for room is trusted, 0 to 1: it is lower the more work of higher rank may arrive
        /// and run first.
        double waitConfidence = 0;
        Core::SteadyTime arrivedAt;
        Core::Duration callerTimeout {};
        /// Times at which the caller's timeout ends, and at which the job is ended because its answer has no value any
        /// more.
        Core::SteadyTime callerDeadline;
        Core::SteadyTime expiresAt;
        /// Time at which the job is refused if none of its tasks was ordered.
        Core::SteadyTime refuseAt;
        std::vector<Step> steps;
        /// Steps whose dependencies are done and that may have waiting tasks, in order; the next turn begins with the
        /// one at `nextPlaceable`.
        std::vector<std::uint32_t> placeableSteps;
        std::size_t nextPlaceable = 0;
        /// Steps of which a task was ever ordered.
        std::vector<std::uint32_t> startedSteps;
        std::uint32_t doneSteps = 0;
        /// Tasks whose orders are open.
        std::uint32_t orderedTasks = 0;
        /// Round of turns in which it last had its turn.
        std::uint64_t round = 0;
        std::vector<Reservation> reservations;
        /// Whether start orders were given whose runs may have started.
        bool hasBegun = false;
        /// Whether at least one run is known to have started.
        bool hasRun = false;
        /// Longest run time so far, in seconds, including extrapolated times of running tasks.
        double longestRunSeconds = 0;
        bool isQueued = false;
        /// Time before which its waiting tasks are only placed on workers that have changed since the latest placement.
        Core::SteadyTime placeInFullAt;
        /// Number of start orders of all tasks.
        std::uint32_t orders = 0;
        /// Time of the first start order.
        Core::SteadyTime firstOrderAt;
        Logging::Trace trace;
        /// Memory of its records when it was admitted, and of those that were added since, in bytes.
        std::size_t admittedBytes = 0;
        std::size_t addedBytes = 0;
    };
    struct Outcome {
        CallerAnswer answer;
        Core::SteadyTime endedAt;
    };
    using Jobs = std::map<StepJobId, Job>;

    // Value of a queue's work per core-second relative to that of all queues. The jobs of each queue are worth the same
    // in sum, so queues with a small demand rank above those with a large one.
    double rankOf(Core::SteadyTime now, const QueueModel& model, double allDemand) const;
    // Work that arrives per second in all queues, in cores.
    double allDemand(Core::SteadyTime now) const;
    // Share of the total demand that comes from queues of higher rank.
    double higherRankedShare(Core::SteadyTime now, const QueueModel& model, double allDemand) const;
    bool isDiscoveringWorkers(Core::SteadyTime now) const;
    // Whether a job without runs can run on no worker, so that it is refused at once.
    bool isRefusedAtOnce(Core::SteadyTime now, const Job& job);
    QueueModel& modelOf(Core::SteadyTime now, const Configuration::Queue& queue);
    bool isSupported(const JobSpecification& job, std::string& reason) const;
    // Sets a job's rank and its times of refusal and expiry.
    void estimateJob(Core::SteadyTime now, Job& job);
    // Time of the response goal, multiplied by `factor`, for a job whose critical path takes `chainSeconds`.
    Core::SteadyTime goalTime(const Job& job, double chainSeconds, double factor) const;
    void placeWaitingJobs(Core::SteadyTime now);
    // Waiting jobs in the order of their turns: those that had none in this round first, then by rank.
    std::vector<Job*> takeWaitingJobs();
    // Number of steps in a job's next turn.
    static std::size_t turnLength(const Job& job);
    // Places the next steps of a job; returns how many it looked at.
    std::size_t takeTurn(Core::SteadyTime now, double referenceSpeed, Job& job);
    // Gives further turns to jobs that had more steps than a turn has, with the number of those steps.
    void placeUnfinished(
        Core::SteadyTime now, double referenceSpeed, std::vector<std::pair<Job*, std::size_t>> unfinished);
    // Keeps a job in the list of waiting ones if a step of it still waits.
    void endTurns(Core::SteadyTime now, Job& job);
    // Leaves a job, whose placement is due, to the next decision.
    void postpone(Job& job);
    // Begins a part of a decision, whose work is limited; whether it has done as much as it may.
    void beginWork() { this->workBegan = this->limitedWork(); }
    bool isWorkOver() const { return this->limitedWork() - this->workBegan >= this->settings.decisionWorkLimit; }
    std::uint64_t limitedWork() const
    {
        return this->workDone.candidatesEvaluated + this->workDone.stepsVisited + this->roomsCompared;
    }
    // Adds a step to the list of placeable ones.
    static void makePlaceable(Job& job, std::uint32_t stepIndex);
    // Links the steps of a new job to those that they depend on.
    static void linkSteps(Job& job);
    // Makes the jobs that are due for refusal be placed on all workers once more.
    void placeBeforeRefusal(Core::SteadyTime now);
    // Notes that a worker may have more room than when the waiting jobs were last placed.
    void noteChange(WorkerView& worker);
    std::vector<const WorkerView*> takeChangedWorkers();
    // Rank of a step's waiting tasks, which carry the value of the whole job.
    static float rankOfWaiting(const Job& job, const Step& step);
    // Whether one of the workers has room for a waiting task of a job.
    bool hasRoomFor(const Job& job, const std::vector<const WorkerView*>& workers);
    // Time from which on placing a job on all workers may find more than placing it on those that change.
    static Core::SteadyTime nextFullPlacement(Core::SteadyTime now, const Job& job);
    // Lets a step that prefers a rack wait for it, or ends its wait. While it waits, `request` is bound to the rack.
    void decideRackWait(
        Core::SteadyTime now, double referenceSpeed, Job& job, std::uint32_t stepIndex, PlacementRequest& request);
    void traceRackWait(Core::SteadyTime now, Job& job, std::string_view message, const PlacementWaitDecision& decision,
        const PlacementWaitQuery& query);
    // How much longer a step's tasks run far from their data.
    FarRuns farRuns(const StepSpecification& step) const { return { step.dataRack, this->settings.farFactor }; }
    void placeStep(Core::SteadyTime now, double referenceSpeed, Job& job, std::uint32_t stepIndex);
    std::map<Core::InstanceId, std::uint32_t> tasksAtSidecar(const Job& job, std::uint32_t stepIndex) const;
    PlacementRequest placementRequest(Core::SteadyTime now, const Job& job, std::uint32_t stepIndex);
    void orderRuns(Core::SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement,
        const PlacementRequest& request);
    // Assigns waiting tasks of a step to a sidecar and builds the order to start them.
    Messages::StartRuns startOrder(
        Core::SteadyTime now, Job& job, std::uint32_t stepIndex, WorkerView& worker, std::uint32_t count);
    // Adds a record to the trace of a job.
    void trace(
        Core::SteadyTime now, Job& job, std::string_view message, std::initializer_list<Logging::LogField> fields);
    // Memory of the records of a new job.
    static std::size_t recordBytes(const Job& job);
    // Counts records of a job that were added or removed.
    void changeRecords(Job& job, std::size_t before, std::size_t after);
    // Refuses a job that there is no memory for.
    void refuseForMemory(RequestNumber request, const Job& job);
    void keepOutcome(Core::SteadyTime now, const StepJobId& id, const CallerAnswer& answer);
    // Counts an order and adds it to the job's trace.
    void recordOrder(Core::SteadyTime now, Job& job, const WorkerView& worker, const Messages::StartRuns& start,
        double expectedWaitSeconds);
    void reserveRoom(Core::SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement,
        const PlacementRequest& request);
    void answerOffers(Core::SteadyTime now);
    void answerOffer(Core::SteadyTime now, const Core::InstanceId& sidecar, std::uint64_t number);
    // Releases the reservations of one step of a job, or of all its steps.
    void releaseReservations(Job& job, std::optional<std::uint32_t> stepIndex);
    // Forgets the reservations of a job that meet a condition; their sidecars have dropped them as well.
    void forgetReservations(Job& job, const std::function<bool(const Reservation&)>& isDropped);
    void forgetExpiredReservations(Core::SteadyTime now);
    void forgetReservationsAt(const Core::InstanceId& sidecar);
    // The task that a sidecar reports on, if its order is open there; nullptr otherwise.
    Task* findOrdered(const Core::InstanceId& sidecar, const Messages::OrderedTask& ordered);
    // Stops a run that a sidecar reports although its job has ended or its task was ordered elsewhere.
    void stopUnwantedRun(const Core::InstanceId& sidecar, const Messages::RunReport& report);
    void handleReport(Core::SteadyTime now, const Core::InstanceId& sidecar, const Messages::RunReport& report);
    void completeTask(Core::SteadyTime now, Jobs::iterator found, const Messages::RunReport& report);
    // Predicts a run's end, and restarts the task elsewhere or ends the job if the goal can't be met.
    void handleProgress(Core::SteadyTime now, Jobs::iterator found, const Messages::RunReport& report);
    void restartElsewhere(Core::SteadyTime now, Job& job, const TaskId& id, Task& task);
    // Makes a task wait for placement again.
    void requeueTask(Job& job, std::uint32_t stepIndex, Task& task);
    void enqueue(Job& job);
    // Requeues the tasks whose runs at a sidecar have certainly ended.
    void declareRunsLost(Core::SteadyTime now, const Core::InstanceId& sidecar, std::string_view reason);
    void endJob(Core::SteadyTime now, Jobs::iterator found, CallerAnswer answer);
    void sendAnswer(RequestNumber request, CallerAnswer answer);
    // Whether no worker could ever run some step of a job.
    bool isHopeless(const Job& job);
    // Answer that a job was not run, with the time after which its caller may come back.
    CallerAnswer refusal(Core::SteadyTime now, const Job& job, const std::string& reason);
    // Ends a job without a result: as not run if none of its runs can have started, otherwise as given up.
    void endWithoutResult(Core::SteadyTime now, Jobs::iterator found, const std::string& reason);
    // Time at which a job may have to be refused, ended, or freed of an expired reservation.
    Core::SteadyTime dueTime(const Job& job) const;
    // Lowers `jobsDueAt` to the due time of a job whose due time may have become earlier.
    void noteDue(const Job& job);
    // Ends jobs whose answers have no value any more.
    void endExpired(Core::SteadyTime now);
    // Refuses, as not run, jobs that have waited for room for too long.
    void refuseWaiting(Core::SteadyTime now);
    // Adds the room that was available to a refused job to its trace.
    void traceAvailableRoom(Core::SteadyTime now, Job& job);
    // Logs and counts a job's outcome; the full trace is written for jobs without success, for late ones and for a
    // sample.
    void logOutcome(Core::SteadyTime now, Job& job, const CallerAnswer& answer);
    // Sends due heartbeats, and declares the runs of sidecars lost that have been out of contact for too long.
    void maintainSidecars(Core::SteadyTime now);

    SchedulerSettings settings;
    Logging::StructuredLog& log;
    SchedulerMetrics metrics;
    WorkerTable workerTable;
    /// Time of the last message to each sidecar that counts as a heartbeat.
    std::map<Core::InstanceId, Core::SteadyTime> lastSentAt;
    /// Statistics of each queue, by queue name.
    std::map<std::string, QueueModel> models;
    CapacityIndex capacityIndex;
    bool isCapacityIndexStale = true;
    Jobs jobs;
    JobBudget jobBudget;
    std::uint64_t refusedForMemory = 0;
    /// Jobs by the open requests of their callers.
    std::unordered_map<RequestNumber, StepJobId> jobsByRequest;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastReservation = 0;
    /// Sidecars and reservations of offers that have not been answered.
    std::vector<std::pair<Core::InstanceId, std::uint64_t>> offers;
    /// Ids of the jobs by the numbers of their reservations.
    std::unordered_map<std::uint64_t, StepJobId> reservationJobs;
    /// Ids of the jobs with tasks that wait for placement.
    std::vector<StepJobId> waitingJobs;
    std::unordered_map<StepJobId, Outcome> outcomes;
    std::deque<std::pair<Core::SteadyTime, StepJobId>> outcomesByAge;
    bool isPlacementDue = false;
    /// Round of turns, and the limited work that was done when the present part of a decision began.
    std::uint64_t round = 1;
    std::uint64_t workBegan = 0;
    /// Changed workers whose room was compared with what a waiting step needs.
    std::uint64_t roomsCompared = 0;
    /// Number of the latest change of a worker, and of the latest one that waiting jobs were placed after.
    std::uint64_t lastChange = 0;
    std::uint64_t placedChange = 0;
    /// Whether a worker became usable, so that all waiting jobs are placed on all workers.
    bool isFullPlacementDue = false;
    /// Earliest time at which a waiting job is to be placed on all workers again.
    Core::SteadyTime fullPlacementAt = Core::SteadyTime::max();
    /// Earliest due time of the jobs, or an earlier time.
    Core::SteadyTime jobsDueAt = Core::SteadyTime::max();
    Core::SteadyTime callersCheckedAt;
    /// Whether a sidecar has sent its first sample over a connection and not got it back.
    bool isFirstEchoDue = false;
    Core::SteadyTime decisionsFrom;
    std::set<Core::InstanceId> linked;
    std::set<std::string> evacuatedDataCentres;
    Core::SteadyTime sidecarsKnownAt = Core::SteadyTime::max();
    std::vector<SchedulerAction> actions;
    /// Counted by const functions as well.
    mutable SchedulerWork workDone;
};

}
