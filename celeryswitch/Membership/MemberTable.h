#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <map>
#include <vector>

namespace celeryswitch::Membership {

/// Retention of replaced incarnations and removed members: the key retention (600 s) plus the allowed clock skew (10 s)
/// and a margin (20 s), so that recovery covers every incarnation whose tasks may still be retried.
inline constexpr std::int64_t memberRetentionMilliseconds = 630'000;

/// Registered entries and sidecars, as replicated by the state log. Deterministic: `time` is that of the log record, in
/// milliseconds since 1970.
class MemberTable {
public:
    /// Adds a member or updates the one with the same instance id. A new incarnation lists those it replaced. Returns
    /// whether the table changed; repeating a registration is a no-op.
    bool registerMember(std::int64_t time, const Messages::Member& member);
    /// Marks a member as removed. Returns false if the instance is not a member or has another incarnation.
    bool removeMember(std::int64_t time, const Messages::RemoveMember& removal);
    /// Whether an instance is a member with the given incarnation.
    bool isCurrent(const Core::InstanceId& instanceId, Core::Incarnation incarnation) const;
    /// All members, including those removed within the retention, in the order of their instance ids.
    std::vector<Messages::Member> all() const;

    template <typename Archive> void serialize(Archive& archive) { archive(this->members); }

private:
    // Deletes expired incarnations and removed members. Returns whether any was deleted.
    bool prune(std::int64_t time);

    std::map<Core::InstanceId, Messages::Member> members;
};

}
