#include "celeryswitch/Entry/JobCodec.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Entry;

namespace {

// JSON of a valid submission with one field replaced, or removed if `value` is empty.
std::string submissionWith(const std::string& name, const std::optional<boost::json::value>& value)
{
    boost::json::object object {
        { "team", "t" },
        { "caller", "c" },
        { "idempotencyKey", "k" },
        { "createdAt", 1 },
        { "service", "s" },
        { "kind", "k" },
        { "urgency", "counter" },
        { "deadlineMs", 5 },
        { "idempotent", true },
        { "tasks", { { { "id", "a" }, { "payload", "x" } } } },
    };
    object.erase(name);
    if (value)
        object[name] = *value;
    return boost::json::serialize(object);
}

std::string rejectedField(const std::string& body)
{
    const ParsedSubmission parsed = parseSubmission(body);
    return parsed ? "accepted" : parsed.error().field;
}

}

// Guards against running a submission with an invalid or unknown field.
TEST_CASE("an invalid submission is refused with the path of the field", "[Entry]")
{
    REQUIRE(parseSubmission(submissionWith("deadlineMs", 7)).value().deadlineMilliseconds == 7);
    REQUIRE(parseSubmission(submissionWith("urgency", std::nullopt)).value().urgency == Messages::Urgency::Normal);
    CHECK(rejectedField(submissionWith("team", std::nullopt)) == "team");
    CHECK(rejectedField(submissionWith("caller", "")) == "caller");
    CHECK(rejectedField(submissionWith("kind", 3)) == "kind");
    CHECK(rejectedField(submissionWith("service", boost::json::string(std::string(300, 'x')))) == "service");
    CHECK(rejectedField(submissionWith("createdAt", -1)) == "createdAt");
    CHECK(rejectedField(submissionWith("createdAt", 1.5)) == "createdAt");
    CHECK(rejectedField(submissionWith("deadlineMs", -5)) == "deadlineMs");
    CHECK(rejectedField(submissionWith("declaredRunMs", std::uint64_t(1) << 63)) == "declaredRunMs");
    CHECK(rejectedField(submissionWith("urgency", "soon")) == "urgency");
    CHECK(rejectedField(submissionWith("idempotent", 1)) == "idempotent");
    CHECK(rejectedField(submissionWith("priority", 1)) == "priority");
    CHECK(rejectedField(submissionWith("tasks", boost::json::array())) == "tasks");
    CHECK(rejectedField(submissionWith("tasks", boost::json::array(2001))) == "tasks");
    CHECK(rejectedField(submissionWith("tasks", boost::json::array { 1 })) == "tasks[0]");
    const boost::json::object task { { "id", "a" }, { "payload", "x" } };
    CHECK(rejectedField(submissionWith("tasks", boost::json::array { task, task })) == "tasks[1].id");
    boost::json::object extended = task;
    extended["retry"] = true;
    CHECK(rejectedField(submissionWith("tasks", boost::json::array { extended })) == "tasks[0].retry");
    CHECK_FALSE(parseSubmission("[]"));
    CHECK_FALSE(parseSubmission(R"({"team":)"));
    CHECK(parseSubmission("{}").error().execution == Execution::NotRun);
}

// Guards against result bodies in the answer of a failed job, and against invalid JSON from binary result bodies.
TEST_CASE("only the answer of a complete job contains result bodies", "[Entry]")
{
    Ownership::JobEntry job { { 1, 2 }, 0, std::nullopt, 0, 2, Messages::JobState::Complete, { "a", "b" } };
    job.results = { { 0, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None, 200, "é" },
        { 1, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None, 200, "\xff\x01" } };
    const boost::json::object complete = boost::json::parse(makeJobAnswer(job).body).as_object();
    CHECK(complete.at("tasks").at(0).at("body") == "é");
    CHECK(complete.at("tasks").at(1).at("bodyBase64") == "/wE=");
    job.state = Messages::JobState::Failed;
    job.results[1].outcome = Messages::TaskOutcome::Unconfirmed;
    const boost::json::object failed = boost::json::parse(makeJobAnswer(job).body).as_object();
    CHECK_FALSE(failed.at("tasks").at(0).as_object().contains("body"));
    CHECK(failed.at("sums").at("unconfirmed") == 1);
}

// Guards against a Location header that does not identify the job.
TEST_CASE("percent-encoding of a job path is reversible", "[Entry]")
{
    const std::string name = "a/b %ü?";
    const std::string path = jobPath("t", "c", name);
    CHECK(decodePathSegment(path.substr(path.rfind('/') + 1)) == name);
    CHECK_FALSE(decodePathSegment("%4"));
    CHECK_FALSE(decodePathSegment("%zz"));
}
