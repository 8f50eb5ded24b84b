#pragma once

#include "celeryswitch/Entry/Problem.h"
#include "celeryswitch/Ownership/JobTable.h"
#include <boost/outcome/result.hpp>
#include <string_view>

namespace celeryswitch::Entry {

/// Submission, or the problem of the first field that is wrong.
using ParsedSubmission
    = boost::outcome_v2::basic_result<Messages::Submission, Problem, boost::outcome_v2::policy::terminate>;

/// Reads the JSON body of a submission. Unknown and missing fields, wrong types and values out of range are
/// refused with status 400 and the path of the field.
ParsedSubmission parseSubmission(std::string_view body);
/// Answer for a job: 200 with every result when it has ended, 202 with its state while it is running.
Messages::ForwardedAnswer makeJobAnswer(const Ownership::JobEntry& job);
/// Path of a job, with percent-encoded names.
std::string jobPath(const std::string& team, const std::string& caller, const std::string& idempotencyKey);
/// Decodes a percent-encoded part of a path; nothing when it is malformed.
std::optional<std::string> decodePathPart(std::string_view part);

}
