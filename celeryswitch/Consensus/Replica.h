#pragma once

#include "celeryswitch/Consensus/LeaderState.h"
#include "celeryswitch/Consensus/ReplicaRole.h"
#include "celeryswitch/Consensus/ReplicaTypes.h"
#include <pcg_random.hpp>
#include <set>

namespace celeryswitch::Consensus {

/// One replica of a leader-based replicated log (Raft). Deterministic and free of I/O: it has no threads, sockets,
/// files or clocks, and equal events at equal times give equal actions. The caller carries out the actions and reports
/// synced storage with StorageSynced; votes and acknowledgements are sent only after that.
class Replica {
public:
    Replica(ReplicaSettings settings, RecoveredState recovered, Core::SteadyTime now);

    /// Processes an event and returns the resulting actions.
    ReplicaActions step(Core::SteadyTime now, ReplicaEvent event);
    /// When the next Tick is due if no other event occurs.
    Core::SteadyTime nextWakeUp() const;

    /// Current role.
    ReplicaRole role() const { return this->currentRole; }
    /// Current term.
    Term term() const { return this->currentTerm; }
    /// Last entry known to be committed.
    LogIndex commitIndex() const { return this->committedIndex; }
    /// Whether this replica is the leader and has committed an entry of its term.
    bool isLeaderReady() const;
    /// Address of the leader; empty if unknown.
    const std::string& leaderAddress() const { return this->currentLeaderAddress; }
    /// The log.
    const ReplicaLog& log() const { return this->replicaLog; }
    /// When this replica last heard from the leader or, as the leader, from a majority of the voters.
    Core::SteadyTime lastContactTime() const;
    /// Whether this replica has led, with an entry of its own term committed, or has applied all that a leader had
    /// committed when it was in contact, since its start.
    bool hasHadLeader() const;
    /// Start time of the newest round that another replica has acknowledged to this leader; SteadyTime::max() if this
    /// replica is not the leader or the id is not in the group.
    Core::SteadyTime lastReplyTime(const ReplicaId& id) const;
    /// Whether this replica is the leader and a group change is in progress.
    bool isGroupChanging() const;
    /// Why the replica has stopped; empty while it runs.
    const std::string& stopReason() const { return this->stopDetail; }
    /// Identity of the data folder.
    const ReplicaId& id() const { return this->settings.id; }

private:
    void handle(const Tick& event);
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
    // Messages about who belongs to the group are those of the caller.
    void receive(const Messages::ReplicaAnnouncement&) { }
    void receive(const Messages::DepartureRequest&) { }
    void receive(const Messages::DepartureReply&) { }

    // Passes an event to the state chart of the role.
    void fire(RoleEvent event);
    // Carries out an action of the state chart.
    void perform(RoleAction action);
    void requestPreVotes();
    void requestVotes();
    void beginLeadership();
    void endLeadership();
    // Sets the election deadline to a random time between the bounds.
    void restartElectionTimer(Core::Duration minimum, Core::Duration maximum);
    void countVotes();
    // Stores the term and vote. If the term is higher, unsent votes and acknowledgements of the old term are discarded.
    void adoptTerm(Term term, const ReplicaId& votedFor);
    bool isLogUpToDate(Term lastTerm, LogIndex lastIndex) const;
    void sendToVoters(const Messages::ConsensusMessage& message);

    // Records contact with the leader of the current term.
    void followLeader(const std::string& address);
    // Stores entries that the log lacks; false if they conflict with committed entries.
    bool storeEntries(std::vector<LogEntry>& entries);
    void installSnapshot(SnapshotPointer snapshot);

    // Appends an entry to the leader's log and replicates it. Returns its index.
    LogIndex appendAsLeader(Messages::EntryKind kind, std::string payload);
    void appendGroup(const ReplicaGroup& group);
    void broadcast();
    // Records a replica's reply and returns its progress; null if the reply is from another term or the replica is not
    // in the group.
    Progress* recordReply(Term term, const ReplicaId& from, std::uint64_t round);
    void sendTo(const Messages::ReplicaInfo& info, Progress& progress);
    void sendSnapshotChunk(const Messages::ReplicaInfo& info, Progress& progress);
    void sendToAll();
    void advanceAsLeader();
    void continueReplacement();

    void advanceCommitIndex(LogIndex index);
    void write(StorageOperation operation);
    void sendReply(const ReplicaId& to, Messages::ConsensusMessage message);
    // Sends a message after all writes so far are synced, or at once if no sync is needed.
    void replyAfterSync(const ReplicaId& to, Messages::ConsensusMessage message, bool isSyncNeeded);

    ReplicaSettings settings;
    ReplicaLog replicaLog;
    DurableIndex durableIndex;
    Term currentTerm;
    ReplicaId votedFor;
    ReplicaRole currentRole = ReplicaRole::Learner;
    std::string stopDetail;
    LogIndex committedIndex;
    std::string currentLeaderAddress;
    pcg32 random;
    /// Time of the current step.
    Core::SteadyTime now;
    Core::SteadyTime electionDeadline;
    Core::SteadyTime nextHeartbeat;
    Core::SteadyTime leaderContactTime;
    /// Elections that this replica has begun since it last followed or was a leader.
    std::uint32_t electionsInARow = 0;
    /// Whether the log has reached what a leader had committed, at least once since the start.
    bool hasCaughtUp = false;
    /// Replicas that granted the current vote or pre-vote.
    std::set<ReplicaId> grantedVotes;
    /// Set while this replica is the leader.
    std::optional<LeaderState> leaderState;
    /// Bytes received so far of the snapshot that the leader is sending, and its term and last index.
    std::string incomingSnapshot;
    std::pair<Term, LogIndex> incomingSnapshotId;
    std::uint64_t writtenSequence = 0;
    std::uint64_t syncedSequence = 0;
    /// Messages to send once the write with the given sequence is synced.
    std::deque<std::pair<std::uint64_t, OutgoingMessage>> messagesAwaitingSync;
    /// Actions of the current step.
    ReplicaActions actions;
};

}
