#pragma once

#include "celeryswitch/Dispatch/QueuedJob.h"
#include <array>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

namespace celeryswitch::Dispatch {

/// Weights of the order of a queue. The values were chosen by the experiment, see docs/design-dispatch.md.
struct FairQueueSettings {
    /// A task's place is its arrival plus this many times its expected run: larger favours short tasks, zero is first
    /// come first served. Waiting therefore counts relative to the ideal response, and long tasks can't starve.
    double slackPerExpectedRun = 2;
    /// Idle slots kept from kinds above their share, in standard deviations of the other kinds' demand.
    double reserveAboveShare = 3;
    /// Idle slots kept from long tasks of kinds inside their share, in standard deviations of the shorter kinds'
    /// demand.
    double reserveForShorter = 0.25;
    /// A kind is above its share once it uses this many standard deviations more, so that chance variation doesn't
    /// count.
    double shareTolerance = 3;
};

/// Slots of a service as the dispatcher sees them now.
struct SlotView {
    /// Idle credits that may be used.
    std::uint32_t idle = 0;
    /// Part of the slots, 0 to 0.5, that kinds above their share may never take.
    double reservedPart = 0;
};

/// Tasks of one service that wait, in weighted fair shares by kind and team.
class FairQueue {
public:
    using Job = std::shared_ptr<QueuedJob>;

    explicit FairQueue(FairQueueSettings settings);

    /// Share weight of a kind, 1 to 1000.
    void setKindWeight(KindIndex kind, double weight);
    /// Expected run time of a kind.
    void setExpectedRun(KindIndex kind, Core::Duration run);
    /// Share weight of a team inside each kind.
    void setTeamWeight(TeamIndex team, double weight);
    /// Adds a job whose tasks wait.
    void push(const Job& job);
    /// Puts a task that did not run back, in front of its lane.
    void putBack(const Job& job, std::uint32_t task);
    /// Removes every waiting task of a job and returns them; the lane's reference goes later, in constant time.
    std::vector<std::uint32_t> cancel(const Job& job);
    /// Job whose task goes next, or nothing when none may start.
    Job next(Core::SteadyTime now, const SlotView& slots);
    /// Takes up to `count` tasks of a job that `next` returned; they will hold `slots` slots.
    std::vector<std::uint32_t> take(const Job& job, std::uint32_t count, double slots);
    /// Gives slots back that tasks of a job held.
    void slotsFreed(KindIndex kind, double slots);
    /// Holds back a team's tasks until a time, for its quota.
    void holdTeam(TeamIndex team, Core::SteadyTime until);
    /// Waiting tasks, and those of one kind.
    std::uint32_t waiting() const { return this->waitingTotal; }
    std::uint32_t waiting(KindIndex kind) const;
    /// Slots in use by tasks of this queue.
    double slotsInUse() const { return this->slotsTotal; }
    /// Part of the slots that is guaranteed to a kind, 0 to 1.
    double shareOf(KindIndex kind) const;
    /// Time that the most pressing waiting task of a kind inside its share has left before it counts as late; negative
    /// when it is late. Nothing when no such task waits.
    std::optional<Core::Duration> bestSlack(Core::SteadyTime now, const SlotView& slots);
    /// When the first waiting task of a kind inside its share has waited `part` times its expected run.
    std::optional<Core::SteadyTime> firstBehind(Core::SteadyTime now, const SlotView& slots, double part);
    /// Earliest end of a hold on a team with waiting tasks.
    std::optional<Core::SteadyTime> nextHoldEnd() const;

private:
    // Jobs of one team in one kind, by urgency.
    struct Lane {
        std::array<std::deque<Job>, 3> byUrgency;
        double virtualTime = 0;
        bool isActive = false;
    };
    // Lanes of a kind for single tasks, or for batches. Batches hold a slot longer, so they are ordered as longer work.
    struct Group {
        std::unordered_map<TeamIndex, Lane> lanes;
        std::set<std::pair<double, TeamIndex>> active;
        double virtualTime = 0;
    };
    struct Kind {
        std::array<Group, 2> groups;
        double weight = 10;
        double expectedSeconds = 0.3;
        double slots = 0;
        std::uint32_t waiting = 0;
        bool isSeen = false;
        Core::SteadyTime reservesAt {};
        double reserveAboveShare = 0;
        double reserveForShorter = 0;
    };
    struct Candidate {
        Job job;
        double place = 0;
        bool isAboveShare = false;
        double use = 0;
    };
    Kind& kindOf(KindIndex kind);
    Lane& activeLane(Group& group, TeamIndex team);
    Job head(Core::SteadyTime now, Group& group);
    Job head(Lane& lane);
    bool isHeld(Core::SteadyTime now, TeamIndex team);
    void refreshReserves(Core::SteadyTime now, KindIndex index, double capacity, double reservedPart);
    bool isAboveShare(const Kind& kind, double capacity) const;
    // Whether a waiting job is a reason to move credits to this entry.
    bool isPressing(const Kind& kind, const Job& job, double capacity) const;
    static double holdSeconds(const Kind& kind, const Job& job);
    double placeOf(const Kind& kind, const Job& job) const;
    template <typename F> void forEachHead(Core::SteadyTime now, F&& visit);

    FairQueueSettings settings;
    std::vector<Kind> kinds;
    std::vector<KindIndex> seenKinds;
    std::unordered_map<TeamIndex, double> teamWeights;
    std::unordered_map<TeamIndex, Core::SteadyTime> holds;
    double seenWeight = 0;
    double slotsTotal = 0;
    std::uint32_t waitingTotal = 0;
};

}
