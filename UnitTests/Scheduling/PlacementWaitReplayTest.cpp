#include "celeryswitch/Experiment/LeasedFleet.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;
using namespace celeryswitch::Scheduling;

namespace {

/// Jobs of the replayed load.
struct ReplayTasks {
    double seconds = 0;
    double tasks = 0;
    double milliCores = 0;
    /// Length of a run that has enough jobs.
    double replaySeconds = 0;
};

const std::vector<ReplayTasks> replayTasks { { 0.06, 8, 2800, 4 }, { 0.2, 2, 2900, 4 }, { 0.9, 4, 2900, 20 } };

/// Load of a replay.
struct Replay {
    ReplayTasks tasks;
    double farFactor = 1;
    double load = 0;
    bool isRackFailing = false;
    std::uint64_t seed = 1;
};

struct Policy {
    std::string name;
    /// Whether entries know the far factor; if not, the constant cost of a far worker applies.
    bool isFactorKnown = true;
    PlacementWaitPolicy wait;
};

PlacementWaitDecision neverWait(const PlacementWaitQuery&)
{
    PlacementWaitDecision decision;
    decision.reason = PlacementWaitReason::EarlierElsewhere;
    return decision;
}

PlacementWaitDecision alwaysWait(const PlacementWaitQuery& query)
{
    PlacementWaitDecision decision;
    decision.isWaiting = query.places.nearWaitSeconds > 0;
    decision.reason = decision.isWaiting ? PlacementWaitReason::EarlierNear : PlacementWaitReason::RoomNear;
    decision.longestSeconds = std::max(0.0, query.callerTimeoutSeconds);
    return decision;
}

std::vector<Policy> policies()
{
    return { { "decision", true, decidePlacementWait }, { "constant", false, neverWait }, { "never", true, neverWait },
        { "always", true, alwaysWait } };
}

// 12 workers in four racks. Three tenths of the work prefer the first rack, which has a quarter of the room.
LeasedOptions makeOptions(const Replay& replay, const Policy& policy)
{
    constexpr double meanSpeed = (1 + 0.8 + 1.3) / 3;
    constexpr double rackShare = 0.3;
    // Mean time of a job's tasks / time of its longest.
    constexpr double meanTaskShare = 0.87;
    LeasedOptions options;
    options.seed = replay.seed;
    options.workers = 12;
    options.racks = 4;
    options.workerClasses = { { 32'000, 1 }, { 32'000, 0.8 }, { 32'000, 1.3 } };
    options.duration
        = std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(replay.tasks.replaySeconds));
    options.farFactor = replay.farFactor;
    options.knownFarFactor = policy.isFactorKnown ? replay.farFactor : 1;
    options.placementWait = policy.wait;
    const double rate = replay.load * static_cast<double>(options.workers) * 32'000 * meanSpeed
        / (replay.tasks.seconds * replay.tasks.tasks * replay.tasks.milliCores * meanTaskShare);
    LeasedJobKind kind;
    kind.name = "rack";
    kind.jobsPerSecond = rate * rackShare;
    kind.meanSeconds = replay.tasks.seconds;
    kind.meanTasks = replay.tasks.tasks;
    kind.milliCores = replay.tasks.milliCores;
    kind.dataRack = "rack-0";
    options.kinds.push_back(kind);
    kind.name = "any";
    kind.jobsPerSecond = rate * (1 - rackShare);
    kind.dataRack.clear();
    options.kinds.push_back(kind);
    if (replay.isRackFailing) {
        options.cutOffRack = "rack-0";
        options.cutOff = { options.duration / 4, options.duration / 4 };
    }
    return options;
}

/// Results of some seeds together.
struct ReplayResult {
    std::uint64_t submitted = 0;
    std::uint64_t inTime = 0;
    std::uint64_t rackSubmitted = 0;
    std::uint64_t rackInTime = 0;
    std::uint64_t tasksNear = 0;
    std::uint64_t tasksFar = 0;
    std::uint64_t waits = 0;
    std::uint64_t fallbacks = 0;
    std::vector<double> responses;

    double share() const { return static_cast<double>(this->inTime) / static_cast<double>(this->submitted); }
    double rackShare() const
    {
        return static_cast<double>(this->rackInTime) / static_cast<double>(this->rackSubmitted);
    }
    // Quantile of the response times of jobs that prefer the rack, in milliseconds.
    double quantile(double share)
    {
        std::sort(this->responses.begin(), this->responses.end());
        const auto index = static_cast<std::size_t>(share * static_cast<double>(this->responses.size()));
        return this->responses.empty() ? 0 : this->responses[std::min(index, this->responses.size() - 1)] * 1000;
    }
};

ReplayResult play(Replay replay, const Policy& policy, std::uint64_t seeds)
{
    ReplayResult sum;
    for (replay.seed = 1; replay.seed <= seeds; ++replay.seed) {
        const LeasedResult result = LeasedFleet(makeOptions(replay, policy)).run();
        REQUIRE(result.violations.empty());
        for (const LeasedKindResult& kind : result.kinds) {
            sum.submitted += kind.submitted;
            sum.inTime += kind.inTime;
        }
        const LeasedKindResult& rack = result.kinds.front();
        sum.rackSubmitted += rack.submitted;
        sum.rackInTime += rack.inTime;
        sum.responses.insert(sum.responses.end(), rack.responses.begin(), rack.responses.end());
        sum.tasksNear += result.tasksNear;
        sum.tasksFar += result.tasksFar;
        sum.waits += result.rackWaits;
        sum.fallbacks += result.rackWaitFallbacks;
    }
    return sum;
}

std::uint64_t seedCount()
{
    const char* value = std::getenv("CELERYSWITCH_WAIT_REPLAYS");
    return value ? std::strtoull(value, nullptr, 10) : 1;
}

// Replays a load with each policy, prints the results and compares the shares in time.
void compare(const Replay& replay)
{
    constexpr double allowedLoss = 0.03;
    double best = 0;
    double decided = 0;
    for (const Policy& policy : policies()) {
        ReplayResult result = play(replay, policy, seedCount());
        std::printf("| %.0f ms | %.1f | %.0f %%%s | %s | %.3f | %.3f | %.0f | %.0f | %llu | %llu | %llu | %llu |\n",
            replay.tasks.seconds * 1000, replay.farFactor, replay.load * 100,
            replay.isRackFailing ? ", rack fails" : "", policy.name.c_str(), result.share(), result.rackShare(),
            result.quantile(0.5), result.quantile(0.99), static_cast<unsigned long long>(result.tasksNear),
            static_cast<unsigned long long>(result.tasksFar), static_cast<unsigned long long>(result.waits),
            static_cast<unsigned long long>(result.fallbacks));
        if (policy.name == "decision")
            decided = result.share();
        else
            best = std::max(best, result.share());
    }
    INFO("tasks of " << replay.tasks.seconds << " s, factor " << replay.farFactor << ", load " << replay.load
                     << (replay.isRackFailing ? ", rack fails" : ""));
    CHECK(decided >= best - allowedLoss);
}

void compareLoads(const ReplayTasks& tasks, double factor)
{
    for (const double load : { 0.6, 0.8, 0.95 })
        compare({ tasks, factor, load, false, 1 });
}

// Actions of the entries in a run, as text.
std::vector<std::string> actionsOf(LeasedOptions options)
{
    std::vector<std::string> actions;
    options.actionObserver = [&](Core::SteadyTime now, std::size_t entry, const SchedulerAction& action) {
        std::string text = std::to_string(now.time_since_epoch().count()) + " " + std::to_string(entry) + " ";
        if (const auto* answer = std::get_if<AnswerRequest>(&action)) {
            text += "answer " + std::to_string(answer->request) + " " + std::string(Core::enumName(answer->answer.kind))
                + " " + std::to_string(answer->answer.retryAfter.count()) + " " + answer->answer.reason;
        } else {
            const auto& send = std::get<SendToSidecar>(action);
            text += send.sidecar + " message " + std::to_string(send.message.index());
            const auto add = [&text](const Messages::StartRuns& start) {
                text += " order " + std::to_string(start.order) + " job " + Messages::jobText(start.job) + " rank "
                    + std::to_string(start.rank) + " expected " + std::to_string(start.expectedMilliseconds);
                for (const auto& [index, run] : start.tasks)
                    text += " " + std::to_string(index) + "/" + std::to_string(run);
            };
            if (const auto* start = std::get_if<Messages::StartRuns>(&send.message))
                add(*start);
            else if (const auto* reserved = std::get_if<Messages::StartReserved>(&send.message))
                add(reserved->start);
            else if (const auto* reserve = std::get_if<Messages::ReserveRoom>(&send.message))
                text += " reservation " + std::to_string(reserve->reservation) + " units "
                    + std::to_string(reserve->units) + " within " + std::to_string(reserve->startWithinMicroseconds);
        }
        actions.push_back(std::move(text));
    };
    REQUIRE(LeasedFleet(options).run().violations.empty());
    return actions;
}

}

// Guards against a decision that loses more jobs than the best of the constant, never waiting and always waiting.
TEST_CASE("waits for a rack pay off for tasks of 60 ms and factor 1.5", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[0], 1.5);
}

TEST_CASE("waits for a rack pay off for tasks of 60 ms and factor 2", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[0], 2);
}

TEST_CASE("waits for a rack pay off for tasks of 60 ms and factor 3", "[Scheduling][placement-wait][fleet]")
{
    for (const double load : { 0.6, 0.8 })
        compare({ replayTasks[0], 3, load, false, 1 });
}

TEST_CASE(
    "waits for a rack pay off for tasks of 60 ms and factor 3 at 95 % load", "[Scheduling][placement-wait][fleet]")
{
    compare({ replayTasks[0], 3, 0.95, false, 1 });
}

TEST_CASE("waits for a rack pay off for tasks of 200 ms and factor 1.5", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[1], 1.5);
}

TEST_CASE("waits for a rack pay off for tasks of 200 ms and factor 2", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[1], 2);
}

TEST_CASE("waits for a rack pay off for tasks of 200 ms and factor 3", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[1], 3);
}

TEST_CASE("waits for a rack pay off for tasks of 900 ms and factor 1.5", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[2], 1.5);
}

TEST_CASE("waits for a rack pay off for tasks of 900 ms and factor 2", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[2], 2);
}

TEST_CASE("waits for a rack pay off for tasks of 900 ms and factor 3", "[Scheduling][placement-wait][fleet]")
{
    compareLoads(replayTasks[2], 3);
}

// With a factor of 1 all policies are the constant.
TEST_CASE("waits for a rack pay off for a factor of 1", "[Scheduling][placement-wait][fleet]")
{
    for (const ReplayTasks& tasks : replayTasks)
        compare({ tasks, 1, 0.95, false, 1 });
}

// Guards against tasks that wait for a rack whose sidecars are out of contact.
TEST_CASE("waits for a rack that fails pay off for tasks of 60 ms", "[Scheduling][placement-wait][fleet]")
{
    compare({ replayTasks[0], 2, 0.8, true, 1 });
}

TEST_CASE("waits for a rack that fails pay off for tasks of 200 ms", "[Scheduling][placement-wait][fleet]")
{
    compare({ replayTasks[1], 2, 0.8, true, 1 });
}

TEST_CASE("waits for a rack that fails pay off for tasks of 900 ms", "[Scheduling][placement-wait][fleet]")
{
    compare({ replayTasks[2], 2, 0.8, true, 1 });
}

// Guards against changed decisions where no step names a rack: all actions of the entries are the same with and without
// a far factor.
TEST_CASE("a far factor changes nothing for steps without a rack", "[Scheduling][placement-wait][fleet]")
{
    Replay replay { replayTasks[1], 1, 0.9, false, 3 };
    const Policy constant { "constant", false, neverWait };
    LeasedOptions options = makeOptions(replay, constant);
    options.kinds[0].dataRack.clear();
    options.faults.workerCrashes = 10;
    options.faults.degradedWorkers = 30;
    options.faults.linkCuts = 20;
    const std::vector<std::string> expected = actionsOf(options);
    options.knownFarFactor = 3;
    options.placementWait = alwaysWait;
    REQUIRE(expected.size() > 1000);
    REQUIRE(actionsOf(options) == expected);
}

// Guards against waits and learned factors where the factor is 1 although steps name a rack: the constant cost applies,
// and the decision to wait is never asked.
TEST_CASE("with a far factor of 1 the decision to wait is not asked", "[Scheduling][placement-wait][fleet]")
{
    Replay replay { replayTasks[1], 2, 0.9, false, 3 };
    LeasedOptions options = makeOptions(replay, { "constant", false, neverWait });
    options.duration = std::chrono::seconds(2);
    const std::vector<std::string> expected = actionsOf(options);
    options.placementWait = [](const PlacementWaitQuery&) -> PlacementWaitDecision {
        FAIL("the decision was asked");
        return {};
    };
    REQUIRE(actionsOf(options) == expected);
}
