// How a replica takes part in changes of the group: announcements, changes that are due, and its own departure.
#include "celeryswitch/State/StateCore.h"

namespace celeryswitch::State {

namespace {

// Time between two requests for the departure of this replica.
constexpr Core::Duration departureInterval = std::chrono::milliseconds(50);

}

void StateCore::handle(Messages::ReplicaAnnouncement& input)
{
    if (this->isLeading) {
        this->keeper.announced(this->now, input.replica);
        return;
    }
    // The sender may know only replicas that don't lead.
    if (!std::exchange(input.isReplyWanted, false))
        return;
    for (const Messages::ReplicaInfo& voter : this->consensus.log().group().voters) {
        if (voter.address == this->consensus.leaderAddress() && voter.id != this->consensus.id())
            this->output.messages.push_back({ voter, input });
    }
}

bool StateCore::isWithoutLeader(Core::SteadyTime time) const
{
    return !this->consensus.log().group().hasVoter(this->consensus.id())
        || time - this->consensus.lastContactTime() > this->settings.replica.electionTimeoutMaximum;
}

void StateCore::keepGroup()
{
    if (!this->consensus.isLeaderReady())
        return;
    if (const std::optional<Consensus::Replace> change = this->keeper.decide(this->now, this->consensus))
        this->stepReplica(*change);
}

void StateCore::handle(Consensus::MessageReceived& input)
{
    if (const auto* request = std::get_if<Messages::DepartureRequest>(&input.message)) {
        if (!this->consensus.isLeaderReady())
            return;
        this->keeper.departing(this->now, request->from);
        this->keepGroup();
        const DepartureVerdict verdict = this->keeper.departureVerdict(this->consensus, request->from);
        if (verdict != DepartureVerdict::Undecided)
            this->output.messages.push_back({ { request->from, "" },
                Messages::DepartureReply { this->consensus.id(), verdict == DepartureVerdict::Kept } });
    } else if (const auto* reply = std::get_if<Messages::DepartureReply>(&input.message)) {
        if (this->departing)
            this->departure = reply->isVoteKept ? DepartureVerdict::Kept : DepartureVerdict::Removed;
    } else {
        this->stepReplica(std::move(input));
    }
}

void StateCore::handle(Depart&)
{
    this->departing = true;
    this->continueDeparture();
    this->keepGroup();
}

void StateCore::continueDeparture()
{
    if (!this->departing || this->departure != DepartureVerdict::Undecided)
        return;
    if (this->consensus.role() == Consensus::ReplicaRole::Stopped) {
        this->departure = DepartureVerdict::Kept;
        return;
    }
    const Messages::ReplicaGroup& group = this->consensus.log().group();
    if (this->consensus.isLeaderReady()) {
        this->keeper.departing(this->now, this->consensus.id());
        this->departure = this->keeper.departureVerdict(this->consensus, this->consensus.id());
    } else if (!group.hasVoter(this->consensus.id()) && !group.hasLearner(this->consensus.id())
        && this->consensus.log().groupIndex() <= this->consensus.commitIndex()) {
        // A leader that has removed itself, or a replica that no group has taken in.
        this->departure = DepartureVerdict::Removed;
    } else if (this->now >= this->nextDepartureRequest) {
        for (const Messages::ReplicaInfo& voter : group.voters) {
            if (voter.address == this->consensus.leaderAddress() && voter.id != this->consensus.id())
                this->output.messages.push_back({ voter, Messages::DepartureRequest { this->consensus.id() } });
        }
    }
    if (this->now >= this->nextDepartureRequest)
        this->nextDepartureRequest = this->now + departureInterval;
}

}
