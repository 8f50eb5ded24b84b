#pragma once

#include "celeryswitch/Settings/SettingsDocument.h"

namespace celeryswitch::Settings {

/// Checks a role's settings file whole: each key by itself, and keys that clash with each other.
SettingsDocument loadDocument(const std::string& path, Messages::Role role);
/// As `loadDocument`, for a text; `fileName` stands in the problems.
SettingsDocument checkDocument(const std::string& tomlText, const std::string& fileName, Messages::Role role);

}
