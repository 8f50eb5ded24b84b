#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace celeryswitch::Report {

/// Tasks by outcome.
struct OutcomeCounts {
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t unconfirmed = 0;
    std::uint64_t neverStarted = 0;

    /// Adds tasks of an outcome.
    void add(Messages::TaskOutcome outcome, std::uint64_t tasks);
    /// Tasks of every outcome.
    std::uint64_t total() const { return this->succeeded + this->failed + this->unconfirmed + this->neverStarted; }
};

/// What a report covers; empty names match everything.
struct ReportFilter {
    std::string service;
    std::string kind;
    std::string team;
    /// Minutes since 1970, the second excluded.
    std::int64_t fromMinute = 0;
    std::int64_t toMinute = 0;
};

/// Two sums of the same tasks that were added in different ways.
struct Agreement {
    std::string description;
    std::uint64_t left = 0;
    std::uint64_t right = 0;

    bool isMet() const { return this->left == this->right; }
};

/// Sums of task outcomes over the rows of a report.
class ReportSums {
public:
    /// Sums the rows that the filter matches.
    ReportSums(const std::vector<Messages::ReportRow>& rows, ReportFilter filter);

    const ReportFilter& filter() const { return this->reportFilter; }
    const OutcomeCounts& total() const { return this->totalCounts; }
    const std::map<std::string, OutcomeCounts>& byService() const { return this->services; }
    const std::map<std::string, OutcomeCounts>& byKind() const { return this->kinds; }
    const std::map<std::string, OutcomeCounts>& byTeam() const { return this->teams; }
    const std::map<std::int64_t, OutcomeCounts>& byMinute() const { return this->minutes; }
    /// Tasks that did not succeed, by outcome and reason.
    const std::map<std::pair<Messages::TaskOutcome, Messages::TaskReason>, std::uint64_t>& byReason() const
    {
        return this->reasons;
    }
    /// Rows by service, kind and team.
    const std::map<std::vector<std::string>, OutcomeCounts>& byGroup() const { return this->groups; }
    /// Sums that have to agree; a report whose sums disagree is wrong and says so.
    std::vector<Agreement> agreements() const;

private:
    ReportFilter reportFilter;
    OutcomeCounts totalCounts;
    std::map<std::string, OutcomeCounts> services;
    std::map<std::string, OutcomeCounts> kinds;
    std::map<std::string, OutcomeCounts> teams;
    std::map<std::int64_t, OutcomeCounts> minutes;
    std::map<std::pair<Messages::TaskOutcome, Messages::TaskReason>, std::uint64_t> reasons;
    std::map<std::vector<std::string>, OutcomeCounts> groups;
};

}
