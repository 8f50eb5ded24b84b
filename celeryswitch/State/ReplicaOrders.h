#pragma once

#include "celeryswitch/Core/Clock.h"
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace celeryswitch::State {

/// What other threads ask of the decision thread of a state replica. Safe to call from any thread.
class ReplicaOrders {
public:
    /// Replaces the replicas, by name with their addresses, that are asked for the group.
    void setKnownReplicas(std::map<std::string, std::string> addresses)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->addresses = std::move(addresses);
    }
    std::map<std::string, std::string> knownReplicas() const
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->addresses;
    }
    /// Asks for the departure of the replica, until a time at the latest; `onDone` is called once.
    void depart(Core::SteadyTime until, std::function<void()> onDone)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->departsUntil = until;
        this->onDeparted = std::move(onDone);
    }
    /// Whether a departure was asked for and has not ended.
    bool isDeparting() const
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return bool(this->onDeparted);
    }
    /// Ends a departure that is decided or whose time is over at `now`; returns what has to be called, or nothing.
    std::function<void()> takeDeparted(Core::SteadyTime now, bool isDecided)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return isDecided || now >= this->departsUntil ? std::exchange(this->onDeparted, nullptr) : nullptr;
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, std::string> addresses;
    Core::SteadyTime departsUntil;
    std::function<void()> onDeparted;
};

}
