#include "celeryswitch/Experiment/CreditStrategy.h"
#include "celeryswitch/Experiment/ExperimentOptions.h"
#include "celeryswitch/Experiment/QueueStrategy.h"

namespace celeryswitch::Experiment {

ExperimentResult runExperiment(const ExperimentOptions& options)
{
    Fleet fleet(options);
    if (options.strategy == StrategyKind::SlotCredits) {
        CreditStrategy strategy(fleet);
        return fleet.run([&](JobIndex job) { strategy.jobArrived(job); });
    }
    QueueStrategy strategy(fleet);
    return fleet.run([&](JobIndex job) { strategy.jobArrived(job); });
}

}
