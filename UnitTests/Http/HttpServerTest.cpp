#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Http/HttpConnection.h"
#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

using namespace celeryswitch;
using namespace std::chrono_literals;

// Guards against a request that was held up in the network, and is begun although its caller has closed the connection
// and repeated it elsewhere.
TEST_CASE("a request whose caller has closed the connection is not handled", "[Http]")
{
    boost::asio::io_context context;
    int requests = 0;
    Http::HttpServer server(context, Http::HttpLimits { 65'536, 16'384, 3s, 3s, 3s }, 8,
        { [&](const Http::HttpSession::Pointer&, const Http::HttpRequest&) { ++requests; },
            [](std::uint16_t status, const std::string& reason) {
                return Http::HttpResponse { status, {}, reason };
            },
            [](const Http::HttpSession::Pointer&) {} });
    const Core::Result<std::string> address = server.listen("127.0.0.1:0");
    REQUIRE(address);
    const auto port = static_cast<std::uint16_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1)));
    const auto send = [&](bool isClosed) {
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        boost::asio::write(
            caller, boost::asio::buffer(std::string("POST /q/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")));
        if (isClosed)
            caller.close();
        context.run_for(200ms);
    };
    send(true);
    CHECK(requests == 0);
    send(false);
    CHECK(requests == 1);
}

// Guards against an end of a connection that its entry does not notice: one that lies unread behind other events, or
// behind bytes of a next request.
TEST_CASE("a session knows at once that its caller has closed or reset the connection", "[Http]")
{
    for (const bool isReset : { false, true }) {
        for (const char* nextBytes : { "", "POST /q/2 HTTP/1.1\r\n" }) {
            INFO((isReset ? "reset " : "closed ") << nextBytes);
            boost::asio::io_context context;
            Http::HttpSession::Pointer open;
            Http::HttpServer server(context, Http::HttpLimits { 65'536, 16'384, 3s, 3s, 3s }, 8,
                { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest&) { open = session; }, {},
                    [](const Http::HttpSession::Pointer&) {} });
            const Core::Result<std::string> address = server.listen("127.0.0.1:0");
            REQUIRE(address);
            const auto port
                = static_cast<std::uint16_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1)));
            boost::asio::ip::tcp::socket caller(context);
            caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
            const std::string bytes = std::string("POST /q/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
            boost::asio::write(caller, boost::asio::buffer(bytes));
            for (int turn = 0; turn < 100 && !open; ++turn)
                context.run_for(10ms);
            REQUIRE(open);
            boost::asio::write(caller, boost::asio::buffer(std::string(nextBytes)));
            CHECK_FALSE(open->isClosedByCaller());
            CHECK(Http::HttpSession::closedByCallers({ open.get() }).empty());
            if (isReset)
                caller.set_option(boost::asio::socket_base::linger(true, 0));
            caller.close();
            // The event loop does not run in between.
            CHECK(open->isClosedByCaller());
            CHECK(Http::HttpSession::closedByCallers({ open.get() }).size() == 1);
        }
    }
}

// Guards against a check of all callers that misses one of several ended connections, or takes one for another.
TEST_CASE("all sessions whose callers have left are found among those that wait", "[Http]")
{
    boost::asio::io_context context;
    std::map<std::string, Http::HttpSession::Pointer> open;
    Http::HttpServer server(context, Http::HttpLimits { 65'536, 16'384, 3s, 3s, 3s }, 64,
        { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
             open[request.path] = session;
         },
            {}, [](const Http::HttpSession::Pointer&) {} });
    const Core::Result<std::string> address = server.listen("127.0.0.1:0");
    REQUIRE(address);
    const auto port = static_cast<std::uint16_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1)));
    constexpr int callersCount = 40;
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int number = 0; number < callersCount; ++number) {
        callers.emplace_back(context);
        callers.back().connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        const std::string bytes = "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(callers.back(), boost::asio::buffer(bytes));
    }
    for (int turn = 0; turn < 1000 && open.size() < callersCount; ++turn)
        context.run_for(10ms);
    REQUIRE(open.size() == callersCount);
    std::vector<Http::HttpSession*> sessions;
    for (const auto& [path, session] : open)
        sessions.push_back(session.get());
    CHECK(Http::HttpSession::closedByCallers({}).empty());
    CHECK(Http::HttpSession::closedByCallers(sessions).empty());
    std::set<Http::HttpSession*> left;
    for (int number = 0; number < callersCount; number += 3) {
        if (number % 2 == 0)
            callers[number].set_option(boost::asio::socket_base::linger(true, 0));
        callers[number].close();
        left.insert(open.at("/" + std::to_string(number)).get());
    }
    // The event loop does not run in between.
    const std::vector<Http::HttpSession*> found = Http::HttpSession::closedByCallers(sessions);
    CHECK(found.size() == left.size());
    CHECK(std::set<Http::HttpSession*>(found.begin(), found.end()) == left);
    // The sessions end; their descriptors are closed and count as gone.
    context.restart();
    context.run_for(50ms);
    CHECK(Http::HttpSession::closedByCallers(sessions).size() == left.size());
}

// Guards against a process that listens on a port chosen by the system, where nobody reaches it, because its settings
// name a port out of range.
TEST_CASE("a server refuses an address with a port out of range", "[Http]")
{
    for (const char* wrong : { "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:", "127.0.0.1" }) {
        INFO(wrong);
        boost::asio::io_context context;
        Http::HttpServer server(context, {}, 1, {});
        const auto bound = server.listen(wrong);
        REQUIRE_FALSE(bound);
        REQUIRE(bound.error().is(Http::HttpServerError::BadAddress));
    }
    const auto response = Http::httpCall("127.0.0.1:65536", { "GET", "/", {}, {} }, std::chrono::seconds(1));
    REQUIRE_FALSE(response);
    REQUIRE(response.error().is(Http::HttpError::BadAddress));
}

// Guards against an answer that takes the memory of the process that asked.
TEST_CASE("an answer whose body is too long is not read", "[Http]")
{
    boost::asio::io_context context;
    std::size_t bodyBytes = 0;
    Http::HttpServer server(context, Http::HttpLimits { 65'536, 16'384, 3s, 3s, 3s }, 8,
        { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest&) {
             session->respond({ 200, {}, std::string(bodyBytes, 'x') });
         },
            [](std::uint16_t status, const std::string& reason) {
                return Http::HttpResponse { status, {}, reason };
            },
            {} });
    const Core::Result<std::string> address = server.listen("127.0.0.1:0");
    REQUIRE(address);
    Http::HttpConnection connection(context, address.value());
    const auto ask = [&](Http::HttpConnection& from, std::size_t bytes) {
        bodyBytes = bytes;
        std::optional<Core::Result<Http::HttpResponse>> answer;
        from.request({ "GET", "/", {}, {} }, 10s, [&](Core::Result<Http::HttpResponse> result) { answer = result; });
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!answer && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_one_for(50ms);
        }
        REQUIRE(answer);
        return *answer;
    };
    const auto longest = ask(connection, 4 * 1024 * 1024);
    REQUIRE(longest);
    CHECK(longest.value().body.size() == 4 * 1024 * 1024);
    const auto tooLong = ask(connection, 4 * 1024 * 1024 + 1);
    REQUIRE_FALSE(tooLong);
    CHECK(tooLong.error().is(Http::HttpError::TooLarge));
    CHECK(tooLong.error().message().find("exceeds 4194304 bytes") != std::string::npos);
    // The connection can be used again, and a wider limit holds.
    CHECK(ask(connection, 10));
    Http::HttpConnection wide(context, address.value(), 8 * 1024 * 1024);
    CHECK(ask(wide, 4 * 1024 * 1024 + 1));
}

// Guards against a process that ends because the handling of one request fails unexpectedly.
TEST_CASE("an error in the handling of a request ends its connection alone", "[Http]")
{
    boost::asio::io_context context;
    int handled = 0;
    Http::HttpServer server(context, Http::HttpLimits { 65'536, 16'384, 3s, 3s, 3s }, 8,
        { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
             if (request.path == "/faulty")
                 throw std::runtime_error("unexpected");
             ++handled;
             session->respond({ 200, {}, "{}" });
         },
            [](std::uint16_t status, const std::string& reason) {
                return Http::HttpResponse { status, {}, reason };
            },
            {} });
    const Core::Result<std::string> address = server.listen("127.0.0.1:0");
    REQUIRE(address);
    const auto port = static_cast<std::uint16_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1)));
    const auto statusOf = [&](const std::string& path) {
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        boost::asio::write(caller, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
        std::string answer(512, '\0');
        std::size_t size = 0;
        caller.async_read_some(
            boost::asio::buffer(answer), [&](const boost::system::error_code&, std::size_t count) { size = count; });
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (size == 0 && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_one_for(50ms);
        }
        return answer.substr(0, std::min<std::size_t>(size, 12));
    };
    CHECK(statusOf("/sound") == "HTTP/1.1 200");
    CHECK(statusOf("/faulty") == "HTTP/1.1 500");
    CHECK(statusOf("/sound") == "HTTP/1.1 200");
    CHECK(handled == 2);
}

// Guards against connections that stay open although their callers send nothing or never finish a request, also after
// requests that were answered, and against a limit that ends a request while it waits for its answer.
TEST_CASE("connections end at their time limits and not while a request waits", "[Http]")
{
    struct Case {
        const char* name;
        // Times of the header, the body and between requests; the long ones are not reached.
        std::chrono::milliseconds header, body, idle;
        const char* start;
    };
    const std::string whole = "POST /q HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    const std::array<Case, 3> cases { { { "idle", 60s, 60s, 100ms, "" },
        { "header", 100ms, 60s, 60s, "POST /q HTTP/1.1\r\nHo" },
        { "body", 60s, 100ms, 60s, "POST /q HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{" } } };
    for (const Case& limits : cases) {
        for (const int answered : { 0, 1, 3 }) {
            INFO(limits.name << " after " << answered << " requests");
            boost::asio::io_context context;
            Http::HttpSession::Pointer open;
            Http::HttpServer server(context, { 65'536, 16'384, limits.header, limits.body, limits.idle }, 8,
                { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest&) { open = session; }, {},
                    [](const Http::HttpSession::Pointer&) {} });
            const Core::Result<std::string> address = server.listen("127.0.0.1:0");
            REQUIRE(address);
            const auto port
                = static_cast<std::uint16_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1)));
            const auto runUntil = [&](const auto& condition) {
                const auto end = std::chrono::steady_clock::now() + 10s;
                while (!condition() && std::chrono::steady_clock::now() < end) {
                    context.restart();
                    context.run_one_for(20ms);
                }
                return condition();
            };
            boost::asio::ip::tcp::socket caller(context);
            caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
            for (int request = 0; request < answered; ++request) {
                boost::asio::write(caller, boost::asio::buffer(whole));
                REQUIRE(runUntil([&] { return open != nullptr; }));
                // Longer than each short limit.
                context.restart();
                context.run_for(150ms);
                CHECK_FALSE(open->isClosedByCaller());
                open->respond({ 200, {}, "{}" });
                open = nullptr;
                std::array<char, 1024> bytes {};
                REQUIRE(caller.read_some(boost::asio::buffer(bytes)) > 0);
            }
            boost::asio::write(caller, boost::asio::buffer(std::string(limits.start)));
            REQUIRE(runUntil([&] { return server.connectionCount() == 1; }));
            CHECK(runUntil([&] { return server.connectionCount() == 0; }));
            CHECK_FALSE(open);
        }
    }
}

// Guards against an answer that is cut short or mixed up when the socket takes only a part of it, and against requests
// that are lost because they arrive together.
TEST_CASE("long answers to requests that arrive together are whole and in order", "[Http]")
{
    boost::asio::io_context context;
    std::vector<std::string> paths;
    Http::HttpServer server(context, Http::HttpLimits { 65'536, 16'384, 10s, 10s, 10s }, 8,
        { [&](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
             paths.push_back(request.path + request.body);
             session->respond({ 200, {}, std::string(3'000'000, static_cast<char>('a' + paths.size())) });
         },
            {}, [](const Http::HttpSession::Pointer&) {} });
    const Core::Result<std::string> address = server.listen("127.0.0.1:0");
    REQUIRE(address);
    const auto port = static_cast<std::uint16_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1)));
    boost::asio::ip::tcp::socket caller(context);
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    std::string requests;
    for (const char* path : { "/1", "/2", "/3" })
        requests += std::string("POST ") + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    boost::asio::write(caller, boost::asio::buffer(requests));
    // Nothing is read until the socket's buffers are full.
    context.run_for(200ms);
    std::string received;
    std::array<char, 65'536> bytes {};
    std::function<void()> read = [&] {
        caller.async_read_some(
            boost::asio::buffer(bytes), [&](const boost::system::error_code& error, std::size_t count) {
                received.append(bytes.data(), count);
                if (!error)
                    read();
            });
    };
    read();
    const auto end = std::chrono::steady_clock::now() + 10s;
    const auto isWhole = [&] {
        const std::size_t head = received.find("\r\n\r\n");
        return head != std::string::npos && received.size() >= 3 * (head + 4 + 3'000'000);
    };
    while (!isWhole() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(50ms);
    }
    CHECK(paths == std::vector<std::string> { "/1{}", "/2{}", "/3{}" });
    std::size_t position = 0;
    for (const char letter : { 'b', 'c', 'd' }) {
        REQUIRE(received.compare(position, 15, "HTTP/1.1 200 OK") == 0);
        const std::size_t body = received.find("\r\n\r\n", position) + 4;
        CHECK(received.substr(body, 3'000'000) == std::string(3'000'000, letter));
        position = body + 3'000'000;
    }
    CHECK(position == received.size());
}
