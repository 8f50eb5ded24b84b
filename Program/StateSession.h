#pragma once

#include "Program/ExitCodes.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Settings/OperatorSettings.h"
#include <memory>
#include <string>

namespace celeryswitch::Program {

/// Usage lines of the options that every operator command takes.
inline constexpr const char* operatorOptions = "  --settings FILE  Operator settings [default: operator.toml].\n"
                                               "  --json           Print JSON.\n";

/// Sends requests of an operator's command to the state replicas, one at a time, and waits for each answer.
class StateSession {
public:
    /// Reads the operator settings; InvalidSettings lists every problem.
    static Core::Result<StateSession> open(const std::string& settingsFile);
    ~StateSession();
    StateSession(StateSession&&) noexcept;
    StateSession& operator=(StateSession&&) noexcept;

    /// Sends a request. A refusal is the error Refused; no answer in time is Unreachable.
    template <typename Answer> Core::Result<Answer> ask(decltype(Messages::StateRequest::body) body) const
    {
        BOOST_OUTCOME_TRY(Messages::StateReply reply, this->request(std::move(body)));
        if (Answer* answer = std::get_if<Answer>(&reply.body))
            return std::move(*answer);
        return Core::Error(ExitCode::Failed, "the state replica sent an answer of another type; update this command");
    }
    /// The settings of this session.
    const Settings::OperatorSettings& settings() const;

private:
    class Implementation;

    explicit StateSession(std::unique_ptr<Implementation> implementation);
    Core::Result<Messages::StateReply> request(decltype(Messages::StateRequest::body) body) const;

    std::unique_ptr<Implementation> implementation;
};

}
