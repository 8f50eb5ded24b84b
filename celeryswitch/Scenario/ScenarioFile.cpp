#include "celeryswitch/Scenario/ScenarioFile.h"

#include "celeryswitch/Core/CheckedToml.h"
#include <algorithm>
#include <fstream>
#include <sstream>

namespace celeryswitch::Scenario {

namespace {

// Argument of an action; numbers have a range.
struct Argument {
    std::string_view name;
    bool isRequired = false;
    bool isInteger = false;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

constexpr Argument requiredText(std::string_view name) { return { name, true, false, 0, 0 }; }
constexpr Argument optionalText(std::string_view name) { return { name, false, false, 0, 0 }; }
constexpr Argument optionalInteger(std::string_view name, std::int64_t minimum, std::int64_t maximum)
{
    return { name, false, true, minimum, maximum };
}

const std::map<std::string, std::vector<Argument>, std::less<>>& actions()
{
    static const Argument within = optionalInteger("withinMs", 1, 600'000);
    static const std::map<std::string, std::vector<Argument>, std::less<>> table {
        { "start", { requiredText("process") } },
        { "kill", { requiredText("process") } },
        { "stop", { requiredText("process"), within } },
        { "freeze", { requiredText("process") } },
        { "resume", { requiredText("process") } },
        { "cut", { requiredText("link") } },
        { "heal", { requiredText("link") } },
        { "deleteData", { requiredText("process") } },
        { "replace", { requiredText("process"), requiredText("by"), within } },
        { "submit",
            { requiredText("job"), requiredText("entry"), optionalInteger("tasks", 1, 2000),
                optionalInteger("serviceMs", 0, 600'000) } },
        { "resubmit", { requiredText("job"), requiredText("entry") } },
        { "cancel", { requiredText("job"), requiredText("entry") } },
        { "change",
            { requiredText("key"), { "value", true, true, 0, INT64_MAX }, optionalInteger("count", 1, 10'000) } },
        { "race",
            { requiredText("key"), { "first", true, true, 0, INT64_MAX }, { "second", true, true, 0, INT64_MAX } } },
        { "finishRace", { within } },
        { "load",
            { requiredText("workload"), optionalText("phase"), optionalInteger("seconds", 1, 600),
                optionalInteger("loadPercent", 1, 10'000) } },
        { "finishLoad", {} },
        { "wait", { { "milliseconds", true, true, 1, 600'000 } } },
        { "waitStarted", { requiredText("job"), optionalInteger("tasks", 1, 2000), within } },
        { "expectJob", { requiredText("job"), requiredText("state"), within } },
        { "expectVersion", { { "version", true, true, 0, INT64_MAX }, within } },
        { "expectAudit", { optionalInteger("records", 0, INT64_MAX), within } },
        { "expectMember", { requiredText("process"), within } },
    };
    return table;
}

/// Reads a parsed file and collects its problems.
class Reader {
public:
    Reader(const toml::table& root, const std::string& fileName)
        : root(root)
        , fileName(fileName)
    {
    }

    Core::Result<ScenarioFile> read()
    {
        for (const auto& [key, node] : this->root) {
            const std::string name(key.str());
            if (name == "name")
                this->scenario.name = this->textOf(name, node);
            else if (name == "guardsAgainst")
                this->scenario.guardsAgainst = this->textOf(name, node);
            else if (name == "fleet")
                this->readFleet(node);
            else if (name == "step")
                this->readSteps(node);
            else
                this->report(node, name, "unknown key");
        }
        if (this->scenario.name.empty() || this->scenario.guardsAgainst.empty() || this->scenario.steps.empty())
            this->problems += "\n" + this->fileName + ": name, guardsAgainst and at least one step are needed";
        if (!this->problems.empty())
            return Core::Error(ScenarioError::Invalid, this->problems.substr(1));
        return this->scenario;
    }

private:
    void report(const toml::node& node, const std::string& key, const std::string& message)
    {
        this->problems
            += "\n" + this->fileName + ":" + std::to_string(node.source().begin.line) + ": " + key + ": " + message;
    }

    std::string textOf(const std::string& name, const toml::node& node)
    {
        const std::optional<std::string> value = node.value_exact<std::string>();
        if (!value || value->empty())
            this->report(node, name, "must be a text");
        return value.value_or("");
    }

    std::int64_t integerOf(const std::string& name, const toml::node& node, std::int64_t minimum, std::int64_t maximum)
    {
        const std::optional<std::int64_t> value = node.value_exact<std::int64_t>();
        if (!value || *value < minimum || *value > maximum)
            this->report(node, name,
                "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return value.value_or(minimum);
    }

    void readFleet(const toml::node& node)
    {
        const std::map<std::string, std::uint32_t*> fields { { "states", &this->scenario.fleet.states },
            { "entries", &this->scenario.fleet.entries }, { "sidecars", &this->scenario.fleet.sidecars },
            { "slots", &this->scenario.fleet.slots }, { "spareStates", &this->scenario.fleet.spareStates } };
        if (!node.is_table())
            return this->report(node, "fleet", "must be a table");
        for (const auto& [key, value] : *node.as_table()) {
            const std::string name(key.str());
            const auto field = fields.find(name);
            if (field == fields.end())
                this->report(value, name, "unknown key");
            else
                *field->second = static_cast<std::uint32_t>(this->integerOf(name, value, 0, 64));
        }
    }

    void readSteps(const toml::node& node)
    {
        if (!node.is_array_of_tables())
            return this->report(node, "step", "must be [[step]] tables");
        for (const toml::node& element : *node.as_array()) {
            const toml::table& table = *element.as_table();
            Step step;
            step.line = element.source().begin.line;
            step.action = table["do"].value_or(std::string());
            const auto action = actions().find(step.action);
            if (action == actions().end()) {
                this->report(element, "do = \"" + step.action + "\"", "is no action");
                continue;
            }
            this->readArguments(table, action->second, step);
            this->scenario.steps.push_back(std::move(step));
        }
    }

    void readArguments(const toml::table& table, const std::vector<Argument>& arguments, Step& step)
    {
        for (const auto& [key, node] : table) {
            const std::string name(key.str());
            const auto argument = std::find_if(
                arguments.begin(), arguments.end(), [&](const Argument& known) { return known.name == name; });
            if (name == "do")
                continue;
            if (argument == arguments.end())
                this->report(node, name, "is no argument of \"" + step.action + "\"");
            else if (argument->isInteger)
                step.integers[name] = this->integerOf(name, node, argument->minimum, argument->maximum);
            else
                step.texts[name] = this->textOf(name, node);
        }
        for (const Argument& argument : arguments) {
            if (argument.isRequired && !table.contains(argument.name))
                this->report(table, std::string(argument.name), "is missing in \"" + step.action + "\"");
        }
    }

    const toml::table& root;
    const std::string& fileName;
    ScenarioFile scenario;
    std::string problems;
};

}

std::string Step::text(std::string_view name) const
{
    const auto found = this->texts.find(name);
    return found == this->texts.end() ? std::string() : found->second;
}

std::int64_t Step::integer(std::string_view name, std::int64_t builtIn) const
{
    const auto found = this->integers.find(name);
    return found == this->integers.end() ? builtIn : found->second;
}

Core::Result<ScenarioFile> parseScenario(std::string_view text, const std::string& fileName)
{
    try {
        const toml::table root = Core::parseToml(text, fileName);
        return Reader(root, fileName).read();
    } catch (const toml::parse_error& error) {
        return Core::Error(ScenarioError::Invalid,
            fileName + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()));
    }
}

Core::Result<ScenarioFile> readScenario(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::stringstream content;
    content << stream.rdbuf();
    if (!stream)
        return Core::Error(ScenarioError::Invalid, path + ": can't be read");
    return parseScenario(content.str(), path);
}

}
