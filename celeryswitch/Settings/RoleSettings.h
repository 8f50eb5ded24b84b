#pragma once

#include "celeryswitch/Entry/EntrySettings.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Settings/OperatorSettings.h"
#include "celeryswitch/Settings/SettingsDocument.h"
#include "celeryswitch/Sidecar/SidecarSettings.h"
#include "celeryswitch/State/StateSettings.h"

namespace celeryswitch::Settings {

/// The keys of a document without problems.
Network::AuthenticationKeys authenticationKeys(const SettingsDocument& document);
/// Log settings of a role's document without problems.
Logging::LogSettings logSettings(const SettingsDocument& document, Messages::Role role);
/// Settings of an entry from a document without problems.
Entry::EntrySettings entrySettings(const SettingsDocument& document);
/// Settings of a sidecar from a document without problems.
Sidecar::SidecarSettings sidecarSettings(const SettingsDocument& document);
/// Settings of a state replica from a document without problems.
State::StateSettings stateSettings(const SettingsDocument& document);
/// Settings of an operator's commands from a document without problems.
OperatorSettings operatorSettings(const SettingsDocument& document);

}
