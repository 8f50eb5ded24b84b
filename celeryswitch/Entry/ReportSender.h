#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include <map>
#include <tuple>

namespace celeryswitch::Entry {

/// Counts the task outcomes of ended jobs and sends them to the report at the state replicas once a second. Performs no
/// I/O.
class ReportSender {
public:
    explicit ReportSender(EntryContext& context);

    /// Counts the task results of an ended job.
    void add(const std::string& service, const std::string& kind, const std::string& team,
        const std::vector<Messages::TaskResult>& results);
    /// Returns the next due request, if any. Unconfirmed rows are sent again, unchanged, before new ones.
    std::optional<Messages::AppendReport> nextRequest();
    /// Handles the end of the pending request. If unconfirmed, it is repeated with the same sequence number.
    void requestFinished(bool isConfirmed);
    /// Whether all counts have been confirmed.
    bool isEmpty() const { return this->totals.empty() && this->pendingReport.rows.empty(); }

private:
    using Key
        = std::tuple<std::string, std::string, std::string, std::int64_t, Messages::TaskOutcome, Messages::TaskReason>;

    EntryContext& context;
    std::map<Key, std::uint64_t> totals;
    Messages::AppendReport pendingReport;
    bool isRequestPending = false;
    Core::SteadyTime nextSendTime {};
};

}
