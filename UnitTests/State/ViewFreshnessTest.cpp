#include "celeryswitch/State/ViewFreshness.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace std::chrono_literals;

// Guards against a restarted process that begins with the view of a replica that was restarted from an older log, or is
// cut off: routes that were withdrawn and workers that have left would be in use again.
TEST_CASE("a process begins with the view of a replica that is in contact with a leader", "[State]")
{
    const Core::SteadyTime start { 1000s };
    const State::ViewFreshness freshness(start, 1000ms);
    REQUIRE(freshness.isUsable(start, 0ms, true));
    REQUIRE_FALSE(freshness.isUsable(start + 100ms, 5s, true));
    REQUIRE_FALSE(freshness.isUsable(start + 2s, std::chrono::milliseconds(UINT32_MAX), true));
    // While there is no leader at all, an older view is better than none.
    REQUIRE(freshness.isUsable(start + 3s, std::chrono::milliseconds(UINT32_MAX), true));
    // A view that is newer than the one in use never goes back.
    REQUIRE(freshness.isUsable(start + 100ms, 5s, false));
}
