#pragma once

#include "Program/CommandLine.h"
#include "Program/StateSession.h"
#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include <boost/json/array.hpp>

namespace celeryswitch::Program {

/// Usage lines of the options of every command that changes the configuration.
inline constexpr const char* changeOptions
    = "  --reason TEXT    Why; kept in the audit trail.\n"
      "  --expected N     Version that the change was decided on; the present one when left out.\n"
      "  --change-id ID   Identity of the change. Give the same one to send a change again after a lost answer.\n";

/// The fleet as the state replicas know it.
Core::Result<Messages::FleetView> fetchView(const StateSession& session);
/// The configuration in a view.
Core::Result<Configuration::ConfigurationDocument> configurationOf(const Messages::FleetView& view);
/// Proposes a change with the options of `line` and prints the version that it gave.
CommandResult proposeChange(const StateSession& session, const CommandLine& line, const boost::json::array& operations);

}
