#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <vector>

namespace celeryswitch::Scheduling {

/// Minimum numbers of links between entries and sidecars.
struct LinkSubsetSettings {
    /// Minimum number of entries linked to each sidecar, so that its worker stays in use when some of them fail.
    std::size_t entriesPerSidecar = 4;
    /// Minimum average number of sidecars linked to each entry, so that differences in their free room even out.
    std::size_t sidecarsPerEntry = 20;
};

/// Selects the sidecars that an entry connects to. Every sidecar is linked to the same number of entries, chosen by
/// rendezvous hashing: the number of links does not grow with the product of entries and sidecars, and a process that
/// joins or leaves moves few links. An entry that is not yet in `members` is counted as one of them.
std::vector<Messages::Member> linkedSidecars(
    const std::vector<Messages::Member>& members, const Core::InstanceId& entry, const LinkSubsetSettings& settings);

}
