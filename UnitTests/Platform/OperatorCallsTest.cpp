#include "UnitTests/State/StateGroup.h"
#include "celeryswitch/Http/HttpConnection.h"
#include "platform/OperatorApi.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace celeryswitch;
using namespace celeryswitch::State;

namespace {

// Replicas that serve operators.
class ServedGroup : public StateGroup {
public:
    explicit ServedGroup(const std::set<std::string>& dataCentres = {})
        : StateGroup(0)
        , controlLog(logSettings(), this->clock)
    {
        for (const char* name : { "a", "b", "c" }) {
            this->addresses[name] = freeAddress();
            this->controls[name] = freeAddress();
        }
        for (const auto& [name, address] : this->addresses) {
            StateSettings settings;
            settings.replicaName = name;
            settings.peerAddress = address;
            settings.dataFolder = this->folder + "/" + name;
            settings.initialReplicas = this->addresses;
            settings.authenticationKeys = this->keys;
            settings.evacuableDataCentres = dataCentres;
            auto started = StateProcess::Builder()
                               .setSettings(settings)
                               .setControl(this->controls.at(name), this->api, this->controlLog)
                               .start();
            REQUIRE(started);
            this->replicas[name] = std::move(started).value();
        }
    }
    ~ServedGroup() { this->replicas.clear(); }

    // Status of a call at one replica.
    std::uint16_t call(const std::string& name, Http::HttpRequest request, std::string* body = nullptr) const
    {
        request.headers.set("Content-Type", "application/json");
        const auto response = Http::httpCall(this->controls.at(name), std::move(request), std::chrono::seconds(3));
        REQUIRE(response);
        if (body)
            *body = response.value().body;
        return response.value().statusCode;
    }
    std::uint16_t put(const std::string& name, std::uint64_t version) const
    {
        return this->call(name,
            { "POST", "/v1/config/put", {},
                R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"limits":{}})" });
    }

    std::uint16_t evacuate(const std::string& name, const std::string& order) const
    {
        return this->call(name, { "POST", "/v1/evacuate/" + order, {}, "" });
    }

    Core::SystemClock clock;
    Logging::StructuredLog controlLog;
    Platform::OperatorApi api;
    std::map<std::string, std::string> controls;

private:
    static Logging::LogSettings logSettings()
    {
        Logging::LogSettings settings;
        settings.output = [](const std::string&) {};
        return settings;
    }
};

}

// Guards against an operator whose confirmation is lost after a redirection: it takes both replicas for tried, so that
// only a replica that does not answer is left to it.
TEST_CASE("every replica answers operators itself while there is a leader", "[Platform][threads]")
{
    const ServedGroup group;
    group.waitForLeader();
    std::uint64_t version = 0;
    for (const char* name : { "a", "b", "c" }) {
        ++version;
        REQUIRE(StateGroup::waitUntil([&] { return group.put(name, version) == 200; }));
        std::string body;
        REQUIRE(group.call(name, { "GET", "/v1/config/get", {}, "" }, &body) == 200);
        REQUIRE(body.find("\"version\":" + std::to_string(version)) != std::string::npos);
    }
    // An older version is acknowledged and changes nothing; nonsense is refused by each.
    REQUIRE(group.put("a", 1) == 200);
    std::string body;
    REQUIRE(group.call("b", { "GET", "/v1/config/get", {}, "" }, &body) == 200);
    REQUIRE(body.find("\"version\":3") != std::string::npos);
    for (const char* name : { "a", "b", "c" })
        REQUIRE(group.call(name, { "POST", "/v1/config/put", {}, "{" }) == 400);
}

// Guards against readers that share an answer which is older than what was confirmed before they asked.
TEST_CASE("readers who share an answer get no older document than was confirmed", "[Platform][threads]")
{
    const ServedGroup group;
    group.waitForLeader();
    REQUIRE(StateGroup::waitUntil([&] { return group.put("a", 1) == 200; }));
    std::atomic<std::uint64_t> confirmed = 1;
    std::atomic<int> answered = 0;
    std::atomic<int> older = 0;
    std::atomic<bool> isOver = false;
    // More readers than reads that are under way at the same time, at one replica.
    std::vector<std::thread> readers;
    for (int number = 0; number < 16; ++number) {
        readers.emplace_back([&] {
            while (!isOver) {
                const std::uint64_t before = confirmed;
                const auto response = Http::httpCall(
                    group.controls.at("b"), { "GET", "/v1/config/get", {}, "" }, std::chrono::seconds(3));
                if (!response || response.value().statusCode != 200)
                    continue;
                ++answered;
                const std::string& body = response.value().body;
                const std::string key = "\"version\":";
                older += std::strtoull(body.c_str() + body.find(key) + key.size(), nullptr, 10) < before ? 1 : 0;
            }
        });
    }
    for (std::uint64_t version = 2; version <= 30; ++version) {
        if (group.put("a", version) == 200)
            confirmed = version;
    }
    isOver = true;
    for (std::thread& reader : readers)
        reader.join();
    CHECK(confirmed > 1);
    CHECK(answered > 0);
    CHECK(older == 0);
}

// Guards against stale reads and false confirmations once no majority is left.
TEST_CASE("without a majority a replica confirms nothing to operators", "[Platform][threads]")
{
    ServedGroup group;
    const std::string leader = group.waitForLeader();
    REQUIRE(StateGroup::waitUntil([&] { return group.put(leader, 1) == 200; }));
    std::string left;
    for (const char* name : { "a", "b", "c" }) {
        if (name != leader && left.empty())
            left = name;
        else
            group.stop(name);
    }
    const std::uint16_t put = group.put(left, 2);
    REQUIRE((put == 503 || put == 307));
    REQUIRE(StateGroup::waitUntil([&] { return group.call(left, { "GET", "/v1/config/get", {}, "" }) == 503; }));
}

// Guards against evacuations that only some replicas serve, against misspelt data centres that are confirmed, and
// against a call that is served where the deployment does not ask for it.
TEST_CASE("every replica takes evacuations of known data centres", "[Platform][threads]")
{
    {
        const ServedGroup group({ "recife", "salvador" });
        group.waitForLeader();
        for (const char* name : { "a", "b", "c" }) {
            REQUIRE(StateGroup::waitUntil([&] { return group.evacuate(name, "recife/start") == 200; }));
            REQUIRE(group.evacuate(name, "recife/start") == 200);
            REQUIRE(group.evacuate(name, "olinda/start") == 404);
            REQUIRE(group.evacuate(name, "recife/pause") == 404);
            REQUIRE(group.call(name, { "GET", "/v1/evacuate/recife/start", {}, "" }) == 404);
        }
        BlockingClient client(group);
        const auto listed = client.request(Messages::QueryEvacuations {});
        REQUIRE(std::get<Messages::EvacuationList>(listed.value().body).evacuations.size() == 1);
        REQUIRE(group.evacuate("b", "recife/end") == 200);
        const auto ended = client.request(Messages::QueryEvacuations {});
        REQUIRE(std::get<Messages::EvacuationList>(ended.value().body).evacuations.empty());
    }
    const ServedGroup without;
    without.waitForLeader();
    REQUIRE(without.evacuate("a", "recife/start") == 404);
}
