#include "celeryswitch/Load/LoadGenerator.h"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>

namespace celeryswitch::Load {

class LoadGenerator::Implementation {
public:
    Implementation(
        const Workload& workload, std::vector<PhaseDescription> phases, double slots, double part, std::uint64_t seed)
        : workload(workload)
        , phases(std::move(phases))
        , scale(part * slots / (double(workload.service.workers) * double(workload.service.slotsPerWorker)))
        , generator(seed)
    {
    }

    std::optional<PlannedJob> next()
    {
        while (this->phase < this->phases.size()) {
            const std::vector<double> rates = this->jobRates();
            const double total = sumOf(rates);
            const double gap = total > 0 ? std::exponential_distribution<double>(total)(this->generator) : INFINITY;
            const double end = this->phaseStart + seconds(this->phases[this->phase].duration);
            if (this->time + gap >= end) {
                // Arrivals have no memory, so the rest of the gap is drawn anew at the next phase's rate.
                this->time = end;
                this->phaseStart = end;
                ++this->phase;
                continue;
            }
            this->time += gap;
            return this->job(std::discrete_distribution<std::size_t>(rates.begin(), rates.end())(this->generator));
        }
        return std::nullopt;
    }

private:
    static double seconds(Core::Duration span) { return std::chrono::duration<double>(span).count(); }
    static double sumOf(const std::vector<double>& values)
    {
        double sum = 0;
        for (double value : values)
            sum += value;
        return sum;
    }

    // Jobs of each kind that arrive in a second.
    std::vector<double> jobRates() const
    {
        const PhaseDescription& current = this->phases[this->phase];
        std::vector<double> rates;
        for (const KindDescription& kind : this->workload.kinds) {
            const double flood = current.floodKind == kind.name ? current.floodFactor : 1;
            rates.push_back(
                this->workload.tasksPerSecond(kind, current.loadPercent) * flood * this->scale / kind.meanJobSize());
        }
        return rates;
    }

    PlannedJob job(std::size_t kindIndex)
    {
        const KindDescription& kind = this->workload.kinds[kindIndex];
        std::vector<double> weights;
        for (const JobSize& size : kind.jobSizes)
            weights.push_back(size.weight);
        const std::size_t size
            = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->generator);
        PlannedJob job { std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(this->time)),
            kindIndex, {} };
        std::uniform_real_distribution<double> quantile(0, 1);
        for (std::uint32_t task = 0; task < kind.jobSizes[size].tasks; ++task) {
            const Core::Duration run = kind.distribution.at(quantile(this->generator));
            job.serviceMilliseconds.push_back(
                static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(run).count()));
        }
        return job;
    }

    const Workload& workload;
    std::vector<PhaseDescription> phases;
    double scale = 1;
    pcg64 generator;
    std::size_t phase = 0;
    double phaseStart = 0;
    double time = 0;
};

LoadGenerator::LoadGenerator(
    const Workload& workload, std::vector<PhaseDescription> phases, double slots, double part, std::uint64_t seed)
    : implementation(std::make_unique<Implementation>(workload, std::move(phases), slots, part, seed))
{
}

LoadGenerator::~LoadGenerator() = default;

std::optional<PlannedJob> LoadGenerator::next() { return this->implementation->next(); }

}
