#include "Program/CommandLine.h"

#include <charconv>
#include <cstdio>
#include <docopt/docopt.h>
#include <sstream>

namespace celeryswitch::Program {

namespace {

template <typename Number> std::optional<Number> parsed(const std::string& text)
{
    Number number {};
    const char* end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, number);
    return error == std::errc {} && next == end ? std::optional(number) : std::nullopt;
}

}

Core::Result<CommandLine> CommandLine::parse(const std::string& usage, const std::vector<std::string>& arguments)
{
    CommandLine line;
    try {
        for (const auto& [name, value] : docopt::docopt_parse(usage, arguments, true, false)) {
            if (value.isBool())
                line.flags[name] = value.asBool();
            else if (value.isString())
                line.values[name] = value.asString();
            else if (value.isStringList())
                line.repeated[name] = value.asStringList();
        }
    } catch (const docopt::DocoptExitHelp&) {
        line.helpAsked = true;
        BOOST_OUTCOME_TRY(print(usage));
    } catch (const docopt::DocoptArgumentError&) {
        // The library's own text repeats every argument and names none, so the usage is what helps.
        return failure(ExitCode::Usage, "the arguments fit no line of the usage\n\n" + usage);
    }
    return line;
}

bool CommandLine::has(const std::string& name) const
{
    const auto found = this->flags.find(name);
    return found != this->flags.end() && found->second;
}

std::string CommandLine::text(const std::string& name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? std::string() : found->second;
}

const std::vector<std::string>& CommandLine::words(const std::string& name) const
{
    static const std::vector<std::string> none;
    const auto found = this->repeated.find(name);
    return found == this->repeated.end() ? none : found->second;
}

Core::Result<std::int64_t> CommandLine::integer(
    const std::string& name, std::int64_t minimum, std::int64_t maximum) const
{
    const std::optional<std::int64_t> number = parsed<std::int64_t>(this->text(name));
    if (!number || *number < minimum || *number > maximum)
        return failure(ExitCode::Usage,
            name + " = \"" + this->text(name) + "\": give a whole number from " + std::to_string(minimum) + " to "
                + std::to_string(maximum));
    return *number;
}

Core::Result<double> CommandLine::number(const std::string& name, double maximum) const
{
    const std::optional<double> number = parsed<double>(this->text(name));
    if (!number || !(*number >= 0 && *number <= maximum))
        return failure(ExitCode::Usage,
            name + " = \"" + this->text(name) + "\": give a number from 0 to "
                + std::to_string(static_cast<std::int64_t>(maximum)));
    return *number;
}

std::vector<std::string> CommandLine::list(const std::string& name) const
{
    std::vector<std::string> parts;
    std::istringstream stream(this->text(name));
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

Core::Error failure(ExitCode exitCode, std::string message) { return Core::Error(exitCode, std::move(message)); }

Core::Result<void> checkProblems(const Settings::SettingsDocument& document)
{
    if (document.problems().empty())
        return Core::success();
    std::string message = std::to_string(document.problems().size()) + " problems; correct them and start again";
    for (const Settings::SettingsProblem& problem : document.problems())
        message += "\n  " + problem.text();
    return failure(ExitCode::InvalidSettings, message);
}

CommandResult print(const std::string& text)
{
    if (std::fwrite(text.data(), 1, text.size(), stdout) != text.size() || std::fflush(stdout) != 0)
        return failure(ExitCode::Failed, "standard output can't be written; check where it leads");
    return ExitCode::Ok;
}

}
