#include "celeryswitch/Entry/JobCodec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <openssl/evp.h>
#include <unordered_set>

namespace celeryswitch::Entry {

namespace {

constexpr std::size_t longestName = 256;
// Times above a day and sizes above 2^50 bytes are mistakes of unit.
constexpr std::int64_t longestMilliseconds = 24 * 3600 * 1000;
constexpr std::int64_t largestMemoryBytes = std::int64_t(1) << 50;
constexpr std::int64_t largestTime = std::int64_t(1) << 52;
constexpr std::uint16_t statusBadRequest = 400;

// Reads the fields of one JSON object and remembers the first problem.
class FieldReader {
public:
    FieldReader(const boost::json::object& object, std::string path)
        : object(object)
        , path(std::move(path))
    {
    }

    std::string text(std::string_view name, std::size_t longest, bool isRequired)
    {
        const boost::json::value* value = this->take(name, isRequired);
        if (!value)
            return {};
        if (!value->is_string()) {
            this->fail(name, "must be a string");
            return {};
        }
        const boost::json::string& string = value->get_string();
        if (string.empty() && isRequired && longest == longestName)
            this->fail(name, "must not be empty");
        if (string.size() > longest)
            this->fail(name, "must have at most " + std::to_string(longest) + " bytes");
        return { string.data(), string.size() };
    }
    std::int64_t number(std::string_view name, std::int64_t largest, bool isRequired)
    {
        const boost::json::value* value = this->take(name, isRequired);
        if (!value)
            return 0;
        if (!value->is_int64()) {
            this->fail(name, value->is_uint64() ? "is too large" : "must be a whole number");
            return 0;
        }
        if (value->get_int64() < 0)
            this->fail(name, "must not be negative");
        else if (value->get_int64() > largest)
            this->fail(name, "must be at most " + std::to_string(largest));
        return value->get_int64();
    }
    bool flag(std::string_view name)
    {
        const boost::json::value* value = this->take(name, false);
        if (value && !value->is_bool())
            this->fail(name, "must be true or false");
        return value && value->is_bool() && value->get_bool();
    }
    const boost::json::array* list(std::string_view name)
    {
        const boost::json::value* value = this->take(name, true);
        if (value && !value->is_array())
            this->fail(name, "must be a list");
        return value ? value->if_array() : nullptr;
    }
    // Refuses fields that were not read.
    void finish()
    {
        for (const auto& field : this->object) {
            if (std::find(this->known.begin(), this->known.end(), field.key()) == this->known.end())
                this->fail(field.key(), "is not a field of this object");
        }
    }
    void fail(std::string_view name, std::string detail)
    {
        if (!this->problem)
            this->problem = makeProblem(this->path + std::string(name), std::move(detail));
    }
    static Problem makeProblem(std::string field, std::string detail)
    {
        const std::string text = field.empty() ? "The body " + detail : field + " " + detail;
        return { statusBadRequest, "invalid-submission", "The submission is not valid", text, std::move(field) };
    }

    std::optional<Problem> problem;

private:
    const boost::json::value* take(std::string_view name, bool isRequired)
    {
        this->known.push_back(name);
        const boost::json::value* value = this->object.if_contains(name);
        if (!value && isRequired)
            this->fail(name, "is missing");
        return value;
    }

    const boost::json::object& object;
    std::string path;
    std::vector<std::string_view> known;
};

std::optional<Problem> readTasks(const boost::json::array& list, std::vector<Messages::TaskRequest>& tasks)
{
    if (list.empty() || list.size() > Messages::maximumTasksPerJob)
        return FieldReader::makeProblem(
            "tasks", "must have 1 to " + std::to_string(Messages::maximumTasksPerJob) + " entries");
    std::unordered_set<std::string> taskIds;
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string path = "tasks[" + std::to_string(index) + "]";
        const boost::json::object* object = list[index].if_object();
        if (!object)
            return FieldReader::makeProblem(path, "must be an object");
        FieldReader reader(*object, path + ".");
        Messages::TaskRequest task { reader.text("id", longestName, true),
            reader.text("payload", std::numeric_limits<std::size_t>::max(), true) };
        reader.finish();
        if (!reader.problem && !taskIds.insert(task.taskId).second)
            reader.fail("id", "is used by an earlier task");
        if (reader.problem)
            return reader.problem;
        tasks.push_back(std::move(task));
    }
    return std::nullopt;
}

ParsedSubmission readSubmission(const boost::json::object& object)
{
    FieldReader reader(object, "");
    Messages::Submission submission;
    submission.team = reader.text("team", longestName, true);
    submission.caller = reader.text("caller", longestName, true);
    submission.idempotencyKey = reader.text("idempotencyKey", longestName, true);
    submission.createdAt = reader.number("createdAt", largestTime, true);
    submission.service = reader.text("service", longestName, true);
    submission.kind = reader.text("kind", longestName, true);
    const std::string urgency = reader.text("urgency", longestName, false);
    if (object.contains("urgency")) {
        const std::optional<Messages::Urgency> value = Core::enumValue<Messages::Urgency>(urgency);
        if (!value)
            reader.fail("urgency", "must be \"background\", \"normal\" or \"counter\"");
        submission.urgency = value.value_or(Messages::Urgency::Normal);
    }
    submission.deadlineMilliseconds = reader.number("deadlineMs", longestMilliseconds, false);
    submission.declaredRunMilliseconds = reader.number("declaredRunMs", longestMilliseconds, false);
    submission.declaredMemoryBytes = reader.number("declaredMemoryBytes", largestMemoryBytes, false);
    submission.isIdempotent = reader.flag("idempotent");
    const boost::json::array* tasks = reader.list("tasks");
    reader.finish();
    if (!reader.problem)
        reader.problem = readTasks(*tasks, submission.tasks);
    if (reader.problem)
        return *reader.problem;
    return submission;
}

// Puts a body into an answer: as text when it is valid in JSON, else in base64.
void addBody(boost::json::object& task, const std::string& body)
{
    const bool isAscii = std::all_of(body.begin(), body.end(), [](char byte) { return (byte & 0x80) == 0; });
    boost::system::error_code error;
    if (!isAscii)
        boost::json::parse(boost::json::serialize(boost::json::string(body)), error);
    if (!error) {
        task["body"] = body;
        return;
    }
    std::string encoded((body.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
        reinterpret_cast<const unsigned char*>(body.data()), static_cast<int>(body.size()));
    encoded.resize(static_cast<std::size_t>(length));
    task["bodyBase64"] = encoded;
}

boost::json::object makeSums(const Ownership::JobEntry& job)
{
    std::array<std::size_t, 4> counts {};
    for (const Messages::TaskResult& result : job.results)
        ++counts[static_cast<std::size_t>(result.outcome)];
    const auto count = [&](Messages::TaskOutcome outcome) { return counts[static_cast<std::size_t>(outcome)]; };
    return {
        { "submitted", job.taskCount },
        { "succeeded", count(Messages::TaskOutcome::Succeeded) },
        { "failed", count(Messages::TaskOutcome::Failed) },
        { "unconfirmed", count(Messages::TaskOutcome::Unconfirmed) },
        { "neverStarted", count(Messages::TaskOutcome::NeverStarted) },
    };
}

}

ParsedSubmission parseSubmission(std::string_view body)
{
    boost::system::error_code error;
    boost::json::parse_options options;
    const boost::json::value value = boost::json::parse(body, error, {}, options);
    if (error)
        return FieldReader::makeProblem("", "is not valid JSON: " + error.message());
    const boost::json::object* object = value.if_object();
    if (!object)
        return FieldReader::makeProblem("", "must be a JSON object");
    return readSubmission(*object);
}

Messages::ForwardedAnswer makeJobAnswer(const Ownership::JobEntry& job)
{
    boost::json::object object {
        { "jobId", Core::toString(job.jobId) },
        { "state", Core::enumName(job.state) },
    };
    if (job.state == Messages::JobState::Running) {
        object["submitted"] = job.taskCount;
        return { 0, 202, 0, "application/json", boost::json::serialize(object) };
    }
    boost::json::array tasks;
    tasks.reserve(job.results.size());
    for (std::size_t index = 0; index < job.results.size(); ++index) {
        const Messages::TaskResult& result = job.results[index];
        boost::json::object task { { "index", index } };
        if (index < job.taskIds.size())
            task["id"] = job.taskIds[index];
        task["outcome"] = Core::enumName(result.outcome);
        task["reason"] = Core::enumName(result.reason);
        task["status"] = result.statusCode;
        if (job.state == Messages::JobState::Complete)
            addBody(task, result.body);
        task["runMicroseconds"] = result.runMicroseconds;
        tasks.push_back(std::move(task));
    }
    object["tasks"] = std::move(tasks);
    object["sums"] = makeSums(job);
    return { 0, 200, 0, "application/json", boost::json::serialize(object) };
}

std::string jobPath(const std::string& team, const std::string& caller, const std::string& idempotencyKey)
{
    const auto encode = [](const std::string& name) {
        static constexpr char digits[] = "0123456789ABCDEF";
        std::string encoded;
        for (const char character : name) {
            const auto byte = static_cast<unsigned char>(character);
            const bool isPlain = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z')
                || (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '.' || byte == '_' || byte == '~';
            if (isPlain)
                encoded += character;
            else
                encoded += { '%', digits[byte >> 4], digits[byte & 15] };
        }
        return encoded;
    };
    return "/v1/teams/" + encode(team) + "/callers/" + encode(caller) + "/jobs/" + encode(idempotencyKey);
}

std::optional<std::string> decodePathPart(std::string_view part)
{
    const auto digit = [](char character) {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return character >= 'a' && character <= 'f' ? character - 'a' + 10 : -1;
    };
    std::string decoded;
    for (std::size_t index = 0; index < part.size(); ++index) {
        if (part[index] != '%') {
            decoded += part[index];
            continue;
        }
        if (index + 2 >= part.size() || digit(part[index + 1]) < 0 || digit(part[index + 2]) < 0)
            return std::nullopt;
        decoded += static_cast<char>(digit(part[index + 1]) * 16 + digit(part[index + 2]));
        index += 2;
    }
    return decoded;
}

}
