#include "Program/StateSession.h"

#include "Program/CommandLine.h"
#include "celeryswitch/Settings/RoleDocuments.h"
#include "celeryswitch/Settings/RoleSettings.h"
#include "celeryswitch/State/StateClient.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <random>

namespace celeryswitch::Program {

namespace {

Core::Error refusalError(const Messages::StateReply& reply)
{
    const std::string name(Core::enumName(reply.refusal));
    switch (reply.refusal) {
    case Messages::StateRefusal::VersionConflict:
        return failure(ExitCode::Refused,
            name + ": " + reply.detail
                + "; look at the present version with \"celeryswitch config show\" and decide again");
    case Messages::StateRefusal::NotLeader:
    case Messages::StateRefusal::NoQuorum:
    case Messages::StateRefusal::Busy:
        return failure(ExitCode::Unreachable,
            name + ": " + reply.detail + "; the request may or may not have been applied, so send it again as it was");
    default:
        return failure(ExitCode::Refused, name + ": " + reply.detail);
    }
}

State::StateClientSettings clientSettings(const Settings::OperatorSettings& settings)
{
    std::random_device random;
    State::StateClientSettings result;
    result.identity.role = Messages::Role::Operator;
    result.identity.instanceId = settings.author;
    result.identity.incarnation = (std::uint64_t(random()) << 32) | random();
    result.replicas = settings.stateAddresses;
    result.seed = random();
    return result;
}

}

// One client for the whole command: it stays with the leader once a request has found it.
class StateSession::Implementation {
public:
    explicit Implementation(Settings::OperatorSettings operatorSettings)
        : settings(std::move(operatorSettings))
        , transport(this->context, this->settings.keys)
        , client(this->context, this->transport, clientSettings(this->settings))
    {
    }
    ~Implementation()
    {
        this->client.stop();
        this->transport.stop();
        this->context.restart();
        this->context.poll();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    const Settings::OperatorSettings settings;
    boost::asio::io_context context;
    Network::PeerTransport transport;
    State::StateClient client;
};

Core::Result<StateSession> StateSession::open(const std::string& settingsFile)
{
    const Settings::SettingsDocument document = Settings::loadDocument(settingsFile, Messages::Role::Operator);
    BOOST_OUTCOME_TRY(checkProblems(document));
    return StateSession(std::make_unique<Implementation>(Settings::operatorSettings(document)));
}

StateSession::StateSession(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

StateSession::~StateSession() = default;
StateSession::StateSession(StateSession&&) noexcept = default;
StateSession& StateSession::operator=(StateSession&&) noexcept = default;

const Settings::OperatorSettings& StateSession::settings() const { return this->implementation->settings; }

Core::Result<Messages::StateReply> StateSession::request(decltype(Messages::StateRequest::body) body) const
{
    std::optional<Core::Result<Messages::StateReply>> result;
    boost::asio::io_context& context = this->implementation->context;
    this->implementation->client.request(
        std::move(body), this->settings().requestTimeout, [&](Core::Result<Messages::StateReply> reply) {
            result = std::move(reply);
            context.stop();
        });
    context.restart();
    context.run();
    if (!result || !*result)
        return failure(ExitCode::Unreachable,
            (result ? result->error().message() : std::string("no answer"))
                + "; check stateAddresses and keys, and send the request again as it was: it may have been applied");
    if (result->value().refusal != Messages::StateRefusal::None)
        return refusalError(result->value());
    return std::move(result->value());
}

}
