#include "celeryswitch/Core/Ring.h"
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using celeryswitch::Core::Ring;

// Guards against a full ring that overwrites or drops silently.
TEST_CASE("a full ring refuses and counts the refusal", "[Core]")
{
    Ring<int> ring(2, {});
    REQUIRE(ring.tryPush(1));
    REQUIRE(ring.tryPush(2));
    REQUIRE_FALSE(ring.tryPush(3));
    REQUIRE(ring.refusedCount() == 1);
    std::vector<int> taken;
    REQUIRE(ring.drain([&](int value) { taken.push_back(value); }) == 2);
    REQUIRE(taken == std::vector<int> { 1, 2 });
}

// Guards against elements lost or reordered between the two threads.
TEST_CASE("a ring passes every element in order between two threads", "[Core][threads]")
{
    constexpr int elementCount = 20000;
    Ring<int> ring(64, {});
    std::thread producer([&] {
        for (int value = 0; value < elementCount;) {
            if (ring.tryPush(int(value)))
                ++value;
            else
                std::this_thread::yield();
        }
    });
    int expected = 0;
    bool inOrder = true;
    while (expected < elementCount) {
        ring.drain([&](int value) { inOrder = inOrder && value == expected++; });
        std::this_thread::yield();
    }
    producer.join();
    REQUIRE(inOrder);
}
