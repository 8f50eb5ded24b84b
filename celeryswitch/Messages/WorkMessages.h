#pragma once

#include "celeryswitch/Messages/TaskMessages.h"
#include "celeryswitch/Messages/WorkerProfile.h"
#include <algorithm>
#include <cereal/types/utility.hpp>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace celeryswitch::Messages {

/// Id of a step job: 16 hexadecimal digits that its caller chose. Ids that differ in the case of a letter are
/// different.
struct StepJobId {
    /// Value of the digits.
    std::uint64_t number = 0;
    /// Bit i is set if the digit of place i, counted from the last one, is a capital letter.
    std::uint16_t capitals = 0;

    constexpr StepJobId() = default;
    /// The id that is written with small letters.
    constexpr StepJobId(std::uint64_t number, std::uint16_t capitals = 0)
        : number(number)
        , capitals(capitals)
    {
    }
    friend bool operator==(const StepJobId&, const StepJobId&) = default;
    friend bool operator<(const StepJobId& left, const StepJobId& right)
    {
        return std::tie(left.number, left.capitals) < std::tie(right.number, right.capitals);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(this->number, this->capitals); }
};

/// The id of a step job as its caller wrote it.
inline std::string jobText(const StepJobId& job)
{
    constexpr std::string_view smallDigits = "0123456789abcdef";
    constexpr std::string_view capitalDigits = "0123456789ABCDEF";
    std::string text(16, '0');
    for (std::size_t place = 0; place < text.size(); ++place)
        text[text.size() - 1 - place]
            = ((job.capitals >> place) & 1 ? capitalDigits : smallDigits)[(job.number >> (4 * place)) & 15];
    return text;
}

/// Identity of a task of a step job.
struct TaskId {
    StepJobId job;
    /// Repetition of the job, from 0.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const TaskId&, const TaskId&) = default;
    friend bool operator<(const TaskId& left, const TaskId& right)
    {
        return std::tie(left.job, left.occurrence, left.step, left.index)
            < std::tie(right.job, right.occurrence, right.step, right.index);
    }
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->job, this->occurrence, this->step, this->index);
    }
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not arrive.
    Alone,
    /// The worker crashed or was replaced, or its lease is over without an answer.
    Lost,
    /// The run did not start and never will.
    NotStarted,
};

/// Why a run did not start.
enum class RunRefusal : std::uint8_t {
    None,
    /// The worker has too little room.
    NoRoom,
    /// The worker is leaving.
    Draining,
    /// The worker, or the sidecar's contact with it, is out of order.
    Unhealthy,
    /// Another run of the task has not ended on this worker.
    TaskBusy,
    /// The order came too late.
    Late,
    /// The order was not answered and is void now.
    Unanswered,
    /// The worker refused the order for another reason.
    Rejected,
    /// The worker's data centre is evacuated.
    Evacuated,
    /// The worker is another incarnation than the one that the order names.
    OtherIncarnation,
};

/// State of a run as the sidecar reports it.
enum class RunState : std::uint8_t {
    Running,
    Ended,
};

/// A task as one start order names it. Run numbers begin anew whenever a job is admitted; order numbers don't.
struct OrderedTask {
    TaskId task;
    /// Number of the start order, see StartRuns.
    std::uint64_t order = 0;

    friend bool operator==(const OrderedTask&, const OrderedTask&) = default;
    friend bool operator<(const OrderedTask& left, const OrderedTask& right)
    {
        return std::tie(left.task, left.order) < std::tie(right.task, right.order);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(this->task, this->order); }
};

/// Entry to sidecar: start runs of tasks of one step.
struct StartRuns {
    /// Counts the orders of this entry on this connection, from 1.
    std::uint64_t sequence = 0;
    /// Number of this order, from 1; unique within the entry's incarnation, also across connections and admissions.
    std::uint64_t order = 0;
    /// Newest clock sample received from this sidecar incarnation.
    std::int64_t clockEcho = 0;
    StepJobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    /// Content of the job for the worker.
    std::string content;
    /// Room that each task needs.
    Room need;
    /// Time that a task is expected to take on a worker of ordinary speed.
    std::uint32_t expectedMilliseconds = 0;
    /// Value of the work for the room and time that it takes; more goes first.
    float rank = 0;
    /// Time within which the runs have to start; those that have not are refused.
    std::int64_t startWithinMicroseconds = 0;
    /// Time left until the job's deadline; what still runs then is stopped. 0 means none.
    std::int64_t deadlineMicroseconds = 0;
    /// Incarnation of the worker that the order was decided on, see WorkerProfile::bornAt. The runs start on no other.
    std::int64_t bornAt = 0;
    /// Index and run number of each task.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> tasks;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->sequence, this->order, this->clockEcho, this->job, this->occurrence, this->step, this->content,
            this->need, this->expectedMilliseconds, this->rank, this->startWithinMicroseconds,
            this->deadlineMicroseconds, this->bornAt, this->tasks);
    }
};

/// Entry to sidecar: stop what runs for these orders.
struct StopRuns {
    std::int64_t clockEcho = 0;
    std::vector<OrderedTask> tasks;

    template <typename Archive> void serialize(Archive& archive) { archive(this->clockEcho, this->tasks); }
};

/// Entry to sidecar: the entry lives. Runs are kept only while it does.
struct EntryAlive {
    std::int64_t clockEcho = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->clockEcho); }
};

/// A run that an entry had ordered before its connection was lost.
struct ClaimedRun {
    OrderedTask ordered;
    /// Run number that the entry last knew; the sidecar may have raised it.
    std::uint32_t run = 0;
    Room need;

    template <typename Archive> void serialize(Archive& archive) { archive(this->ordered, this->run, this->need); }
};

/// Entry to sidecar, first on each connection after Hello: runs that it believes are there; each is answered by a
/// report.
struct ClaimRuns {
    std::vector<ClaimedRun> runs;

    template <typename Archive> void serialize(Archive& archive) { archive(this->runs); }
};

/// Entry to sidecar, after ClaimRuns: what was last known of the worker. A sidecar that was started anew uses it if the
/// worker still lives the same life, and need not wait for the worker's next announcement.
struct KnownWorker {
    WorkerProfile profile;
    bool isDraining = false;

    template <typename Archive> void serialize(Archive& archive) { archive(this->profile, this->isDraining); }
};

/// What became of a run.
struct RunReport {
    /// Task and the order that the run was started for.
    OrderedTask ordered;
    std::uint32_t run = 0;
    RunState state = RunState::Ended;
    RunEnd end = RunEnd::NotStarted;
    RunRefusal refusal = RunRefusal::None;
    /// Time from the accepted start to the end, or until now, in microseconds.
    std::int64_t runMicroseconds = 0;
    /// Progress of a run that has not ended, 0 to 100.
    std::uint8_t percent = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->ordered, this->run, this->state, this->end, this->refusal, this->runMicroseconds, this->percent);
    }
};

/// Room that queued runs of similar rank need.
struct QueuedRoom {
    /// Class of the ranks, see rankClassOf.
    std::int16_t rankClass = 0;
    std::int64_t milliCores = 0;

    friend bool operator==(const QueuedRoom&, const QueuedRoom&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(this->rankClass, this->milliCores); }
};

/// Class of a rank: runs of one class are about as good and go in the order in which they have to start.
inline std::int16_t rankClassOf(float rank)
{
    constexpr float classesAnOctave = 4;
    constexpr float limit = 400;
    return rank > 0
        ? static_cast<std::int16_t>(std::clamp(std::floor(std::log2(rank) * classesAnOctave), -limit, limit))
        : static_cast<std::int16_t>(-limit);
}

/// State of a worker at a moment.
struct WorkerLoad {
    /// Room that no run uses.
    Room free;
    /// What is queued, by rank.
    std::vector<QueuedRoom> queued;
    /// Room that ends of runs give back, in thousandths of a core a second.
    std::int64_t freedMilliCoresPerSecond = 0;
    /// Speed of the worker against the expected times, in percent.
    std::uint16_t pacePercent = 100;
    /// Whether runs can be started.
    bool isReady = false;
    bool isDraining = false;
    /// Whether the worker has failed or stalled what it ran, and gets one run at a time until one succeeds.
    bool isOnProbation = false;
    /// Time until a worker on probation gets its next run.
    std::uint16_t probeWaitMilliseconds = 0;
    /// Part of the latest runs that failed.
    std::uint8_t failurePercent = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->free, this->queued, this->freedMilliCoresPerSecond, this->pacePercent, this->isReady,
            this->isDraining, this->isOnProbation, this->probeWaitMilliseconds, this->failurePercent);
    }
};

/// Sidecar to entry: reports of this entry's runs and the worker's state.
struct WorkerUpdate {
    Core::Incarnation incarnation = 0;
    std::int64_t clockSample = 0;
    /// Last StartRuns of this connection that `load` counts.
    std::uint64_t handledSequence = 0;
    std::vector<RunReport> reports;
    /// One profile when it is new to the entry, else none.
    std::vector<WorkerProfile> profile;
    WorkerLoad load;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->incarnation, this->clockSample, this->handledSequence, this->reports, this->profile, this->load);
    }
};

/// Entry to sidecar: wait for room for tasks of one step and offer it; nothing starts. An entry reserves room on more
/// workers than it has tasks and releases what it does not use.
struct ReserveRoom {
    /// Counts the orders of this entry on this connection, together with those of StartRuns.
    std::uint64_t sequence = 0;
    std::int64_t clockEcho = 0;
    /// Number of the reservation, unique among those of this entry.
    std::uint64_t reservation = 0;
    /// Room of one unit, and number of units.
    Room need;
    std::uint32_t units = 0;
    /// Number of workers on which room is reserved for each task.
    std::uint32_t alternatives = 1;
    /// As in StartRuns.
    float rank = 0;
    std::int64_t startWithinMicroseconds = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->sequence, this->clockEcho, this->reservation, this->need, this->units, this->alternatives,
            this->rank, this->startWithinMicroseconds);
    }
};

/// Entry to sidecar: reservations that are no longer needed, whether their room was offered or not.
struct ReleaseRoom {
    std::int64_t clockEcho = 0;
    std::vector<std::uint64_t> reservations;

    template <typename Archive> void serialize(Archive& archive) { archive(this->clockEcho, this->reservations); }
};

/// Sidecar to entry: there is room for one unit of a reservation. It is held for a short time.
struct RoomOffer {
    std::uint64_t reservation = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->reservation); }
};

/// Entry to sidecar: start runs in the room that was offered for a reservation.
struct StartReserved {
    std::uint64_t reservation = 0;
    StartRuns start;

    template <typename Archive> void serialize(Archive& archive) { archive(this->reservation, this->start); }
};

/// Every frame between entries and sidecars of leased workers. Append only: the index is part of the format.
using WorkMessage = std::variant<Hello, StartRuns, StopRuns, EntryAlive, ClaimRuns, WorkerUpdate, KnownWorker,
    ReserveRoom, ReleaseRoom, RoomOffer, StartReserved>;

}

namespace celeryswitch::Core {

template <> struct EnumTable<Messages::RunEnd> {
    static constexpr std::string_view type = "RunEnd";
    static constexpr std::array<std::pair<Messages::RunEnd, std::string_view>, 8> names { {
        { Messages::RunEnd::Done, "done" },
        { Messages::RunEnd::Failed, "failed" },
        { Messages::RunEnd::Stopped, "stopped" },
        { Messages::RunEnd::Lapsed, "lapsed" },
        { Messages::RunEnd::Broken, "broken" },
        { Messages::RunEnd::Alone, "alone" },
        { Messages::RunEnd::Lost, "lost" },
        { Messages::RunEnd::NotStarted, "not-started" },
    } };
};

template <> struct EnumTable<Messages::RunRefusal> {
    static constexpr std::string_view type = "RunRefusal";
    static constexpr std::array<std::pair<Messages::RunRefusal, std::string_view>, 10> names { {
        { Messages::RunRefusal::None, "none" },
        { Messages::RunRefusal::NoRoom, "no-room" },
        { Messages::RunRefusal::Draining, "draining" },
        { Messages::RunRefusal::Unhealthy, "unhealthy" },
        { Messages::RunRefusal::TaskBusy, "task-busy" },
        { Messages::RunRefusal::Late, "late" },
        { Messages::RunRefusal::Unanswered, "unanswered" },
        { Messages::RunRefusal::Rejected, "rejected" },
        { Messages::RunRefusal::Evacuated, "evacuated" },
        { Messages::RunRefusal::OtherIncarnation, "other-incarnation" },
    } };
};

template <> struct EnumTable<Messages::RunState> {
    static constexpr std::string_view type = "RunState";
    static constexpr std::array<std::pair<Messages::RunState, std::string_view>, 2> names { {
        { Messages::RunState::Running, "running" },
        { Messages::RunState::Ended, "ended" },
    } };
};

}

template <> struct std::hash<celeryswitch::Messages::StepJobId> {
    std::size_t operator()(const celeryswitch::Messages::StepJobId& job) const noexcept
    {
        return static_cast<std::size_t>(job.number ^ (0xc2b2ae3d27d4eb4fULL * job.capitals));
    }
};

template <> struct std::hash<celeryswitch::Messages::TaskId> {
    std::size_t operator()(const celeryswitch::Messages::TaskId& task) const noexcept
    {
        return static_cast<std::size_t>(std::hash<celeryswitch::Messages::StepJobId> {}(task.job)
            ^ (0x9e3779b97f4a7c15ULL * (task.index + 1)) ^ (static_cast<std::uint64_t>(task.step) << 40)
            ^ (static_cast<std::uint64_t>(task.occurrence) << 20));
    }
};
