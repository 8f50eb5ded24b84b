#include "celeryswitch/Core/EventLoop.h"
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <vector>

using namespace celeryswitch;

// Guards against a process that ends because one handler fails unexpectedly.
TEST_CASE("an event loop goes on after an error in a handler", "[Core]")
{
    boost::asio::io_context context;
    int handled = 0;
    std::vector<std::string> errors;
    boost::asio::post(context, [&] { ++handled; });
    boost::asio::post(context, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(context, [&] { ++handled; });
    Core::runEventLoop(context, [&](const std::string& detail) { errors.push_back(detail); });
    REQUIRE(handled == 2);
    REQUIRE(errors == std::vector<std::string> { "unexpected" });
}

// Guards against a flag that stays set after an error and blocks all later work.
TEST_CASE("a scope's exit action also runs when an exception leaves it", "[Core]")
{
    bool isRunning = true;
    const auto work = [&] {
        const Core::ScopeExit endOfWork([&] { isRunning = false; });
        throw std::runtime_error("unexpected");
    };
    REQUIRE_THROWS(work());
    REQUIRE_FALSE(isRunning);
}
