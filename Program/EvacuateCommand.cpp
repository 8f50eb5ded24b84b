#include "Program/ChangeProposal.h"
#include "Program/Commands.h"
#include "Program/StateSession.h"
#include "celeryswitch/Report/Table.h"
#include <algorithm>

namespace celeryswitch::Program {

namespace {

const std::string usage = std::string(R"(Stops new work on the workers of a data centre, or lets them have work again.

Usage:
  celeryswitch evacuate start [options] DATACENTRE
  celeryswitch evacuate end [options] DATACENTRE
  celeryswitch evacuate list [options]

What runs there may end. Both orders may be sent again; the second one changes nothing.

Options:
)") + operatorOptions;

Core::Result<Messages::EvacuationList> fetchEvacuations(const StateSession& session)
{
    return session.ask<Messages::EvacuationList>(Messages::QueryEvacuations {});
}

CommandResult printEvacuations(const StateSession& session, const CommandLine& line)
{
    BOOST_OUTCOME_TRY(const Messages::EvacuationList list, fetchEvacuations(session));
    Report::Table table({ "dataCentre", "sinceMs" });
    for (const Messages::Evacuation& evacuation : list.evacuations)
        table.addRow({ evacuation.dataCentre, std::to_string(evacuation.since) });
    return print(line.has("--json") ? table.json() + "\n" : table.text());
}

CommandResult setEvacuation(const StateSession& session, const CommandLine& line)
{
    const std::string dataCentre = line.text("DATACENTRE");
    const bool isStart = line.has("start");
    if (isStart) {
        // A misspelt name would be accepted and stop nothing.
        BOOST_OUTCOME_TRY(const Messages::FleetView view, fetchView(session));
        const bool isKnown = std::any_of(view.members.begin(), view.members.end(),
            [&](const Messages::Member& member) { return member.identity.dataCentre == dataCentre; });
        if (!isKnown)
            return failure(ExitCode::Refused,
                "no member is in a data centre \"" + dataCentre + "\"; \"celeryswitch members\" lists them");
    }
    BOOST_OUTCOME_TRY(
        session.ask<Messages::Done>(Messages::SetEvacuation { session.settings().author, dataCentre, isStart }));
    return print(line.has("--json") ? std::string("{\"evacuated\":") + (isStart ? "true" : "false") + "}\n"
                                    : dataCentre + (isStart ? " is being evacuated\n" : " takes work again\n"));
}

}

CommandResult runEvacuate(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    BOOST_OUTCOME_TRY(const StateSession session, StateSession::open(line.text("--settings")));
    return line.has("list") ? printEvacuations(session, line) : setEvacuation(session, line);
}

}
