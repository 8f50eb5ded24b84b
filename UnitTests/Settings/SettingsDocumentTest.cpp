#include "celeryswitch/Settings/SettingsDocument.h"
#include "celeryswitch/Settings/RoleDocuments.h"
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace celeryswitch;
using Settings::SettingsDocument;

namespace {

const std::string sidecarText = R"(instanceId = "sidecar-1"
dataCentre = "recife"
rack = "r1"
service = "ordering"
slots = 8
endpointAddress = "127.0.0.1:9000"
peerAddress = "127.0.0.1:0"
datagramAddress = "[::1]:0"
stateAddresses = ["127.0.0.1:7201", "127.0.0.1:7202"]
[keys]
1 = "0123456789abcdef"
)";

SettingsDocument sidecar(const std::string& text)
{
    return Settings::checkDocument(text, "sidecar.toml", Messages::Role::Sidecar);
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string onlyProblem(const SettingsDocument& document)
{
    REQUIRE(document.problems().size() == 1);
    return document.problems().front().text();
}

std::string fileContent(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    REQUIRE(stream);
    std::stringstream content;
    content << stream.rdbuf();
    return content.str();
}

}

// Guards against a valid file that is refused, and against lost built-in values.
TEST_CASE("a valid settings file gives its values and the built-in ones", "[Settings]")
{
    const SettingsDocument document = sidecar(sidecarText);
    REQUIRE(document.problems().empty());
    REQUIRE(document.text("service") == "ordering");
    REQUIRE(document.integer("slots") == 8);
    REQUIRE(document.integer("connections") == 64);
    REQUIRE(document.text("logLevel") == "info");
    REQUIRE(document.list("stateAddresses").size() == 2);
    REQUIRE(document.table("keys").at("1") == "0123456789abcdef");
}

// Guards against a check that stops at the first problem, so that an operator repairs a file one start at a time.
TEST_CASE("every problem of a settings file is reported in one go with its line", "[Settings]")
{
    std::string text = replaced(sidecarText, "slots = 8", "slots = 0\nslot = 9");
    text = replaced(text, "\"recife\"", "17");
    text = replaced(text, "service = \"ordering\"\n", "");
    std::vector<std::string> problems;
    const SettingsDocument document = sidecar(text);
    for (const Settings::SettingsProblem& problem : document.problems())
        problems.push_back(problem.text());
    REQUIRE(problems
        == std::vector<std::string> {
            "sidecar.toml: service: is missing; give a name of 1 to 64 letters, digits, '.', '_' or '-'",
            "sidecar.toml:2: dataCentre = 17: must be a name of 1 to 64 letters, digits, '.', '_' or '-'",
            "sidecar.toml:4: slots = 0: must be a whole number from 1 to 1024",
            "sidecar.toml:5: slot: unknown key; remove it or correct its name" });
}

// Guards against values of a wrong type or form that pass the check and fail later at run time.
TEST_CASE("values of a wrong type or form are refused", "[Settings]")
{
    REQUIRE(onlyProblem(sidecar(replaced(sidecarText, "slots = 8", "slots = 8.0"))).find("slots = 8.0") == 16);
    REQUIRE(onlyProblem(sidecar(replaced(sidecarText, "slots = 8", "slots = \"8\""))).find("whole") > 0);
    for (const char* address : { "9000", "localhost:9000", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "::1:90",
             "127.0.0.1:+90", "127.0.0.1:90 " }) {
        INFO(address);
        onlyProblem(sidecar(replaced(sidecarText, "127.0.0.1:9000", address)));
    }
    onlyProblem(sidecar(replaced(sidecarText, "127.0.0.1:7202", "127.0.0.1:7201")));
    onlyProblem(sidecar(replaced(sidecarText, "1 = \"", "256 = \"")));
}

// Guards against values that are valid by themselves and contradict each other.
TEST_CASE("keys that clash are refused", "[Settings]")
{
    REQUIRE(onlyProblem(sidecar(replaced(sidecarText, "slots = 8", "slots = 65"))).find("slots: is 65") > 0);
    onlyProblem(sidecar(replaced(sidecarText, "slots = 8", "currentKey = 2")));
    onlyProblem(sidecar(replaced(sidecarText, "peerAddress = \"127.0.0.1:0", "peerAddress = \"127.0.0.1:7201")));
    onlyProblem(sidecar(replaced(sidecarText, "peerAddress = \"127.0.0.1:0", "peerAddress = \"127.0.0.1:9000")));
}

// Guards against secrets that reach a terminal or a log through an error message.
TEST_CASE("a wrong secret is not shown", "[Settings]")
{
    const std::string problem = onlyProblem(sidecar(replaced(sidecarText, "0123456789abcdef", "tooshort")));
    REQUIRE(problem.find("tooshort") == std::string::npos);
    REQUIRE(problem.find("keys = (hidden)") != std::string::npos);
}

// Guards against a crash or silence on a file that can't be read or is no TOML.
TEST_CASE("an unreadable or malformed file is a problem", "[Settings]")
{
    REQUIRE(onlyProblem(SettingsDocument::fromFile("/nonexistent/a.toml", {})).find("can't be read") > 0);
    REQUIRE(onlyProblem(SettingsDocument::fromFile("/", {})).find("can't be read") > 0);
    REQUIRE(onlyProblem(sidecar("a = \n")).find("sidecar.toml:1: is no valid TOML") == 0);
}

// Guards against a decoder that throws or crashes on damaged input. Seeds 1 to 3000.
TEST_CASE("damaged settings files never crash the check", "[Settings]")
{
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        std::mt19937 generator(seed);
        std::string text = sidecarText;
        for (std::uint32_t edits = generator() % 8 + 1; edits > 0; --edits) {
            const std::size_t position = generator() % text.size();
            if (generator() % 3 == 0)
                text.erase(position, generator() % 20);
            else if (generator() % 2 == 0)
                text.insert(position, text.substr(generator() % text.size(), generator() % 30));
            else
                text[position] = static_cast<char>(generator() % 256);
            if (text.empty())
                text = "x";
        }
        REQUIRE_NOTHROW(sidecar(text));
    }
}

// Guards against undefined behaviour in the parser's character tables, which the sanitizer found: a letter such as
// U+00E9 where white space may stand.
TEST_CASE("letters outside ASCII where white space may stand are a problem of the file", "[Settings]")
{
    for (const char* text :
        { "rack \u00e9= \"r1\"\n", "rack = \u00e9\n", "rack = \"r1\" \u0142\n", "[\u00fc keys]\n" }) {
        INFO(text);
        REQUIRE_FALSE(sidecar(text).problems().empty());
    }
}

// Guards against settings that the documentation does not mention.
TEST_CASE("the settings page lists every key of every role", "[Settings]")
{
    const std::string page = fileContent(std::filesystem::path(CELERYSWITCH_SOURCE_FOLDER) / "docs" / "settings.md");
    for (Messages::Role role :
        { Messages::Role::Entry, Messages::Role::Sidecar, Messages::Role::State, Messages::Role::Operator }) {
        const std::string title = "## " + std::string(Core::enumName(role));
        const std::size_t start = page.find(title + "\n");
        REQUIRE(start != std::string::npos);
        const std::string section = page.substr(start, page.find("\n## ", start + 1) - start);
        for (const Settings::SettingsKey& key : Settings::schemaOf(role)) {
            INFO(title << " " << key.name);
            const std::size_t row = section.find("| `" + std::string(key.name) + "` |");
            REQUIRE(row != std::string::npos);
            if (key.kind == Settings::ValueKind::Integer) {
                const std::string line = section.substr(row, section.find('\n', row) - row);
                REQUIRE(
                    line.find(std::to_string(key.minimum) + " to " + std::to_string(key.maximum)) != std::string::npos);
                REQUIRE(line.find("| " + std::to_string(key.builtInInteger) + " |") != std::string::npos);
            }
        }
    }
}
