#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/StateMessages.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace celeryswitch::Ownership {

/// One sidecar's record of a task.
struct RecoveredTask {
    Core::InstanceId sidecarId;
    Messages::FenceRecord record;
};

/// Collects the records of one partition from the sidecars after this entry became its owner, and tells what may have
/// run under earlier owners. Pure.
class PartitionRecovery {
public:
    /// `owner` is this entry's record of the partition; epoch 1 has no earlier owner and needs no recovery.
    PartitionRecovery(Core::PartitionId partition, const Messages::PartitionOwner& owner);

    /// Names the sidecars that must answer. `members` comes from a view that already shows this owner's epoch, and the
    /// call is repeated when members change.
    void setMembers(const std::vector<Messages::Member>& members);
    /// Adds one part of a sidecar's answer; parts of another epoch are ignored. Returns true when the answer is whole.
    bool addRecords(const Core::InstanceId& sidecarId, const Messages::PartitionRecords& part);
    /// Whether the members are known and every one of them has answered under the incarnation that the view shows.
    bool isWhole() const;
    /// Whether a submission with an unknown key has to be refused, because an earlier owner may have run it.
    bool isRefused(std::int64_t createdAt) const;
    /// Whether a task without a record provably never started, for a job created at this time.
    bool isAbsenceProof(std::int64_t createdAt) const;
    /// Records of whole answers that were not taken before, in the order of arrival.
    std::vector<RecoveredTask> takeRecords();
    /// The partition concerned.
    Core::PartitionId partition() const { return this->partitionId; }
    /// Epoch of this entry's ownership.
    Core::Epoch epoch() const { return this->ownEpoch; }
    /// Sidecars that have not answered yet.
    std::vector<Core::InstanceId> missing() const;

private:
    struct Answer {
        bool isWhole = false;
        std::vector<Messages::FenceRecord> records;
    };
    using SidecarIncarnation = std::pair<Core::InstanceId, Core::Incarnation>;

    bool hasAnswered(const SidecarIncarnation& sidecar) const;
    bool wasLostSince(std::int64_t createdAt) const;

    Core::PartitionId partitionId;
    Core::Epoch ownEpoch;
    std::int64_t takenOverAt;
    bool areMembersKnown = false;
    // Sidecars in the member table with their incarnations.
    std::map<Core::InstanceId, Core::Incarnation> expected;
    // Incarnations that are gone, with the time at which the member table learned it.
    std::map<SidecarIncarnation, std::int64_t> lost;
    std::map<SidecarIncarnation, Answer> answers;
    std::vector<RecoveredTask> found;
};

}
