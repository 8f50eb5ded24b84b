#pragma once

#include "celeryswitch/Membership/PartitionTable.h"
#include "celeryswitch/Messages/StateMessages.h"
#include <variant>

namespace celeryswitch::State {

/// Entry of the state log, as the leader proposes it.
struct StateCommand {
    /// Milliseconds since 1970 by the proposing leader's clock.
    std::int64_t time = 0;
    /// Append only: the index is part of the stored format.
    std::variant<Messages::RegisterMember, Messages::RemoveMember, Membership::GrantPartitions,
        Messages::ReleasePartitions, Messages::ProposeChange, Messages::AppendReport, Messages::PutRouting,
        Messages::SetEvacuation>
        body;

    template <typename Archive> void serialize(Archive& archive) { archive(this->time, this->body); }
};

}
