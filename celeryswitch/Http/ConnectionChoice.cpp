#include "celeryswitch/Http/ConnectionChoice.h"

#include <algorithm>
#include <tuple>

namespace celeryswitch::Http {

namespace {

// Connections that were answered a moment ago are about to be used again.
constexpr Core::Duration shortestIdleTime = std::chrono::seconds(1);
// Part of the places that is released at first, and the time in which that part doubles.
constexpr std::size_t firstReleaseDivisor = 8;
constexpr Core::Duration releaseDoublingTime = std::chrono::milliseconds(250);

bool isIncomplete(ConnectionPhase phase)
{
    return phase == ConnectionPhase::Header || phase == ConnectionPhase::Body || phase == ConnectionPhase::Answering
        || phase == ConnectionPhase::Draining;
}

// The connection with the highest rank among those for which there is one.
template <typename RankOf>
std::optional<std::uint64_t> highest(const std::vector<ConnectionState>& connections, const RankOf& rankOf)
{
    const ConnectionState* best = nullptr;
    decltype(rankOf(connections.front())) bestRank;
    for (const ConnectionState& connection : connections) {
        const auto rank = rankOf(connection);
        if (!rank || (best && *rank <= *bestRank))
            continue;
        best = &connection;
        bestRank = rank;
    }
    return best ? std::optional<std::uint64_t>(best->number) : std::nullopt;
}

}

std::optional<std::uint64_t> connectionToFreeBytes(const std::vector<ConnectionState>& connections)
{
    using Rank = std::tuple<double, std::uint64_t>;
    return highest(connections, [](const ConnectionState& connection) -> std::optional<Rank> {
        if (!isIncomplete(connection.phase) || connection.heldBytes == 0)
            return std::nullopt;
        const double seconds = std::chrono::duration<double>(connection.stalledFor).count();
        return Rank { seconds * static_cast<double>(connection.heldBytes), connection.number };
    });
}

std::optional<std::uint64_t> connectionToReplace(const std::vector<ConnectionState>& connections)
{
    using Rank = std::tuple<bool, Core::Duration>;
    return highest(connections, [](const ConnectionState& connection) -> std::optional<Rank> {
        const bool isUnserved = connection.phase == ConnectionPhase::Silent || isIncomplete(connection.phase);
        const bool isLongIdle = connection.phase == ConnectionPhase::Idle && connection.stalledFor >= shortestIdleTime;
        if (!isUnserved && !isLongIdle)
            return std::nullopt;
        return Rank { isUnserved, connection.stalledFor };
    });
}

std::vector<std::uint64_t> connectionsToRelease(std::vector<ConnectionState> connections, std::size_t count)
{
    std::erase_if(connections, [](const ConnectionState& state) { return state.phase == ConnectionPhase::Closed; });
    std::sort(connections.begin(), connections.end(),
        [](const ConnectionState& left, const ConnectionState& right) { return left.number < right.number; });
    auto leaving = static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(), [](const auto& state) { return state.isLeaving; }));
    std::vector<std::uint64_t> released;
    for (const ConnectionState& state : connections) {
        if (leaving >= count)
            break;
        if (state.isLeaving)
            continue;
        released.push_back(state.number);
        ++leaving;
    }
    return released;
}

std::size_t releaseCount(std::size_t places, Core::Duration crowdedFor)
{
    std::size_t count = std::max<std::size_t>(1, places / firstReleaseDivisor);
    for (Core::Duration time = releaseDoublingTime; time <= crowdedFor && count < places; time += releaseDoublingTime)
        count *= 2;
    return std::min(count, places);
}

}
