#pragma once

#include "UnitTests/State/GroupModel.h"
#include <catch2/catch.hpp>

namespace celeryswitch::State {

/// Time for which the machines of a group model are away in the final fault.
inline constexpr Core::Duration downTime = std::chrono::milliseconds(950);
/// Time in which a group has to recover from it.
inline constexpr Core::Duration recoveryTime = std::chrono::seconds(12);

/// Machines of a group, by address.
using Machines = std::vector<std::string>;

inline std::string addressOf(int number) { return "10.0.0." + std::to_string(number) + ":1"; }

/// Settings whose seeds are the first three machines; `toleratedLosses` is 0 for unknown.
inline GroupModelSettings modelSettings(std::uint32_t toleratedLosses, std::uint64_t seed = 1)
{
    GroupModelSettings settings;
    settings.seed = seed;
    settings.seeds = { addressOf(1), addressOf(2), addressOf(3) };
    settings.toleratedLosses = toleratedLosses;
    return settings;
}

/// Starts the machines 1 to `size` for the first time, and waits for their group.
inline Machines startGroup(GroupModel& model, int size)
{
    Machines machines;
    for (int number = 1; number <= size; ++number) {
        machines.push_back(addressOf(number));
        model.start(machines.back(), true);
    }
    REQUIRE(model.runUntil([&] { return model.isWhole(); }, std::chrono::seconds(10)));
    REQUIRE(model.voters() == machines);
    return machines;
}

/// All machines lose power, those in `lost` also their disks, and come back.
inline void endInFault(GroupModel& model, const Machines& machines, const Machines& lost)
{
    for (const std::string& address : machines)
        model.kill(address);
    for (const std::string& address : lost)
        model.loseDisk(address);
    model.run(downTime);
    for (const std::string& address : machines)
        model.start(address, false);
}

}
