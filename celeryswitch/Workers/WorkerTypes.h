#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Workers {

using Messages::Room;
using Messages::RunEnd;
using Messages::RunRefusal;
using Messages::TaskId;

/// What a worker says of itself from time to time.
struct WorkerAnnouncement {
    std::string workerId;
    /// Start of this life, milliseconds since 1970; tells lives under the same id.
    std::int64_t bornAt = 0;
    std::string service;
    Room capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    /// The worker's own steady clock, in milliseconds.
    std::int64_t clock = 0;
    /// Rises with each announcement of a life; 0 when unknown.
    std::uint64_t sequence = 0;
};

/// Order to start a run.
struct StartCall {
    TaskId task;
    std::uint32_t run = 0;
    std::string content;
    /// End of the lease of everything on the worker, on the worker's clock, in milliseconds.
    std::int64_t leaseEnd = 0;
    std::uint64_t fencingToken = 0;
};

/// Order to stop a run.
struct StopCall {
    TaskId task;
    std::uint32_t run = 0;
    std::uint64_t fencingToken = 0;
};

/// Order to extend the lease; answered with what runs and what has ended, at once or when something ends.
struct HoldCall {
    std::uint64_t fencingToken = 0;
    /// Ends up to this number may be forgotten.
    std::uint64_t notedEnds = 0;
    /// As in StartCall; nothing leaves the lease as it is.
    std::optional<std::int64_t> leaseEnd;
    /// Time to wait for an end.
    std::chrono::milliseconds wait {};
};

/// An order to a worker.
using WorkerCall = std::variant<StartCall, StopCall, HoldCall>;

/// What an order came to.
enum class CallStatus : std::uint8_t {
    Accepted,
    /// Refused, see CallResult::refusal; nothing was done.
    Refused,
    /// The worker is out of order and has done nothing.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The answer can't be read.
    Unreadable,
    /// No answer: the order may be carried out at any time, or not.
    Unanswered,
    /// No connection: the order was not sent.
    NotSent,
};

/// Why a worker refused an order.
enum class CallRefusal : std::uint8_t {
    None,
    /// A higher fencing token was seen.
    Fence,
    /// The run is not higher than one that ended or was stopped.
    Old,
    /// The lease's end has passed.
    Late,
    Room,
    Other,
};

/// A run that a worker lists as running.
struct RunningRow {
    TaskId task;
    std::uint32_t run = 0;
    /// Progress, 0 to 100.
    std::uint32_t percent = 0;
    /// Thousandths of a core in use, roughly.
    std::int64_t milliCores = 0;
};

/// A run that a worker lists as ended.
struct EndedRow {
    /// Counts the ends of a life, from 1.
    std::uint64_t number = 0;
    TaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Failed;
};

/// Answer to an order, or that there is none.
struct CallResult {
    CallStatus status = CallStatus::Unanswered;
    CallRefusal refusal = CallRefusal::None;
    /// The worker's clock; nothing when the answer did not carry it.
    std::optional<std::int64_t> clock;
    /// Start of the life that answered; nothing when the answer did not carry it.
    std::optional<std::int64_t> bornAt;
    /// Answer to HoldCall.
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Workers::CallStatus> {
    static constexpr std::string_view type = "CallStatus";
    static constexpr std::array<std::pair<Workers::CallStatus, std::string_view>, 7> names { {
        { Workers::CallStatus::Accepted, "accepted" },
        { Workers::CallStatus::Refused, "refused" },
        { Workers::CallStatus::Unhealthy, "unhealthy" },
        { Workers::CallStatus::OtherLife, "other-life" },
        { Workers::CallStatus::Unreadable, "unreadable" },
        { Workers::CallStatus::Unanswered, "unanswered" },
        { Workers::CallStatus::NotSent, "not-sent" },
    } };
};

template <> struct EnumTable<Workers::CallRefusal> {
    static constexpr std::string_view type = "CallRefusal";
    static constexpr std::array<std::pair<Workers::CallRefusal, std::string_view>, 6> names { {
        { Workers::CallRefusal::None, "none" },
        { Workers::CallRefusal::Fence, "fence" },
        { Workers::CallRefusal::Old, "old" },
        { Workers::CallRefusal::Late, "late" },
        { Workers::CallRefusal::Room, "room" },
        { Workers::CallRefusal::Other, "other" },
    } };
};

}
