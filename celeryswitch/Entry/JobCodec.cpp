#include "celeryswitch/Entry/JobCodec.h"

#include "celeryswitch/Core/BoundedJson.h"
#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <openssl/evp.h>
#include <unordered_set>

namespace celeryswitch::Entry {

namespace {

constexpr std::size_t maximumNameBytes = 256;
// Durations above one day and sizes above 2^50 bytes most likely have the wrong unit.
constexpr std::int64_t maximumMilliseconds = 24 * 3600 * 1000;
constexpr std::int64_t maximumMemoryBytes = std::int64_t(1) << 50;
constexpr std::int64_t maximumUnixMilliseconds = std::int64_t(1) << 52;
constexpr std::uint16_t statusBadRequest = 400;

// Reads the fields of one JSON object and keeps the first problem.
class FieldReader {
public:
    FieldReader(const boost::json::object& object, std::string path)
        : object(object)
        , path(std::move(path))
    {
    }

    std::string readString(std::string_view name, std::size_t maximumBytes, bool isRequired)
    {
        const boost::json::value* value = this->readField(name, isRequired);
        if (!value)
            return {};
        if (!value->is_string()) {
            this->fail(name, "must be a string");
            return {};
        }
        const boost::json::string& string = value->get_string();
        if (string.empty() && isRequired && maximumBytes == maximumNameBytes)
            this->fail(name, "must not be empty");
        if (string.size() > maximumBytes)
            this->fail(name, "must have at most " + std::to_string(maximumBytes) + " bytes");
        return { string.data(), string.size() };
    }
    std::int64_t readInteger(std::string_view name, std::int64_t maximum, bool isRequired)
    {
        const boost::json::value* value = this->readField(name, isRequired);
        if (!value)
            return 0;
        if (!value->is_int64()) {
            this->fail(name, value->is_uint64() ? "is too large" : "must be a whole number");
            return 0;
        }
        if (value->get_int64() < 0)
            this->fail(name, "must not be negative");
        else if (value->get_int64() > maximum)
            this->fail(name, "must be at most " + std::to_string(maximum));
        return value->get_int64();
    }
    bool readBoolean(std::string_view name)
    {
        const boost::json::value* value = this->readField(name, false);
        if (value && !value->is_bool())
            this->fail(name, "must be true or false");
        return value && value->is_bool() && value->get_bool();
    }
    const boost::json::array* readArray(std::string_view name)
    {
        const boost::json::value* value = this->readField(name, true);
        if (value && !value->is_array())
            this->fail(name, "must be a list");
        return value ? value->if_array() : nullptr;
    }
    // Reports a problem for any field that was not read.
    void rejectUnknownFields()
    {
        for (const auto& field : this->object) {
            if (std::find(this->readNames.begin(), this->readNames.end(), field.key()) == this->readNames.end())
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
        const std::string detailText = field.empty() ? "The body " + detail : field + " " + detail;
        return { statusBadRequest, "invalid-submission", "The submission is not valid", detailText, std::move(field) };
    }

    std::optional<Problem> problem;

private:
    const boost::json::value* readField(std::string_view name, bool isRequired)
    {
        this->readNames.push_back(name);
        const boost::json::value* value = this->object.if_contains(name);
        if (!value && isRequired)
            this->fail(name, "is missing");
        return value;
    }

    const boost::json::object& object;
    std::string path;
    std::vector<std::string_view> readNames;
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
        Messages::TaskRequest task { reader.readString("id", maximumNameBytes, true),
            reader.readString("payload", std::numeric_limits<std::size_t>::max(), true) };
        reader.rejectUnknownFields();
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
    submission.team = reader.readString("team", maximumNameBytes, true);
    submission.caller = reader.readString("caller", maximumNameBytes, true);
    submission.idempotencyKey = reader.readString("idempotencyKey", maximumNameBytes, true);
    submission.createdAt = reader.readInteger("createdAt", maximumUnixMilliseconds, true);
    submission.service = reader.readString("service", maximumNameBytes, true);
    submission.kind = reader.readString("kind", maximumNameBytes, true);
    const std::string urgency = reader.readString("urgency", maximumNameBytes, false);
    if (object.contains("urgency")) {
        const std::optional<Messages::Urgency> value = Core::enumValue<Messages::Urgency>(urgency);
        if (!value)
            reader.fail("urgency", "must be \"background\", \"normal\" or \"counter\"");
        submission.urgency = value.value_or(Messages::Urgency::Normal);
    }
    submission.deadlineMilliseconds = reader.readInteger("deadlineMs", maximumMilliseconds, false);
    submission.declaredRunMilliseconds = reader.readInteger("declaredRunMs", maximumMilliseconds, false);
    submission.declaredMemoryBytes = reader.readInteger("declaredMemoryBytes", maximumMemoryBytes, false);
    submission.isIdempotent = reader.readBoolean("idempotent");
    const boost::json::array* tasks = reader.readArray("tasks");
    reader.rejectUnknownFields();
    if (!reader.problem)
        reader.problem = readTasks(*tasks, submission.tasks);
    if (reader.problem)
        return *reader.problem;
    return submission;
}

// Adds a result body to a task: as a string if it is valid UTF-8, otherwise as base64.
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

boost::json::object makeOutcomeCounts(const Ownership::JobEntry& job)
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
    const Core::Result<boost::json::value> value = Core::parseJson(body, Core::defaultJsonValueBytes);
    if (!value)
        return FieldReader::makeProblem("",
            (value.error().is(Core::JsonError::TooLarge) ? "is too large: " : "is not valid JSON: ")
                + value.error().detail());
    const boost::json::object* object = value.value().if_object();
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
    object["sums"] = makeOutcomeCounts(job);
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

std::optional<std::string> decodePathSegment(std::string_view segment)
{
    const auto digit = [](char character) {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return character >= 'a' && character <= 'f' ? character - 'a' + 10 : -1;
    };
    std::string decoded;
    for (std::size_t index = 0; index < segment.size(); ++index) {
        if (segment[index] != '%') {
            decoded += segment[index];
            continue;
        }
        if (index + 2 >= segment.size() || digit(segment[index + 1]) < 0 || digit(segment[index + 2]) < 0)
            return std::nullopt;
        decoded += static_cast<char>(digit(segment[index + 1]) * 16 + digit(segment[index + 2]));
        index += 2;
    }
    return decoded;
}

}
