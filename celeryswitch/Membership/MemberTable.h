#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <map>
#include <vector>

namespace celeryswitch::Membership {

/// Time for which replaced incarnations and removed members are kept, in milliseconds: the key retention (600 s) plus
/// the clock skew allowance (10 s) and a margin, so that no recovery misses an incarnation whose tasks still matter.
inline constexpr std::int64_t memberRetentionMilliseconds = 630'000;

/// Entries and sidecars as the log records them. Deterministic: `time` is the record's own, in milliseconds since 1970.
class MemberTable {
public:
    /// Adds a member, or replaces one of the same instance id. A new incarnation lists the one it replaces. Returns
    /// whether the table changed; the same registration again changes nothing.
    bool registerMember(std::int64_t time, const Messages::Member& member);
    /// Marks a member as removed. Returns false when the instance has another incarnation or is not a member.
    bool removeMember(std::int64_t time, const Messages::RemoveMember& removal);
    /// Whether an instance is a member with this incarnation.
    bool isCurrent(const Core::InstanceId& instanceId, Core::Incarnation incarnation) const;
    /// Every member, and those removed within the retention, by instance id.
    std::vector<Messages::Member> all() const;

    template <typename Archive> void serialize(Archive& archive) { archive(this->members); }

private:
    // Forgets what is older than the retention. Returns whether anything was.
    bool prune(std::int64_t time);

    std::map<Core::InstanceId, Messages::Member> members;
};

}
