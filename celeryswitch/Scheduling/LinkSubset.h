#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <map>
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
/// joins or leaves moves few links. An entry that is not yet among the members is counted as one of them.
class LinkSubset {
public:
    LinkSubset(Core::InstanceId entry, LinkSubsetSettings settings)
        : entry(std::move(entry))
        , settings(settings)
    {
    }
    /// The sidecars to link. The order of the entries for a sidecar is kept until the entries change, so that a change
    /// of sidecars costs as much as they are, and not a comparison with every entry each.
    std::vector<Messages::Member> select(const std::vector<Messages::Member>& members);

private:
    // Number of entries that rank above this one for a sidecar.
    std::size_t entriesAbove(const Core::InstanceId& sidecar);

    Core::InstanceId entry;
    LinkSubsetSettings settings;
    std::vector<Core::InstanceId> others;
    /// Results of `entriesAbove` for the present entries.
    std::map<Core::InstanceId, std::size_t> ranks;
};

}
