#pragma once

#include "Program/ExitCodes.h"
#include "celeryswitch/Settings/SettingsDocument.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Program {

/// Arguments of one command, parsed by its usage text. Every error is ExitCode::Usage and names the argument.
class CommandLine {
public:
    /// Parses arguments, the command word first, by a docopt usage text.
    static Core::Result<CommandLine> parse(const std::string& usage, const std::vector<std::string>& arguments);

    /// Whether the usage's help was asked for; `parse` has printed it, and the command ends.
    bool isHelp() const { return this->helpAsked; }
    /// Whether a command word or an option without a value was given.
    bool has(const std::string& name) const;
    /// Value of an argument or option; empty when it was not given and has no default.
    std::string text(const std::string& name) const;
    /// Values of an argument that may be repeated.
    const std::vector<std::string>& words(const std::string& name) const;
    /// Whole number inside a range.
    Core::Result<std::int64_t> integer(const std::string& name, std::int64_t minimum, std::int64_t maximum) const;
    /// Number from 0 to `maximum`.
    Core::Result<double> number(const std::string& name, double maximum) const;
    /// Parts of a value between commas; empty when it was not given.
    std::vector<std::string> list(const std::string& name) const;

private:
    bool helpAsked = false;
    std::map<std::string, bool> flags;
    std::map<std::string, std::string> values;
    std::map<std::string, std::vector<std::string>> repeated;
};

/// An Error that ends the command.
Core::Error failure(ExitCode exitCode, std::string message);
/// InvalidSettings with every problem when a settings file has any.
Core::Result<void> checkProblems(const Settings::SettingsDocument& document);
/// Prints to standard output; Failed when it can't be written, for example to a full disk.
CommandResult print(const std::string& text);

}
