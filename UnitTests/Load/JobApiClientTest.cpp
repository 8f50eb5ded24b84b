#include "celeryswitch/Load/JobApiClient.h"
#include "celeryswitch/Load/FleetProbe.h"
#include "celeryswitch/Load/JobCheck.h"
#include "celeryswitch/Load/Workload.h"
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using Load::AnswerMeaning;

namespace {

const std::string endedBody
    = R"({"jobId":"1","state":"failed","tasks":[{"index":0,"id":"a","outcome":"succeeded","reason":"none","status":200,)"
      R"("runMicroseconds":5},{"index":1,"id":"b","outcome":"unconfirmed","reason":"sidecar-lost","status":0}],)"
      R"("sums":{"submitted":2,"succeeded":1,"failed":0,"unconfirmed":1,"neverStarted":0}})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

Load::LoadSettings settingsOfOneKind()
{
    Load::LoadSettings settings;
    settings.workload.service.name = "ordering";
    settings.workload.kinds.push_back({ .name = "quote" });
    settings.entries = { "127.0.0.1:1", "127.0.0.1:2" };
    return settings;
}

}

// Guards against a load tool that takes a refusal for an answer, or the other way round.
TEST_CASE("an entry's answers are told apart", "[Load]")
{
    const Load::EntryAnswer ended = Load::parseAnswer({ 200, {}, endedBody });
    REQUIRE(ended.meaning == AnswerMeaning::Ended);
    REQUIRE(ended.job.state == Messages::JobState::Failed);
    REQUIRE(ended.job.results.at(1).reason == Messages::TaskReason::SidecarLost);
    REQUIRE(Load::parseAnswer({ 202, {}, R"({"state":"running"})" }).meaning == AnswerMeaning::Running);
    REQUIRE(Load::parseAnswer({ 503, { { "Retry-After", "2" } }, R"({"execution":"not-run"})" }).meaning
        == AnswerMeaning::NotRun);
    REQUIRE(Load::parseAnswer({ 409, {}, R"({"execution":"may-have-run"})" }).meaning == AnswerMeaning::MayHaveRun);
    REQUIRE(Load::parseAnswer({ 404, {}, R"({"execution":"unknown-job"})" }).meaning == AnswerMeaning::UnknownJob);
}

// Guards against partial answers and wrong sums that count as whole.
TEST_CASE("partial and inconsistent answers are malformed", "[Load]")
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { "\"index\":1", "\"index\":0" },
             { "\"submitted\":2", "\"submitted\":3" }, { "sidecar-lost", "lost" }, { "\"tasks\"", "\"task\"" },
             { "\"state\":\"failed\"", "\"state\":\"done\"" } }) {
        INFO(to);
        REQUIRE(Load::parseAnswer({ 200, {}, replaced(endedBody, from, to) }).meaning == AnswerMeaning::Malformed);
    }
    REQUIRE(Load::parseAnswer({ 503, {}, "{}" }).meaning == AnswerMeaning::Malformed);
    REQUIRE(Load::parseAnswer({ 503, {}, R"({"execution":"ended"})" }).meaning == AnswerMeaning::Malformed);
}

// Guards against a decoder that throws or crashes on damaged answers. Seeds 1 to 3000.
TEST_CASE("damaged answers never crash the decoder", "[Load]")
{
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        std::mt19937 generator(seed);
        std::string text = endedBody;
        for (std::uint32_t edits = generator() % 8 + 1; edits > 0; --edits) {
            text[generator() % text.size()] = static_cast<char>(generator() % 256);
            text.insert(generator() % text.size(), text.substr(generator() % text.size(), generator() % 9));
        }
        REQUIRE_NOTHROW(Load::parseAnswer({ 200, {}, text }));
        REQUIRE_NOTHROW(Load::metricSum(text, "sums"));
    }
}

// Guards against a workload parser that throws or crashes on damaged files. Seeds 1 to 2000.
TEST_CASE("damaged workload files never crash the parser", "[Load]")
{
    const std::string file
        = "[service]\nname = \"ordering\"\nworkers = 11\nslotsPerWorker = 8\n[[kind]]\nname = \"a\"\n"
          "distribution = { type = \"log-uniform\", minimumMs = 50, maximumMs = 200 }\n"
          "jobSizes = [{ tasks = 1, weight = 1000 }]\n[[phase]]\nname = \"p\"\nloadPercent = 50\n";
    for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        std::mt19937 generator(seed);
        std::string text = file;
        for (std::uint32_t edits = generator() % 8 + 1; edits > 0; --edits) {
            text[generator() % text.size()] = static_cast<char>(generator() % 256);
            text.erase(generator() % text.size(), generator() % 9);
        }
        REQUIRE_NOTHROW(Load::parseWorkload(text, "workload.toml"));
    }
}

// Guards against checks that pass when an answer belongs to another request or lacks results.
TEST_CASE("answers of other requests and partial answers are found", "[Load]")
{
    const Load::LoadSettings settings = settingsOfOneKind();
    const Load::LoadJob job = Load::makeJob(settings, { {}, 0, { 100, 200 } }, 1, "run-1", 5);
    REQUIRE(job.ideal == std::chrono::milliseconds(200));
    REQUIRE(job.submission.tasks.at(1).payload == R"({"serviceMs":200,"echo":"run-1-1"})");
    Load::LoadTally tally;
    tally.kinds.resize(1);
    Messages::JobAnswer answer { {}, Messages::JobState::Complete,
        { { 0, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None, 200, R"({"echo":"run-1-0"})" },
            { 1, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None, 200, R"({"echo":"run-1-1"})" } } };
    Load::countEnded(job, answer, std::chrono::milliseconds(300), tally);
    REQUIRE(tally.wrongAnswers.empty());
    REQUIRE(tally.brokenAnswers.empty());
    REQUIRE(tally.kinds[0].ratios.at(0) == Approx(1.5));
    answer.results[1].body = R"({"echo":"run-2-1"})";
    Load::countEnded(job, answer, {}, tally);
    REQUIRE(tally.wrongAnswers.size() == 1);
    answer.results.pop_back();
    Load::countEnded(job, answer, {}, tally);
    REQUIRE(tally.brokenAnswers.size() == 1);
    REQUIRE(tally.kinds[0].outcomes.total() == 6);
}
