#include "celeryswitch/Dispatch/CreditAllocator.h"
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using Dispatch::CreditAllocator;

namespace {

const Core::SteadyTime start { std::chrono::seconds(100) };
// Backlog of an entry without waiting tasks.
const Messages::Backlog emptyBacklog { 0, 1e6 };

// Credits grantedCredits to an entry.
std::uint32_t grantedCredits(const std::vector<Dispatch::CreditChange>& changes, const std::string& entryId)
{
    std::uint32_t count = 0;
    for (const Dispatch::CreditChange& change : changes)
        count += change.entryId == entryId ? change.granted : 0;
    return count;
}

std::uint32_t recalledCredits(const std::vector<Dispatch::CreditChange>& changes, const std::string& entryId)
{
    std::uint32_t count = 0;
    for (const Dispatch::CreditChange& change : changes)
        count += change.entryId == entryId ? change.recalled : 0;
    return count;
}

}

// Guards against moving a free slot that its entry can use, and against keeping one that another entry needs more.
TEST_CASE("a freed slot returns to its entry unless another has a lower rank", "[Dispatch]")
{
    CreditAllocator allocator(2);
    allocator.addEntry("a", true);
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 2);
    allocator.addEntry("b", true);
    REQUIRE(allocator.consume("a", 2) == 2);
    REQUIRE(allocator.consume("a", 1) == 0);
    allocator.setBacklog(start, "a", { 5, 10 });
    // A rank difference just below the margin of 4 keeps the slot; one just above it moves the slot.
    allocator.setBacklog(start, "b", { 1, 6.1 });
    allocator.slotFreed("a");
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 1);
    REQUIRE(allocator.consume("a", 1) == 1);
    allocator.setBacklog(start, "b", { 1, 5.9 });
    allocator.slotFreed("a");
    REQUIRE(grantedCredits(allocator.assign(start), "b") == 1);
    // A report is ignored once it is older than its validity.
    allocator.slotFreed("a");
    allocator.setBacklog(start, "a", emptyBacklog);
    REQUIRE(grantedCredits(allocator.assign(start + std::chrono::milliseconds(301)), "a") == 1);
}

// Guards against idle credits that stay at one entry while tasks wait at another.
TEST_CASE("idle credits are recalled for an entry whose task waits", "[Dispatch]")
{
    CreditAllocator allocator(4);
    allocator.addEntry("a", true);
    allocator.addEntry("b", false);
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 4);
    allocator.setBacklog(start, "a", emptyBacklog);
    allocator.setBacklog(start, "b", { 2, 1 });
    REQUIRE(recalledCredits(allocator.assign(start), "a") == 1);
    REQUIRE(allocator.assign(start).empty());
    allocator.creditsReturned("a", 1);
    REQUIRE(grantedCredits(allocator.assign(start), "b") == 1);
    // No credits are recalledCredits from an entry that needs them itself.
    allocator.setBacklog(start, "a", { 9, 1 });
    allocator.setBacklog(start, "b", { 2, 1 });
    REQUIRE(allocator.consume("b", 1) == 1);
    REQUIRE(recalledCredits(allocator.assign(start), "a") == 0);
}

// Guards against a second entry that gets no credits because the first one holds all of them.
TEST_CASE("a new entry gets its share of idle credits", "[Dispatch]")
{
    CreditAllocator allocator(8);
    allocator.addEntry("a", true);
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 8);
    allocator.addEntry("b", true);
    REQUIRE(recalledCredits(allocator.assign(start), "a") == 4);
    allocator.creditsReturned("a", 4);
    REQUIRE(grantedCredits(allocator.assign(start), "b") == 4);
}

// Guards against credits that are lost or duplicated when an entry disconnects, reconnects or drains.
TEST_CASE("credits of a removed entry are freed, those of running tasks when they end", "[Dispatch]")
{
    CreditAllocator allocator(3);
    allocator.addEntry("a", true);
    allocator.assign(start);
    REQUIRE(allocator.consume("a", 2) == 2);
    allocator.removeEntry("a");
    REQUIRE(allocator.freeSlots() == 1);
    allocator.addEntry("a", true);
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 1);
    allocator.slotFreed("a");
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 1);
    allocator.setAccepting(false);
    REQUIRE(recalledCredits(allocator.assign(start), "a") == 2);
    allocator.slotFreed("a");
    allocator.creditsReturned("a", 9);
    REQUIRE(allocator.assign(start).empty());
    REQUIRE(allocator.freeSlots() == 3);
    allocator.setAccepting(true);
    REQUIRE(grantedCredits(allocator.assign(start), "a") == 3);
}

// Guards against sequences of events that lose or duplicate a slot; the sequence is random with a fixed seed.
TEST_CASE("the number of slots never changes", "[Dispatch]")
{
    std::mt19937 random(11);
    CreditAllocator allocator(8);
    const std::vector<std::string> ids { "a", "b", "c" };
    std::map<std::string, std::uint32_t> running;
    for (int step = 0; step < 20000; ++step) {
        const std::string& id = ids[random() % ids.size()];
        const Core::SteadyTime now = start + std::chrono::milliseconds(step);
        switch (random() % 8) {
        case 0:
            allocator.addEntry(id, random() % 2 == 0);
            break;
        case 1:
            if (random() % 10 == 0)
                allocator.removeEntry(id);
            break;
        case 2:
            allocator.setBacklog(now, id, { static_cast<std::uint32_t>(random() % 4), double(random() % 20) });
            break;
        case 3:
            allocator.creditsReturned(id, random() % 3);
            break;
        case 4:
            allocator.setQueuedTasks(id, random() % 3);
            break;
        case 5:
            running[id] += allocator.consume(id, random() % 4);
            break;
        default:
            if (running[id] > 0) {
                --running[id];
                allocator.slotFreed(id);
            }
        }
        for (const Dispatch::CreditChange& change : allocator.assign(now))
            running[change.entryId] += change.startedFromQueue;
        REQUIRE(allocator.freeSlots() + running["a"] + running["b"] + running["c"] == 8);
    }
}
