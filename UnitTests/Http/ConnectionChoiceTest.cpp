#include "celeryswitch/Http/ConnectionChoice.h"
#include "celeryswitch/Http/ProcessLimits.h"
#include "celeryswitch/Http/ReceiveBudget.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Http;
using namespace std::chrono_literals;
using Phase = ConnectionPhase;

// Guards against a client with a large body that stands still and keeps its place while others are closed, and against
// a complete request that is dropped for an incomplete one.
TEST_CASE("the connection with the least progress for its bytes is closed first", "[Http]")
{
    std::vector<ConnectionState> open { { 1, Phase::Waiting, 900'000, 60s }, { 2, Phase::Body, 200'000, 2s },
        { 3, Phase::Body, 260'000, 3s }, { 4, Phase::Header, 300, 20s }, { 5, Phase::Idle, 0, 60s },
        { 6, Phase::Silent, 0, 60s }, { 7, Phase::Answering, 100'000, 4s } };
    std::vector<std::uint64_t> order;
    while (const auto next = connectionToFreeBytes(open)) {
        order.push_back(*next);
        std::erase_if(open, [&](const ConnectionState& state) { return state.number == *next; });
    }
    CHECK(order == std::vector<std::uint64_t> { 3, 7, 2, 4 });
}

// Guards against a decision that frees nothing when no connection has stalled yet.
TEST_CASE("among connections without a difference the newest is closed", "[Http]")
{
    CHECK(
        connectionToFreeBytes({ { 1, Phase::Body, 500, 0s }, { 2, Phase::Body, 900, 0s }, { 3, Phase::Body, 100, 0s } })
        == 3U);
    CHECK_FALSE(connectionToFreeBytes({}));
    CHECK_FALSE(connectionToFreeBytes({ { 1, Phase::Waiting, 500, 9s }, { 2, Phase::Closed, 500, 9s } }));
}

// Guards against silent and stalled connections that keep ordinary callers from connecting, and against the end of a
// connection that is in use.
TEST_CASE("a new connection replaces one that makes no progress", "[Http]")
{
    std::vector<ConnectionState> open { { 1, Phase::Waiting, 100, 60s }, { 2, Phase::Idle, 0, 50s },
        { 3, Phase::Idle, 0, 500ms }, { 4, Phase::Silent, 0, 2s }, { 5, Phase::Body, 100, 3s } };
    std::vector<std::uint64_t> order;
    while (const auto next = connectionToReplace(open)) {
        order.push_back(*next);
        std::erase_if(open, [&](const ConnectionState& state) { return state.number == *next; });
    }
    CHECK(order == std::vector<std::uint64_t> { 5, 4, 2 });
}

// Guards against newcomers that wait for ever behind connections that are served, and against one that is asked twice.
TEST_CASE("the oldest connections leave first when others wait for their places", "[Http]")
{
    const std::vector<ConnectionState> open { { 9, Phase::Idle, 0, 100ms }, { 2, Phase::Closed, 0, 9s },
        { 4, Phase::Waiting, 100, 3s }, { 3, Phase::Idle, 0, 100ms, true }, { 7, Phase::Idle, 0, 0ms } };
    CHECK(connectionsToRelease(open, 0).empty());
    CHECK(connectionsToRelease(open, 1).empty());
    CHECK(connectionsToRelease(open, 3) == std::vector<std::uint64_t> { 4, 7 });
    CHECK(connectionsToRelease(open, 100) == std::vector<std::uint64_t> { 4, 7, 9 });
    CHECK(releaseCount(64, 0ms) == 8);
    CHECK(releaseCount(64, 250ms) == 16);
    CHECK(releaseCount(64, 1h) == 64);
    CHECK(releaseCount(2, 0ms) == 1);
}

namespace {

struct FakeConnection final : BudgetedConnection {
    FakeConnection(ReceiveBudget& budget, Phase phase)
        : budget(budget)
        , phase(phase)
        , number(budget.add(*this))
    {
    }
    ~FakeConnection() { this->budget.remove(this->number); }
    FakeConnection(const FakeConnection&) = delete;
    FakeConnection& operator=(const FakeConnection&) = delete;
    ConnectionState state(std::chrono::steady_clock::time_point) const override
    {
        return { 0, this->phase, this->held, 1s };
    }
    void closeFor(CloseReason reason) override
    {
        this->phase = Phase::Closed;
        this->budget.countClosed(reason);
        this->hold(0);
    }
    void hold(std::size_t bytes) { this->budget.change(std::exchange(this->held, bytes), bytes); }

    ReceiveBudget& budget;
    Phase phase;
    std::size_t held = 0;
    std::uint64_t number;
};

}

// Guards against a budget that is exceeded by incomplete requests, and against one that leaves no place for an ordinary
// request beside large ones.
TEST_CASE("a budget is kept and leaves room for an ordinary request", "[Http]")
{
    ReceiveBudget budget(800'000);
    FakeConnection complete(budget, Phase::Waiting);
    complete.hold(400'000);
    FakeConnection first(budget, Phase::Body);
    first.hold(200'000);
    FakeConnection second(budget, Phase::Body);
    second.hold(250'000);
    CHECK(second.phase == Phase::Closed);
    CHECK(first.phase == Phase::Body);
    FakeConnection ordinary(budget, Phase::Header);
    first.hold(300'000);
    ordinary.hold(16'000);
    CHECK(ordinary.phase == Phase::Header);
    CHECK(budget.heldBytes() == 716'000);
    // Only complete requests are left: the newest incomplete one ends, also when that frees too little.
    complete.hold(900'000);
    CHECK(first.phase == Phase::Closed);
    CHECK(ordinary.phase == Phase::Closed);
    CHECK(complete.phase == Phase::Waiting);
    CHECK(budget.closedCount(CloseReason::ReceiveBudget) == 3);
}

// Guards against limits under which callers take the memory or the descriptors that the process needs itself.
TEST_CASE("limits follow from memory and descriptors", "[Http]")
{
    const ProcessLimits atMost { .connections = 3500, .readinessConnections = 64, .handshakes = 256 };
    const ProcessLimits small = deriveLimits({ 120 << 20, 3075, 0 }, atMost);
    CHECK(small.receiveBudgetBytes == 15 << 20);
    CHECK(small.jobBudgetBytes == 15 << 20);
    CHECK(deriveLimits({ 120 << 20, 3075, 0, 1 << 20 }, atMost).jobBudgetBytes == 1 << 20);
    CHECK(small.connections == 1536);
    CHECK(small.handshakes == 120);
    const ProcessLimits few = deriveLimits({ 64 << 20, 512, 0 }, atMost);
    CHECK(few.connections + few.readinessConnections + few.handshakes + 312 / 6 <= 312);
    const ProcessLimits large = deriveLimits({ std::size_t { 16 } << 30, 0, 1 << 20 }, atMost);
    CHECK(large.connections == 3500);
    CHECK(large.receiveBudgetBytes == 1 << 20);
    CHECK(deriveLimits({}, atMost).receiveBudgetBytes == machineMemoryBytes() / 8);
}
