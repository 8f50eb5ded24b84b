#include "celeryswitch/Scheduling/OverloadGuard.h"

#include "celeryswitch/Scheduling/RefusalAdvice.h"
#include <algorithm>
#include <vector>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Scheduling {

namespace {

// Standing lag that is accepted. A job waits for the event loop at least twice: when it arrives and when its last task
// ends.
constexpr Core::Duration acceptedLag = std::chrono::milliseconds(20);
// Growth of the refused share at an observation with the accepted lag, and the largest multiple of it.
constexpr double shareStep = 0.02;
constexpr double maximumSteps = 4;
constexpr double maximumShare = 0.95;
// Decay of the refused share at an observation below the accepted lag.
constexpr double shareDecay = 0.93;
constexpr double minimumShare = 0.005;
// Arrivals below which a queue is forgotten.
constexpr double forgottenArrivals = 0.01;

}

Core::Duration OverloadGuard::standingLag() const { return *std::min_element(this->lags.begin(), this->lags.end()); }

void OverloadGuard::loopObserved(Core::SteadyTime now, Core::Duration lag)
{
    this->lags[this->nextLag] = std::max(lag, Core::Duration::zero());
    this->nextLag = (this->nextLag + 1) % this->lags.size();
    const double excess = std::chrono::duration<double>(this->standingLag()) / acceptedLag;
    if (excess > 1)
        this->share = std::min(maximumShare, this->share + shareStep * std::min(excess, maximumSteps));
    else
        this->share *= shareDecay;
    if (this->share < minimumShare)
        this->share = 0;
    this->divide(now);
}

void OverloadGuard::divide(Core::SteadyTime now)
{
    std::erase_if(this->queues, [now](const auto& queue) { return queue.second.arrivals.at(now) < forgottenArrivals; });
    std::vector<std::pair<double, Queue*>> byArrivals;
    double all = 0;
    for (auto& [name, queue] : this->queues) {
        byArrivals.emplace_back(queue.arrivals.at(now), &queue);
        all += byArrivals.back().first;
    }
    std::sort(byArrivals.begin(), byArrivals.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    // Each queue gets an equal part of what can be admitted; what a queue doesn't need goes to the larger ones.
    double capacity = all * (1 - this->share);
    std::size_t remaining = byArrivals.size();
    for (auto& [arrivals, queue] : byArrivals) {
        const double admitted = std::min(arrivals, capacity / static_cast<double>(remaining));
        queue->admittedShare = this->share > 0 ? admitted / arrivals : 1;
        capacity -= admitted;
        --remaining;
    }
}

bool OverloadGuard::admits(Core::SteadyTime now, const std::string& name)
{
    Queue& queue = this->queues[name];
    queue.arrivals.add(now, 1);
    if (this->share <= 0)
        return true;
    queue.credit = std::min(queue.credit + queue.admittedShare, 2.0);
    if (queue.credit < 1)
        return false;
    queue.credit -= 1;
    return true;
}

Core::Duration OverloadGuard::retryDelay(std::string_view salt) const
{
    // The larger the share that is refused, the longer callers stay away on average.
    return Scheduling::retryDelay(1 / (1 - this->share), XXH3_64bits(salt.data(), salt.size()));
}

}
