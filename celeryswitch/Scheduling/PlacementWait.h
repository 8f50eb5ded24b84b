#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Scheduling/QueueModel.h"
#include <functional>

namespace celeryswitch::Scheduling {

/// Predicted places for the waiting tasks of a step that prefers a rack: near workers carry the label of the rack, far
/// ones do not.
struct PlaceForecast {
    /// Wait until there is room for all tasks near, and on any workers, in seconds; infinite when none is being
    /// released. That on any workers includes the delay of other work by far runs where room is scarce.
    double nearWaitSeconds = 0;
    double farWaitSeconds = 0;
    /// Mean speed of the workers relative to the reference speed, without the far factor.
    double nearSpeed = 1;
    double farSpeed = 1;
    /// Room that has to be released near before all tasks have theirs.
    double aheadMilliCores = 0;
};

/// What the decision to wait for a near worker depends on.
struct PlacementWaitQuery {
    PlaceForecast places;
    /// Time of the step's longest task on a near worker of reference speed.
    TimeEstimate time;
    /// Run time on a far worker / run time on a near one.
    double farFactor = 1;
    /// Time for which the step has waited already, in seconds.
    double waitedSeconds = 0;
    /// Response goal and caller's timeout from now on, as in PlacementRequest.
    double stretch = 1;
    double slackSeconds = 0;
    double callerTimeoutSeconds = 0;
};

/// Reason of a decision.
enum class PlacementWaitReason : std::uint8_t {
    /// There is room for all tasks near.
    RoomNear,
    /// No room is being released near.
    NoReleaseNear,
    /// The tasks are more likely to be in time near, or elsewhere.
    InTimeNear,
    InTimeElsewhere,
    /// The expected finish is earlier near, or elsewhere.
    EarlierNear,
    EarlierElsewhere,
    /// The step has waited for as long as the run takes longer on a far worker.
    WaitedEnough,
};

/// Decision whether a step waits for near workers.
struct PlacementWaitDecision {
    bool isWaiting = false;
    PlacementWaitReason reason = PlacementWaitReason::RoomNear;
    /// Time from now at which waiting no longer pays if the forecast stays the same, in seconds.
    double longestSeconds = 0;
    /// Expected time until the step's end, in seconds, and probability that it is too late for the response goal.
    double nearFinishSeconds = 0;
    double farFinishSeconds = 0;
    double nearLateProbability = 0;
    double farLateProbability = 0;
};

/// Decides whether a step waits for near workers.
using PlacementWaitPolicy = std::function<PlacementWaitDecision(const PlacementWaitQuery&)>;

/// Waits while the step is more likely to be in time near than elsewhere, or is as likely and expected to end earlier.
/// All waits together are bounded by the additional time of a far run, so that waiting in vain costs at most as much
/// as the far run that it was to avoid.
PlacementWaitDecision decidePlacementWait(const PlacementWaitQuery& query);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Scheduling::PlacementWaitReason> {
    static constexpr std::string_view type = "PlacementWaitReason";
    static constexpr std::array<std::pair<Scheduling::PlacementWaitReason, std::string_view>, 7> names { {
        { Scheduling::PlacementWaitReason::RoomNear, "room-near" },
        { Scheduling::PlacementWaitReason::NoReleaseNear, "no-release-near" },
        { Scheduling::PlacementWaitReason::InTimeNear, "in-time-near" },
        { Scheduling::PlacementWaitReason::InTimeElsewhere, "in-time-elsewhere" },
        { Scheduling::PlacementWaitReason::EarlierNear, "earlier-near" },
        { Scheduling::PlacementWaitReason::EarlierElsewhere, "earlier-elsewhere" },
        { Scheduling::PlacementWaitReason::WaitedEnough, "waited-enough" },
    } };
};

}
