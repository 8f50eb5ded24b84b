#include "celeryswitch/Sidecar/ResultBatcher.h"

#include <algorithm>

namespace celeryswitch::Sidecar {

void ResultBatcher::add(
    const Core::InstanceId& entryId, const Core::JobId& jobId, Messages::TaskResult result, Core::SteadyTime dueAt)
{
    const auto [position, isNew] = this->pending.try_emplace({ entryId, jobId });
    Pending& batch = position->second;
    batch.dueAt = isNew ? dueAt : std::min(batch.dueAt, dueAt);
    batch.bytes += result.body.size();
    batch.results.push_back(std::move(result));
    if (batch.results.size() >= this->resultsPerBatch || batch.bytes >= this->bytesPerBatch)
        batch.dueAt = Core::SteadyTime::min();
}

std::vector<ResultBatch> ResultBatcher::takeDue(Core::SteadyTime now)
{
    std::vector<ResultBatch> due;
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        if (entry->second.dueAt > now) {
            ++entry;
            continue;
        }
        due.push_back({ entry->first.first, entry->first.second, std::move(entry->second.results) });
        entry = this->pending.erase(entry);
    }
    return due;
}

std::optional<ResultBatch> ResultBatcher::takeAny(const Core::InstanceId& entryId)
{
    const auto found = this->pending.lower_bound({ entryId, Core::JobId() });
    if (found == this->pending.end() || found->first.first != entryId)
        return std::nullopt;
    ResultBatch batch { entryId, found->first.second, std::move(found->second.results) };
    this->pending.erase(found);
    return batch;
}

void ResultBatcher::drop(const Core::InstanceId& entryId)
{
    std::erase_if(this->pending, [&](const auto& entry) { return entry.first.first == entryId; });
}

std::optional<Core::SteadyTime> ResultBatcher::nextDue() const
{
    std::optional<Core::SteadyTime> next;
    for (const auto& entry : this->pending) {
        if (!next || entry.second.dueAt < *next)
            next = entry.second.dueAt;
    }
    return next;
}

}
