#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Core/Result.h"
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Charts {

/// Why a chart was refused.
enum class ChartError : std::uint8_t {
    /// Not a TOML document of the expected form.
    Malformed,
    /// A state, event, guard or action that the code does not have.
    UnknownName,
    /// A state of the code that the chart does not describe.
    MissingState,
    UnreachableState,
    /// An event that a state neither handles in every case nor lists as ignored.
    UnhandledEvent,
};

/// Names that the code gives to a chart; a name's position is its number.
struct ChartNames {
    std::vector<std::string_view> states;
    std::vector<std::string_view> events;
    std::vector<std::string_view> guards;
    std::vector<std::string_view> actions;
};

/// Names of a list of enumerations, in the order of their tables. The values must count up from 0 in that order.
template <Core::NamedEnum State, Core::NamedEnum Event, Core::NamedEnum Guard, Core::NamedEnum Action>
ChartNames chartNames()
{
    const auto list = []<typename E>(std::type_identity<E>) {
        std::vector<std::string_view> names;
        for (const auto& entry : Core::EnumTable<E>::names)
            names.push_back(entry.second);
        return names;
    };
    return { list(std::type_identity<State>()), list(std::type_identity<Event>()), list(std::type_identity<Guard>()),
        list(std::type_identity<Action>()) };
}

/// Transitions of a state machine, read from a TOML text:
///
///     initial = "follower"
///     [follower]
///     ignored = ["quorumLost"]
///     [[follower.electionTimeout]]
///     guard = "isVoter"          # optional; the first entry whose guard holds is taken
///     target = "preCandidate"    # optional; without it the state stays
///     actions = ["requestPreVotes"]
///
/// Immutable after loading.
class StateChart {
public:
    /// One alternative for an event in a state.
    struct Transition {
        /// Number of the guard, or -1 for none.
        int guard = -1;
        std::size_t target = 0;
        /// Numbers of the actions, in order.
        std::vector<std::size_t> actions;
    };

    /// Reads and checks a chart: every name exists, every state is described and reachable, and every state handles
    /// each event (its last alternative without a guard) or lists it as ignored.
    static Core::Result<StateChart> load(std::string_view text, const ChartNames& names);

    /// Number of the initial state.
    std::size_t initialState() const { return this->initial; }
    /// The transition for an event in a state; null when the event is ignored.
    const Transition* find(
        std::size_t state, std::size_t event, const std::function<bool(std::size_t guard)>& isGuardTrue) const;

private:
    friend class ChartLoader;
    std::size_t initial = 0;
    /// By state, then event; empty when ignored.
    std::vector<std::vector<std::vector<Transition>>> transitions;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Charts::ChartError> {
    static constexpr std::string_view type = "ChartError";
    static constexpr std::array<std::pair<Charts::ChartError, std::string_view>, 5> names { {
        { Charts::ChartError::Malformed, "Malformed" },
        { Charts::ChartError::UnknownName, "UnknownName" },
        { Charts::ChartError::MissingState, "MissingState" },
        { Charts::ChartError::UnreachableState, "UnreachableState" },
        { Charts::ChartError::UnhandledEvent, "UnhandledEvent" },
    } };
};

}
