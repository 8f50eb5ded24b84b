#include "celeryswitch/Http/ReceiveBudget.h"

namespace celeryswitch::Http {

namespace {

constexpr std::chrono::seconds reportInterval { 1 };

}

ReceiveBudget::ReceiveBudget(std::size_t limitBytes)
    : limit(limitBytes)
{
}

std::uint64_t ReceiveBudget::add(BudgetedConnection& connection)
{
    this->connections[++this->lastNumber] = &connection;
    return this->lastNumber;
}

void ReceiveBudget::change(std::size_t before, std::size_t after)
{
    std::size_t total = this->held.load(std::memory_order_relaxed) + after - before;
    this->held.store(total, std::memory_order_relaxed);
    const std::size_t allowed = after > ordinaryBytes ? this->limit / 8 * 7 : this->limit;
    if (after <= before || total <= allowed)
        return;
    // A connection that is closed gives its bytes back, which calls this function again with fewer bytes.
    for (std::vector<ConnectionState> open = this->states(); this->heldBytes() > allowed;) {
        const std::optional<std::uint64_t> number = connectionToFreeBytes(open);
        if (!number)
            return;
        this->connections.at(*number)->closeFor(CloseReason::ReceiveBudget);
        std::erase_if(open, [&](const ConnectionState& state) { return state.number == *number; });
    }
}

void ReceiveBudget::countClosed(CloseReason reason)
{
    this->closed[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    const auto now = std::chrono::steady_clock::now();
    if (!this->report || now < this->reportedAt + reportInterval)
        return;
    this->reportedAt = now;
    CloseCounts counts {};
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const std::uint64_t total = this->closed[index].load(std::memory_order_relaxed);
        counts[index] = total - std::exchange(this->reported[index], total);
    }
    this->report(counts, this->heldBytes());
}

std::uint64_t ReceiveBudget::closedCount(CloseReason reason) const
{
    return this->closed[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
}

std::vector<ConnectionState> ReceiveBudget::states() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<ConnectionState> result;
    result.reserve(this->connections.size());
    for (const auto& [number, connection] : this->connections) {
        result.push_back(connection->state(now));
        result.back().number = number;
    }
    return result;
}

}
