#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Explain/Story.h"
#include <fstream>
#include <iostream>

namespace celeryswitch::Program {

namespace {

const char* const usage = R"(Tells the story of one request or one routing document from the logs of many processes.

Usage:
  celeryswitch explain job ID [--json] FILE...
  celeryswitch explain routing VERSION [--json] FILE...

ID is the job as callers and logs write it, 16 hexadecimal digits. FILE is a log file of any process; lines before which a
collector put something else are read as well, and "-" is standard input. The lines come in the order of cause and effect,
with the clocks of the processes corrected where they contradict it; lines in parentheses tell what a process believed
meanwhile, and what is missing is named at the end.

Options:
  --json  Prints the story as JSON.
)";

Core::Result<void> readFile(const std::string& path, Explain::StoryBuilder& builder)
{
    std::ifstream file;
    if (path != "-")
        file.open(path);
    std::istream& stream = path == "-" ? std::cin : file;
    if (!stream)
        return failure(ExitCode::Failed, path + " can't be read");
    std::string line;
    while (std::getline(stream, line))
        builder.addLine(line);
    return Core::success();
}

}

CommandResult runExplain(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    Explain::Subject subject;
    if (line.has("job")) {
        subject.job = line.text("ID");
        if (subject.job.size() != 16 || subject.job.find_first_not_of("0123456789abcdef") != std::string::npos)
            return failure(ExitCode::Usage, "ID = \"" + subject.job + "\": give 16 hexadecimal digits");
    } else {
        BOOST_OUTCOME_TRY(const std::int64_t version, line.integer("VERSION", 1, INT64_MAX));
        subject.version = static_cast<std::uint64_t>(version);
    }
    Explain::StoryBuilder builder(subject);
    for (const std::string& path : line.words("FILE")) {
        BOOST_OUTCOME_TRY(readFile(path, builder));
    }
    const Explain::Story story = builder.build();
    if (story.lines.empty())
        return failure(ExitCode::Failed,
            "no record is about it; " + std::to_string(builder.unreadableLines())
                + " lines were no records. Jobs that ended well leave one line, and all of them only in one of 64 "
                  "cases");
    return print(line.has("--json") ? toJson(story) : toText(story));
}

}
