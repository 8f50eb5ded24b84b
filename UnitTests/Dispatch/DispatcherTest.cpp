#include "celeryswitch/Dispatch/Dispatcher.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Dispatch;

namespace {

const Core::SteadyTime start { std::chrono::seconds(10) };

SidecarInfo sidecar(const std::string& sidecarId) { return { sidecarId, "loans", "a", "r1", 8 }; }

JobDescription job(std::uint64_t number, std::uint32_t taskCount)
{
    JobDescription description;
    description.jobId = { 1, number };
    description.service = "loans";
    description.kind = "lamp-checkout";
    description.team = "counter";
    description.taskCount = taskCount;
    return description;
}

// Number of tasks started by a list of decisions.
std::size_t startedTasks(const std::vector<Decision>& decisions)
{
    std::size_t count = 0;
    for (const Decision& decision : decisions) {
        if (const auto* started = std::get_if<StartDecision>(&decision))
            count += started->taskIndexes.size();
    }
    return count;
}

}

// Guards against starts without a credit, and against starting a task twice.
TEST_CASE("the dispatcher starts no more tasks than it holds credits", "[Dispatch]")
{
    Dispatcher dispatcher({});
    dispatcher.addSidecar(start, sidecar("s1"));
    REQUIRE(dispatcher.submit(start, job(1, 3)).isAccepted);
    REQUIRE(dispatcher.poll(start).empty());
    dispatcher.creditsGranted(start, "s1", 2);
    REQUIRE(startedTasks(dispatcher.poll(start)) == 2);
    REQUIRE(startedTasks(dispatcher.poll(start)) == 0);
    REQUIRE(dispatcher.backlog("loans").queuedTasks == 1);
    dispatcher.creditsGranted(start, "s1", 2);
    REQUIRE(startedTasks(dispatcher.poll(start)) == 1);
}

// Guards against a job of an unknown service that waits indefinitely.
TEST_CASE("a job of a service that no sidecar offers is refused at once", "[Dispatch]")
{
    Dispatcher dispatcher({});
    const AdmissionResult result = dispatcher.submit(start, job(1, 1));
    REQUIRE_FALSE(result.isAccepted);
    REQUIRE(result.reason == Messages::TaskReason::NoSuchService);
}

// Guards against cancelled tasks that still start or still count in the backlog.
TEST_CASE("a cancelled job starts nothing and leaves the backlog", "[Dispatch]")
{
    Dispatcher dispatcher({});
    dispatcher.addSidecar(start, sidecar("s1"));
    REQUIRE(dispatcher.submit(start, job(1, 4)).isAccepted);
    dispatcher.creditsGranted(start, "s1", 1);
    REQUIRE(startedTasks(dispatcher.poll(start)) == 1);
    REQUIRE(dispatcher.cancelJob(start, { 1, 1 }).size() == 3);
    REQUIRE(dispatcher.backlog("loans").queuedTasks == 0);
    dispatcher.creditsGranted(start, "s1", 4);
    REQUIRE(startedTasks(dispatcher.poll(start)) == 0);
}

// Guards against losing a task whose sidecar reported that it did not run.
TEST_CASE("a task that was not run starts again after its backoff", "[Dispatch]")
{
    Dispatcher dispatcher({});
    dispatcher.addSidecar(start, sidecar("s1"));
    REQUIRE(dispatcher.submit(start, job(1, 1)).isAccepted);
    dispatcher.creditsGranted(start, "s1", 2);
    REQUIRE(startedTasks(dispatcher.poll(start)) == 1);
    REQUIRE(dispatcher.taskNotRun(start, "s1", { { 1, 1 }, 0 }, Messages::TaskReason::NoCredit));
    REQUIRE(dispatcher.nextWakeUp().has_value());
    REQUIRE(startedTasks(dispatcher.poll(*dispatcher.nextWakeUp())) == 1);
}

// Guards against an entry without credits that never requests any: with all slots in use through another entry it sees
// no capacity, counts its tasks as above their share and reports no waiting tasks.
TEST_CASE("an entry without credits reports that its tasks wait and asks for credits", "[Dispatch]")
{
    constexpr double idleRank = 1e6;
    for (const std::uint32_t taskCount : { 1U, 24U, 200U }) {
        Dispatcher dispatcher({});
        dispatcher.addSidecar(start, sidecar("s1"));
        REQUIRE(dispatcher.submit(start, job(1, taskCount)).isAccepted);
        REQUIRE(dispatcher.backlog("loans").queuedTasks == taskCount);
        REQUIRE(dispatcher.backlog("loans").bestRank < idleRank);
        bool hasAsked = false;
        for (int step = 0; step < 20 && !hasAsked; ++step) {
            for (const Decision& decision : dispatcher.poll(start + std::chrono::milliseconds(100 * step)))
                hasAsked = hasAsked || std::holds_alternative<CreditReturnDecision>(decision);
        }
        REQUIRE(hasAsked);
    }
}
