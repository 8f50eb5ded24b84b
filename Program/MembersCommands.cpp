#include "Program/ChangeProposal.h"
#include "Program/Commands.h"
#include "Program/ConfigurationOperations.h"
#include "celeryswitch/Report/Table.h"
#include <algorithm>

namespace celeryswitch::Program {

namespace {

const std::string drainUsage = std::string(R"(Stops new work for an endpoint, or lets it come back.

Usage:
  celeryswitch drain [options] ENDPOINT

ENDPOINT is the instance id of the sidecar beside it.

Options:
  --undo           Let the endpoint have work again.
)") + changeOptions
    + operatorOptions;

const std::string membersUsage = std::string(R"(Lists members and replicas, or replaces a replica of the state log.

Usage:
  celeryswitch members [options]
  celeryswitch members replicas [options]
  celeryswitch members replace [options] OLD NEW ADDRESS

OLD and NEW are replica ids as "members replicas" shows them, ADDRESS is the new replica's peerAddress. The new replica
has to run and to have caught up.

Options:
  --change-id ID   Identity of the change. Give the same one to send a change again after a lost answer.
)") + operatorOptions;

Report::Table memberTable(const Messages::FleetView& view)
{
    std::map<std::string, std::size_t> partitions;
    for (const auto& [partition, owner] : view.partitions)
        ++partitions[owner.owner];
    Report::Table table(
        { "role", "instance", "dataCentre", "rack", "service", "slots", "partitions", "address", "state" });
    for (const Messages::Member& member : view.members)
        table.addRow({ std::string(Core::enumName(member.identity.role)), member.identity.instanceId,
            member.identity.dataCentre, member.identity.rack, member.identity.service,
            std::to_string(member.identity.slots), std::to_string(partitions[member.identity.instanceId]),
            member.peerAddress, member.removedAt == 0 ? "member" : "removed" });
    return table;
}

CommandResult replaceReplica(const StateSession& session, const CommandLine& line)
{
    Messages::ReplaceReplica change { line.text("--change-id"), line.text("OLD"), line.text("NEW"),
        line.text("ADDRESS") };
    if (change.changeId.empty())
        change.changeId = "replace-" + change.oldReplicaId + "-" + change.newReplicaId;
    BOOST_OUTCOME_TRY(session.ask<Messages::Done>(change));
    return print(line.has("--json")
            ? "{\"replaced\":true}\n"
            : "replica " + change.oldReplicaId + " is replaced by " + change.newReplicaId + "\n");
}

CommandResult runDrain(const CommandLine& line)
{
    BOOST_OUTCOME_TRY(const StateSession session, StateSession::open(line.text("--settings")));
    const std::string endpoint = line.text("ENDPOINT");
    BOOST_OUTCOME_TRY(const Messages::FleetView view, fetchView(session));
    const bool isKnown = std::any_of(view.members.begin(), view.members.end(), [&](const Messages::Member& member) {
        return member.identity.instanceId == endpoint && member.identity.role == Messages::Role::Sidecar;
    });
    if (!isKnown && !line.has("--undo"))
        return failure(
            ExitCode::Refused, "no sidecar is named \"" + endpoint + "\"; \"celeryswitch members\" lists them");
    return proposeChange(session, line, drainOperations(endpoint, line.has("--undo"), line.text("--reason")));
}

}

CommandResult runMembers(const std::vector<std::string>& arguments)
{
    const bool isDrain = arguments[0] == "drain";
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(isDrain ? drainUsage : membersUsage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    if (isDrain)
        return runDrain(line);
    BOOST_OUTCOME_TRY(const StateSession session, StateSession::open(line.text("--settings")));
    if (line.has("replace"))
        return replaceReplica(session, line);
    if (line.has("replicas")) {
        BOOST_OUTCOME_TRY(const Messages::ReplicaStatus status,
            session.ask<Messages::ReplicaStatus>(Messages::QueryReplicaStatus {}));
        return print(status.json + "\n");
    }
    BOOST_OUTCOME_TRY(const Messages::FleetView view, fetchView(session));
    const Report::Table table = memberTable(view);
    return print(line.has("--json") ? table.json() + "\n" : table.text());
}

}
