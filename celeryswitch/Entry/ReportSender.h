#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include <map>
#include <tuple>

namespace celeryswitch::Entry {

/// Adds up the outcomes of ended jobs and appends them to the report at the state replicas once a second. Pure.
class ReportSender {
public:
    explicit ReportSender(EntryContext& context);

    /// Adds the results of an ended job.
    void add(const std::string& service, const std::string& kind, const std::string& team,
        const std::vector<Messages::TaskResult>& results);
    /// Next request that is due, if any; the same rows are sent again until they are confirmed.
    std::optional<Messages::AppendReport> nextRequest();
    /// Ends the request in progress; an unconfirmed one is repeated with its sequence number.
    void requestEnded(bool isConfirmed);
    /// Whether every sum has been confirmed.
    bool isEmpty() const { return this->sums.empty() && this->pending.rows.empty(); }

private:
    using Key
        = std::tuple<std::string, std::string, std::string, std::int64_t, Messages::TaskOutcome, Messages::TaskReason>;

    EntryContext& context;
    std::map<Key, std::uint64_t> sums;
    Messages::AppendReport pending;
    bool isInProgress = false;
    Core::SteadyTime nextSend {};
};

}
