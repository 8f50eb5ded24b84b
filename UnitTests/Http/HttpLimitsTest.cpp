// Limits of connections: which of them apply to a request, and what happens to connections beyond them.
#include "UnitTests/Core/AllocationCounter.h"
#include "celeryswitch/Http/HttpServer.h"
#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <list>

using namespace celeryswitch;
using namespace std::chrono_literals;

namespace {

// A server with short limits and blocking callers whose bytes it handles while they wait.
struct LimitedServer {
    explicit LimitedServer(const Http::HttpLimits& limits, std::size_t connectionsLimit = 8,
        std::shared_ptr<Http::ReceiveBudget> budget = nullptr)
        : server(context, limits, connectionsLimit,
            { [this](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
                 session->respond({ 200, {}, std::to_string(request.body.size()) + this->answerTail });
             },
                [](std::uint16_t status, const std::string& reason) {
                    return Http::HttpResponse { status, {}, reason };
                },
                {} },
            std::move(budget))
    {
        const std::string address = this->server.listen("127.0.0.1:0").value();
        this->port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    }

    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket caller(this->context);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), this->port });
        return caller;
    }

    void run(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->context.restart();
            this->context.run_one_for(20ms);
        }
        REQUIRE(condition());
    }

    // Status of the answer to a POST with a body; 0 when the connection ends without one.
    int statusOf(boost::asio::ip::tcp::socket& caller, const std::string& header, std::size_t bodyBytes)
    {
        // Kept until the write has ended, also when the answer comes before.
        this->sent.push_back("POST /q HTTP/1.1\r\nHost: a\r\n" + header + "Content-Length: " + std::to_string(bodyBytes)
            + "\r\n\r\n" + std::string(bodyBytes, 'b'));
        boost::asio::async_write(caller, boost::asio::buffer(this->sent.back()), [](const auto&, std::size_t) {});
        std::array<char, 1024> answer {};
        bool isDone = false;
        std::size_t size = 0;
        caller.async_read_some(boost::asio::buffer(answer), [&](const auto&, std::size_t count) {
            isDone = true;
            size = count;
        });
        this->run([&] { return isDone; });
        return size > 12 ? std::stoi(std::string(answer.data() + 9, 3)) : 0;
    }

    std::list<std::string> sent;
    std::string answerTail;
    boost::asio::io_context context;
    Http::HttpServer server;
    std::uint16_t port = 0;
};

}

// Guards against limits of an older routing document on connections that were opened before it changed.
TEST_CASE("a request is held to the limits in force when its header begins", "[Http]")
{
    const Http::HttpLimits narrow { 2000, 1000, 3s, 3s, 3s };
    const Http::HttpLimits wide { 65'536, 16'384, 3s, 3s, 3s };
    const std::string longHeader = "X: " + std::string(3000, 'h') + "\r\n";
    {
        LimitedServer fixture(narrow);
        auto first = fixture.connect();
        auto second = fixture.connect();
        REQUIRE(fixture.statusOf(first, "", 100) == 200);
        REQUIRE(fixture.statusOf(second, "", 100) == 200);
        fixture.server.setLimits(wide);
        CHECK(fixture.statusOf(first, "", 30'000) == 200);
        CHECK(fixture.statusOf(second, longHeader, 100) == 200);
    }
    {
        LimitedServer fixture(wide);
        auto first = fixture.connect();
        auto second = fixture.connect();
        auto third = fixture.connect();
        REQUIRE(fixture.statusOf(first, longHeader, 30'000) == 200);
        REQUIRE(fixture.statusOf(second, longHeader, 30'000) == 200);
        // A header that began under the wide limits keeps them.
        boost::asio::write(third, boost::asio::buffer(std::string("POST /q HTTP/1.1\r\nHost: a\r\n")));
        fixture.context.restart();
        fixture.context.run_for(100ms);
        fixture.server.setLimits(narrow);
        CHECK(fixture.statusOf(first, "", 30'000) == 413);
        CHECK(fixture.statusOf(second, longHeader, 100) == 431);
        const std::string rest = "Content-Length: 30000\r\n\r\n" + std::string(30'000, 'b');
        boost::asio::async_write(third, boost::asio::buffer(rest), [](const auto&, std::size_t) {});
        std::array<char, 1024> answer {};
        std::size_t size = 0;
        third.async_read_some(boost::asio::buffer(answer), [&](const auto&, std::size_t count) { size = count; });
        fixture.run([&] { return size > 0; });
        CHECK(std::string(answer.data(), 12) == "HTTP/1.1 200");
    }
}

// Guards against the same for a request that arrived together with the one before and waited for its turn.
TEST_CASE("a request that waited for its turn is held to the limits in force then", "[Http]")
{
    for (const bool isRaised : { true, false }) {
        const Http::HttpLimits narrow { 2000, 1000, 3s, 3s, 60s };
        const Http::HttpLimits wide { 65'536, 16'384, 3s, 3s, 60s };
        boost::asio::io_context context;
        Http::HttpSession::Pointer open;
        Http::HttpServer server(context, isRaised ? narrow : wide, 8,
            { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest&) { open = session; },
                [](std::uint16_t status, const std::string& reason) {
                    return Http::HttpResponse { status, {}, reason };
                },
                {} });
        const std::string address = server.listen("127.0.0.1:0").value();
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1))) });
        const std::string header = "POST /q HTTP/1.1\r\nHost: a\r\nContent-Length: ";
        const std::string both = header + "0\r\n\r\n" + header + "3000\r\n\r\n" + std::string(3000, 'b');
        boost::asio::async_write(caller, boost::asio::buffer(both), [](const auto&, std::size_t) {});
        std::string answers;
        std::array<char, 1024> bytes {};
        const std::function<void()> read = [&] {
            caller.async_read_some(boost::asio::buffer(bytes), [&](const auto& error, std::size_t count) {
                answers.append(bytes.data(), count);
                if (!error)
                    read();
            });
        };
        read();
        const auto runUntil = [&](const std::function<bool()>& condition) {
            const auto end = std::chrono::steady_clock::now() + 10s;
            while (!condition() && std::chrono::steady_clock::now() < end) {
                context.restart();
                context.run_one_for(20ms);
            }
            return condition();
        };
        REQUIRE(runUntil([&] { return open != nullptr; }));
        server.setLimits(isRaised ? wide : narrow);
        std::exchange(open, nullptr)->respond({ 200, {}, "" });
        if (isRaised)
            CHECK(runUntil([&] { return open != nullptr; }));
        else
            CHECK(runUntil([&] { return answers.find("HTTP/1.1 413") != std::string::npos; }));
    }
}

// Guards against idle connections that keep the idle limit of an older routing document: callers that go on within a
// raised limit lose their requests, and a lowered one is not in force.
TEST_CASE("open connections follow a changed idle limit", "[Http]")
{
    const Http::HttpLimits brief { 65'536, 16'384, 60s, 60s, 2s };
    const Http::HttpLimits lasting { 65'536, 16'384, 60s, 60s, 60s };
    const auto openBoth = [](LimitedServer& fixture) {
        std::vector<boost::asio::ip::tcp::socket> callers;
        callers.push_back(fixture.connect());
        callers.push_back(fixture.connect());
        fixture.run([&] { return fixture.server.connectionCount() == 2; });
        // One has been answered, the other has sent nothing.
        REQUIRE(fixture.statusOf(callers[0], "", 100) == 200);
        return callers;
    };
    SECTION("raised")
    {
        LimitedServer fixture(brief);
        auto callers = openBoth(fixture);
        fixture.server.setLimits(lasting);
        fixture.context.restart();
        fixture.context.run_for(2500ms);
        for (auto& caller : callers)
            CHECK(fixture.statusOf(caller, "", 100) == 200);
    }
    SECTION("lowered")
    {
        LimitedServer fixture(lasting);
        const auto callers = openBoth(fixture);
        fixture.server.setLimits(brief);
        fixture.run([&] { return fixture.server.connectionCount() == 0; });
    }
}

// Guards against bodies that stop short of their end and keep memory, connections or both from ordinary callers.
TEST_CASE("stalled bodies give way to ordinary requests", "[Http]")
{
    const auto budget = std::make_shared<Http::ReceiveBudget>(200'000);
    LimitedServer fixture({ 65'536, 16'384, 60s, 60s, 60s }, 16, budget);
    std::vector<boost::asio::ip::tcp::socket> crowd;
    const std::string stalled
        = "POST /q HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(59'990, 'b');
    for (int number = 0; number < 40; ++number) {
        crowd.push_back(fixture.connect());
        boost::asio::async_write(crowd.back(), boost::asio::buffer(stalled), [](const auto&, std::size_t) {});
        fixture.context.restart();
        fixture.context.run_for(5ms);
        CHECK(budget->heldBytes() <= budget->limitBytes());
    }
    fixture.run([&] { return budget->closedCount(Http::CloseReason::ReceiveBudget) >= 30; });
    for (int number = 0; number < 20; ++number)
        crowd.push_back(fixture.connect());
    auto ordinary = fixture.connect();
    CHECK(fixture.statusOf(ordinary, "", 300) == 200);
    CHECK(budget->closedCount(Http::CloseReason::ConnectionLimit) > 0);
    auto large = fixture.connect();
    CHECK(fixture.statusOf(large, "", 65'536) == 200);
}

// Guards against an idle connection that counts as one whose answer is not read, and holds a part of the budget.
TEST_CASE("a connection holds nothing after its long answer was read", "[Http]")
{
    const auto budget = std::make_shared<Http::ReceiveBudget>(40'000'000);
    LimitedServer fixture({ 65'536, 16'384, 60s, 60s, 2s }, 16, budget);
    // More than the system takes for a client that does not read.
    fixture.answerTail = std::string(15'000'000, 'a');
    auto caller = fixture.connect();
    boost::asio::write(caller, boost::asio::buffer(std::string("GET /q HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.run([&] { return budget->heldBytes() > 0; });
    std::vector<char> answer(fixture.answerTail.size());
    boost::asio::async_read(caller, boost::asio::buffer(answer), [](const auto&, std::size_t) {});
    fixture.run([&] { return budget->heldBytes() == 0; });
    CHECK(fixture.server.connectionCount() == 1);
    fixture.run([&] { return fixture.server.connectionCount() == 0; });
    CHECK(budget->closedCount(Http::CloseReason::AnswerTime) == 0);
}

// Guards against answers that were sent and stay in memory, uncounted, for as long as their connections are idle.
TEST_CASE("an idle connection takes no memory for the answer before", "[Http]")
{
    LimitedServer fixture({ 65'536, 16'384, 60s, 60s, 60s });
    fixture.answerTail = std::string(1'000'000, 'a');
    std::vector<boost::asio::ip::tcp::socket> callers;
    std::vector<char> answer(fixture.answerTail.size());
    const std::size_t before = allocatedBytes();
    for (int number = 0; number < 4; ++number) {
        callers.push_back(fixture.connect());
        boost::asio::write(callers.back(), boost::asio::buffer(std::string("GET /q HTTP/1.1\r\nHost: a\r\n\r\n")));
        bool isRead = false;
        boost::asio::async_read(
            callers.back(), boost::asio::buffer(answer), [&](const auto&, std::size_t) { isRead = true; });
        fixture.run([&] { return isRead; });
    }
    CHECK(fixture.server.connectionCount() == 4);
    CHECK(allocatedBytes() - before < fixture.answerTail.size());
}

// Guards against clients that ask for long answers, don't read them, and take the memory of the process.
TEST_CASE("answers that are not read give way to others", "[Http]")
{
    const auto budget = std::make_shared<Http::ReceiveBudget>(40'000'000);
    LimitedServer fixture({ 65'536, 16'384, 60s, 60s, 60s }, 16, budget);
    // More than the system takes for a client that does not read.
    fixture.answerTail = std::string(15'000'000, 'a');
    std::vector<boost::asio::ip::tcp::socket> crowd;
    const std::string request = "GET /q HTTP/1.1\r\nHost: a\r\n\r\n";
    for (int number = 0; number < 4; ++number) {
        crowd.push_back(fixture.connect());
        boost::asio::write(crowd.back(), boost::asio::buffer(request));
        fixture.context.restart();
        fixture.context.run_for(50ms);
        CHECK(budget->heldBytes() <= budget->limitBytes());
    }
    CHECK(budget->closedCount(Http::CloseReason::ReceiveBudget) == 2);
    auto ordinary = fixture.connect();
    CHECK(fixture.statusOf(ordinary, "", 300) == 200);
}

// Guards against callers who keep every place by asking again and again, and against a caller whose request is lost
// because another one needs the place.
TEST_CASE("a new connection gets its turn among connections that are served", "[Http]")
{
    LimitedServer fixture({ 65'536, 16'384, 60s, 60s, 60s }, 4);
    // Each asks again as soon as it has its answer, until an answer says that it is the last one.
    struct Caller {
        boost::asio::ip::tcp::socket socket;
        std::array<char, 1024> bytes {};
        int answers = 0;
        bool isOver = false;
        bool isLost = false;
    };
    const std::string request = "GET /q HTTP/1.1\r\nHost: a\r\n\r\n";
    std::list<Caller> crowd;
    const std::function<void(Caller&)> ask = [&](Caller& caller) {
        boost::asio::write(caller.socket, boost::asio::buffer(request));
        caller.socket.async_read_some(boost::asio::buffer(caller.bytes), [&](const auto& error, std::size_t count) {
            caller.isLost = static_cast<bool>(error);
            caller.isOver = std::string_view(caller.bytes.data(), count).find("Connection: close") != std::string::npos;
            ++caller.answers;
            if (!caller.isLost && !caller.isOver)
                ask(caller);
        });
    };
    for (int number = 0; number < 4; ++number)
        ask(crowd.emplace_back(Caller { fixture.connect() }));
    fixture.run([&] { return crowd.back().answers > 10; });
    auto newcomer = fixture.connect();
    CHECK(fixture.statusOf(newcomer, "", 10) == 200);
    // The oldest one made room, and every request was answered.
    CHECK(crowd.front().isOver);
    CHECK(std::none_of(crowd.begin(), crowd.end(), [](const Caller& caller) { return caller.isLost; }));
    CHECK(fixture.server.connectionCount() <= 4);
}

// Guards against new connections that wait without end for a place that nobody gives up.
TEST_CASE("a new connection is closed when every other one waits for its answer", "[Http]")
{
    boost::asio::io_context context;
    std::vector<Http::HttpSession::Pointer> waiting;
    const auto budget = std::make_shared<Http::ReceiveBudget>(1'000'000);
    Http::HttpServer server(context, { 65'536, 16'384, 60s, 60s, 60s }, 2,
        { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest&) { waiting.push_back(session); }, {},
            {} },
        budget);
    const std::string address = server.listen("127.0.0.1:0").value();
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int number = 0; number < 6; ++number) {
        callers.emplace_back(context);
        callers.back().connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        boost::asio::write(callers.back(), boost::asio::buffer(std::string("GET /q HTTP/1.1\r\nHost: a\r\n\r\n")));
    }
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (budget->closedCount(Http::CloseReason::ConnectionLimit) < 4 && std::chrono::steady_clock::now() < end)
        context.run_one_for(20ms);
    CHECK(budget->closedCount(Http::CloseReason::ConnectionLimit) == 4);
    CHECK(waiting.size() == 2);
    // A place that is given up is taken again.
    waiting.clear();
    callers.clear();
    callers.emplace_back(context);
    callers.back().connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(callers.back(), boost::asio::buffer(std::string("GET /q HTTP/1.1\r\nHost: a\r\n\r\n")));
    while (waiting.empty() && std::chrono::steady_clock::now() < end)
        context.run_one_for(20ms);
    CHECK(waiting.size() == 1);
}
