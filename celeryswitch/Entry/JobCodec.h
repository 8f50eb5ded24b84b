#pragma once

#include "celeryswitch/Entry/Problem.h"
#include "celeryswitch/Ownership/JobTable.h"
#include <boost/outcome/result.hpp>
#include <string_view>

namespace celeryswitch::Entry {

/// A submission, or the problem of its first invalid field.
using ParsedSubmission
    = boost::outcome_v2::basic_result<Messages::Submission, Problem, boost::outcome_v2::policy::terminate>;

/// Parses the JSON body of a submission. Unknown or missing fields, wrong types and values out of range give a problem
/// with status 400 and the path of the field.
ParsedSubmission parseSubmission(std::string_view body);
/// Formats the answer for a job: 202 with its state while it runs, 200 with all results after it has ended.
Messages::ForwardedAnswer makeJobAnswer(const Ownership::JobEntry& job);
/// URL path of a job; the names are percent-encoded.
std::string jobPath(const std::string& team, const std::string& caller, const std::string& idempotencyKey);
/// Decodes a percent-encoded path segment; empty if it is malformed.
std::optional<std::string> decodePathSegment(std::string_view segment);

}
