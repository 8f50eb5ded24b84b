#include "celeryswitch/Entry/ReportSender.h"

namespace celeryswitch::Entry {

namespace {

constexpr Core::Duration reportInterval = std::chrono::seconds(1);
constexpr std::int64_t millisecondsPerMinute = 60000;

}

ReportSender::ReportSender(EntryContext& context)
    : context(context)
{
    this->pending.entryId = context.settings.identity.instanceId;
    this->pending.incarnation = context.settings.identity.incarnation;
}

void ReportSender::add(const std::string& service, const std::string& kind, const std::string& team,
    const std::vector<Messages::TaskResult>& results)
{
    std::map<std::pair<Messages::TaskOutcome, Messages::TaskReason>, std::uint64_t> counts;
    for (const Messages::TaskResult& result : results)
        ++counts[{ result.outcome, result.reason }];
    const std::int64_t minute = this->context.wallMilliseconds / millisecondsPerMinute;
    for (const auto& [what, count] : counts)
        this->sums[{ service, kind, team, minute, what.first, what.second }] += count;
}

std::optional<Messages::AppendReport> ReportSender::nextRequest()
{
    if (this->isInProgress || this->context.now < this->nextSend)
        return std::nullopt;
    if (this->pending.rows.empty()) {
        if (this->sums.empty())
            return std::nullopt;
        ++this->pending.sequence;
        for (const auto& [key, tasks] : this->sums) {
            const auto& [service, kind, team, minute, outcome, reason] = key;
            this->pending.rows.push_back({ service, kind, team, minute, outcome, reason, tasks });
        }
        this->sums.clear();
    }
    this->isInProgress = true;
    this->nextSend = after(this->context.now, reportInterval);
    return this->pending;
}

void ReportSender::requestEnded(bool isConfirmed)
{
    this->isInProgress = false;
    if (isConfirmed)
        this->pending.rows.clear();
}

}
