#pragma once

#include "celeryswitch/Dispatch/QueuedJob.h"
#include <array>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

namespace celeryswitch::Dispatch {

/// Parameters of the queue order; docs/design-dispatch.md describes the experiment behind the values.
struct FairQueueSettings {
    /// The virtual deadline of a task is its arrival plus this multiple of its expected run time. Larger values favour
    /// short tasks; zero is first come, first served. Waiting counts relative to the run time, and long tasks can't
    /// starve.
    double slackPerExpectedRun = 2;
    /// Idle slots withheld from kinds above their share, in standard deviations of the other kinds' demand.
    double reserveAboveShare = 3;
    /// Idle slots withheld from long kinds within their share, in standard deviations of the shorter kinds' demand.
    double reserveForShorter = 0.25;
    /// Tolerance above the share, in standard deviations, before a kind counts as above it; covers random variation.
    double shareTolerance = 3;
};

/// Current slots of a service.
struct SlotView {
    /// Idle credits of usable sidecars.
    std::uint32_t idle = 0;
    /// Fraction of the slots, 0 to 0.5, withheld from kinds above their share.
    double reservedFraction = 0;
};

/// Waiting tasks of one service, scheduled in weighted fair shares by kind and team.
class FairQueue {
public:
    using Job = std::shared_ptr<QueuedJob>;

    explicit FairQueue(FairQueueSettings settings);

    /// Sets the share weight of a kind, 1 to 1000.
    void setKindWeight(KindIndex kind, double weight);
    void setExpectedRun(KindIndex kind, Core::Duration run);
    /// Sets the share weight of a team within each kind.
    void setTeamWeight(TeamIndex team, double weight);
    /// Adds a job with waiting tasks.
    void push(const Job& job);
    /// Returns a task that did not run to the queue, ahead of its team's other jobs of that urgency.
    void requeue(const Job& job, std::uint32_t task);
    /// Removes and returns all waiting tasks of a job. The reference to the job is removed later, in constant time.
    std::vector<std::uint32_t> cancel(const Job& job);
    /// Job whose task starts next; null if no task may start.
    Job next(Core::SteadyTime now, const SlotView& slots);
    /// Takes up to `count` tasks of a job returned by `next`; they occupy `slots` slots.
    std::vector<std::uint32_t> take(const Job& job, std::uint32_t count, double slots);
    /// Frees slots that tasks of a kind occupied.
    void slotsFreed(KindIndex kind, double slots);
    /// Defers a team's tasks until a time, to enforce its quota.
    void holdTeam(TeamIndex team, Core::SteadyTime until);
    /// Number of waiting tasks, in total and of one kind.
    std::uint32_t waiting() const { return this->totalWaiting; }
    std::uint32_t waiting(KindIndex kind) const;
    /// Slots occupied by tasks of this queue.
    double slotsInUse() const { return this->totalSlotsInUse; }
    /// Guaranteed fraction of the slots of a kind, 0 to 1.
    double shareOf(KindIndex kind) const;
    /// Shortest time until the virtual deadline of a waiting task that needs credits; negative if it has passed.
    /// Nothing if no such task waits.
    std::optional<Core::Duration> minimumSlack(Core::SteadyTime now, const SlotView& slots);
    /// Earliest time at which a waiting task that needs credits has waited `factor` times its expected run time.
    std::optional<Core::SteadyTime> firstOverdue(Core::SteadyTime now, const SlotView& slots, double factor);
    /// Earliest end of a team's hold.
    std::optional<Core::SteadyTime> nextHoldEnd() const;

private:
    // Jobs of one team and kind, by urgency.
    struct TeamQueue {
        std::array<std::deque<Job>, 3> byUrgency;
        double virtualTime = 0;
        bool isActive = false;
    };
    // Team queues of a kind, for either single tasks or batches. Batches occupy a slot longer and are ordered as longer
    // work.
    struct JobClass {
        std::unordered_map<TeamIndex, TeamQueue> teamQueues;
        std::set<std::pair<double, TeamIndex>> active;
        double virtualTime = 0;
    };
    struct Kind {
        std::array<JobClass, 2> jobClasses;
        double weight = 10;
        double expectedSeconds = 0.3;
        double slotsInUse = 0;
        std::uint32_t waiting = 0;
        bool isKnown = false;
        Core::SteadyTime reservesUpdatedAt {};
        double reserveAboveShare = 0;
        double reserveForShorter = 0;
    };
    struct Candidate {
        Job job;
        double virtualDeadline = 0;
        bool isAboveShare = false;
        double use = 0;
    };
    Kind& kindOf(KindIndex kind);
    TeamQueue& activateTeamQueue(JobClass& jobClass, TeamIndex team);
    Job head(Core::SteadyTime now, JobClass& jobClass);
    Job head(TeamQueue& teamQueue);
    bool isHeld(Core::SteadyTime now, TeamIndex team);
    void updateReserves(Core::SteadyTime now, KindIndex index, double capacity, double reservedFraction);
    bool isAboveShare(const Kind& kind, double capacity) const;
    // Whether a waiting job justifies moving credits to this entry.
    bool needsCredits(const Kind& kind, const Job& job, double capacity) const;
    static double expectedSlotSeconds(const Kind& kind, const Job& job);
    double virtualDeadlineOf(const Kind& kind, const Job& job) const;
    template <typename F> void forEachHead(Core::SteadyTime now, F&& visit);

    FairQueueSettings settings;
    std::vector<Kind> kinds;
    std::vector<KindIndex> knownKinds;
    std::unordered_map<TeamIndex, double> teamWeights;
    std::unordered_map<TeamIndex, Core::SteadyTime> holds;
    double totalWeight = 0;
    double totalSlotsInUse = 0;
    std::uint32_t totalWaiting = 0;
};

}
