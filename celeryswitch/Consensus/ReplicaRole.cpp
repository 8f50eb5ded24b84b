#include "celeryswitch/Consensus/ReplicaRole.h"

#include "celeryswitch/Charts/EmbeddedCharts.h"
#include "celeryswitch/Core/Assert.h"
#include <cstdio>

namespace celeryswitch::Consensus {

const Charts::StateChart& replicaChart()
{
    static const Charts::StateChart chart = [] {
        Core::Result<Charts::StateChart> loaded = Charts::StateChart::load(
            Charts::embeddedFile("replica.toml"), Charts::chartNames<ReplicaRole, RoleEvent, RoleGuard, RoleAction>());
        if (!loaded)
            std::fprintf(stderr, "replica.toml: %s\n", loaded.error().message().c_str());
        CELERY_ASSERT(loaded.has_value());
        return std::move(loaded).value();
    }();
    return chart;
}

}
