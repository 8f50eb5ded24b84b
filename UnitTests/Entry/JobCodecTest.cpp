#include "celeryswitch/Entry/JobCodec.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Entry;

namespace {

// A valid submission with one member replaced, or removed by an undefined value.
std::string changed(const std::string& name, const std::optional<boost::json::value>& value)
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

std::string fieldOf(const std::string& body)
{
    const ParsedSubmission parsed = parseSubmission(body);
    return parsed ? "accepted" : parsed.error().field;
}

}

// Guards against a submission that is run although a part of it was not understood.
TEST_CASE("a wrong submission is refused with the path of the field", "[Entry]")
{
    REQUIRE(parseSubmission(changed("deadlineMs", 7)).value().deadlineMilliseconds == 7);
    REQUIRE(parseSubmission(changed("urgency", std::nullopt)).value().urgency == Messages::Urgency::Normal);
    CHECK(fieldOf(changed("team", std::nullopt)) == "team");
    CHECK(fieldOf(changed("caller", "")) == "caller");
    CHECK(fieldOf(changed("kind", 3)) == "kind");
    CHECK(fieldOf(changed("service", boost::json::string(std::string(300, 'x')))) == "service");
    CHECK(fieldOf(changed("createdAt", -1)) == "createdAt");
    CHECK(fieldOf(changed("createdAt", 1.5)) == "createdAt");
    CHECK(fieldOf(changed("deadlineMs", -5)) == "deadlineMs");
    CHECK(fieldOf(changed("declaredRunMs", std::uint64_t(1) << 63)) == "declaredRunMs");
    CHECK(fieldOf(changed("urgency", "soon")) == "urgency");
    CHECK(fieldOf(changed("idempotent", 1)) == "idempotent");
    CHECK(fieldOf(changed("priority", 1)) == "priority");
    CHECK(fieldOf(changed("tasks", boost::json::array())) == "tasks");
    CHECK(fieldOf(changed("tasks", boost::json::array(2001))) == "tasks");
    CHECK(fieldOf(changed("tasks", boost::json::array { 1 })) == "tasks[0]");
    const boost::json::object task { { "id", "a" }, { "payload", "x" } };
    CHECK(fieldOf(changed("tasks", boost::json::array { task, task })) == "tasks[1].id");
    boost::json::object extended = task;
    extended["retry"] = true;
    CHECK(fieldOf(changed("tasks", boost::json::array { extended })) == "tasks[0].retry");
    CHECK_FALSE(parseSubmission("[]"));
    CHECK_FALSE(parseSubmission(R"({"team":)"));
    CHECK(parseSubmission("{}").error().execution == Execution::NotRun);
}

// Guards against a partial answer, and against result bytes that are not valid in JSON.
TEST_CASE("only a complete answer carries bodies", "[Entry]")
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

// Guards against a Location that does not lead back to the job.
TEST_CASE("names survive the way through a path", "[Entry]")
{
    const std::string name = "a/b %ü?";
    const std::string path = jobPath("t", "c", name);
    CHECK(decodePathPart(path.substr(path.rfind('/') + 1)) == name);
    CHECK_FALSE(decodePathPart("%4"));
    CHECK_FALSE(decodePathPart("%zz"));
}
