#include "celeryswitch/Charts/StateChart.h"

#include "celeryswitch/Core/CheckedToml.h"
#include <algorithm>

namespace celeryswitch::Charts {

using Core::Error;
using Core::Result;

namespace {

// Number of a name in a list, or an error that says where it was used.
Result<std::size_t> indexOf(
    const std::vector<std::string_view>& names, const std::string& name, const char* what, const std::string& place)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return Error(ChartError::UnknownName, std::string(what) + " \"" + name + "\" in " + place);
    return static_cast<std::size_t>(found - names.begin());
}

}

/// Builds a StateChart from a TOML document.
class ChartLoader {
public:
    explicit ChartLoader(const ChartNames& names)
        : names(names)
    {
        this->chart.transitions.assign(
            names.states.size(), std::vector<std::vector<StateChart::Transition>>(names.events.size()));
    }

    /// Reads and checks the whole chart.
    Result<StateChart> load(std::string_view text)
    {
        toml::table document;
        try {
            document = Core::parseToml(text, "chart");
        } catch (const toml::parse_error& error) {
            return Error(ChartError::Malformed,
                std::string(error.description()) + " at line " + std::to_string(error.source().begin.line));
        }
        for (const auto& [key, node] : document) {
            const std::string name(key.str());
            if (name == "initial") {
                BOOST_OUTCOME_TRY(
                    this->chart.initial, indexOf(this->names.states, node.value_or(std::string()), "state", "initial"));
                continue;
            }
            BOOST_OUTCOME_TRY(auto state, indexOf(this->names.states, name, "state", "the chart"));
            if (!node.is_table())
                return Error(ChartError::Malformed, "state \"" + name + "\" is not a table");
            BOOST_OUTCOME_TRY(this->loadState(state, *node.as_table()));
            this->described.push_back(state);
        }
        BOOST_OUTCOME_TRY(this->checkReachable());
        return std::move(this->chart);
    }

private:
    // Reads one state's table.
    Result<void> loadState(std::size_t state, const toml::table& table)
    {
        const std::string stateName(this->names.states[state]);
        std::vector<bool> isIgnored(this->names.events.size(), false);
        for (const auto& [key, node] : table) {
            const std::string name(key.str());
            if (!node.is_array())
                return Error(ChartError::Malformed, stateName + "." + name + " is not an array");
            if (name == "ignored") {
                for (const auto& item : *node.as_array()) {
                    BOOST_OUTCOME_TRY(
                        auto event, indexOf(this->names.events, item.value_or(std::string()), "event", stateName));
                    isIgnored[event] = true;
                }
                continue;
            }
            BOOST_OUTCOME_TRY(auto event, indexOf(this->names.events, name, "event", stateName));
            BOOST_OUTCOME_TRY(this->loadTransitions(state, event, *node.as_array()));
        }
        for (std::size_t event = 0; event < this->names.events.size(); ++event) {
            const auto& alternatives = this->chart.transitions[state][event];
            const bool isHandled = !alternatives.empty() && alternatives.back().guard < 0;
            if (!isHandled && !isIgnored[event])
                return Error(ChartError::UnhandledEvent, stateName + "." + std::string(this->names.events[event]));
            if (isHandled && isIgnored[event])
                return Error(ChartError::Malformed,
                    stateName + "." + std::string(this->names.events[event]) + " is both handled and ignored");
        }
        return Core::success();
    }

    // Reads the alternatives for one event.
    Result<void> loadTransitions(std::size_t state, std::size_t event, const toml::array& alternatives)
    {
        const std::string place = std::string(this->names.states[state]) + "." + std::string(this->names.events[event]);
        for (const auto& node : alternatives) {
            const toml::table* table = node.as_table();
            if (!table)
                return Error(ChartError::Malformed, place + " is not a list of tables");
            StateChart::Transition transition;
            transition.target = state;
            for (const auto& [key, value] : *table) {
                const std::string name(key.str());
                if (name == "guard") {
                    BOOST_OUTCOME_TRY(
                        auto guard, indexOf(this->names.guards, value.value_or(std::string()), "guard", place));
                    transition.guard = static_cast<int>(guard);
                } else if (name == "target") {
                    BOOST_OUTCOME_TRY(
                        transition.target, indexOf(this->names.states, value.value_or(std::string()), "state", place));
                } else if (name == "actions" && value.is_array()) {
                    for (const auto& item : *value.as_array()) {
                        BOOST_OUTCOME_TRY(
                            auto action, indexOf(this->names.actions, item.value_or(std::string()), "action", place));
                        transition.actions.push_back(action);
                    }
                } else {
                    return Error(ChartError::Malformed, place + "." + name);
                }
            }
            this->chart.transitions[state][event].push_back(std::move(transition));
        }
        return Core::success();
    }

    // Checks that each state is described and can be reached from the initial one.
    Result<void> checkReachable() const
    {
        std::vector<bool> isReached(this->names.states.size(), false);
        std::vector<std::size_t> open { this->chart.initial };
        isReached[this->chart.initial] = true;
        while (!open.empty()) {
            const std::size_t state = open.back();
            open.pop_back();
            for (const auto& alternatives : this->chart.transitions[state]) {
                for (const StateChart::Transition& transition : alternatives) {
                    if (!isReached[transition.target]) {
                        isReached[transition.target] = true;
                        open.push_back(transition.target);
                    }
                }
            }
        }
        for (std::size_t state = 0; state < this->names.states.size(); ++state) {
            const std::string name(this->names.states[state]);
            if (std::find(this->described.begin(), this->described.end(), state) == this->described.end())
                return Error(ChartError::MissingState, name);
            if (!isReached[state])
                return Error(ChartError::UnreachableState, name);
        }
        return Core::success();
    }

    const ChartNames& names;
    StateChart chart;
    std::vector<std::size_t> described;
};

Result<StateChart> StateChart::load(std::string_view text, const ChartNames& names)
{
    return ChartLoader(names).load(text);
}

const StateChart::Transition* StateChart::find(
    std::size_t state, std::size_t event, const std::function<bool(std::size_t)>& isGuardTrue) const
{
    for (const Transition& transition : this->transitions[state][event]) {
        if (transition.guard < 0 || isGuardTrue(static_cast<std::size_t>(transition.guard)))
            return &transition;
    }
    return nullptr;
}

}
