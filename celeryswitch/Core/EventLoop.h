#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>

namespace celeryswitch::Core {

/// Runs an event loop until it is stopped or has no more work. An exception ends the handler that threw it, not the
/// process; `onError` gets its description.
template <typename OnError> void runEventLoop(boost::asio::io_context& context, OnError onError)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& failure) {
            onError(std::string(failure.what()));
        }
    }
}

/// Calls a function at the end of the scope, also when an exception leaves it.
class ScopeExit {
public:
    explicit ScopeExit(std::function<void()> action)
        : action(std::move(action))
    {
    }
    ~ScopeExit() { this->action(); }
    ScopeExit(const ScopeExit&) = delete;
    ScopeExit& operator=(const ScopeExit&) = delete;

private:
    std::function<void()> action;
};

}
