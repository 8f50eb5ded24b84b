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

/// Description of a worker that it sends periodically.
struct WorkerAnnouncement {
    std::string workerId;
    /// Start of the worker, in milliseconds since 1970; distinguishes its incarnations.
    std::int64_t workerStartedAt = 0;
    std::string service;
    Room capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    /// The worker's own steady clock, in milliseconds.
    std::int64_t clock = 0;
    /// Rises with each announcement of an incarnation; 0 if unknown.
    std::uint64_t sequence = 0;
};

/// Starts a run.
struct StartCall {
    TaskId task;
    std::uint32_t run = 0;
    std::string content;
    /// End of the lease that covers all runs on the worker, on the worker's clock, in milliseconds.
    std::int64_t leaseEnd = 0;
    std::uint64_t fencingToken = 0;
    /// Incarnation of the worker that the run was ordered for, by its start time. The call is sent to no other.
    std::int64_t workerStartedAt = 0;
};

/// Stops a run.
struct StopCall {
    TaskId task;
    std::uint32_t run = 0;
    std::uint64_t fencingToken = 0;
};

/// Renews the lease. The response lists the running and ended runs and is sent at once, or when a run ends within
/// `wait`.
struct RenewLeaseCall {
    std::uint64_t fencingToken = 0;
    /// The worker may forget ended runs up to this number.
    std::uint64_t acknowledgedEnds = 0;
    /// As in StartCall; std::nullopt leaves the lease unchanged.
    std::optional<std::int64_t> leaseEnd;
    /// Maximum time to wait for the end of a run.
    std::chrono::milliseconds wait {};
};

/// A call to a worker.
using WorkerCall = std::variant<StartCall, StopCall, RenewLeaseCall>;

/// Outcome of a call.
enum class CallStatus : std::uint8_t {
    Accepted,
    /// Refused, see CallResult::refusal; nothing was done.
    Refused,
    /// The worker reported that it is unhealthy; nothing was done.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
    /// The response could not be parsed.
    Unreadable,
    /// No response: the call may or may not be executed, at any time.
    Unanswered,
    /// No connection: the call was not sent.
    NotSent,
    /// Another incarnation of the worker than the one that the call names answers: the call was not sent.
    NotIdentified,
};

/// Why a worker refused a call.
enum class CallRefusal : std::uint8_t {
    None,
    /// The worker has seen a higher fencing token.
    Fence,
    /// The run number is not higher than that of a run that ended or was stopped.
    Old,
    /// The requested end of the lease has passed.
    Late,
    Room,
    Other,
};

/// A run that a worker lists as running.
struct RunningRunRecord {
    TaskId task;
    std::uint32_t run = 0;
    /// Progress, 0 to 100.
    std::uint32_t percent = 0;
    /// Approximate CPU use in thousandths of a core.
    std::int64_t milliCores = 0;
};

/// A run that a worker lists as ended.
struct EndedRunRecord {
    /// Consecutive number of the end within the worker's incarnation, from 1.
    std::uint64_t number = 0;
    TaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Failed;
};

/// Result of a call, including the case that no response arrived.
struct CallResult {
    CallStatus status = CallStatus::Unanswered;
    CallRefusal refusal = CallRefusal::None;
    /// The worker's clock in milliseconds; std::nullopt if the response did not contain it.
    std::optional<std::int64_t> clock;
    /// Start of the worker that answered, in milliseconds since 1970; std::nullopt if the response did not contain it.
    std::optional<std::int64_t> workerStartedAt;
    /// Runs listed in the response to RenewLeaseCall.
    std::vector<RunningRunRecord> running;
    std::vector<EndedRunRecord> ended;
    /// Whether rows of these lists could not be read and were left out: any run may be one of them.
    bool hasUnreadableRunning = false;
    bool hasUnreadableEnded = false;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Workers::CallStatus> {
    static constexpr std::string_view type = "CallStatus";
    static constexpr std::array<std::pair<Workers::CallStatus, std::string_view>, 8> names { {
        { Workers::CallStatus::Accepted, "accepted" },
        { Workers::CallStatus::Refused, "refused" },
        { Workers::CallStatus::Unhealthy, "unhealthy" },
        { Workers::CallStatus::OtherIncarnation, "other-incarnation" },
        { Workers::CallStatus::Unreadable, "unreadable" },
        { Workers::CallStatus::Unanswered, "unanswered" },
        { Workers::CallStatus::NotSent, "not-sent" },
        { Workers::CallStatus::NotIdentified, "not-identified" },
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
