#pragma once

#include "celeryswitch/Report/ReportSums.h"
#include "celeryswitch/Report/Table.h"
#include <string>

namespace celeryswitch::Report {

/// Writes a report for people, programs and spreadsheets.
class ReportWriter {
public:
    /// `sums` outlives the writer. `createdAt` is in milliseconds since 1970.
    ReportWriter(const ReportSums& sums, std::int64_t createdAt);

    /// Sections with aligned columns for a terminal.
    std::string text() const;
    /// One JSON object with every section.
    std::string json() const;
    /// One line by service, kind and team.
    std::string csv() const;
    /// A page that needs no other file: tables and inline SVG plots, readable on a phone.
    std::string html() const;

private:
    const ReportSums& sums;
    std::int64_t createdAt;
};

/// "2026-01-31 12:05" (UTC) for a minute since 1970.
std::string minuteText(std::int64_t minute);

}
