// The stand-ins of the review in one program: a worker, and the cases with their operator and clients.
#include "Cases.h"
#include "Worker.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

int playCase(const std::string& name, const review::CaseSetting& setting)
{
    if (name == "late-start")
        return review::playLateStart(setting);
    if (name == "restarted-worker")
        return review::playRestartedWorker(setting);
    if (name == "resent-after-cancel")
        return review::playResentAfterCancel(setting);
    if (name == "cancel-at-another-entry")
        return review::playCancelAtAnotherEntry(setting);
    if (name == "capital-digits")
        return review::playCapitalDigits(setting);
    std::cerr << "no case " << name << "\n";
    return review::notRun;
}

// case NAME ROOT RECORD: plays a case in a temporary folder, which stays when KEEP is set.
int caseMain(const std::string& own, const std::string& name, const std::string& root, const std::string& record)
{
    std::string pattern = std::filesystem::temp_directory_path() / "celeryswitch-review-XXXXXX";
    const char* folder = ::mkdtemp(pattern.data());
    if (!folder || !std::filesystem::exists(root + "/target/celeryswitch"))
        return review::notRun;
    std::ofstream(record, std::ios::trunc).close();
    const char* trouble = std::getenv("TROUBLE");
    const review::CaseSetting setting { own, root, folder, record, !trouble || std::string(trouble) != "0" };
    const int result = playCase(name, setting);
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(folder);
    return result;
}

}

int main(int count, char** words)
{
    if (count == 5 && std::string(words[1]) == "case")
        return caseMain(std::filesystem::absolute(words[0]), words[2], std::filesystem::absolute(words[3]),
            std::filesystem::absolute(words[4]));
    if (count < 2 || std::string(words[1]) != "worker") {
        std::cerr << "usage: review-standins worker KEY=VALUE... | case NAME ROOT RECORD\n";
        return review::notRun;
    }
    std::map<std::string, std::string> arguments;
    for (int place = 2; place < count; ++place) {
        const std::string word = words[place];
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos)
            arguments[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return review::workerMain(arguments);
}
