#include "platform/BootFile.h"
#include "celeryswitch/Core/SocketAddress.h"
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace celeryswitch;
using namespace celeryswitch::Platform;

namespace {

const std::string settings = R"(node = "side-1"
zone = "a"
ip = "10.1.0.14"
app = "10.1.0.14:8165"
port_range = [7720,7735]
seeds = ["10.1.0.17:8166","10.2.0.34:8166","10.3.0.40:8166"]
bootstrap = true
[listen]
control = "10.1.0.14:8166"
[bounds]
grace_s = 6
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

Core::Result<BootFile> load(const std::string& text)
{
    const std::string path = "/tmp/celeryswitch-boot-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(path) << text;
    Core::Result<BootFile> file = loadBootFile(path);
    std::remove(path.c_str());
    return file;
}

}

// Guards against a seed that no process can have, which counted as a replica of the first group and which every process
// called again and again.
TEST_CASE("a seed that is no address is left out and the others hold", "[Platform]")
{
    for (const char* odd : { "\"10.3.0.40:65536\"", "\"10.3.0.40:99999999999999999999\"", "\"10.3.0.40\"", "\"\"",
             "\"core-3:8166\"", "7", "[[\"x\"]]" }) {
        INFO(odd);
        const auto file = load(replaced(settings, "\"10.3.0.40:8166\"", odd));
        REQUIRE(file);
        REQUIRE(file.value().seeds == std::vector<std::string> { "10.1.0.17:8166", "10.2.0.34:8166" });
        REQUIRE(file.value().unusableSeeds.size() == 1);
        REQUIRE(stateAddresses(file.value()) == std::vector<std::string> { "10.1.0.17:7720", "10.2.0.34:7720" });
        REQUIRE(stateSettings(file.value()).initialReplicas.size() == 2);
    }
    REQUIRE(load(settings).value().unusableSeeds.empty());
}

// Guards against a replica that joins a first group twice, and against a group size that is derived from a number that
// the file does not state.
TEST_CASE("the first start and the tolerated losses are read from the settings", "[Platform]")
{
    REQUIRE(stateSettings(load(settings).value()).isFirstStart);
    REQUIRE(stateSettings(load(settings).value()).toleratedLosses == 0);
    REQUIRE_FALSE(
        stateSettings(load(replaced(settings, "bootstrap = true", "bootstrap = false")).value()).isFirstStart);
    const auto lossesOf
        = [](const std::string& line) { return stateSettings(load(line + "\n" + settings).value()).toleratedLosses; };
    REQUIRE(lossesOf("fault_tolerance = 2") == 2);
    REQUIRE(lossesOf("fault_tolerance = { machines = 1, zones = 0 }") == 1);
    for (const char* odd : { "0", "-1", "1.5", "\"2\"", "[2]", "{}", "9223372036854775807" })
        REQUIRE(lossesOf(std::string("fault_tolerance = ") + odd) == 0);
}

// Guards against processes that start at an address where nobody looks for them.
TEST_CASE("settings with an address or a number out of range are refused by name", "[Platform]")
{
    const auto problemOf = [](const std::string& text) {
        const auto file = load(text);
        return file ? std::string() : file.error().message();
    };
    REQUIRE(problemOf(settings).empty());
    REQUIRE(problemOf(replaced(settings, "app = \"10.1.0.14:8165\"", "app = \"10.1.0.14:81650\"")).find("app ")
        != std::string::npos);
    REQUIRE(problemOf(replaced(settings, "control = \"10.1.0.14:8166\"", "control = \"10.1.0.14:81660\""))
                .find("listen.control")
        != std::string::npos);
    REQUIRE(
        problemOf(replaced(settings, "ip = \"10.1.0.14\"", "ip = \"10.1.0.400\"")).find("ip ") != std::string::npos);
    for (const char* range : { "[7720,70000]", "[0,7735]", "[7735,7720]", "[65535,65535]", "[7720,9223372036854775807]",
             "[7720,92233720368547758070]" })
        REQUIRE_FALSE(problemOf(replaced(settings, "[7720,7735]", range)).empty());
    for (const char* grace : { "1e300", "-1", "inf", "nan", "601", "\"6\"" }) {
        INFO(grace);
        REQUIRE(problemOf(replaced(settings, "grace_s = 6", std::string("grace_s = ") + grace)).find("grace_s")
            != std::string::npos);
    }
}

// Guards against a file that ends every process that reads it: the parser's destructors call themselves for each level.
TEST_CASE("deeply nested settings are refused", "[Platform]")
{
    const auto repeated = [](const std::string& part, std::size_t count) {
        std::string text;
        for (std::size_t index = 0; index < count; ++index)
            text += part;
        return text;
    };
    const std::size_t deep = 400'000;
    const std::string lists = "a = " + std::string(deep, '[') + std::string(deep, ']') + "\n";
    const std::string key = "a" + repeated(".a", deep) + " = 1\n";
    const std::string header = settings + "[a" + repeated(".a", deep) + "]\n";
    const std::string quoted = "\"a\"" + repeated(" . \"a\"", deep) + " = 1\n";
    const std::string tables = "a = " + repeated("[{" + std::string("a") + repeated(".a", 2000) + " = \n", 200);
    for (const std::string& text : { lists + settings, key + settings, header, quoted + settings, tables + settings }) {
        const auto file = load(text);
        REQUIRE_FALSE(file);
        REQUIRE(file.error().is(BootFileError::Unreadable));
    }
    // Dots in texts and comments are no levels.
    REQUIRE(load("a = \"" + repeated(".a", 3000) + "\" # " + repeated(".a", 3000) + "\n" + settings));
    REQUIRE(load("a = '''\n" + repeated(".a", 3000) + "'''\n" + settings));
    REQUIRE(load(repeated("x1 = 1.5\nx2 = [1.5, 2.5]\n", 1) + repeated("# a.b.c\n", 5000) + settings));
}

// Guards against evacuations that are served where the deployment does not ask for them, and against sidecars that
// learn of one too late.
TEST_CASE("evacuations are in force where the contracts name them", "[Platform]")
{
    const std::string zones = settings + "[zones]\nrecife = \"nordeste\"\nsalvador = \"nordeste\"\n";
    const auto without = load("contracts = [\"base\",\"drain\"]\n" + zones);
    REQUIRE(without);
    REQUIRE(stateSettings(without.value()).evacuableDataCentres.empty());
    REQUIRE_FALSE(sidecarSettings(without.value(), 1).isEvacuable);
    REQUIRE(sidecarSettings(without.value(), 1).renewalInterval == std::chrono::seconds(5));
    const auto with = load(
        "contracts = [\"base\",\"places\"]\n" + replaced(zones, "grace_s = 6", "grace_s = 6\nevacuate_ms = 4000"));
    REQUIRE(with);
    REQUIRE(stateSettings(with.value()).evacuableDataCentres == std::set<std::string> { "recife", "salvador" });
    REQUIRE(sidecarSettings(with.value(), 1).isEvacuable);
    REQUIRE(sidecarSettings(with.value(), 1).renewalInterval == std::chrono::milliseconds(2000));
}

// Guards against a process that does not start because a bound of its settings file is a fraction.
TEST_CASE("bounds may be fractions and are rounded to whole milliseconds", "[Platform]")
{
    const std::string bounds = "max_hold_ms = 999.5\nstop_timeout_ms = 49.4\nretransmit_ms = 1300.6\n"
                               "grace_s = 2.0006\nfar_factor = 1.5\nevacuate_ms = 5000.5\n";
    const auto file = load(replaced(settings, "grace_s = 6\n", bounds));
    REQUIRE(file);
    REQUIRE(file.value().longestLease == std::chrono::milliseconds(1000));
    REQUIRE(file.value().stopTime == std::chrono::milliseconds(49));
    REQUIRE(file.value().resendTime == std::chrono::milliseconds(1301));
    REQUIRE(file.value().graceTime == std::chrono::milliseconds(2001));
    for (const char* odd : { "max_hold_ms = 49.9", "stop_timeout_ms = -0.1", "retransmit_ms = 600000.5",
             "max_hold_ms = nan", "retransmit_ms = \"1300\"", "stop_timeout_ms = inf" }) {
        INFO(odd);
        REQUIRE(load(replaced(settings, "grace_s = 6", odd)).error().is(BootFileError::BadKey));
    }
}

// Guards against entries that ignore how much longer tasks run far from their data, or that take a factor below 1,
// which would make far workers preferred.
TEST_CASE("the far factor of the bounds reaches the entries' scheduler", "[Platform]")
{
    const auto factorOf = [](const std::string& line) {
        const auto file = load(replaced(settings, "grace_s = 6\n", "grace_s = 6\n" + line));
        return file ? entrySettings(file.value(), 1).scheduler.farFactor : -1.0;
    };
    REQUIRE(factorOf("") == 1);
    REQUIRE(factorOf("far_factor = 1.5\n") == 1.5);
    REQUIRE(factorOf("far_factor = 3\n") == 3);
    REQUIRE(factorOf("far_factor = 100\n") == 100);
    for (const char* refused : { "0.9", "100.5", "-2", "\"two\"", "nan" }) {
        INFO(refused);
        REQUIRE(factorOf("far_factor = " + std::string(refused) + "\n") == -1);
    }
}

// Guards against a process that takes more than its machine allows because it does not read the limits, and against a
// process that does not start because of a limit that it can't use.
TEST_CASE("every role gets the limits of the settings file", "[Platform]")
{
    const auto file = load(settings + "[limits]\nmemory_mb = 128\nmax_fds = 4096\ncpu_share = 0.15\n");
    REQUIRE(file);
    const auto check = [](const Http::ProcessAllowance& allowance) {
        CHECK(allowance.memoryBytes == 128 << 20);
        CHECK(allowance.descriptors == 4096);
        CHECK(allowance.receiveBudgetBytes == 0);
    };
    check(entrySettings(file.value(), 1).allowance);
    check(sidecarSettings(file.value(), 1).allowance);
    check(stateSettings(file.value()).allowance);
    CHECK(load(settings + "[limits]\nreceive_budget_kb = 2048\n").value().allowance.receiveBudgetBytes == 2 << 20);
    CHECK(load(settings + "[limits]\njob_budget_kb = 1024\n").value().allowance.jobBudgetBytes == 1 << 20);
    for (const char* odd : { "memory_mb = \"128\"", "memory_mb = -1", "memory_mb = 0", "memory_mb = 1e300" })
        CHECK(load(settings + "[limits]\n" + odd + "\n").value().allowance.memoryBytes == 0);
    CHECK(load(settings).value().allowance.memoryBytes == 0);
}
