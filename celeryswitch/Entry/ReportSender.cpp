#include "celeryswitch/Entry/ReportSender.h"

namespace celeryswitch::Entry {

namespace {

constexpr Core::Duration reportInterval = std::chrono::seconds(1);
constexpr std::int64_t millisecondsPerMinute = 60000;

}

ReportSender::ReportSender(EntryContext& context)
    : context(context)
{
    this->pendingReport.entryId = context.settings.identity.instanceId;
    this->pendingReport.incarnation = context.settings.identity.incarnation;
}

void ReportSender::add(const std::string& service, const std::string& kind, const std::string& team,
    const std::vector<Messages::TaskResult>& results)
{
    std::map<std::pair<Messages::TaskOutcome, Messages::TaskReason>, std::uint64_t> counts;
    for (const Messages::TaskResult& result : results)
        ++counts[{ result.outcome, result.reason }];
    const std::int64_t minute = this->context.wallMilliseconds / millisecondsPerMinute;
    for (const auto& [outcomeAndReason, count] : counts)
        this->totals[{ service, kind, team, minute, outcomeAndReason.first, outcomeAndReason.second }] += count;
}

std::optional<Messages::AppendReport> ReportSender::nextRequest()
{
    if (this->isRequestPending || this->context.now < this->nextSendTime)
        return std::nullopt;
    if (this->pendingReport.rows.empty()) {
        if (this->totals.empty())
            return std::nullopt;
        ++this->pendingReport.sequence;
        for (const auto& [key, tasks] : this->totals) {
            const auto& [service, kind, team, minute, outcome, reason] = key;
            this->pendingReport.rows.push_back({ service, kind, team, minute, outcome, reason, tasks });
        }
        this->totals.clear();
    }
    this->isRequestPending = true;
    this->nextSendTime = addDuration(this->context.now, reportInterval);
    return this->pendingReport;
}

void ReportSender::requestFinished(bool isConfirmed)
{
    this->isRequestPending = false;
    if (isConfirmed)
        this->pendingReport.rows.clear();
}

}
