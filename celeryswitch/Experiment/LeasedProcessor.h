#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Scheduling/JobScheduler.h"

namespace celeryswitch::Experiment {

/// Processor of an entry, and what the entry's work costs in time of a whole core. In sum a job of 2.4 tasks at an
/// entry that is not behind costs about 0.65 ms.
struct LeasedProcessor {
    /// Share of a core that the entry may use; 0 stands for work that takes no time.
    double share = 0;
    /// A caller's request from its connection to its headers, from there to the scheduler, an answer to it, and the end
    /// of its connection.
    Core::Duration requestCost = std::chrono::microseconds(120);
    Core::Duration admissionCost = std::chrono::microseconds(80);
    Core::Duration answerCost = std::chrono::microseconds(100);
    Core::Duration closeCost = std::chrono::microseconds(40);
    /// A message from a sidecar and one to it, with their system calls.
    Core::Duration receiveCost = std::chrono::microseconds(30);
    Core::Duration sendCost = std::chrono::microseconds(30);
    /// A poll of the scheduler without what it visits, and what it visits.
    Core::Duration pollCost = std::chrono::microseconds(4);
    Core::Duration jobVisitCost = std::chrono::nanoseconds(10);
    Core::Duration workerVisitCost = std::chrono::nanoseconds(10);
    Core::Duration candidateCost = std::chrono::nanoseconds(70);
    Core::Duration stepVisitCost = std::chrono::nanoseconds(10);

    /// Cost of the scheduler's work between two counts.
    Core::Duration costOf(const Scheduling::SchedulerWork& before, const Scheduling::SchedulerWork& after) const
    {
        return this->pollCost * (after.polls - before.polls)
            + this->jobVisitCost * (after.jobsVisited - before.jobsVisited)
            + this->workerVisitCost * (after.workersVisited - before.workersVisited)
            + this->candidateCost * (after.candidatesEvaluated - before.candidatesEvaluated)
            + this->stepVisitCost * (after.stepsVisited - before.stepsVisited);
    }
    /// Cost of carrying out an action.
    Core::Duration costOf(const Scheduling::SchedulerAction& action) const
    {
        return std::holds_alternative<Scheduling::AnswerRequest>(action) ? this->answerCost : this->sendCost;
    }
};

}
