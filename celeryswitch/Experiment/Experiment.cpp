#include "celeryswitch/Experiment/CreditStrategy.h"
#include "celeryswitch/Experiment/ExperimentOptions.h"

namespace celeryswitch::Experiment {

ExperimentResult runExperiment(const ExperimentOptions& options)
{
    Fleet fleet(options);
    CreditStrategy strategy(fleet);
    return fleet.run([&](JobIndex job) { strategy.jobArrived(job); });
}

}
