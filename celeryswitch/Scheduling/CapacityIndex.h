#pragma once

#include "celeryswitch/Scheduling/WorkerTable.h"

namespace celeryswitch::Scheduling {

/// Tells whether any of the workers that an entry knows could ever run a step's tasks, at a cost that does not grow
/// with the number of workers: of those of a service, and of those with a label, only capacities that no other one
/// exceeds are kept.
class CapacityIndex {
public:
    /// Takes over the workers as they are now. Workers of evacuated data centres get no runs.
    void rebuild(const WorkerTable& workers);
    /// Whether a worker, when idle, can run tasks with this need; `requiredLabel` may be empty. A worker that is not
    /// known yet counts as suitable, and so does one when there are none.
    bool hasSuitable(const std::string& service, const std::string& requiredLabel, const Messages::Room& need) const;

private:
    using LargestRooms = std::vector<Messages::Room>;

    static void add(LargestRooms& rooms, const Messages::Room& room);

    bool hasUnknownWorker = true;
    /// By service and label; the empty label stands for all workers of the service.
    std::map<std::string, std::map<std::string, LargestRooms>> largest;
};

}
