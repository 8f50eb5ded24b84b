#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <vector>

namespace celeryswitch::Scheduling {

/// Settings of the choice of links.
struct LinkSubsetSettings {
    /// Entries that each sidecar is linked to at least; enough that its worker stays in use while some of them are
    /// lost.
    std::size_t entriesPerSidecar = 4;
    /// Sidecars that each entry is linked to on average at least; enough that their room evens out.
    std::size_t sidecarsPerEntry = 20;
};

/// The sidecars that an entry links to: each sidecar is linked to the same number of entries, chosen by rendezvous
/// hashing, so that the cost of links does not grow with the fleet and a lost or new process moves few of them. An
/// entry that is no member yet counts as one.
std::vector<Messages::Member> linkedSidecars(
    const std::vector<Messages::Member>& members, const Core::InstanceId& entry, const LinkSubsetSettings& settings);

}
