#pragma once

#include "celeryswitch/Charts/StateChart.h"
#include "celeryswitch/Workers/WorkerTypes.h"
#include <functional>
#include <map>
#include <memory>
#include <tuple>

namespace celeryswitch::Workers {

/// Phase of a run; the transitions stand in Charts/run.toml.
enum class RunPhase : std::uint8_t {
    Queued,
    Starting,
    Uncertain,
    Running,
    Stopping,
    Ended,
};

/// What may change the phase of a run.
enum class RunEvent : std::uint8_t {
    /// There is room for the run, and no better one waits.
    RoomGranted,
    StartAccepted,
    /// The run did not start and never will.
    StartRefused,
    StartUnanswered,
    /// The worker lists the run as running.
    Listed,
    /// An answer that was asked for after the last order about the run lists it neither as running nor as ended.
    Unlisted,
    EndListed,
    StopWanted,
    StopUnanswered,
    /// The worker's life is over, or its lease is over for certain.
    Lost,
};

/// Conditions in the chart; there are none.
enum class RunGuard : std::uint8_t {
    Never,
};

/// Actions in the chart.
enum class RunAction : std::uint8_t {
    OrderStart,
    ReportRunning,
    ReportEnd,
    VoidOlderOrders,
    OrderStop,
};

/// A run of a task on the worker.
struct Run {
    TaskId task;
    std::uint32_t number = 0;
    /// Entry that ordered it; empty for a run that an earlier life of this sidecar started.
    Core::InstanceId entry;
    Core::Incarnation entryIncarnation = 0;
    Room need;
    std::shared_ptr<const std::string> content;
    RunPhase phase = RunPhase::Queued;
    /// Value of the work for the room and time that it takes; more goes first.
    float rank = 0;
    /// Refused if it has not started by then.
    Core::SteadyTime startBy = Core::SteadyTime::max();
    /// Set before the phase becomes Ended.
    RunEnd end = RunEnd::NotStarted;
    RunRefusal refusal = RunRefusal::None;
    /// When the order about this run that counts now was given; an answer asked for earlier says nothing about it.
    Core::SteadyTime orderedAt = Core::SteadyTime::max();
    /// When it was ordered from this sidecar.
    Core::SteadyTime queuedAt;
    Core::SteadyTime startedAt;
    Core::SteadyTime endedAt;
    /// When the run is expected to end.
    Core::SteadyTime expectedEnd;
    /// When it is stopped; the largest time when it has no deadline.
    Core::SteadyTime deadline = Core::SteadyTime::max();
    Core::Duration expectedTime {};
    std::uint32_t percent = 0;
    /// When `percent` was read.
    Core::SteadyTime percentAt;
    /// When its progress was reported last.
    Core::SteadyTime reportedAt;
    /// When an order to stop that could not be sent is repeated; the largest time when none has to be.
    Core::SteadyTime stopAgainAt = Core::SteadyTime::max();
    /// Place in the order of arrival.
    std::uint64_t arrival = 0;
    /// Times that the order to start was repeated because the worker refused an old token or run number.
    std::uint32_t repeats = 0;
};

/// Place in the queue: better classes first, then what has to start first, then what came first.
struct QueuePlace {
    std::int16_t negativeRankClass = 0;
    Core::SteadyTime startBy;
    std::uint64_t arrival = 0;

    friend bool operator<(const QueuePlace& left, const QueuePlace& right)
    {
        return std::tie(left.negativeRankClass, left.startBy, left.arrival)
            < std::tie(right.negativeRankClass, right.startBy, right.arrival);
    }
};

/// The runs on one worker and the room that they use. A run uses room from its order to start until its end is known.
class RunTable {
public:
    /// Adds a run; there must be none of its task that has not ended.
    Run& add(Run run);
    /// The run of a task, ended or not; null when there is none.
    Run* find(const TaskId& task);
    /// Every run by task.
    std::map<TaskId, Run>& all() { return this->runs; }
    const std::map<TaskId, Run>& all() const { return this->runs; }
    /// Feeds the phase chart of a run; `perform` carries out the actions of the transition, after the phase has
    /// changed.
    void fire(Run& run, RunEvent event, Core::SteadyTime now, const std::function<void(RunAction)>& perform);
    /// Corrects the room that an adopted run needs.
    void setNeed(Run& run, const Room& need);
    /// Room that the runs use which have not ended.
    const Room& used() const { return this->usedRoom; }
    /// Runs that were ordered and have not ended.
    std::size_t activeCount() const { return this->active; }
    /// Runs that wait for room, best first.
    const std::map<QueuePlace, TaskId>& queue() const { return this->waiting; }
    /// Forgets runs that ended before a time.
    void forgetEndedBefore(Core::SteadyTime time);

private:
    std::map<TaskId, Run> runs;
    Room usedRoom;
    std::size_t active = 0;
    // Place of a run in the queue.
    static QueuePlace placeOf(const Run& run);

    std::map<QueuePlace, TaskId> waiting;
    std::uint64_t lastArrival = 0;
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
