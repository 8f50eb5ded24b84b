#include "celeryswitch/Core/SocketAddress.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;

// Guards against a port out of range that is taken for port 0, and against text that is taken for an address.
TEST_CASE("socket addresses are read whole or refused", "[Core][Network]")
{
    const auto parsed = Core::parseSocketAddress("10.0.0.9:65535");
    REQUIRE(parsed);
    REQUIRE(parsed->ip.to_string() == "10.0.0.9");
    REQUIRE(parsed->port == 65535);
    REQUIRE(Core::parseSocketAddress("10.0.0.9:0")->port == 0);
    REQUIRE(Core::parseSocketAddress("[::1]:80")->ip.to_string() == "::1");
    for (const char* wrong : { "", ":", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:65536", "10.0.0.9:4294967376",
             "10.0.0.9:99999999999999999999999", "10.0.0.9:-1", "10.0.0.9:80x", "10.0.0.9: 80", "10.0.0.300:80",
             "::1:80", "[::1]", "worker:80" }) {
        INFO(wrong);
        REQUIRE_FALSE(Core::parseSocketAddress(wrong));
    }
}
