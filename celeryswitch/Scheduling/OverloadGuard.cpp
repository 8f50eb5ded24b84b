#include "celeryswitch/Scheduling/OverloadGuard.h"

#include "celeryswitch/Scheduling/RefusalAdvice.h"
#include <algorithm>
#include <vector>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Scheduling {

namespace {

// Lag that is accepted. A job waits for the event loop at least twice: when it arrives and when its last task ends.
constexpr Core::Duration acceptedLag = std::chrono::milliseconds(10);
// Bound of the lag that an observation counts, so that a stop of the process does not look like a long backlog.
constexpr Core::Duration maximumLag = std::chrono::milliseconds(100);
// Proportional-integral control: change of the refused share a second for each second of lag beyond the accepted one,
// and for each second by which the lag grew since the observation before.
constexpr double excessGain = 10;
constexpr double growthGain = 4;
// Decrease of the share a second while the lag is accepted.
constexpr double shareDecrease = 0.4;
// Bound of the time since the observation before that counts.
constexpr double maximumElapsedSeconds = 0.5;
constexpr double maximumShare = 0.95;
// Arrivals below which a queue is forgotten.
constexpr double forgottenArrivals = 0.01;

}

Core::Duration OverloadGuard::standingLag() const { return *std::min_element(this->lags.begin(), this->lags.end()); }

void OverloadGuard::loopObserved(Core::SteadyTime now, Core::Duration lag)
{
    const Core::Duration counted = std::clamp(lag, Core::Duration::zero(), maximumLag);
    const double elapsed
        = std::min(std::chrono::duration<double>(now - this->observedAt).count(), maximumElapsedSeconds);
    this->observedAt = now;
    const Core::Duration before = this->standingLag();
    this->lags[this->nextLag] = counted;
    this->nextLag = (this->nextLag + 1) % this->lags.size();
    const double excess = std::chrono::duration<double>(this->standingLag() - acceptedLag).count();
    const double growth = std::chrono::duration<double>(this->standingLag() - before).count();
    const double integral = excess > 0 ? excessGain * excess * elapsed : -shareDecrease * elapsed;
    if (this->share > 0 || this->standingLag() > acceptedLag)
        this->share = std::clamp(this->share + integral + growthGain * growth, 0.0, maximumShare);
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
