#include "PerformanceTest/StatePerformance.h"

#include "UnitTests/State/StateGroup.h"
#include <algorithm>

namespace celeryswitch::PerformanceTest {

using State::BlockingClient;
using State::StateGroup;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int changeCount = 500;

double millisecondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
}

double percentile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Makes changes one after the other from `version` on; returns their times.
std::vector<double> makeChanges(BlockingClient& client, int& version, int count)
{
    std::vector<double> times;
    for (int index = 0; index < count; ++index) {
        const Clock::time_point begin = Clock::now();
        const auto reply = client.change("c" + std::to_string(version), version, 1 + version % 1000);
        times.push_back(millisecondsSince(begin));
        if (reply && reply.value().refusal == Messages::StateRefusal::None)
            ++version;
    }
    return times;
}

std::uint64_t messagesSent(const StateGroup& group)
{
    std::uint64_t sum = 0;
    for (const auto& [name, replica] : group.replicas)
        sum += replica->metrics().messagesSent;
    return sum;
}

// Commits over three replicas, with one of them down, and the way back of the lost one.
void measureCommits(std::vector<PerformanceCase>& cases)
{
    StateGroup group(3);
    BlockingClient client(group);
    int version = 0;
    makeChanges(client, version, 20);
    const std::uint64_t messagesBefore = messagesSent(group);
    const Clock::time_point begin = Clock::now();
    const std::vector<double> times = makeChanges(client, version, changeCount);
    // Two heartbeats and their answers each 100 ms go on beside the changes.
    const double heartbeats = millisecondsSince(begin) / 100 * 4;
    const double messages = static_cast<double>(messagesSent(group) - messagesBefore) - heartbeats;
    cases.push_back({ "change accepted, 3 replicas, p50", percentile(times, 0.5), "ms", {}, true });
    cases.push_back({ "change accepted, 3 replicas, p99", percentile(times, 0.99), "ms", {}, true });
    cases.push_back({ "messages between replicas a change", messages / changeCount, "messages", 4.2, true });

    const std::string leader = group.waitForLeader();
    const std::string follower = leader == "state-0" ? "state-1" : "state-0";
    group.stop(follower);
    const std::vector<double> without = makeChanges(client, version, 200);
    cases.push_back({ "change accepted, one replica down, p50", percentile(without, 0.5), "ms", {}, true });
    const std::uint64_t commitIndex = group.replicas[leader]->metrics().commitIndex;
    const Clock::time_point restart = Clock::now();
    group.start(follower);
    StateGroup::waitUntil([&] { return group.replicas[follower]->metrics().appliedIndex >= commitIndex; });
    cases.push_back(
        { "returning replica has caught up after 200 changes", millisecondsSince(restart), "ms", {}, true });
}

// A single replica that begins again with 500 changes in its log.
void measureRestart(std::vector<PerformanceCase>& cases)
{
    StateGroup group(1);
    BlockingClient client(group);
    int version = 0;
    makeChanges(client, version, changeCount);
    group.stop("state-0");
    const Clock::time_point begin = Clock::now();
    group.start("state-0");
    StateGroup::waitUntil([&] { return group.replicas["state-0"]->metrics().configurationVersion >= changeCount; });
    cases.push_back(
        { "restart with 500 changes in the log until they are in force", millisecondsSince(begin), "ms", 200, true });
}

// Time from the loss of the leader to the first accepted change, several times.
void measureLeaderLoss(std::vector<PerformanceCase>& cases)
{
    StateGroup group(3);
    BlockingClient client(group);
    int version = 0;
    std::vector<double> times;
    for (int round = 0; round < 10; ++round) {
        makeChanges(client, version, 1);
        const std::string leader = group.waitForLeader();
        const Clock::time_point begin = Clock::now();
        group.stop(leader);
        makeChanges(client, version, 1);
        times.push_back(millisecondsSince(begin));
        group.start(leader);
        StateGroup::waitUntil([&] {
            return group.replicas[leader]->metrics().configurationVersion >= static_cast<std::uint64_t>(version);
        });
    }
    cases.push_back(
        { "leader lost until a change is accepted, median of 10", percentile(times, 0.5), "ms", 2000, true });
    cases.push_back(
        { "leader lost until a change is accepted, longest of 10", percentile(times, 1), "ms", 2000, true });
}

/// Messages and round trips that an accepted change costs over `replicas` replicas, counted from the protocol. Of
/// `writers` operators that write at once only one wins a round; the others begin anew.
struct CountedCost {
    double messages = 0;
    double roundTrips = 0;
};

// The leader orders the changes: one request and one answer for each other replica, whoever else writes.
CountedCost countLeaderLog(int replicas, int) { return { 2.0 * (replicas - 1), 1 }; }

// Compare-and-set register over a quorum: read the newest version and write the next, each at every replica. A loser
// repeats both; the i-th of `writers` needs i attempts.
CountedCost countRegister(int replicas, int writers)
{
    const double attempts = (writers + 1) / 2.0;
    return { attempts * 4.0 * replicas, attempts * 2 };
}

// Leaderless log: each change asks every replica to accept it in a slot (one round without rivals), and a contested
// slot takes one more round of promises and one of acceptance for each rival.
CountedCost countLeaderlessLog(int replicas, int writers)
{
    const double contestedRounds = (writers - 1) / 2.0 * 2;
    return { (1 + contestedRounds) * 2.0 * replicas, 1 + contestedRounds };
}

void countAlternatives(std::vector<PerformanceCase>& cases)
{
    constexpr double changesPerDay = 7100;
    for (int writers : { 1, 4 }) {
        const std::string suffix = ", 3 replicas, " + std::to_string(writers) + " writers at once (counted)";
        const auto add = [&](const char* name, const CountedCost& cost) {
            cases.push_back(
                { std::string(name) + " a day" + suffix, cost.messages * changesPerDay, "messages", {}, true });
            cases.push_back({ std::string(name) + " a change" + suffix, cost.roundTrips, "trips", {}, true });
        };
        add("leader log", countLeaderLog(3, writers));
        add("quorum register", countRegister(3, writers));
        add("leaderless log", countLeaderlessLog(3, writers));
    }
}

}

std::vector<PerformanceCase> stateCases()
{
    std::vector<PerformanceCase> cases;
    measureCommits(cases);
    measureRestart(cases);
    measureLeaderLoss(cases);
    countAlternatives(cases);
    return cases;
}

}
