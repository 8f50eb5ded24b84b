#include "celeryswitch/Entry/EntryProcess.h"
#include "EntryFleet.h"
#include <thread>

using namespace celeryswitch;
using namespace celeryswitch::Entry;
using namespace std::chrono_literals;

namespace {

const Http::HttpHeaders wait { { "Prefer", "wait=10" } };
const std::string path = "/v1/teams/sales/callers/till%201/jobs/";

}

// Guards against a chain of processes that loses tasks, repeats them, or mixes up their results.
TEST_CASE("a submission runs once and its answer is kept", "[Entry][threads]")
{
    EntryFleet fleet(1);
    EntryProcess& entry = *fleet.entries[0];
    const std::string body = EntryFleet::submission("k1", { "a", "b", "error" });
    const Http::HttpResponse first = EntryFleet::ask(entry, "POST", "/v1/jobs", body, wait);
    REQUIRE(first.statusCode == 200);
    const boost::json::object answer = EntryFleet::parse(first);
    CHECK(answer.at("state") == "complete");
    CHECK(answer.at("tasks").at(0).at("id") == "t0");
    CHECK(answer.at("tasks").at(0).at("body") == "a");
    CHECK(answer.at("tasks").at(2).at("status") == 500);
    CHECK(answer.at("sums").at("failed") == 1);
    CHECK(answer.at("sums").at("succeeded") == 2);
    CHECK(EntryFleet::ask(entry, "POST", "/v1/jobs", body, wait).body == first.body);
    CHECK(EntryFleet::ask(entry, "GET", path + "k1").body == first.body);
    CHECK(fleet.endpoint.requestCount() == 3);
    CHECK(EntryFleet::ask(entry, "POST", "/v1/jobs", EntryFleet::submission("k1", { "x" })).statusCode == 422);
    const Http::HttpResponse unknown = EntryFleet::ask(entry, "GET", path + "k2");
    CHECK(unknown.statusCode == 404);
    CHECK(EntryFleet::parse(unknown).at("execution") == "unknown-job");
}

// Guards against a submission at the wrong entry that runs there, or whose answer does not come back.
TEST_CASE("an entry forwards to the partition's owner", "[Entry][threads]")
{
    EntryFleet fleet(2);
    const std::string body = EntryFleet::submission("k1", { "a" });
    REQUIRE(EntryFleet::ask(*fleet.entries[0], "POST", "/v1/jobs", body, wait).statusCode == 200);
    const Http::HttpResponse answer = EntryFleet::ask(*fleet.entries[1], "POST", "/v1/jobs", body, wait);
    CHECK(answer.statusCode == 200);
    CHECK(EntryFleet::parse(answer).at("state") == "complete");
    CHECK(fleet.endpoint.requestCount() == 1);
    CHECK(fleet.entries[1]->snapshot().heldPartitions == 0);
}

// Guards against a stop that cuts off a request in progress or leaves the partition's answers behind.
TEST_CASE("a graceful stop ends running jobs and hands the partition over", "[Entry][threads]")
{
    EntryFleet fleet(2);
    EntryProcess& entry = *fleet.entries[0];
    Http::HttpResponse answer;
    std::thread caller([&] {
        answer = EntryFleet::ask(entry, "POST", "/v1/jobs", EntryFleet::submission("k1", { "wait", "b" }), wait);
    });
    REQUIRE(State::StateGroup::waitUntil([&] { return entry.snapshot().counters.tasksStarted == 2; }));
    std::atomic<bool> isStopped { false };
    std::thread stopper([&] { isStopped = entry.stop(20s); });
    // Submissions that arrive before the stop are still accepted, so each has its own key.
    int number = 1;
    const auto refused = [&] {
        const std::string body = EntryFleet::submission("k" + std::to_string(++number), { "c" });
        return EntryFleet::ask(entry, "POST", "/v1/jobs", body);
    };
    Http::HttpResponse refusal;
    const bool isRefused = State::StateGroup::waitUntil([&] { return (refusal = refused()).statusCode == 503; });
    INFO(refusal.statusCode << " " << refusal.body);
    REQUIRE(isRefused);
    CHECK(EntryFleet::parse(refusal).at("execution") == "not-run");
    CHECK(Http::retryAfterSeconds(refusal) > 0);
    CHECK(EntryFleet::ask(entry, "GET", "/readyz").statusCode == 503);
    CHECK_FALSE(isStopped);
    fleet.endpoint.release();
    caller.join();
    stopper.join();
    CHECK(isStopped);
    CHECK(EntryFleet::parse(answer).at("state") == "complete");
    const Http::HttpResponse kept = EntryFleet::ask(*fleet.entries[1], "GET", path + "k1", {}, wait);
    CHECK(kept.statusCode == 200);
    CHECK(EntryFleet::parse(kept).at("state") == "complete");
}

// Guards against open doors: requests without a token, or with one of the wrong role, and oversized ones.
TEST_CASE("tokens and limits are enforced", "[Entry][threads]")
{
    EntryFleet fleet(0);
    EntryProcess& entry
        = fleet.addEntry({ { "caller-token", TokenRole::Caller }, { "op-token", TokenRole::Operator } });
    const Http::HttpHeaders caller { { "Authorization", "Bearer caller-token" } };
    const Http::HttpHeaders operators { { "Authorization", "Bearer op-token" } };
    CHECK(EntryFleet::ask(entry, "GET", path + "k").statusCode == 401);
    CHECK(
        EntryFleet::ask(entry, "GET", path + "k", {}, { { "Authorization", "Bearer other-token" } }).statusCode == 401);
    CHECK(EntryFleet::ask(entry, "GET", path + "k", {}, caller).statusCode == 404);
    CHECK(EntryFleet::ask(entry, "GET", "/metrics", {}, caller).statusCode == 401);
    CHECK(EntryFleet::ask(entry, "GET", "/metrics", {}, operators).statusCode == 200);
    CHECK(EntryFleet::ask(entry, "GET", "/healthz").statusCode == 200);
    CHECK(EntryFleet::ask(entry, "GET", "/readyz").statusCode == 200);
    CHECK(EntryFleet::ask(entry, "PUT", "/v1/jobs", {}, caller).statusCode == 405);
    CHECK(EntryFleet::ask(entry, "GET", "/v2", {}, caller).statusCode == 404);
    CHECK(EntryFleet::ask(entry, "POST", "/v1/jobs", std::string(2'000'000, ' '), caller).statusCode == 413);
    CHECK(EntryFleet::ask(entry, "GET", "/healthz", {}, { { "X-Long", std::string(20'000, 'x') } }).statusCode == 431);
}
