#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <cereal/types/tuple.hpp>
#include <cereal/types/utility.hpp>
#include <map>
#include <tuple>

namespace celeryswitch::State {

/// Sums of task outcomes. Sums older than a day are merged into one row for their day, so that the final report of a
/// service stays complete while the table stays small.
class ReportTable {
public:
    /// Minutes for which sums are kept minute by minute.
    static constexpr std::int64_t minuteRetention = 24 * 60;

    /// Adds an entry's sums. Returns false when this sequence, or a later one, of the incarnation was added before.
    bool append(std::int64_t time, const Messages::AppendReport& report);
    /// Sums of a service ("" for all) from `fromMinute` on and before `toMinute`.
    std::vector<Messages::ReportRow> query(const Messages::QueryReport& query) const;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->sums, this->lastSequences, this->newestMinute);
    }

private:
    /// Minute, service, kind, team, outcome, reason.
    using Key
        = std::tuple<std::int64_t, std::string, std::string, std::string, Messages::TaskOutcome, Messages::TaskReason>;

    /// Last sequence of an entry's incarnation and when it came.
    struct LastSequence {
        std::uint64_t sequence = 0;
        std::int64_t time = 0;

        template <typename Archive> void serialize(Archive& archive) { archive(this->sequence, this->time); }
    };

    // Merges sums that are older than the retention into their days.
    void mergeOldMinutes(std::int64_t minute);

    std::map<Key, std::uint64_t> sums;
    std::map<std::pair<Core::InstanceId, Core::Incarnation>, LastSequence> lastSequences;
    std::int64_t newestMinute = 0;
};

}
