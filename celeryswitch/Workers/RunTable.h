#pragma once

#include "celeryswitch/Charts/StateChart.h"
#include "celeryswitch/Workers/WorkerTypes.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>

namespace celeryswitch::Workers {

/// Phase of a run; Charts/run.toml defines the transitions.
enum class RunPhase : std::uint8_t {
    Queued,
    Starting,
    Uncertain,
    Running,
    Stopping,
    Ended,
};

/// Events that may change the phase of a run.
enum class RunEvent : std::uint8_t {
    /// The worker has room for the run, and the run is first in the queue.
    RoomGranted,
    StartAccepted,
    /// The run did not start and never will.
    StartRefused,
    StartUnanswered,
    /// The worker lists the run as running.
    Listed,
    /// A list that was requested after the last command for the run contains it neither as running nor as ended.
    Unlisted,
    EndListed,
    StopWanted,
    StopUnanswered,
    /// The worker's incarnation has ended, or its lease has certainly expired.
    Lost,
};

/// Guards of the state chart; it uses none, but the chart loader needs a type.
enum class RunGuard : std::uint8_t {
    Never,
};

/// Actions of the state chart.
enum class RunAction : std::uint8_t {
    OrderStart,
    ReportRunning,
    ReportEnd,
    VoidOlderOrders,
    OrderStop,
};

/// What proves that a run never started. A run that ends without a proof counts as lost.
enum class NoStartProof : std::uint8_t {
    /// The worker was not asked to start the run.
    NeverOrdered,
    /// The worker refused the start.
    Refused,
    /// No connection to the incarnation of the worker that the start names was established.
    NotSent,
    /// The incarnation of the worker that the start was sent to does not list the run and can't execute the start any
    /// more.
    Unlisted,
};

/// An order for a task whose earlier run has not ended.
struct RefusedOrder {
    Core::InstanceId entry;
    Core::Incarnation entryIncarnation = 0;
    std::uint64_t order = 0;
    std::uint32_t run = 0;
    /// Whether an earlier process of this sidecar may have started a run for the order.
    bool mayHaveStarted = false;
};

/// A run of a task on the worker.
struct Run {
    TaskId task;
    std::uint32_t number = 0;
    /// Entry that requested the run; empty if a previous incarnation of this sidecar started it and no entry has
    /// claimed it.
    Core::InstanceId entry;
    Core::Incarnation entryIncarnation = 0;
    /// Start order of the entry that the run was queued for; 0 while no entry owns it.
    std::uint64_t order = 0;
    /// Incarnation of the worker that the order names, by its start time.
    std::int64_t bornAt = 0;
    Room need;
    std::shared_ptr<const std::string> content;
    RunPhase phase = RunPhase::Queued;
    /// Value of the work per capacity and time used; higher ranks start first.
    float rank = 0;
    /// The run is refused if it has not started by this time.
    Core::SteadyTime startBy = Core::SteadyTime::max();
    /// Whether a list of ends had a row that could not be read and may be the end of this run.
    bool mayHaveEnded = false;
    /// Set before the phase becomes Ended; NotStarted only together with `noStartProof`.
    RunEnd end = RunEnd::Lost;
    std::optional<NoStartProof> noStartProof;
    RunRefusal refusal = RunRefusal::None;
    /// Fencing token of the last start call; a call with a higher token that the worker answers voids the start.
    std::uint64_t startToken = 0;
    /// Incarnation of the worker that the last start call was sent to, by its start time; std::nullopt if unknown.
    std::optional<std::int64_t> orderedIncarnation;
    /// Lists that are requested from this time on show the run until it ends: its start or its stop was answered
    /// before. The largest time while neither was.
    Core::SteadyTime listedFrom = Core::SteadyTime::max();
    /// Whether the worker has answered the start or listed the run. A stop that it accepted voids the start only until
    /// the worker starts again.
    bool isStartConfirmed = false;
    /// When the worker accepted the last stop call; the largest time while it has not.
    Core::SteadyTime stopAcceptedAt = Core::SteadyTime::max();
    /// When this sidecar received the start request.
    Core::SteadyTime queuedAt;
    /// When the worker was first asked to start the run; zero before.
    Core::SteadyTime orderedAt;
    Core::SteadyTime startedAt;
    Core::SteadyTime endedAt;
    Core::SteadyTime expectedEnd;
    /// When the run is stopped; the largest time if it has no deadline.
    Core::SteadyTime deadline = Core::SteadyTime::max();
    /// Once the run was told to stop: time from which a caller may have its task run elsewhere.
    Core::SteadyTime mustEndBy = Core::SteadyTime::max();
    Core::Duration expectedTime {};
    std::uint32_t percent = 0;
    /// When `percent` was received.
    Core::SteadyTime progressReadAt;
    /// When progress was last reported to the entry.
    Core::SteadyTime reportedAt;
    /// When the run was told to stop; zero if it was not.
    Core::SteadyTime stopWantedAt;
    /// When a failed stop call is retried; the largest time if no retry is due.
    Core::SteadyTime stopRetryAt = Core::SteadyTime::max();
    /// Rising number of the run in order of arrival.
    std::uint64_t arrivalNumber = 0;
    /// Orders for the same task that are refused once this run has ended.
    std::vector<RefusedOrder> refusedAtEnd;
    /// Retries of a start that the worker refused because of an old fencing token or run number.
    std::uint32_t startRetries = 0;

    /// Whether the run was queued for this order of an entry, or was adopted for it.
    bool isOf(const Core::InstanceId& owner, Core::Incarnation ownerIncarnation, std::uint64_t ownerOrder) const
    {
        return this->entry == owner && this->entryIncarnation == ownerIncarnation && this->order == ownerOrder;
    }
};

/// Position in the queue: by rank class (highest first), then latest start time, then arrival.
struct QueuePosition {
    std::int16_t negativeRankClass = 0;
    Core::SteadyTime startBy;
    std::uint64_t arrivalNumber = 0;

    friend bool operator<(const QueuePosition& left, const QueuePosition& right)
    {
        return std::tie(left.negativeRankClass, left.startBy, left.arrivalNumber)
            < std::tie(right.negativeRankClass, right.startBy, right.arrivalNumber);
    }
};

/// The runs on one worker and the capacity that they use, from the start call until the end of the run is known.
class RunTable {
public:
    /// Adds a run; any earlier run of the same task must have ended.
    Run& add(Run run);
    /// The run of a task, ended or not; nullptr if there is none.
    Run* find(const TaskId& task);
    /// All runs by task.
    std::map<TaskId, Run>& all() { return this->runs; }
    const std::map<TaskId, Run>& all() const { return this->runs; }
    /// Applies an event to the state chart of a run. `perform` executes the actions of the transition after the phase
    /// has changed.
    void fire(Run& run, RunEvent event, Core::SteadyTime now, const std::function<void(RunAction)>& perform);
    /// Corrects the capacity used by an adopted run.
    void setNeed(Run& run, const Room& need);
    /// Capacity used by active runs.
    const Room& used() const { return this->usedRoom; }
    /// Number of runs whose start was requested from the worker and that have not ended.
    std::size_t activeCount() const { return this->active; }
    /// Runs that wait for free capacity, in starting order.
    const std::map<QueuePosition, TaskId>& queue() const { return this->waiting; }
    /// Next number in the order of arrival, shared by runs and reservations.
    std::uint64_t nextArrivalNumber() { return ++this->lastArrivalNumber; }
    /// Removes runs that ended before `time`.
    void forgetEndedBefore(Core::SteadyTime time);

private:
    std::map<TaskId, Run> runs;
    Room usedRoom;
    std::size_t active = 0;
    static QueuePosition positionOf(const Run& run);

    std::map<QueuePosition, TaskId> waiting;
    std::uint64_t lastArrivalNumber = 0;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Workers::RunPhase> {
    static constexpr std::string_view type = "RunPhase";
    static constexpr std::array<std::pair<Workers::RunPhase, std::string_view>, 6> names { {
        { Workers::RunPhase::Queued, "queued" },
        { Workers::RunPhase::Starting, "starting" },
        { Workers::RunPhase::Uncertain, "uncertain" },
        { Workers::RunPhase::Running, "running" },
        { Workers::RunPhase::Stopping, "stopping" },
        { Workers::RunPhase::Ended, "ended" },
    } };
};

template <> struct EnumTable<Workers::RunEvent> {
    static constexpr std::string_view type = "RunEvent";
    static constexpr std::array<std::pair<Workers::RunEvent, std::string_view>, 10> names { {
        { Workers::RunEvent::RoomGranted, "roomGranted" },
        { Workers::RunEvent::StartAccepted, "startAccepted" },
        { Workers::RunEvent::StartRefused, "startRefused" },
        { Workers::RunEvent::StartUnanswered, "startUnanswered" },
        { Workers::RunEvent::Listed, "listed" },
        { Workers::RunEvent::Unlisted, "unlisted" },
        { Workers::RunEvent::EndListed, "endListed" },
        { Workers::RunEvent::StopWanted, "stopWanted" },
        { Workers::RunEvent::StopUnanswered, "stopUnanswered" },
        { Workers::RunEvent::Lost, "lost" },
    } };
};

template <> struct EnumTable<Workers::NoStartProof> {
    static constexpr std::string_view type = "NoStartProof";
    static constexpr std::array<std::pair<Workers::NoStartProof, std::string_view>, 4> names { {
        { Workers::NoStartProof::NeverOrdered, "never-ordered" },
        { Workers::NoStartProof::Refused, "refused" },
        { Workers::NoStartProof::NotSent, "not-sent" },
        { Workers::NoStartProof::Unlisted, "unlisted" },
    } };
};

template <> struct EnumTable<Workers::RunGuard> {
    static constexpr std::string_view type = "RunGuard";
    static constexpr std::array<std::pair<Workers::RunGuard, std::string_view>, 1> names { {
        { Workers::RunGuard::Never, "never" },
    } };
};

template <> struct EnumTable<Workers::RunAction> {
    static constexpr std::string_view type = "RunAction";
    static constexpr std::array<std::pair<Workers::RunAction, std::string_view>, 5> names { {
        { Workers::RunAction::OrderStart, "orderStart" },
        { Workers::RunAction::ReportRunning, "reportRunning" },
        { Workers::RunAction::ReportEnd, "reportEnd" },
        { Workers::RunAction::VoidOlderOrders, "voidOlderOrders" },
        { Workers::RunAction::OrderStop, "orderStop" },
    } };
};

}
