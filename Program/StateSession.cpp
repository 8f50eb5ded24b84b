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

}

Core::Result<StateSession> StateSession::open(const std::string& settingsFile)
{
    const Settings::SettingsDocument document = Settings::loadDocument(settingsFile, Messages::Role::Operator);
    BOOST_OUTCOME_TRY(checkProblems(document));
    StateSession session;
    session.operatorSettings = Settings::operatorSettings(document);
    return session;
}

Core::Result<Messages::StateReply> StateSession::request(decltype(Messages::StateRequest::body) body) const
{
    std::random_device random;
    State::StateClientSettings clientSettings;
    clientSettings.identity.role = Messages::Role::Operator;
    clientSettings.identity.instanceId = this->operatorSettings.author;
    clientSettings.identity.incarnation = (std::uint64_t(random()) << 32) | random();
    clientSettings.replicas = this->operatorSettings.stateAddresses;
    clientSettings.seed = random();
    boost::asio::io_context context;
    Network::PeerTransport transport(context, this->operatorSettings.keys);
    State::StateClient client(context, transport, clientSettings);
    std::optional<Core::Result<Messages::StateReply>> result;
    client.request(
        std::move(body), this->operatorSettings.requestTimeout, [&](Core::Result<Messages::StateReply> reply) {
            result = std::move(reply);
            context.stop();
        });
    context.run();
    client.stop();
    transport.stop();
    context.restart();
    context.poll();
    if (!result || !*result)
        return failure(ExitCode::Unreachable,
            (result ? result->error().message() : std::string("no answer"))
                + "; check stateAddresses and keys, and send the request again as it was: it may have been applied");
    if (result->value().refusal != Messages::StateRefusal::None)
        return refusalError(result->value());
    return std::move(result->value());
}

}
