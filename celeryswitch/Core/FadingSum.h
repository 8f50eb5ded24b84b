#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cmath>

namespace celeryswitch::Core {

/// A sum whose parts fade with time.
class FadingSum {
public:
    /// Parts fall to 1/e of their weight in `span`.
    explicit FadingSum(Duration span)
        : spanSeconds(std::chrono::duration<double>(span).count())
    {
    }
    /// Adds a part.
    void add(SteadyTime now, double amount)
    {
        this->value = this->at(now) + amount;
        this->time = now;
    }
    /// The sum now.
    double at(SteadyTime now) const
    {
        const double age = std::chrono::duration<double>(now - this->time).count();
        return age > 0 ? this->value * std::exp(-age / this->spanSeconds) : this->value;
    }
    /// What is added a second, as far as it is known `since` the first part could have come.
    double rate(SteadyTime now, SteadyTime since) const
    {
        const double seen = std::max(0.0, std::chrono::duration<double>(now - since).count());
        // Until the span is over the sum lacks the parts from before the beginning.
        const double weight = this->spanSeconds * (1 - std::exp(-seen / this->spanSeconds));
        return weight > 0 ? this->at(now) / weight : 0;
    }

private:
    double spanSeconds;
    double value = 0;
    SteadyTime time;
};

}
