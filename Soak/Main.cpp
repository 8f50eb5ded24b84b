#include "Soak/CrowdRun.h"
#include "Soak/SoakRun.h"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <filesystem>
#include <unistd.h>

namespace {

using namespace celeryswitch;

const char* const usage = R"(Plays real processes on loopback under random faults and checks the platform's promises.

Usage:
  celeryswitch-soak [options]

Options:
  --program=FILE   The program under test [default: build/celeryswitch].
  --seed=SEED      First seed [default: 1].
  --seeds=COUNT    Seeds, one run each [default: 1].
  --seconds=S      Time with faults in a run [default: 15].
  --load=JOBS      Jobs a second [default: 40].
  --workers=N      Workers, each with a sidecar [default: 4].
  --entries=N      Entries [default: 2].
  --states=N       State replicas [default: 3].
  --crowd=LISTENER Instead: a crowd of clients outside the limits against an entry, a sidecar or a state replica, or the
                   readiness check of an entry.
  --play=NAME      What the crowd does: stalled, fields, tasks, steps, served, nested, reads, unrouted, frozen,
                   handshakes, documents, largest, repeated [default: stalled].
  --calm           No faults: the whole path on a calm day.
  --changes        Planned changes beside the faults: state replicas are replaced, limits change on open connections, and
                   workers return as another kind.
  --keep=FOLDER    Keeps settings, logs and data of each run that breaks a promise there.
)";

// Plays one seed; returns whether every promise held.
bool play(Soak::SoakSettings settings, const std::string& kept)
{
    char pattern[] = "/tmp/celeryswitch-soak-XXXXXX";
    settings.folder = ::mkdtemp(pattern);
    // Runs at the same time use other addresses.
    settings.network = std::to_string(16 + ::getpid() % 200) + "." + std::to_string(settings.seed % 250);
    Soak::SoakResult result = Soak::SoakRun(settings).play();
    std::printf("seed %llu: %llu jobs, %llu completed, %llu refused, %llu runs; after the last fault %llu of %llu, "
                "%llu refused in "
                "full use; "
                "version %llu; %zu faults, %zu violations\n",
        static_cast<unsigned long long>(settings.seed), static_cast<unsigned long long>(result.jobs),
        static_cast<unsigned long long>(result.completed), static_cast<unsigned long long>(result.refused),
        static_cast<unsigned long long>(result.runs), static_cast<unsigned long long>(result.calmCompleted),
        static_cast<unsigned long long>(result.calmJobs), static_cast<unsigned long long>(result.calmRefusedFull),
        static_cast<unsigned long long>(result.confirmedVersion), result.faults.size(), result.violations.size());
    for (const std::string& violation : result.violations)
        std::printf("  violation: %s\n", violation.c_str());
    if (!result.violations.empty()) {
        for (const std::string& fault : result.faults)
            std::printf("  fault at %s\n", fault.c_str());
    }
    if (!kept.empty() && !result.violations.empty()) {
        const std::string place = kept + "/seed-" + std::to_string(settings.seed);
        std::filesystem::create_directories(kept);
        std::filesystem::remove_all(place);
        std::filesystem::copy(settings.folder, place, std::filesystem::copy_options::recursive);
        std::printf("  kept in %s\n", place.c_str());
    }
    std::fflush(stdout);
    std::filesystem::remove_all(settings.folder);
    return result.violations.empty();
}

// Plays a crowd against a listener; returns whether the processes withstood it.
bool playCrowd(const std::string& program, const std::string& listener, const std::string& name)
{
    const std::optional<Soak::CrowdPlay> crowdPlay = Core::enumValue<Soak::CrowdPlay>(name);
    const std::vector<std::string> listeners { "entry", "sidecar", "state", "readiness" };
    if (!crowdPlay || std::find(listeners.begin(), listeners.end(), listener) == listeners.end()) {
        std::printf("no play \"%s\" against \"%s\"\n", name.c_str(), listener.c_str());
        return false;
    }
    char pattern[] = "/tmp/celeryswitch-crowd-XXXXXX";
    const std::string folder = ::mkdtemp(pattern);
    const std::string network = std::to_string(16 + ::getpid() % 200) + ".251";
    const std::vector<std::string> violations
        = Soak::CrowdRun({ program, folder, network, listener, *crowdPlay }).play();
    for (const std::string& violation : violations)
        std::printf("  violation: %s\n", violation.c_str());
    std::filesystem::remove_all(folder);
    return violations.empty();
}

}

int main(int argumentCount, char** argumentValues)
{
    auto arguments = docopt::docopt(usage, { argumentValues + 1, argumentValues + argumentCount }, true);
    const auto number
        = [&](const char* name) { return std::strtoull(arguments[name].asString().c_str(), nullptr, 10); };
    std::signal(SIGPIPE, SIG_IGN);
    if (arguments["--crowd"])
        return playCrowd(
                   arguments["--program"].asString(), arguments["--crowd"].asString(), arguments["--play"].asString())
            ? 0
            : 1;
    Soak::SoakSettings settings;
    settings.program = arguments["--program"].asString();
    settings.duration = std::chrono::seconds(number("--seconds"));
    settings.jobsPerSecond = static_cast<double>(number("--load"));
    settings.size = { static_cast<std::uint32_t>(number("--states")), static_cast<std::uint32_t>(number("--entries")),
        static_cast<std::uint32_t>(number("--workers")) };
    settings.isCalm = arguments["--calm"].asBool();
    settings.hasChanges = arguments["--changes"].asBool();
    bool isKept = true;
    const std::uint64_t first = number("--seed");
    for (std::uint64_t seed = first; seed < first + number("--seeds"); ++seed) {
        settings.seed = seed;
        isKept = play(settings, arguments["--keep"] ? arguments["--keep"].asString() : "") && isKept;
    }
    return isKept ? 0 : 1;
}
