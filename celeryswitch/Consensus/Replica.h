#pragma once

#include "celeryswitch/Consensus/Leadership.h"
#include "celeryswitch/Consensus/ReplicaRole.h"
#include "celeryswitch/Consensus/ReplicaTypes.h"
#include <pcg_random.hpp>
#include <set>

namespace celeryswitch::Consensus {

/// One replica of the leader-based log. Pure: it has no threads, sockets, files or clocks; the same events at the same
/// times give the same actions. The caller carries out the actions and reports synced storage with StorageSynced;
/// messages that promise something are held back until then.
class Replica {
public:
    Replica(ReplicaSettings settings, RecoveredState recovered, Core::SteadyTime now);

    /// Reacts to an event.
    ReplicaActions step(Core::SteadyTime now, ReplicaEvent event);
    /// When TimePassed is due although nothing else happens.
    Core::SteadyTime nextWakeUp() const;

    /// Current role.
    ReplicaRole role() const { return this->currentRole; }
    /// Current term.
    Term term() const { return this->currentTerm; }
    /// Last entry known to be committed.
    LogIndex commitIndex() const { return this->committedIndex; }
    /// Whether this replica leads and has committed an entry of its term.
    bool isLeaderReady() const;
    /// Address of the leader as far as known, else empty.
    const std::string& leaderAddress() const { return this->leader; }
    /// The log.
    const ReplicaLog& log() const { return this->replicaLog; }
    /// When this replica was last in contact with the leader, or as the leader with a majority of the voters.
    Core::SteadyTime contactAt() const;
    /// When another replica of the group last answered this leader; the largest time when this replica does not lead.
    Core::SteadyTime answeredAt(const ReplicaId& id) const;
    /// Whether a change of the group is under way at this leader.
    bool isGroupChanging() const;
    /// Why the replica is stopped; empty while it is not.
    const std::string& stopReason() const { return this->stoppedBecause; }
    /// Identity of the data folder.
    const ReplicaId& id() const { return this->settings.id; }

private:
    void handle(const TimePassed& event);
    void handle(MessageReceived& event);
    void handle(Propose& event);
    void handle(const Read& event);
    void handle(Replace& event);
    void handle(const StorageSynced& event);
    void handle(const StorageFailed& event);
    void handle(SnapshotTaken& event);
    void receive(const Messages::VoteRequest& request);
    void receive(const Messages::VoteReply& reply);
    void receive(Messages::AppendRequest& request);
    void receive(const Messages::AppendReply& reply);
    void receive(Messages::InstallSnapshot& request);
    void receive(const Messages::InstallSnapshotReply& reply);
    void receive(const Messages::ReplicaAnnouncement&) { }

    // Feeds the role chart.
    void fire(RoleEvent event);
    // Carries out an action of the chart.
    void perform(RoleAction action);
    void requestPreVotes();
    void requestVotes();
    void beginLeadership();
    void endLeadership();
    // Tries an election after a random time.
    void restartElectionTimer(Core::Duration minimum, Core::Duration maximum);
    void countVotes();
    // Takes a higher term; nothing that was promised in the old one is sent any more.
    void adoptTerm(Term term, const ReplicaId& votedFor);
    bool isLogAtLeast(Term lastTerm, LogIndex lastIndex) const;
    void sendToVoters(const Messages::ConsensusMessage& message);

    // Takes a message of the current term's leader.
    void followLeader(const std::string& address);
    // Stores entries that the log lacks; false when they contradict committed ones.
    bool storeEntries(std::vector<LogEntry>& entries);
    void installSnapshot(SnapshotPointer snapshot);

    // Puts an entry in the leader's log and sends it.
    LogIndex appendAsLeader(Messages::EntryKind kind, std::string payload);
    void appendGroup(const ReplicaGroup& group);
    void broadcast();
    // Notes the answer of a replica in this term; null when it belongs to another term or to no replica of the group.
    Progress* answeredProgress(Term term, const ReplicaId& from, std::uint64_t round);
    void sendTo(const Messages::ReplicaInfo& info, Progress& progress);
    void sendSnapshotPart(const Messages::ReplicaInfo& info, Progress& progress);
    void sendToAll();
    void advanceAsLeader();
    void continueReplacement();

    void commitTo(LogIndex index);
    void write(StorageOperation operation);
    void reply(const ReplicaId& to, Messages::ConsensusMessage message);
    // Sends a message once every write so far is synced.
    void replyOnceSynced(const ReplicaId& to, Messages::ConsensusMessage message, bool isSyncNeeded);

    ReplicaSettings settings;
    ReplicaLog replicaLog;
    DurableIndex durable;
    Term currentTerm;
    ReplicaId votedFor;
    ReplicaRole currentRole = ReplicaRole::Learner;
    std::string stoppedBecause;
    LogIndex committedIndex;
    std::string leader;
    pcg32 random;
    /// Time of the current step.
    Core::SteadyTime now;
    Core::SteadyTime electionDue;
    Core::SteadyTime heartbeatDue;
    Core::SteadyTime leaderSeenAt;
    /// Replicas that granted the vote or pre-vote asked for now.
    std::set<ReplicaId> votes;
    /// Set while this replica leads.
    std::optional<Leadership> leadership;
    /// Part of a snapshot that the leader is sending.
    std::string incomingSnapshot;
    std::pair<Term, LogIndex> incomingSnapshotOf;
    std::uint64_t writtenSequence = 0;
    std::uint64_t syncedSequence = 0;
    /// Messages that wait for a write to be synced.
    std::deque<std::pair<std::uint64_t, Outgoing>> held;
    /// Actions of the current step.
    ReplicaActions actions;
};

}
