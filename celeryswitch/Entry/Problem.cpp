#include "celeryswitch/Entry/Problem.h"

#include <boost/json.hpp>

namespace celeryswitch::Entry {

namespace {

constexpr std::uint16_t statusUnprocessable = 422;
constexpr std::uint16_t statusTooManyRequests = 429;
constexpr std::uint16_t statusUnavailable = 503;

std::uint16_t statusForReason(Messages::TaskReason reason)
{
    switch (reason) {
    case Messages::TaskReason::QuotaExceeded:
        return statusTooManyRequests;
    case Messages::TaskReason::NoSuchService:
    case Messages::TaskReason::TooLarge:
        return statusUnprocessable;
    default:
        return statusUnavailable;
    }
}

}

Messages::ForwardedAnswer makeAnswer(const Problem& problem)
{
    boost::json::object object {
        { "type", "urn:celeryswitch:problem:" + problem.type },
        { "title", problem.title },
        { "status", problem.status },
        { "detail", problem.detail },
        { "execution", Core::enumName(problem.execution) },
    };
    if (!problem.field.empty())
        object["field"] = problem.field;
    if (!problem.reason.empty())
        object["reason"] = problem.reason;
    return { 0, problem.status, problem.retryAfterSeconds, "application/problem+json", boost::json::serialize(object) };
}

Problem makeRefusal(Messages::TaskReason reason, Core::Duration retryAfter, std::string detail)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    return { statusForReason(reason), "refused", "The submission was refused and has not run", std::move(detail), "",
        Execution::NotRun, std::string(Core::enumName(reason)), static_cast<std::uint32_t>(seconds) };
}

}
