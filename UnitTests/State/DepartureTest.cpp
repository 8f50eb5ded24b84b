// State replicas that stop in order, and what the group can lose right afterwards.
#include "UnitTests/State/GroupFixture.h"

using namespace celeryswitch;
using namespace celeryswitch::State;
using namespace std::chrono_literals;

namespace {

// Time between the start of a new machine and the end of the one that it replaces.
constexpr Core::Duration overlapTime = 6s;

// Settings of a group that bears the loss of less than half of `size` machines.
GroupModelSettings settingsOf(std::size_t size, std::uint64_t seed)
{
    return modelSettings(static_cast<std::uint32_t>(size / 2), seed);
}

// Starts new machines and adds them to `machines`.
void addMachines(GroupModel& model, Machines& machines, std::size_t count)
{
    model.setSeeds({ machines[0], machines[1], machines[2] });
    for (std::size_t index = 0; index < count; ++index) {
        machines.push_back(addressOf(100 + static_cast<int>(index)));
        model.start(machines.back(), false);
    }
    model.run(overlapTime);
    REQUIRE(model.isWhole());
}

bool areStopped(GroupModel& model, const Machines& machines)
{
    return std::none_of(
        machines.begin(), machines.end(), [&](const std::string& address) { return model.isRunning(address); });
}

// Plays the final fault and checks that nothing confirmed is lost.
void checkFinalFault(GroupModel& model, const Machines& machines, const Machines& lost)
{
    model.setSeeds({ machines[0], machines[1], machines[2] });
    endInFault(model, machines, lost);
    CHECK(model.runUntil([&] { return model.versionAtLeader().has_value(); }, recoveryTime));
    CHECK(model.versionAtLeader().value_or(0) == model.confirmedVersion());
    CHECK(model.put());
    CHECK(model.runUntil([&] { return model.isWhole(); }, recoveryTime));
    CHECK(model.violation() == "");
}

// Planned replacements whose old machines stop at the same moment, followed at once by the final fault. `stopped` are
// indexes of the old machines, `lost` those of the machines that remain.
void checkReplacement(std::size_t size, const std::vector<std::size_t>& stopped, const std::vector<std::size_t>& lost,
    std::uint64_t seed, bool isPutMeanwhile)
{
    INFO("size " << size << ", stopped " << stopped.front() << " and " << stopped.back() << ", lost " << lost.front()
                 << " and " << lost.back() << ", seed " << seed << ", put meanwhile " << isPutMeanwhile);
    GroupModel model(settingsOf(size, seed));
    Machines machines = startGroup(model, static_cast<int>(size));
    REQUIRE(model.put());
    addMachines(model, machines, stopped.size());
    Machines leaving;
    for (const std::size_t index : stopped)
        leaving.push_back(machines[index]);
    for (const std::string& address : leaving) {
        std::erase(machines, address);
        model.stop(address);
    }
    if (isPutMeanwhile)
        CHECK(model.put());
    CHECK(model.runUntil([&] { return areStopped(model, leaving); }, 4s));
    for (const std::string& address : leaving)
        model.loseDisk(address);
    Machines taken;
    for (const std::size_t index : lost)
        taken.push_back(machines[index]);
    checkFinalFault(model, machines, taken);
}

}

// Guards against voters that are gone for good and still count while nobody has noticed their silence: the losses that
// the group has to tolerate right afterwards leave no majority, or none that holds what was confirmed.
TEST_CASE("replicas that stop in order do not count any more when they end", "[State][keeper]")
{
    std::uint64_t seed = 0;
    for (const bool isPutMeanwhile : { false, true }) {
        for (std::size_t first = 0; first < 5; ++first) {
            for (std::size_t second = first + 1; second < 5; ++second)
                checkReplacement(5, { first, second }, { first, second }, ++seed, isPutMeanwhile);
        }
        for (std::size_t lost = 0; lost < 3; ++lost) {
            checkReplacement(3, { lost }, { lost }, ++seed, isPutMeanwhile);
            checkReplacement(3, { lost, (lost + 1) % 3 }, { lost }, ++seed, isPutMeanwhile);
        }
    }
}

// Guards against an order of changes that does not end at the intended size when more replicas are replaced at a time
// than may be lost.
TEST_CASE("three of five replicas that are replaced at once stop counting", "[State][keeper]")
{
    std::uint64_t seed = 100;
    for (std::size_t first = 0; first < 5; ++first) {
        for (std::size_t lost = 0; lost < 4; ++lost)
            checkReplacement(5, { first, (first + 1) % 5, (first + 2) % 5 }, { lost, lost + 1 }, ++seed, true);
    }
}

// Guards against a new replica that dies before the one that it replaces stops: the group must bear the tolerated
// losses when the next new one has caught up.
TEST_CASE("a replacement that dies before the old replica stops is replaced in turn", "[State][keeper]")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        GroupModel model(settingsOf(3, seed));
        Machines machines = startGroup(model, 3);
        REQUIRE(model.put());
        addMachines(model, machines, 1);
        model.loseDisk(machines.back());
        machines.pop_back();
        model.run(std::chrono::milliseconds(model.random(4000)));
        const std::string leaving = machines[seed % 3];
        std::erase(machines, leaving);
        model.stop(leaving);
        CHECK(model.runUntil([&] { return !model.isRunning(leaving); }, 4s));
        model.loseDisk(leaving);
        model.setSeeds({ machines[0], machines[1] });
        machines.push_back(addressOf(200));
        model.start(machines.back(), false);
        model.run(4s);
        REQUIRE(model.put());
        checkFinalFault(model, machines, { machines[(seed / 3) % 3] });
    }
}

// Guards against a replica that stops while it is being added, and holds up the group or its own end.
TEST_CASE("a replica that departs while it is added leaves the group as it was", "[State][keeper]")
{
    for (int number = 0; number < 30; ++number) {
        INFO("stopped " << 10 * number << " ms after its start");
        GroupModel model(settingsOf(3, static_cast<std::uint64_t>(number) + 1));
        const Machines machines = startGroup(model, 3);
        const std::string added = addressOf(100);
        model.start(added, false);
        model.run(std::chrono::milliseconds(10 * number));
        model.stop(added);
        CHECK(model.runUntil([&] { return !model.isRunning(added); }, 3100ms));
        CHECK(model.runUntil([&] { return model.isWhole(); }, 5s));
        CHECK(model.voters() == machines);
        CHECK(model.put());
        CHECK(model.violation() == "");
    }
}

// Guards against a restart that takes a replica out of a group that needs it, or that waits for nothing.
TEST_CASE("a replica of a group without spare voters stops at once and stays in it", "[State][keeper]")
{
    for (const std::size_t size : { 3U, 5U }) {
        for (std::size_t index = 0; index < size; ++index) {
            GroupModel model(settingsOf(size, index + 1));
            const Machines machines = startGroup(model, static_cast<int>(size));
            REQUIRE(model.put());
            const std::string stopped = machines[index];
            const bool wasLeader = model.leader() == stopped;
            model.stop(stopped);
            CHECK(model.runUntil([&] { return !model.isRunning(stopped); }, 200ms));
            REQUIRE(model.runUntil([&] { return !model.leader().empty(); }, 5s));
            CHECK(model.voters() == machines);
            const Consensus::Term term = model.term();
            model.start(stopped, false);
            CHECK(model.runUntil([&] { return model.isWhole(); }, 5s));
            CHECK(model.put());
            CHECK((wasLeader || model.term() == term));
            CHECK(model.violation() == "");
        }
    }
}

// Guards against a replica that gave up its vote, starts again and stays outside the group, and against a group that
// shrinks below what the tolerated losses require when many stop at once.
TEST_CASE("replicas that stopped in order join again when they start", "[State][keeper]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        GroupModel model(settingsOf(5, seed));
        Machines machines = startGroup(model, 5);
        addMachines(model, machines, 2);
        // Three of seven: two give up their votes, the third is still needed.
        const Machines stopped { machines[seed % 7], machines[(seed + 2) % 7], machines[(seed + 4) % 7] };
        for (const std::string& address : stopped)
            model.stop(address);
        CHECK(model.runUntil([&] { return areStopped(model, stopped); }, 4s));
        REQUIRE(model.runUntil([&] { return !model.leader().empty(); }, 5s));
        CHECK(model.voters().size() == 5);
        CHECK(model.put());
        for (const std::string& address : stopped)
            model.start(address, false);
        CHECK(model.runUntil([&] { return model.isWhole(); }, recoveryTime));
        CHECK(model.voters().size() == 7);
        CHECK(model.violation() == "");
    }
}

// Guards against a process that does not end because nobody leads the group.
TEST_CASE("a departing replica without a leader ends in time", "[State][keeper]")
{
    GroupModel model(settingsOf(3, 1));
    Machines machines = startGroup(model, 3);
    addMachines(model, machines, 1);
    for (const std::string& address : machines)
        model.setPart(address, address == machines[0] ? 1 : 2);
    model.run(2s);
    model.stop(machines[0]);
    CHECK(model.runUntil([&] { return !model.isRunning(machines[0]); }, 3100ms));
    CHECK(model.violation() == "");
}

// Guards against confirmed versions that are lost, and groups that never recover, when replicas depart at random times
// while others are killed, frozen or cut off, never more at once than the group has to tolerate.
TEST_CASE("departures beside random faults lose nothing", "[State][keeper][explorer]")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        const std::size_t losses = 1 + seed % 2;
        GroupModel model(settingsOf(2 * losses + 1, seed));
        Machines machines = startGroup(model, static_cast<int>(2 * losses + 1));
        int nextNumber = 100;
        for (int round = 0; round < 4; ++round) {
            for (std::size_t index = machines.size() - 1; index > 0; --index)
                std::swap(machines[index], machines[model.random(static_cast<std::uint32_t>(index) + 1)]);
            const std::size_t replaced = 1 + model.random(static_cast<std::uint32_t>(losses));
            model.setSeeds({ machines[0], machines[1], machines[2] });
            Machines leaving(machines.begin(), machines.begin() + static_cast<std::ptrdiff_t>(replaced));
            for (std::size_t index = 0; index < replaced; ++index) {
                machines[index] = addressOf(nextNumber++);
                model.start(machines[index], false);
            }
            model.run(overlapTime);
            // One machine that stays is disturbed while the others depart.
            const std::string disturbed = model.random(2) == 0 ? machines.back() : model.leader();
            const bool isDisturbed = std::find(leaving.begin(), leaving.end(), disturbed) == leaving.end();
            const std::uint32_t kind = isDisturbed ? model.random(4) : 0;
            if (kind == 1)
                model.kill(disturbed);
            else if (kind == 2)
                model.setFrozen(disturbed, true);
            else if (kind == 3)
                model.setPart(disturbed, 1);
            for (const std::string& address : leaving) {
                model.stop(address);
                model.run(std::chrono::milliseconds(model.random(500)));
            }
            CHECK(model.put());
            CHECK(model.runUntil([&] { return areStopped(model, leaving); }, 4s));
            for (const std::string& address : leaving)
                model.loseDisk(address);
            if (kind == 0)
                continue;
            model.setFrozen(disturbed, false);
            model.setPart(disturbed, 0);
            model.start(disturbed, false);
            CHECK(model.runUntil([&] { return model.isWhole(); }, 15s));
            REQUIRE(model.violation() == "");
        }
        REQUIRE(model.put());
        checkFinalFault(
            model, machines, Machines(machines.begin(), machines.begin() + static_cast<std::ptrdiff_t>(losses)));
        REQUIRE(model.violation() == "");
    }
}

// Guards against a voter that is gone for good and still counts when its successor has had its time to catch up,
// because it led: its silence was awaited for longer under the next leader.
TEST_CASE("a lost leader stops counting while its successor catches up", "[State][keeper]")
{
    for (const std::size_t size : { 3U, 5U }) {
        const Core::Duration catchUpTime = size == 3 ? 4s : 6s;
        const std::size_t losses = size / 2;
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            INFO("size " << size << ", seed " << seed);
            GroupModel model(settingsOf(size, seed));
            Machines machines = startGroup(model, static_cast<int>(size));
            model.run(std::chrono::milliseconds(model.random(3000)));
            REQUIRE(model.put());
            Machines gone { model.leader() };
            for (const std::string& address : machines) {
                if (gone.size() < losses && address != gone.front())
                    gone.push_back(address);
            }
            for (const std::string& address : gone) {
                std::erase(machines, address);
                model.loseDisk(address);
            }
            model.run(1s);
            for (std::size_t index = 0; index < losses; ++index) {
                machines.push_back(addressOf(100 + static_cast<int>(index)));
                model.setSeeds({ machines[0], machines[1], machines.back() });
                model.start(machines.back(), false);
            }
            model.run(catchUpTime);
            REQUIRE(model.put());
            Machines lost;
            for (std::size_t index = 0; index < losses; ++index)
                lost.push_back(machines[(seed + index) % size]);
            checkFinalFault(model, machines, lost);
        }
    }
}
