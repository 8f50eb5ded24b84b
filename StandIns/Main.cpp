#include "StandIns/FakeEndpoint.h"
#include "StandIns/FakePlatform.h"
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <docopt/docopt.h>

namespace {

using namespace celeryswitch;

const char* const usage = R"(Stand-ins for the systems around celeryswitch.

Usage:
  celeryswitch-standins fake-endpoint [options]
  celeryswitch-standins fake-platform [options]

Options:
  --listen=ADDRESS    Address and port; port 0 is chosen by the system [default: 127.0.0.1:0].
  --shortest-ms=MS    Shortest service time of a task whose body does not say [default: 0].
  --longest-ms=MS     Longest service time of a task whose body does not say; 0 answers at once [default: 0].
  --failure-rate=P    Part of the tasks that fail when their body does not say, 0 to 1 [default: 0].
  --failure=KIND      How they fail: error, close, stall or crash [default: error].
  --seed=SEED         Seed of the service times and failures [default: 1].
  --journal=FILE      Keep the counts of starts in this file, over restarts.
  --workers=N         Workers of the platform [default: 11].
  --usage-lag-ms=MS   Age of the usage that the platform reports [default: 5000].
)";

// Reports the bound address and runs until a signal to stop arrives.
int serve(boost::asio::io_context& context, const Core::Result<std::string>& bound)
{
    if (!bound) {
        std::fprintf(stderr, "%s\n", bound.error().message().c_str());
        return 2;
    }
    std::printf("listening on %s\n", bound.value().c_str());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

}

int main(int argumentCount, char** argumentValues)
{
    auto arguments = docopt::docopt(usage, { argumentValues + 1, argumentValues + argumentCount }, true);
    const auto number = [&](const char* name) { return std::strtod(arguments[name].asString().c_str(), nullptr); };
    const auto milliseconds
        = [&](const char* name) { return std::chrono::milliseconds(static_cast<std::int64_t>(number(name))); };
    const std::string address = arguments["--listen"].asString();
    boost::asio::io_context context(1);
    if (arguments["fake-endpoint"].asBool()) {
        StandIns::FakeEndpointSettings settings;
        settings.shortest = milliseconds("--shortest-ms");
        settings.longest = milliseconds("--longest-ms");
        settings.failureRate = number("--failure-rate");
        settings.failure = arguments["--failure"].asString();
        settings.seed = static_cast<std::uint64_t>(number("--seed"));
        if (arguments["--journal"])
            settings.journal = arguments["--journal"].asString();
        StandIns::FakeEndpoint endpoint(context, settings);
        return serve(context, endpoint.listen(address));
    }
    StandIns::FakePlatformSettings settings;
    settings.workers = static_cast<std::uint32_t>(number("--workers"));
    settings.usageLag = milliseconds("--usage-lag-ms");
    const Core::SystemClock clock;
    StandIns::FakePlatform platform(context, clock, settings);
    return serve(context, platform.listen(address));
}
