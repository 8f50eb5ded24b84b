#include "celeryswitch/Report/ReportSums.h"

namespace celeryswitch::Report {

namespace {

bool matches(const ReportFilter& filter, const Messages::ReportRow& row)
{
    return (filter.service.empty() || filter.service == row.service) && (filter.kind.empty() || filter.kind == row.kind)
        && (filter.team.empty() || filter.team == row.team) && row.minute >= filter.fromMinute
        && row.minute < filter.toMinute;
}

template <typename Key> std::uint64_t sumOf(const std::map<Key, OutcomeCounts>& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [key, value] : counts)
        sum += value.total();
    return sum;
}

}

void OutcomeCounts::add(Messages::TaskOutcome outcome, std::uint64_t tasks)
{
    switch (outcome) {
    case Messages::TaskOutcome::Succeeded:
        this->succeeded += tasks;
        break;
    case Messages::TaskOutcome::Failed:
        this->failed += tasks;
        break;
    case Messages::TaskOutcome::Unconfirmed:
        this->unconfirmed += tasks;
        break;
    case Messages::TaskOutcome::NeverStarted:
        this->neverStarted += tasks;
        break;
    }
}

ReportSums::ReportSums(const std::vector<Messages::ReportRow>& rows, ReportFilter filter)
    : reportFilter(std::move(filter))
{
    for (const Messages::ReportRow& row : rows) {
        if (!matches(this->reportFilter, row))
            continue;
        this->totalCounts.add(row.outcome, row.tasks);
        this->services[row.service].add(row.outcome, row.tasks);
        this->kinds[row.kind].add(row.outcome, row.tasks);
        this->teams[row.team].add(row.outcome, row.tasks);
        this->minutes[row.minute].add(row.outcome, row.tasks);
        this->groups[{ row.service, row.kind, row.team }].add(row.outcome, row.tasks);
        this->reasons[{ row.outcome, row.reason }] += row.tasks;
    }
}

std::vector<Agreement> ReportSums::agreements() const
{
    std::uint64_t reasonSum = 0;
    for (const auto& [key, tasks] : this->reasons)
        reasonSum += tasks;
    const std::uint64_t total = this->totalCounts.total();
    return { { "outcomes and services", total, sumOf(this->services) },
        { "outcomes and kinds", total, sumOf(this->kinds) }, { "outcomes and teams", total, sumOf(this->teams) },
        { "outcomes and minutes", total, sumOf(this->minutes) }, { "outcomes and rows", total, sumOf(this->groups) },
        { "outcomes and reasons", total, reasonSum } };
}

}
