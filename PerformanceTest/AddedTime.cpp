#include "../UnitTests/Sidecar/TestEndpoint.h"
#include "PerformanceTest/EntryPerformance.h"
#include "celeryswitch/Entry/EntryProcess.h"
#include "celeryswitch/Http/HttpConnection.h"
#include "celeryswitch/Sidecar/SidecarProcess.h"
#include "celeryswitch/State/StateProcess.h"
#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>

namespace celeryswitch::PerformanceTest {

namespace {

constexpr std::size_t requestCount = 2000;
constexpr std::size_t warmUpCount = 200;

// Sends requests one after the other over one connection; returns their sorted times in milliseconds.
std::vector<double> timesOf(
    const std::string& address, const std::function<Http::HttpRequest(std::size_t)>& makeRequest)
{
    boost::asio::io_context context;
    Http::HttpConnection connection(context, address);
    std::vector<double> times;
    for (std::size_t number = 0; number < requestCount + warmUpCount; ++number) {
        const Http::HttpRequest request = makeRequest(number);
        const auto begin = std::chrono::steady_clock::now();
        bool isAnswered = false;
        bool isSuccess = false;
        connection.request(request, std::chrono::seconds(10), [&](Core::Result<Http::HttpResponse> answer) {
            isAnswered = true;
            isSuccess = answer && answer.value().statusCode == 200;
        });
        context.restart();
        while (!isAnswered && context.run_one() > 0) { }
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begin;
        if (number >= warmUpCount && isSuccess)
            times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

Http::HttpRequest makeSubmission(std::size_t number)
{
    const boost::json::object body {
        { "team", "team" },
        { "caller", "caller" },
        { "idempotencyKey", std::to_string(number) },
        { "createdAt", Core::toUnixMilliseconds(std::chrono::system_clock::now()) },
        { "service", "service" },
        { "kind", "kind" },
        { "tasks", { { { "id", "a" }, { "payload", "x" } } } },
    };
    return { "POST", "/v1/jobs", { { "Prefer", "wait=10" } }, boost::json::serialize(body) };
}

double quantile(const std::vector<double>& sorted, double probability)
{
    return sorted.empty() ? 1e9
                          : sorted[static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1))];
}

}

std::vector<PerformanceCase> measureAddedTime()
{
    char pattern[] = "/tmp/celeryswitch-performance-XXXXXX";
    const std::string folder = ::mkdtemp(pattern);
    const Network::AuthenticationKeys keys { 1, { { 1, "a secret of the measurement" } } };
    Sidecar::TestEndpoint endpoint;
    State::StateSettings stateSettings;
    stateSettings.replicaName = "state";
    stateSettings.peerAddress = "127.0.0.1:0";
    stateSettings.dataFolder = folder + "/state";
    stateSettings.authenticationKeys = keys;
    const auto state = std::move(State::StateProcess::Builder().setSettings(stateSettings).start()).value();
    Sidecar::SidecarSettings sidecarSettings;
    sidecarSettings.instanceId = "sidecar";
    sidecarSettings.service = "service";
    sidecarSettings.endpointAddress = endpoint.address();
    sidecarSettings.stateAddresses = { state->peerAddress() };
    sidecarSettings.authentication = keys;
    const auto sidecar = std::move(Sidecar::SidecarProcess::Builder().setSettings(sidecarSettings).start()).value();
    Entry::EntrySettings entrySettings;
    entrySettings.instanceId = "entry";
    entrySettings.httpAddress = entrySettings.peerAddress = entrySettings.datagramAddress = "127.0.0.1:0";
    entrySettings.stateAddresses = { state->peerAddress() };
    entrySettings.authenticationKeys = keys;
    const auto entry = std::move(Entry::EntryProcess::Builder().setSettings(entrySettings).start()).value();
    while (!entry->snapshot().isReady || entry->snapshot().connectedSidecars == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));

    const std::vector<double> direct = timesOf(endpoint.address(), [](std::size_t) {
        return Http::HttpRequest { "POST", "/", {}, "x" };
    });
    const std::vector<double> whole = timesOf(entry->httpAddress(), makeSubmission);
    const auto frames
        = static_cast<double>(entry->snapshot().counters.messagesSent + entry->snapshot().counters.messagesReceived);
    entry->stop(std::chrono::seconds(5));
    std::filesystem::remove_all(folder);
    return {
        { "time added to a 0 ms task on loopback, p50", quantile(whole, 0.5) - quantile(direct, 0.5), "ms", 0.3, true },
        { "time added to a 0 ms task on loopback, p99", quantile(whole, 0.99) - quantile(direct, 0.5), "ms", 1.5,
            true },
        { "frames a single task between the processes", frames / (requestCount + warmUpCount), "messages", 2.5, true },
    };
}

}
