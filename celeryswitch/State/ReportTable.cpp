#include "celeryswitch/State/ReportTable.h"

#include <algorithm>

namespace celeryswitch::State {

namespace {

constexpr std::int64_t minutesPerDay = 24 * 60;
constexpr std::int64_t millisecondsPerMinute = 60'000;

}

bool ReportTable::append(std::int64_t time, const Messages::AppendReport& report)
{
    LastSequence& last = this->lastSequences[{ report.entryId, report.incarnation }];
    if (report.sequence <= last.sequence)
        return false;
    last = { report.sequence, time };
    for (const Messages::ReportRow& row : report.rows)
        this->sums[Key(row.minute, row.service, row.kind, row.team, row.outcome, row.reason)] += row.tasks;
    const std::int64_t minute = time / millisecondsPerMinute;
    if (minute > this->newestMinute) {
        this->newestMinute = minute;
        this->mergeOldMinutes(minute);
    }
    return true;
}

std::vector<Messages::ReportRow> ReportTable::query(const Messages::QueryReport& query) const
{
    std::vector<Messages::ReportRow> rows;
    const auto first
        = this->sums.lower_bound(Key(query.fromMinute, "", "", "", Messages::TaskOutcome {}, Messages::TaskReason {}));
    for (auto found = first; found != this->sums.end() && std::get<0>(found->first) < query.toMinute; ++found) {
        const auto& [minute, service, kind, team, outcome, reason] = found->first;
        if (query.service.empty() || query.service == service)
            rows.push_back({ service, kind, team, minute, outcome, reason, found->second });
    }
    return rows;
}

void ReportTable::mergeOldMinutes(std::int64_t minute)
{
    const std::int64_t firstKept = minute - minuteRetention;
    std::map<Key, std::uint64_t> days;
    auto found = this->sums.begin();
    while (found != this->sums.end() && std::get<0>(found->first) < firstKept) {
        const std::int64_t day = std::get<0>(found->first) / minutesPerDay * minutesPerDay;
        if (std::get<0>(found->first) == day) {
            ++found;
            continue;
        }
        Key key = found->first;
        std::get<0>(key) = day;
        days[key] += found->second;
        found = this->sums.erase(found);
    }
    for (const auto& [key, tasks] : days)
        this->sums[key] += tasks;
    // An incarnation that was silent for a day has ended; nothing of it is under way any more.
    std::erase_if(
        this->lastSequences, [&](const auto& entry) { return entry.second.time / millisecondsPerMinute < firstKept; });
}

}
