#include "celeryswitch/Scheduling/TaskTable.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

namespace {

// Places for records beyond those in use that are kept after a removal.
constexpr std::size_t sparePlaces = 8;

}

std::uint32_t TaskTable::waiting() const
{
    const std::size_t returned = this->progress ? this->progress->returned.size() : 0;
    return this->taskCount - this->firstUnordered + static_cast<std::uint32_t>(returned);
}

Task& TaskTable::takeWaiting()
{
    CELERY_ASSERT(this->waiting() > 0);
    if (!this->progress)
        this->progress = std::make_unique<Progress>();
    std::vector<std::uint32_t>& returned = this->progress->returned;
    Task* task = nullptr;
    if (!returned.empty()) {
        task = this->find(returned.front());
        returned.erase(returned.begin());
    } else {
        task = &this->progress->records.emplace_back().task;
        task->index = this->firstUnordered++;
    }
    task->isOrdered = true;
    return *task;
}

void TaskTable::putBack(Task& task)
{
    CELERY_ASSERT(task.isOrdered);
    task.isOrdered = false;
    std::vector<std::uint32_t>& returned = this->progress->returned;
    returned.insert(std::lower_bound(returned.begin(), returned.end(), task.index), task.index);
}

void TaskTable::finish(Task& task, bool isPlaceKept)
{
    CELERY_ASSERT(task.isOrdered);
    Progress& held = *this->progress;
    if (isPlaceKept)
        ++held.keptPlaces[task.sidecar];
    ++this->doneCount;
    const auto found = std::lower_bound(held.records.begin(), held.records.end(), task.index,
        [](const Record& record, std::uint32_t index) { return record.task.index < index; });
    found->isFinished = true;
    ++held.finishedRecords;
    // Records are removed together, so that the cost for each is constant.
    if (2 * held.finishedRecords < held.records.size())
        return;
    std::erase_if(held.records, [](const Record& record) { return record.isFinished; });
    held.finishedRecords = 0;
    if (this->isDone())
        this->progress.reset();
    else if (held.records.capacity() > sparePlaces + 2 * held.records.size())
        held.records.shrink_to_fit();
}

Task* TaskTable::find(std::uint32_t index)
{
    if (!this->progress)
        return nullptr;
    std::vector<Record>& records = this->progress->records;
    const auto found = std::lower_bound(records.begin(), records.end(), index,
        [](const Record& record, std::uint32_t wanted) { return record.task.index < wanted; });
    return found != records.end() && found->task.index == index && !found->isFinished ? &found->task : nullptr;
}

std::map<Core::InstanceId, std::uint32_t> TaskTable::tasksAtSidecars() const
{
    std::map<Core::InstanceId, std::uint32_t> tasks;
    if (this->progress)
        tasks = this->progress->keptPlaces;
    this->forEachOrdered([&tasks](const Task& task) { ++tasks[task.sidecar]; });
    return tasks;
}

}
