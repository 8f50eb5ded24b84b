#pragma once

#include "Program/ExitCodes.h"
#include <string>
#include <vector>

namespace celeryswitch::Program {

/// Runs a command with its arguments, the command word first.
using CommandFunction = CommandResult (*)(const std::vector<std::string>& arguments);

/// Runs a process of the role that the first argument names: entry, sidecar or state.
CommandResult runRole(const std::vector<std::string>& arguments);
/// Runs a process of a role on the users' platform.
CommandResult runPlatform(const std::vector<std::string>& arguments);
/// Checks a settings or workload file.
CommandResult runCheck(const std::vector<std::string>& arguments);
/// Puts load on entries and checks their answers.
CommandResult runLoad(const std::vector<std::string>& arguments);
/// Runs a workload on the virtual clock.
CommandResult runExperiment(const std::vector<std::string>& arguments);
/// Runs a scenario of real processes.
CommandResult runScenario(const std::vector<std::string>& arguments);
/// Prints the report of what ran, failed and never started.
CommandResult runReport(const std::vector<std::string>& arguments);
/// Shows and changes the configuration.
CommandResult runConfig(const std::vector<std::string>& arguments);
/// Drains endpoints, lists members and replaces replicas.
CommandResult runMembers(const std::vector<std::string>& arguments);
/// Begins, ends and lists evacuations of data centres.
CommandResult runEvacuate(const std::vector<std::string>& arguments);
/// Shows and cancels jobs.
CommandResult runJob(const std::vector<std::string>& arguments);
/// Lists and verifies the audit trail.
CommandResult runAudit(const std::vector<std::string>& arguments);
/// Tells the story of one request from log files.
CommandResult runExplain(const std::vector<std::string>& arguments);

}
