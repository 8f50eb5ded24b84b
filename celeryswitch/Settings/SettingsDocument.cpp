#include "celeryswitch/Settings/SettingsDocument.h"

#include "celeryswitch/Core/CheckedToml.h"
#include "celeryswitch/Core/SocketAddress.h"
#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace celeryswitch::Settings {

namespace {

// Settings files are short; a larger one is a mistake, such as a data file given by its name.
constexpr std::size_t maximumFileBytes = 1024 * 1024;
constexpr std::size_t maximumTextBytes = 256;
constexpr std::size_t minimumSecretBytes = 16;
constexpr std::size_t maximumValueShown = 80;
constexpr std::size_t maximumElements = 64;

bool isHidden(ValueKind kind)
{
    return kind == ValueKind::SecretTable || kind == ValueKind::HiddenList || kind == ValueKind::HiddenText;
}

std::string shownValue(const toml::node& node)
{
    std::ostringstream stream;
    node.visit([&](const auto& value) { stream << value; });
    std::string text = stream.str();
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text.size() > maximumValueShown ? text.substr(0, maximumValueShown) + "..." : text;
}

bool isName(const std::string& text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= 64 && text.find_first_not_of(allowed) == std::string::npos;
}

bool isSecret(const std::string& text) { return text.size() >= minimumSecretBytes && text.size() <= maximumTextBytes; }

bool isAddress(const std::string& text, std::int64_t minimumPort)
{
    const std::optional<Core::SocketAddress> address = Core::parseSocketAddress(text);
    return address && address->port >= minimumPort;
}

std::optional<std::uint8_t> keyId(std::string_view text)
{
    int id = 0;
    const char* end = text.data() + text.size();
    const auto [next, failure] = std::from_chars(text.data(), end, id);
    if (failure != std::errc {} || next != end || id < 0 || id > 255 || std::to_string(id) != text)
        return std::nullopt;
    return static_cast<std::uint8_t>(id);
}

}

std::string SettingsProblem::text() const
{
    std::string result = this->file;
    if (this->line != 0)
        result += ":" + std::to_string(this->line);
    if (!this->key.empty())
        result += ": " + this->key;
    if (!this->value.empty())
        result += " = " + this->value;
    return result + ": " + this->message;
}

/// Fills a document from a parsed table.
class SettingsDocument::Reader {
public:
    Reader(SettingsDocument& document, const toml::table& root)
        : document(document)
        , root(root)
    {
    }

    /// Reads every key of the schema and reports the ones that it does not list.
    void read(const SettingsSchema& schema)
    {
        for (const SettingsKey& key : schema) {
            this->document.integers[std::string(key.name)] = key.builtInInteger;
            this->document.texts[std::string(key.name)] = key.builtInText;
            if (const toml::node* node = this->root.get(key.name))
                this->readKey(key, *node);
            else if (key.isRequired)
                this->document.addProblem(std::string(key.name), "is missing; give " + allowedText(key));
        }
        for (const auto& [tomlKey, node] : this->root) {
            const std::string_view name = tomlKey.str();
            const auto known
                = std::find_if(schema.begin(), schema.end(), [&](const SettingsKey& key) { return key.name == name; });
            if (known == schema.end())
                this->report(
                    std::string(name), tomlKey.source().begin.line, {}, "unknown key; remove it or correct its name");
        }
    }

private:
    void report(const std::string& key, std::uint32_t line, std::string value, const std::string& message)
    {
        this->document.allProblems.push_back({ this->document.fileName, line, key, std::move(value), message });
    }

    void readKey(const SettingsKey& key, const toml::node& node)
    {
        this->document.lines[std::string(key.name)] = node.source().begin.line;
        if (!this->accept(key, node))
            this->report(std::string(key.name), node.source().begin.line,
                isHidden(key.kind) ? "(hidden)" : shownValue(node), "must be " + allowedText(key));
    }

    // Stores the value when it is of the key's type and inside its range.
    bool accept(const SettingsKey& key, const toml::node& node)
    {
        switch (key.kind) {
        case ValueKind::Integer:
            return this->acceptInteger(key, node);
        case ValueKind::AddressList:
        case ValueKind::HiddenList:
            return this->acceptList(key, node);
        case ValueKind::SecretTable:
            return this->acceptSecrets(key, node);
        case ValueKind::AddressTable:
            return this->acceptAddresses(key, node);
        default:
            return this->acceptText(key, node);
        }
    }

    bool acceptInteger(const SettingsKey& key, const toml::node& node)
    {
        const std::optional<std::int64_t> value = node.value_exact<std::int64_t>();
        if (!value || *value < key.minimum || *value > key.maximum)
            return false;
        this->document.integers[std::string(key.name)] = *value;
        return true;
    }

    bool acceptText(const SettingsKey& key, const toml::node& node)
    {
        const std::optional<std::string> value = node.value_exact<std::string>();
        if (!value || value->empty() || value->size() > maximumTextBytes)
            return false;
        if (key.kind == ValueKind::Name && !isName(*value))
            return false;
        if (key.kind == ValueKind::Address && !isAddress(*value, key.minimum))
            return false;
        if (key.kind == ValueKind::Choice
            && std::find(key.choices.begin(), key.choices.end(), *value) == key.choices.end())
            return false;
        this->document.texts[std::string(key.name)] = *value;
        return true;
    }

    bool acceptList(const SettingsKey& key, const toml::node& node)
    {
        const toml::array* array = node.as_array();
        const bool isAddresses = key.kind == ValueKind::AddressList;
        if (array == nullptr || array->size() > maximumElements || (isAddresses && array->empty()))
            return false;
        std::vector<std::string> values;
        for (const toml::node& element : *array) {
            const std::optional<std::string> value = element.value_exact<std::string>();
            const bool isAccepted = value && (isAddresses ? isAddress(*value, 1) : isSecret(*value));
            if (!isAccepted || std::find(values.begin(), values.end(), *value) != values.end())
                return false;
            values.push_back(*value);
        }
        this->document.lists[std::string(key.name)] = std::move(values);
        return true;
    }

    bool acceptSecrets(const SettingsKey& key, const toml::node& node)
    {
        const toml::table* table = node.as_table();
        if (table == nullptr || table->empty() || table->size() > 2)
            return false;
        std::map<std::string, std::string> values;
        for (const auto& [name, element] : *table) {
            const std::optional<std::string> value = element.value_exact<std::string>();
            if (!value || !isSecret(*value) || !keyId(name.str()))
                return false;
            values[std::string(name.str())] = *value;
        }
        this->document.tables[std::string(key.name)] = std::move(values);
        return true;
    }

    bool acceptAddresses(const SettingsKey& key, const toml::node& node)
    {
        const toml::table* table = node.as_table();
        if (table == nullptr || table->size() > maximumElements)
            return false;
        std::map<std::string, std::string> values;
        std::set<std::string> addresses;
        for (const auto& [name, element] : *table) {
            const std::optional<std::string> value = element.value_exact<std::string>();
            const std::string nameText(name.str());
            if (!value || !isName(nameText) || !isAddress(*value, 1) || !addresses.insert(*value).second)
                return false;
            values[nameText] = *value;
        }
        this->document.tables[std::string(key.name)] = std::move(values);
        return true;
    }

    SettingsDocument& document;
    const toml::table& root;
};

SettingsDocument SettingsDocument::fromFile(const std::string& path, const SettingsSchema& schema)
{
    std::ifstream stream(path, std::ios::binary);
    std::string content(maximumFileBytes + 1, '\0');
    stream.read(content.data(), static_cast<std::streamsize>(content.size()));
    content.resize(static_cast<std::size_t>(stream.gcount()));
    SettingsDocument document;
    document.fileName = path;
    if (!stream.eof() && content.size() <= maximumFileBytes)
        document.addProblem({}, "can't be read; check that it is a file and that this process may read it");
    else if (content.size() > maximumFileBytes)
        document.addProblem({}, "is longer than 1 MiB; give a settings file");
    else
        return SettingsDocument::fromText(content, path, schema);
    return document;
}

SettingsDocument SettingsDocument::fromText(
    const std::string& tomlText, const std::string& fileName, const SettingsSchema& schema)
{
    SettingsDocument document;
    document.fileName = fileName;
    try {
        const toml::table root = Core::parseToml(tomlText, fileName);
        SettingsDocument::Reader(document, root).read(schema);
    } catch (const toml::parse_error& error) {
        document.allProblems.push_back(
            { fileName, error.source().begin.line, {}, {}, "is no valid TOML: " + std::string(error.description()) });
    }
    std::stable_sort(document.allProblems.begin(), document.allProblems.end(),
        [](const SettingsProblem& left, const SettingsProblem& right) { return left.line < right.line; });
    return document;
}

void SettingsDocument::addProblem(const std::string& key, const std::string& message)
{
    const auto line = this->lines.find(key);
    this->allProblems.push_back({ this->fileName, line == this->lines.end() ? 0 : line->second, key, {}, message });
}

const std::string& SettingsDocument::text(std::string_view key) const
{
    static const std::string none;
    const auto found = this->texts.find(key);
    return found == this->texts.end() ? none : found->second;
}

std::int64_t SettingsDocument::integer(std::string_view key) const
{
    const auto found = this->integers.find(key);
    return found == this->integers.end() ? 0 : found->second;
}

const std::vector<std::string>& SettingsDocument::list(std::string_view key) const
{
    static const std::vector<std::string> none;
    const auto found = this->lists.find(key);
    return found == this->lists.end() ? none : found->second;
}

const std::map<std::string, std::string>& SettingsDocument::table(std::string_view key) const
{
    static const std::map<std::string, std::string> none;
    const auto found = this->tables.find(key);
    return found == this->tables.end() ? none : found->second;
}

}
