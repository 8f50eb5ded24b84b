#include "celeryswitch/Core/Clock.h"
#include "UnitTests/Core/SuspendedMachine.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace std::chrono_literals;

// Guards against deadlines and leases that stand still while the machine is suspended: an entry that woke up went on
// with a job that its caller had sent to another entry meanwhile.
TEST_CASE("the steady clock counts the time for which the machine was suspended", "[Core]")
{
    const Core::SystemClock clock;
    const Core::SteadyTime before = clock.steadyNow();
    Core::suspendMachine(3s);
    CHECK(clock.steadyNow() - before >= 3s);
}
