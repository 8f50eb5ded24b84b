#include "celeryswitch/Http/BudgetReport.h"

namespace celeryswitch::Http {

std::shared_ptr<ReceiveBudget> makeBudget(std::size_t limitBytes, Logging::StructuredLog& log)
{
    auto budget = std::make_shared<ReceiveBudget>(limitBytes);
    budget->setReport([&log, limitBytes](const CloseCounts& counts, std::size_t heldBytes) {
        std::string reasons;
        for (const auto& [reason, name] : Core::EnumTable<CloseReason>::names) {
            if (const std::uint64_t count = counts[static_cast<std::size_t>(reason)]; count > 0)
                reasons += (reasons.empty() ? "" : " ") + std::string(name) + ":" + std::to_string(count);
        }
        log.write(Logging::LogLevel::Warning, "connections closed",
            { { "reasons", reasons }, { "held", static_cast<std::uint64_t>(heldBytes) },
                { "limit", static_cast<std::uint64_t>(limitBytes) } });
    });
    return budget;
}

void collectBudget(const ReceiveBudget& budget, Metrics::MetricRegistry& registry)
{
    registry.gauge("celeryswitch_received_bytes_held", "Bytes of connections that were received and not yet handled.")
        .set(static_cast<double>(budget.heldBytes()));
    registry.gauge("celeryswitch_received_bytes_limit", "Budget of bytes received and not yet handled.")
        .set(static_cast<double>(budget.limitBytes()));
    for (const auto& [reason, name] : Core::EnumTable<CloseReason>::names)
        registry
            .gauge("celeryswitch_connections_closed", "Connections closed or refused since the start, by reason.",
                { { "reason", std::string(name) } })
            .set(static_cast<double>(budget.closedCount(reason)));
}

}
