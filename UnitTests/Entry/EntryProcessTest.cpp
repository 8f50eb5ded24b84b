#include "celeryswitch/Entry/EntryProcess.h"
#include "EntryFleet.h"
#include <thread>

using namespace celeryswitch;
using namespace celeryswitch::Entry;
using namespace std::chrono_literals;

namespace {

const Http::HttpHeaders waitHeaders { { "Prefer", "wait=10" } };
const std::string jobsPath = "/v1/teams/sales/callers/till%201/jobs/";

}

// Guards against tasks that are lost, run twice or get each other's results between entry, sidecar and endpoint.
TEST_CASE("a resubmission returns the stored answer without running the tasks again", "[Entry][threads]")
{
    EntryFleet fleet(1);
    EntryProcess& entry = *fleet.entries[0];
    const std::string body = EntryFleet::makeSubmission("k1", { "a", "b", "error" });
    const Http::HttpResponse first = EntryFleet::sendRequest(entry, "POST", "/v1/jobs", body, waitHeaders);
    REQUIRE(first.statusCode == 200);
    const boost::json::object answer = EntryFleet::parse(first);
    CHECK(answer.at("state") == "complete");
    CHECK(answer.at("tasks").at(0).at("id") == "t0");
    CHECK(answer.at("tasks").at(0).at("body") == "a");
    CHECK(answer.at("tasks").at(2).at("status") == 500);
    CHECK(answer.at("sums").at("failed") == 1);
    CHECK(answer.at("sums").at("succeeded") == 2);
    CHECK(EntryFleet::sendRequest(entry, "POST", "/v1/jobs", body, waitHeaders).body == first.body);
    CHECK(EntryFleet::sendRequest(entry, "GET", jobsPath + "k1").body == first.body);
    CHECK(fleet.endpoint.requestCount() == 3);
    CHECK(EntryFleet::sendRequest(entry, "POST", "/v1/jobs", EntryFleet::makeSubmission("k1", { "x" })).statusCode
        == 422);
    const Http::HttpResponse unknown = EntryFleet::sendRequest(entry, "GET", jobsPath + "k2");
    CHECK(unknown.statusCode == 404);
    CHECK(EntryFleet::parse(unknown).at("execution") == "unknown-job");
}

// Guards against a submission that runs at an entry other than the owner, or whose answer is not relayed.
TEST_CASE("an entry forwards a submission to the owner of its partition", "[Entry][threads]")
{
    EntryFleet fleet(2);
    const std::string body = EntryFleet::makeSubmission("k1", { "a" });
    REQUIRE(EntryFleet::sendRequest(*fleet.entries[0], "POST", "/v1/jobs", body, waitHeaders).statusCode == 200);
    const Http::HttpResponse answer = EntryFleet::sendRequest(*fleet.entries[1], "POST", "/v1/jobs", body, waitHeaders);
    CHECK(answer.statusCode == 200);
    CHECK(EntryFleet::parse(answer).at("state") == "complete");
    CHECK(fleet.endpoint.requestCount() == 1);
    CHECK(fleet.entries[1]->snapshot().heldPartitions == 0);
}

// Guards against a stop that aborts a running request, or after which the new owner can't return the job's result.
TEST_CASE("a graceful stop waits for running jobs and releases the partition", "[Entry][threads]")
{
    EntryFleet fleet(2);
    EntryProcess& entry = *fleet.entries[0];
    Http::HttpResponse answer;
    std::thread caller([&] {
        answer = EntryFleet::sendRequest(
            entry, "POST", "/v1/jobs", EntryFleet::makeSubmission("k1", { "wait", "b" }), waitHeaders);
    });
    REQUIRE(State::StateGroup::waitUntil([&] { return entry.snapshot().counters.tasksStarted == 2; }));
    std::atomic<bool> isStopped { false };
    std::thread stopper([&] { isStopped = entry.stop(20s); });
    // Submissions that arrive before the stop are still accepted, so each needs a new key.
    int number = 1;
    const auto submitNext = [&] {
        const std::string body = EntryFleet::makeSubmission("k" + std::to_string(++number), { "c" });
        return EntryFleet::sendRequest(entry, "POST", "/v1/jobs", body);
    };
    Http::HttpResponse refusal;
    const bool isRefused = State::StateGroup::waitUntil([&] { return (refusal = submitNext()).statusCode == 503; });
    INFO(refusal.statusCode << " " << refusal.body);
    REQUIRE(isRefused);
    CHECK(EntryFleet::parse(refusal).at("execution") == "not-run");
    CHECK(Http::retryAfterSeconds(refusal) > 0);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/readyz").statusCode == 503);
    CHECK_FALSE(isStopped);
    fleet.endpoint.release();
    caller.join();
    stopper.join();
    CHECK(isStopped);
    CHECK(EntryFleet::parse(answer).at("state") == "complete");
    const Http::HttpResponse finalAnswer
        = EntryFleet::sendRequest(*fleet.entries[1], "GET", jobsPath + "k1", {}, waitHeaders);
    CHECK(finalAnswer.statusCode == 200);
    CHECK(EntryFleet::parse(finalAnswer).at("state") == "complete");
}

// Guards against accepting oversized requests, and requests without a token or with one of the wrong role.
TEST_CASE("token roles and request size limits are enforced", "[Entry][threads]")
{
    EntryFleet fleet(0);
    EntryProcess& entry
        = fleet.addEntry({ { "caller-token", TokenRole::Caller }, { "op-token", TokenRole::Operator } });
    const Http::HttpHeaders caller { { "Authorization", "Bearer caller-token" } };
    const Http::HttpHeaders operatorHeaders { { "Authorization", "Bearer op-token" } };
    CHECK(EntryFleet::sendRequest(entry, "GET", jobsPath + "k").statusCode == 401);
    CHECK(EntryFleet::sendRequest(entry, "GET", jobsPath + "k", {}, { { "Authorization", "Bearer other-token" } })
              .statusCode
        == 401);
    CHECK(EntryFleet::sendRequest(entry, "GET", jobsPath + "k", {}, caller).statusCode == 404);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/metrics", {}, caller).statusCode == 401);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/metrics", {}, operatorHeaders).statusCode == 200);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/healthz").statusCode == 200);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/readyz").statusCode == 200);
    CHECK(EntryFleet::sendRequest(entry, "PUT", "/v1/jobs", {}, caller).statusCode == 405);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/v2", {}, caller).statusCode == 404);
    CHECK(EntryFleet::sendRequest(entry, "POST", "/v1/jobs", std::string(2'000'000, ' '), caller).statusCode == 413);
    CHECK(EntryFleet::sendRequest(entry, "GET", "/healthz", {}, { { "X-Long", std::string(20'000, 'x') } }).statusCode
        == 431);
}
