#pragma once

#include "celeryswitch/Core/Clock.h"
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace celeryswitch::Scheduling {

/// Requests that arrive while an entry can't handle any. They are handled in the order of their arrival and before all
/// later ones, so that a cancellation does not overtake the submission of its job.
template <typename Request> class DeferredRequests {
public:
    struct Arrival {
        Request request;
        Core::SteadyTime arrivedAt;
        bool isDeferred = false;
    };
    using Handler = std::function<void(Arrival)>;

    /// At most `limit` requests are deferred.
    DeferredRequests(std::size_t limit, Handler handler)
        : limit(limit)
        , handler(std::move(handler))
    {
    }
    /// Handles a request after all deferred ones, or defers it if requests can't be handled now. Returns false without
    /// doing either when the limit is reached.
    bool receive(Core::SteadyTime now, bool isHandling, Request request)
    {
        if (isHandling) {
            this->handleAll();
            this->handler({ std::move(request), now, false });
            return true;
        }
        if (this->arrivals.size() >= this->limit)
            return false;
        this->arrivals.push_back({ std::move(request), now, true });
        return true;
    }
    /// Handles all deferred requests.
    void handleAll()
    {
        while (!this->arrivals.empty()) {
            Arrival next = std::move(this->arrivals.front());
            this->arrivals.pop_front();
            this->handler(std::move(next));
        }
    }
    /// Removes and returns the requests that arrived at `time` or before.
    std::vector<Request> takeUntil(Core::SteadyTime time)
    {
        std::vector<Request> taken;
        while (!this->arrivals.empty() && this->arrivals.front().arrivedAt <= time) {
            taken.push_back(std::move(this->arrivals.front().request));
            this->arrivals.pop_front();
        }
        return taken;
    }
    /// Removes the requests for which `isUnwanted` returns true.
    template <typename Predicate> void eraseIf(Predicate&& isUnwanted)
    {
        std::erase_if(this->arrivals, [&](const Arrival& arrival) { return isUnwanted(arrival.request); });
    }

private:
    std::size_t limit;
    Handler handler;
    std::deque<Arrival> arrivals;
};

}
