#include "celeryswitch/Experiment/CreditStrategy.h"
#include "celeryswitch/Experiment/ExperimentOptions.h"
#include "celeryswitch/Experiment/QueueStrategy.h"

namespace celeryswitch::Experiment {

ExperimentResult runExperiment(const ExperimentOptions& options)
{
    FleetSimulation simulation(options);
    if (options.strategy == StrategyKind::SlotCredits) {
        CreditStrategy strategy(simulation);
        return simulation.run([&](JobIndex job) { strategy.submitJob(job); });
    }
    QueueStrategy strategy(simulation);
    return simulation.run([&](JobIndex job) { strategy.submitJob(job); });
}

}
