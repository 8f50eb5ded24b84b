// Which calls a WorkerClient sends on a connection before it knows who answers there.
#include "celeryswitch/Workers/WorkerClient.h"
#include "celeryswitch/Http/HttpServer.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

// Calls are named by their paths; a list of runs names its worker in a header.
class PathProtocol final : public WorkerProtocol {
public:
    Http::HttpRequest encode(const WorkerCall& call, const std::string&) const override
    {
        constexpr const char* paths[] { "/start", "/stop", "/list" };
        return { "POST", paths[call.index()], {}, {} };
    }
    CallResult decode(const WorkerCall&, const Http::HttpResponse& response) const override
    {
        CallResult result;
        result.status = response.statusCode == 200 ? CallStatus::Accepted : CallStatus::Refused;
        if (const std::string_view born = response.headers.value("Born"); !born.empty())
            result.workerStartedAt = std::stoll(std::string(born));
        return result;
    }
    WorkerRequest decode(const Http::HttpRequest&) const override { return InvalidRequest {}; }
    Http::HttpResponse acknowledgement() const override { return {}; }
};

// A client and one incarnation of a worker at a time, at one address.
class ClientFixture {
public:
    ClientFixture() { this->restartWorker(77); }
    // Ends the worker and its connections and starts another incarnation at the same address.
    void restartWorker(std::int64_t bornAt)
    {
        if (this->server)
            this->server->stop();
        this->run(20ms);
        this->server.emplace(this->context, Http::HttpLimits { 65'536, 16'384, 3s, 3s, 3s }, 8,
            Http::HttpServer::Handlers {
                [this, bornAt](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
                    this->paths.push_back(request.path);
                    Http::HttpResponse response { 200, {}, {} };
                    if (request.path == "/list")
                        response.headers.set("Born", std::to_string(bornAt));
                    session->respond(response);
                },
                {}, [](const Http::HttpSession::Pointer&) {} });
        const Core::Result<std::string> bound = this->server->listen(this->address);
        REQUIRE(bound);
        this->address = bound.value();
        this->paths.clear();
        if (!this->client)
            this->client.emplace(this->context, this->address, 8, this->protocol,
                [this](std::uint64_t, const CallResult& result) { this->results.push_back(result); });
    }
    // Handles what happens within a time.
    void run(Core::Duration time)
    {
        this->context.restart();
        this->context.run_for(time);
    }
    // Sends calls at the same time and waits for their results.
    void call(const std::vector<WorkerCall>& calls)
    {
        this->results.clear();
        for (const WorkerCall& call : calls)
            this->client->call({ ++this->lastCall, call, "w1", 2s });
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (this->results.size() < calls.size() && std::chrono::steady_clock::now() < end)
            this->run(5ms);
        REQUIRE(this->results.size() == calls.size());
    }
    static WorkerCall start(std::int64_t workerStartedAt) { return StartCall { {}, 1, "", 0, 1, workerStartedAt }; }

    boost::asio::io_context context;
    PathProtocol protocol;
    std::string address = "127.0.0.1:0";
    std::optional<Http::HttpServer> server;
    std::optional<WorkerClient> client;
    // Paths of the calls that the present incarnation received.
    std::vector<std::string> paths;
    std::vector<CallResult> results;
    std::uint64_t lastCall = 0;
};

using Paths = std::vector<std::string>;

}

// Guards against a start that reaches an incarnation of the worker that nobody has asked for its name, and against a
// round trip before each start while the worker lives on.
TEST_CASE("a list of runs precedes the first start on a connection and no other", "[Workers]")
{
    ClientFixture fixture;
    fixture.call({ fixture.start(77) });
    CHECK(fixture.results[0].status == CallStatus::Accepted);
    CHECK(fixture.paths == Paths { "/list", "/start" });
    fixture.paths.clear();
    fixture.call({ fixture.start(77) });
    fixture.call({ fixture.start(77) });
    CHECK(fixture.paths == Paths { "/start", "/start" });
    CHECK(fixture.client->openedConnections() == 1);
}

// Guards against the extra round trip where a list that was requested anyway has named the worker.
TEST_CASE("a connection that a list of runs has identified takes a start at once", "[Workers]")
{
    ClientFixture fixture;
    fixture.call({ RenewLeaseCall { 1, 0, std::nullopt, {} } });
    fixture.call({ fixture.start(77) });
    CHECK(fixture.paths == Paths { "/list", "/start" });
}

// Guards against tasks that start on another kind of worker under the same id and address.
TEST_CASE("a start is not sent to another incarnation of the worker", "[Workers]")
{
    ClientFixture fixture;
    fixture.call({ fixture.start(77), fixture.start(77) });
    fixture.restartWorker(90);
    fixture.call({ fixture.start(77), fixture.start(77), fixture.start(77) });
    for (const CallResult& result : fixture.results) {
        CHECK(result.status == CallStatus::NotIdentified);
        CHECK(result.workerStartedAt == 90);
    }
    CHECK(std::count(fixture.paths.begin(), fixture.paths.end(), "/start") == 0);
    fixture.paths.clear();
    fixture.call({ fixture.start(90) });
    CHECK(fixture.results[0].status == CallStatus::Accepted);
    CHECK(fixture.paths == Paths { "/start" });
}

// Guards against a start whose outcome is unknown because it was written to a connection that had ended before.
TEST_CASE("a connection that the worker has closed is not used for a start", "[Workers]")
{
    ClientFixture fixture;
    fixture.call({ fixture.start(77), fixture.start(77) });
    fixture.restartWorker(77);
    fixture.call({ fixture.start(77) });
    CHECK(fixture.results[0].status == CallStatus::Accepted);
    CHECK(fixture.paths == Paths { "/list", "/start" });
}

// Guards against a start that counts as possibly executed although it was not written.
TEST_CASE("a start without a connection to the worker was not sent", "[Workers]")
{
    ClientFixture fixture;
    fixture.call({ fixture.start(77) });
    fixture.server->stop();
    fixture.run(20ms);
    fixture.call({ fixture.start(77) });
    CHECK(fixture.results[0].status == CallStatus::NotSent);
}
