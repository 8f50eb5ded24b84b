#include "celeryswitch/State/GroupKeeper.h"
#include "UnitTests/State/GroupFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::State;
using namespace std::chrono_literals;

namespace {

// Time from the last change of the machines to the final fault.
constexpr Core::Duration calmTime = 12s;

/// Replacements of machines, and the machines whose disks the final fault takes.
struct Replacements {
    int size = 3;
    int count = 0;
    /// Whether the new machine starts before the old one leaves.
    bool isPlanned = true;
    bool isSimultaneous = true;
    std::uint32_t toleratedLosses = 0;
};

// Carries out replacements of the last machines. Later starts know addresses of the machines of that moment.
void replaceMachines(GroupModel& model, Machines& machines, const Replacements& plan)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (int index = 0; index < plan.count; ++index) {
        std::string& old = machines[machines.size() - 1 - static_cast<std::size_t>(index)];
        pairs.emplace_back(old, addressOf(100 + index));
        old = pairs.back().second;
    }
    model.setSeeds({ machines[0], machines[1], machines[2] });
    const std::size_t batch = plan.isSimultaneous ? pairs.size() : 1;
    for (std::size_t begin = 0; begin < pairs.size(); begin += batch) {
        for (std::size_t index = begin; index < begin + batch; ++index) {
            if (plan.isPlanned)
                model.start(pairs[index].second, false);
            else
                model.loseDisk(pairs[index].first);
        }
        model.run(plan.isPlanned ? 6s : 2s);
        for (std::size_t index = begin; index < begin + batch; ++index) {
            if (plan.isPlanned)
                model.loseDisk(pairs[index].first);
            else
                model.start(pairs[index].second, false);
        }
        model.run(calmTime);
    }
}

// Every choice of `count` of the numbers below `size`.
std::vector<std::vector<std::size_t>> choices(std::size_t size, std::size_t count)
{
    std::vector<std::vector<std::size_t>> result;
    for (std::size_t first = 0; first < size; ++first) {
        if (count == 1)
            result.push_back({ first });
        for (std::size_t second = first + 1; count == 2 && second < size; ++second)
            result.push_back({ first, second });
    }
    return result;
}

void checkReplacements(const Replacements& plan)
{
    const std::size_t losses = plan.size == 3 ? 1 : 2;
    std::uint64_t seed = 0;
    for (const std::vector<std::size_t>& choice : choices(static_cast<std::size_t>(plan.size), losses)) {
        INFO("size " << plan.size << ", count " << plan.count << ", planned " << plan.isPlanned << ", simultaneous "
                     << plan.isSimultaneous << ", stated losses " << plan.toleratedLosses << ", lost " << choice.front()
                     << " and " << choice.back());
        GroupModel model(modelSettings(plan.toleratedLosses, ++seed));
        Machines machines = startGroup(model, plan.size);
        REQUIRE(model.put());
        replaceMachines(model, machines, plan);
        // What is permanently gone doesn't count.
        CHECK(model.isWhole());
        REQUIRE(model.put());
        Machines lost;
        for (const std::size_t index : choice)
            lost.push_back(machines[index]);
        endInFault(model, machines, lost);
        CHECK(model.runUntil([&] { return model.versionAtLeader().has_value(); }, recoveryTime));
        CHECK(model.versionAtLeader().value_or(0) == model.confirmedVersion());
        CHECK(model.put());
        CHECK(model.runUntil([&] { return model.isWhole(); }, recoveryTime));
        CHECK(model.violation() == "");
    }
}

}

// Guards against voters that are gone for good and still count, so that the losses that the group has to tolerate leave
// no majority (review case 6).
TEST_CASE("replaced voters stop counting before the tolerated losses occur", "[State][keeper]")
{
    for (const int size : { 3, 5 }) {
        for (const bool isPlanned : { true, false }) {
            for (const int count : { 1, 2 }) {
                for (const bool isSimultaneous : { true, false }) {
                    if (count == 1 && !isSimultaneous)
                        continue;
                    // Three replicas do not tolerate two losses at once.
                    if (size == 3 && !isPlanned && count == 2 && isSimultaneous)
                        continue;
                    checkReplacements({ size, count, isPlanned, isSimultaneous, size == 3 ? 1U : 2U });
                }
            }
        }
    }
}

// Guards against voters that are gone for good where the settings do not name the tolerated losses.
TEST_CASE("replaced voters of a group of five stop counting without stated losses", "[State][keeper]")
{
    for (const bool isPlanned : { true, false }) {
        checkReplacements({ 5, 2, isPlanned, true, 0 });
        checkReplacements({ 5, 2, isPlanned, false, 0 });
    }
}

// Guards against a group that shrinks when two of five are out of reach, so that confirmed entries are on two disks
// only and are lost with these two.
TEST_CASE("a group of five with two silent voters keeps its size", "[State][keeper]")
{
    for (const std::uint32_t losses : { 0U, 2U }) {
        for (const bool isFrozen : { false, true }) {
            GroupModel model(modelSettings(losses));
            const Machines machines = startGroup(model, 5);
            Machines silent;
            for (const std::string& address : machines) {
                if (address != model.leader() && silent.size() < 2)
                    silent.push_back(address);
            }
            for (const std::string& address : silent) {
                if (isFrozen)
                    model.setFrozen(address, true);
                else
                    model.setPart(address, 1);
            }
            model.run(30s);
            REQUIRE(model.voters() == machines);
            REQUIRE(model.put());
            Machines lost;
            for (const std::string& address : machines) {
                const bool isReached = std::find(silent.begin(), silent.end(), address) == silent.end();
                if (isReached && lost.size() < 2)
                    lost.push_back(address);
                model.setPart(address, 0);
            }
            // The two that were out of reach return as the disks of two others are lost.
            endInFault(model, machines, lost);
            CHECK(model.runUntil([&] { return model.versionAtLeader().has_value(); }, recoveryTime));
            CHECK(model.versionAtLeader().value_or(0) == model.confirmedVersion());
            CHECK(model.violation() == "");
        }
    }
}

// Guards against a removed replica that returns and deposes the leader, or that stays outside the group.
TEST_CASE("a removed replica that returns joins again without a new term", "[State][keeper]")
{
    for (const bool isFrozen : { false, true }) {
        GroupModel model(modelSettings(2));
        const Machines machines = startGroup(model, 6);
        Machines silent;
        for (const std::string& address : machines) {
            if (address != model.leader() && silent.empty())
                silent.push_back(address);
        }
        if (isFrozen)
            model.setFrozen(silent.front(), true);
        else
            model.setPart(silent.front(), 1);
        REQUIRE(model.runUntil([&] { return model.voters().size() == 5; }, 10s));
        REQUIRE(model.put());
        const std::string leader = model.leader();
        const Consensus::Term term = model.term();
        model.setFrozen(silent.front(), false);
        model.setPart(silent.front(), 0);
        REQUIRE(model.runUntil([&] { return model.isWhole(); }, 10s));
        REQUIRE(model.put());
        CHECK(model.voters() == machines);
        CHECK(model.leader() == leader);
        CHECK(model.term() == term);
        CHECK(model.violation() == "");
    }
}

// Guards against a frozen leader that continues, and removes or confirms anything as if it still led.
TEST_CASE("a leader that was frozen follows its successor", "[State][keeper]")
{
    GroupModel model(modelSettings(2));
    const Machines machines = startGroup(model, 6);
    const std::string frozen = model.leader();
    model.setFrozen(frozen, true);
    REQUIRE(model.runUntil([&] { return model.voters().size() == 5; }, 15s));
    REQUIRE(model.put());
    const Consensus::Term term = model.term();
    model.setFrozen(frozen, false);
    REQUIRE(model.runUntil([&] { return model.isWhole() && model.leader() != frozen; }, 10s));
    REQUIRE(model.put());
    CHECK(model.versionAtLeader() == model.confirmedVersion());
    CHECK(model.term() == term);
    CHECK(model.violation() == "");
}

// Guards against a new leader that takes replicas that are still starting for gone.
TEST_CASE("replicas that start again after different times stay in the group", "[State][keeper]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        GroupModel model(modelSettings(2, seed));
        const Machines machines = startGroup(model, 7);
        for (const std::string& address : machines)
            model.kill(address);
        model.run(downTime);
        for (int index = 0; index < 5; ++index)
            model.start(machines[static_cast<std::size_t>(index)], false);
        bool wasChanged = false;
        model.runUntil(
            [&] {
                wasChanged = wasChanged || (!model.leader().empty() && model.voters() != machines);
                return false;
            },
            4s);
        CHECK_FALSE(wasChanged);
        model.start(machines[5], false);
        model.start(machines[6], false);
        model.run(5s);
        CHECK(model.isWhole());
        CHECK(model.violation() == "");
    }
}

// Guards against confirmed versions that are lost, and groups that never recover, when replicas are killed, frozen, cut
// off, replaced or lose their disks at random times, never more at once than the group has to tolerate. Each seed ends
// in the final fault.
TEST_CASE("a kept group loses nothing under random faults within its tolerance", "[State][keeper][explorer]")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        const std::uint32_t losses = 1 + static_cast<std::uint32_t>(seed % 2);
        GroupModel model(modelSettings(losses, seed));
        Machines machines = startGroup(model, static_cast<int>(2 * losses + 1));
        int nextNumber = 100;
        for (int round = 0; round < 6; ++round) {
            // The first machines are affected; their order changes with each round.
            for (std::size_t index = machines.size() - 1; index > 0; --index)
                std::swap(machines[index], machines[model.random(static_cast<std::uint32_t>(index) + 1)]);
            const std::uint32_t affected = 1 + model.random(losses);
            const std::uint32_t kind = model.random(6);
            for (std::uint32_t number = 0; number < affected; ++number) {
                std::string& machine = machines[number];
                if (kind == 0) {
                    model.setPart(machine, 1);
                } else if (kind == 1) {
                    model.setFrozen(machine, true);
                } else if (kind == 2) {
                    model.loseDisk(machine);
                    model.run(std::chrono::milliseconds(model.random(1000)));
                    model.start(machine, false);
                } else if (kind == 3) {
                    // Planned or unplanned replacement at another address.
                    const std::string old = machine;
                    machine = addressOf(nextNumber++);
                    model.setSeeds({ machines[0], machines[1], machines[2] });
                    const bool isPlanned = model.random(2) == 0;
                    if (isPlanned)
                        model.start(machine, false);
                    else
                        model.loseDisk(old);
                    model.run(isPlanned ? 6s : 2s);
                    if (isPlanned)
                        model.loseDisk(old);
                    else
                        model.start(machine, false);
                } else if (kind == 4) {
                    model.kill(machine);
                }
            }
            if (kind == 5) {
                for (const std::string& machine : machines)
                    model.kill(machine);
                model.run(downTime);
                for (const std::string& machine : machines)
                    model.start(machine, false);
            }
            model.run(std::chrono::milliseconds(model.random(8000)));
            CHECK(model.put());
            for (const std::string& machine : machines) {
                model.setPart(machine, 0);
                model.setFrozen(machine, false);
                model.start(machine, false);
            }
            CHECK(model.runUntil([&] { return model.isWhole(); }, 15s));
            REQUIRE(model.violation() == "");
        }
        REQUIRE(model.put());
        endInFault(model, machines, Machines(machines.begin(), machines.begin() + losses));
        CHECK(model.runUntil([&] { return model.versionAtLeader().has_value(); }, recoveryTime));
        CHECK(model.versionAtLeader().value_or(0) == model.confirmedVersion());
        REQUIRE(model.violation() == "");
    }
}
