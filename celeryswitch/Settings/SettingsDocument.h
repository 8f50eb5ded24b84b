#pragma once

#include "celeryswitch/Settings/SettingsSchema.h"
#include <map>
#include <string>
#include <vector>

namespace celeryswitch::Settings {

/// One thing wrong in a settings file.
struct SettingsProblem {
    std::string file;
    /// Line in the file; 0 when the problem has none, as with a missing key.
    std::uint32_t line = 0;
    std::string key;
    /// Value as written; "(hidden)" for secrets and empty when there is none.
    std::string value;
    /// What is wrong and what is allowed.
    std::string message;

    /// "entry.toml:12: slots = 0: must be a whole number from 1 to 1024".
    std::string text() const;
};

/// The values of a settings file, checked whole: every problem is collected, none stops the check.
class SettingsDocument {
public:
    /// Reads and checks a file; a file that can't be read is a problem.
    static SettingsDocument fromFile(const std::string& path, const SettingsSchema& schema);
    /// Checks a text; `fileName` stands in the problems.
    static SettingsDocument fromText(
        const std::string& tomlText, const std::string& fileName, const SettingsSchema& schema);

    /// Problems in the order of their lines.
    const std::vector<SettingsProblem>& problems() const { return this->allProblems; }
    /// Adds a problem that concerns more than one key.
    void addProblem(const std::string& key, const std::string& message);

    /// Value of a Text, Name, Choice, Address or HiddenText; empty when it is missing or wrong.
    const std::string& text(std::string_view key) const;
    /// Value of an Integer; the built-in one when it is missing or wrong.
    std::int64_t integer(std::string_view key) const;
    /// Value of an AddressList or HiddenList; empty when it is missing or wrong.
    const std::vector<std::string>& list(std::string_view key) const;
    /// Value of a SecretTable or AddressTable; empty when it is missing or wrong.
    const std::map<std::string, std::string>& table(std::string_view key) const;

private:
    class Reader;

    std::string fileName;
    std::map<std::string, std::uint32_t, std::less<>> lines;
    std::map<std::string, std::string, std::less<>> texts;
    std::map<std::string, std::int64_t, std::less<>> integers;
    std::map<std::string, std::vector<std::string>, std::less<>> lists;
    std::map<std::string, std::map<std::string, std::string>, std::less<>> tables;
    std::vector<SettingsProblem> allProblems;
};

}
