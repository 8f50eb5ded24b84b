#pragma once

#include "celeryswitch/Charts/StateChart.h"
#include "celeryswitch/Core/EnumNames.h"

namespace celeryswitch::Consensus {

/// Role of a replica; the transitions are defined in Charts/replica.toml.
enum class ReplicaRole : std::uint8_t {
    Learner,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    Stopped,
};

/// Events that may change the role.
enum class RoleEvent : std::uint8_t {
    ElectionTimeout,
    PreVoteWon,
    VoteWon,
    HigherTerm,
    LeaderSeen,
    QuorumLost,
    GroupChanged,
    StorageFailed,
};

/// Guard conditions of the state chart.
enum class RoleGuard : std::uint8_t {
    IsVoter,
};

/// Actions of the state chart.
enum class RoleAction : std::uint8_t {
    ForgetLeader,
    RestartElectionTimer,
    RequestPreVotes,
    RequestVotes,
    BeginLeadership,
    EndLeadership,
};

/// The embedded state chart of the roles. Aborts if it can't be loaded, since that is a build defect.
const Charts::StateChart& replicaChart();

}

namespace celeryswitch::Core {

template <> struct EnumTable<Consensus::ReplicaRole> {
    static constexpr std::string_view type = "ReplicaRole";
    static constexpr std::array<std::pair<Consensus::ReplicaRole, std::string_view>, 6> names { {
        { Consensus::ReplicaRole::Learner, "learner" },
        { Consensus::ReplicaRole::Follower, "follower" },
        { Consensus::ReplicaRole::PreCandidate, "preCandidate" },
        { Consensus::ReplicaRole::Candidate, "candidate" },
        { Consensus::ReplicaRole::Leader, "leader" },
        { Consensus::ReplicaRole::Stopped, "stopped" },
    } };
};

template <> struct EnumTable<Consensus::RoleEvent> {
    static constexpr std::string_view type = "RoleEvent";
    static constexpr std::array<std::pair<Consensus::RoleEvent, std::string_view>, 8> names { {
        { Consensus::RoleEvent::ElectionTimeout, "electionTimeout" },
        { Consensus::RoleEvent::PreVoteWon, "preVoteWon" },
        { Consensus::RoleEvent::VoteWon, "voteWon" },
        { Consensus::RoleEvent::HigherTerm, "higherTerm" },
        { Consensus::RoleEvent::LeaderSeen, "leaderSeen" },
        { Consensus::RoleEvent::QuorumLost, "quorumLost" },
        { Consensus::RoleEvent::GroupChanged, "groupChanged" },
        { Consensus::RoleEvent::StorageFailed, "storageFailed" },
    } };
};

template <> struct EnumTable<Consensus::RoleGuard> {
    static constexpr std::string_view type = "RoleGuard";
    static constexpr std::array<std::pair<Consensus::RoleGuard, std::string_view>, 1> names { {
        { Consensus::RoleGuard::IsVoter, "isVoter" },
    } };
};

template <> struct EnumTable<Consensus::RoleAction> {
    static constexpr std::string_view type = "RoleAction";
    static constexpr std::array<std::pair<Consensus::RoleAction, std::string_view>, 6> names { {
        { Consensus::RoleAction::ForgetLeader, "forgetLeader" },
        { Consensus::RoleAction::RestartElectionTimer, "restartElectionTimer" },
        { Consensus::RoleAction::RequestPreVotes, "requestPreVotes" },
        { Consensus::RoleAction::RequestVotes, "requestVotes" },
        { Consensus::RoleAction::BeginLeadership, "beginLeadership" },
        { Consensus::RoleAction::EndLeadership, "endLeadership" },
    } };
};

}
