#include "celeryswitch/Load/JobApiClient.h"

#include <boost/json.hpp>
#include <optional>

namespace celeryswitch::Load {

namespace {

namespace json = boost::json;

std::string encoded(const std::string& name)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string text;
    for (char character : name) {
        const auto byte = static_cast<unsigned char>(character);
        if (plain.find(character) != std::string_view::npos)
            text += character;
        else
            text += { '%', digits[byte >> 4], digits[byte & 15] };
    }
    return text;
}

std::string pathOf(const JobName& job)
{
    return "/v1/teams/" + encoded(job.team) + "/callers/" + encoded(job.caller) + "/jobs/"
        + encoded(job.idempotencyKey);
}

Http::HttpRequest requestOf(const std::string& method, const std::string& path, const std::string& token)
{
    Http::HttpRequest request { method, path, {}, {} };
    if (!token.empty())
        request.headers.set("Authorization", "Bearer " + token);
    return request;
}

// Names the wait in a Prefer header (RFC 7240), in whole seconds rounded up.
void setWait(Http::HttpRequest& request, std::uint32_t waitMilliseconds)
{
    if (waitMilliseconds != 0)
        request.headers.set("Prefer", "wait=" + std::to_string((waitMilliseconds + 999) / 1000));
}

std::optional<std::int64_t> numberOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_int64() ? std::optional(value->as_int64()) : std::nullopt;
}

std::string textOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::optional<Messages::TaskResult> taskOf(const json::value& value)
{
    const json::object* object = value.if_object();
    if (!object)
        return std::nullopt;
    const std::optional<std::int64_t> index = numberOf(*object, "index");
    const auto outcome = Core::enumValue<Messages::TaskOutcome>(textOf(*object, "outcome"));
    const auto reason = Core::enumValue<Messages::TaskReason>(textOf(*object, "reason"));
    if (!index || *index < 0 || !outcome || !reason)
        return std::nullopt;
    Messages::TaskResult task;
    task.taskIndex = static_cast<std::uint32_t>(*index);
    task.outcome = *outcome;
    task.reason = *reason;
    task.body = textOf(*object, "body");
    task.statusCode = static_cast<std::uint16_t>(numberOf(*object, "status").value_or(0));
    task.runMicroseconds = numberOf(*object, "runMicroseconds").value_or(0);
    return task;
}

// Whether the entry's own sums agree with the results of the same answer.
bool sumsAgree(const json::object& object, const std::vector<Messages::TaskResult>& results)
{
    const json::value* sums = object.if_contains("sums");
    if (!sums || !sums->is_object())
        return false;
    std::array<std::int64_t, 4> counts {};
    for (const Messages::TaskResult& task : results)
        ++counts[static_cast<std::size_t>(task.outcome)];
    const json::object& stated = sums->as_object();
    return numberOf(stated, "submitted") == static_cast<std::int64_t>(results.size())
        && numberOf(stated, "succeeded") == counts[0] && numberOf(stated, "failed") == counts[1]
        && numberOf(stated, "unconfirmed") == counts[2] && numberOf(stated, "neverStarted") == counts[3];
}

EntryAnswer malformed(const std::string& reason)
{
    EntryAnswer answer;
    answer.reason = reason;
    return answer;
}

EntryAnswer endedJob(const json::object& object, Messages::JobState state)
{
    const json::value* tasks = object.if_contains("tasks");
    if (!tasks || !tasks->is_array())
        return malformed("a job that has ended has no tasks");
    EntryAnswer answer;
    answer.meaning = AnswerMeaning::Ended;
    answer.job.state = state;
    for (const json::value& value : tasks->as_array()) {
        std::optional<Messages::TaskResult> task = taskOf(value);
        if (!task || task->taskIndex != answer.job.results.size())
            return malformed("a task's result is malformed or out of order");
        answer.job.results.push_back(std::move(*task));
    }
    if (!sumsAgree(object, answer.job.results))
        return malformed("the sums of the answer disagree with its results");
    return answer;
}

EntryAnswer refusal(const Http::HttpResponse& http, const json::object& object)
{
    EntryAnswer answer;
    const auto meaning = Core::enumValue<AnswerMeaning>(textOf(object, "execution"));
    if (!meaning || *meaning == AnswerMeaning::Ended || *meaning == AnswerMeaning::Running)
        return malformed("status " + std::to_string(http.statusCode) + " does not say whether the job ran");
    answer.meaning = *meaning;
    answer.reason = textOf(object, "reason");
    if (answer.reason.empty())
        answer.reason = textOf(object, "type") + " " + textOf(object, "detail");
    answer.retryAfterSeconds = Http::retryAfterSeconds(http);
    return answer;
}

}

Http::HttpRequest submitRequest(
    const Messages::Submission& submission, std::uint32_t waitMilliseconds, const std::string& token)
{
    Http::HttpRequest request = requestOf("POST", "/v1/jobs", token);
    setWait(request, waitMilliseconds);
    json::array tasks;
    for (const Messages::TaskRequest& task : submission.tasks)
        tasks.push_back(json::object { { "id", task.taskId }, { "payload", task.payload } });
    request.body = json::serialize(json::object { { "team", submission.team }, { "caller", submission.caller },
        { "idempotencyKey", submission.idempotencyKey }, { "createdAt", submission.createdAt },
        { "service", submission.service }, { "kind", submission.kind },
        { "urgency", Core::enumName(submission.urgency) }, { "deadlineMs", submission.deadlineMilliseconds },
        { "declaredRunMs", submission.declaredRunMilliseconds }, { "idempotent", submission.isIdempotent },
        { "tasks", std::move(tasks) } });
    request.headers.set("Content-Type", "application/json");
    return request;
}

Http::HttpRequest fetchRequest(const JobName& job, std::uint32_t waitMilliseconds, const std::string& token)
{
    Http::HttpRequest request = requestOf("GET", pathOf(job), token);
    setWait(request, waitMilliseconds);
    return request;
}

Http::HttpRequest cancelRequest(const JobName& job, const std::string& token)
{
    return requestOf("DELETE", pathOf(job), token);
}

EntryAnswer parseAnswer(const Http::HttpResponse& http)
{
    boost::system::error_code error;
    const json::value value = json::parse(http.body, error);
    if (error || !value.is_object())
        return malformed("status " + std::to_string(http.statusCode) + " with a body that is no JSON object");
    const json::object& object = value.as_object();
    if (http.statusCode >= 400)
        return refusal(http, object);
    const auto state = Core::enumValue<Messages::JobState>(textOf(object, "state"));
    if (!state)
        return malformed("the answer has no job state");
    if (*state != Messages::JobState::Running)
        return endedJob(object, *state);
    EntryAnswer answer;
    answer.meaning = AnswerMeaning::Running;
    return answer;
}

}
