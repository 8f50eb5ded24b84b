#include "Program/ChangeProposal.h"

#include "celeryswitch/Network/MessageCodec.h"
#include <boost/json/serialize.hpp>
#include <random>

namespace celeryswitch::Program {

namespace {

std::string newChangeId()
{
    std::random_device random;
    const Core::JobId id { (std::uint64_t(random()) << 32) | random(), (std::uint64_t(random()) << 32) | random() };
    return Core::toString(id);
}

}

Core::Result<Messages::FleetView> fetchView(const StateSession& session)
{
    // Any replica answers WatchView, and one that lags would show an operator a version before their last change. Only
    // the leader answers QueryAudit, and the session stays with it.
    BOOST_OUTCOME_TRY(session.ask<Messages::AuditAnswer>(Messages::QueryAudit { UINT64_MAX, 1 }));
    return session.ask<Messages::FleetView>(Messages::WatchView { 0, 0 });
}

Core::Result<Configuration::ConfigurationDocument> configurationOf(const Messages::FleetView& view)
{
    if (view.configuration.empty())
        return Configuration::ConfigurationDocument {};
    Core::Result<Configuration::ConfigurationDocument> document
        = Network::decodeMessage<Configuration::ConfigurationDocument>(view.configuration);
    if (!document)
        return failure(ExitCode::Failed,
            "the configuration can't be read (" + document.error().message()
                + "); use the program of the replicas' version");
    return document;
}

CommandResult proposeChange(const StateSession& session, const CommandLine& line, const boost::json::array& operations)
{
    if (line.text("--reason").empty())
        return failure(ExitCode::Usage, "--reason is missing; say why, for the audit trail");
    Messages::ProposeChange change;
    change.changeId = line.text("--change-id").empty() ? newChangeId() : line.text("--change-id");
    change.author = session.settings().author;
    change.reason = line.text("--reason");
    change.operations = boost::json::serialize(operations);
    if (line.text("--expected").empty()) {
        BOOST_OUTCOME_TRY(const Messages::FleetView view, fetchView(session));
        change.expectedVersion = view.configurationVersion;
    } else {
        BOOST_OUTCOME_TRY(const std::int64_t version, line.integer("--expected", 0, INT64_MAX));
        change.expectedVersion = static_cast<Core::ConfigurationVersion>(version);
    }
    const Core::Result<Messages::ChangeAccepted> answer = session.ask<Messages::ChangeAccepted>(change);
    if (!answer && answer.error().is(ExitCode::Unreachable))
        return failure(ExitCode::Unreachable,
            answer.error().detail() + " (send it again with --change-id " + change.changeId + " --expected "
                + std::to_string(change.expectedVersion) + ")");
    if (!answer)
        return answer.error();
    const std::string version = std::to_string(answer.value().version);
    if (line.has("--json"))
        return print("{\"changeId\":\"" + change.changeId + "\",\"version\":" + version + "}\n");
    return print("accepted as version " + version + " (change " + change.changeId + ")\n");
}

}
