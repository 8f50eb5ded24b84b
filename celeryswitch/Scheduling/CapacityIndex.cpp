#include "celeryswitch/Scheduling/CapacityIndex.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

void CapacityIndex::rebuild(const WorkerTable& workers)
{
    this->largest.clear();
    this->hasUnknownWorker = workers.empty();
    for (const auto& [sidecar, worker] : workers) {
        if (worker.isEvacuated)
            continue;
        this->hasUnknownWorker = this->hasUnknownWorker || worker.profile.workerId.empty();
        auto& byLabel = this->largest[worker.profile.service];
        add(byLabel[""], worker.profile.capacity);
        for (const std::string& label : worker.profile.labels)
            add(byLabel[label], worker.profile.capacity);
    }
}

bool CapacityIndex::hasSuitable(
    const std::string& service, const std::string& requiredLabel, const Messages::Room& need) const
{
    if (this->hasUnknownWorker)
        return true;
    const auto byLabel = this->largest.find(service);
    if (byLabel == this->largest.end())
        return false;
    const auto rooms = byLabel->second.find(requiredLabel);
    return rooms != byLabel->second.end()
        && std::any_of(rooms->second.begin(), rooms->second.end(), [&](const auto& room) { return need.fits(room); });
}

void CapacityIndex::add(LargestRooms& rooms, const Messages::Room& room)
{
    if (std::any_of(rooms.begin(), rooms.end(), [&](const auto& other) { return room.fits(other); }))
        return;
    std::erase_if(rooms, [&](const auto& other) { return other.fits(room); });
    rooms.push_back(room);
}

}
