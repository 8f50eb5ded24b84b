#include "celeryswitch/Explain/LogRecord.h"

#include <boost/json.hpp>
#include <charconv>
#include <ctime>

namespace celeryswitch::Explain {

namespace json = boost::json;

namespace {

using Fields = std::map<std::string, std::string, std::less<>>;

// Milliseconds since 1970 of "2026-01-31T12:00:00.123Z".
std::optional<std::int64_t> timeOf(const std::string& text)
{
    std::tm parts {};
    const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (!rest)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    if (*rest == '.')
        std::from_chars(rest + 1, text.data() + text.size(), milliseconds);
    return static_cast<std::int64_t>(::timegm(&parts)) * 1000 + milliseconds;
}

std::string textOf(const json::value& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

// Fields of "name=value name="quoted value""; false when the line has another form.
bool readLogfmt(std::string_view line, Fields& fields)
{
    while (!line.empty()) {
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return false;
        const std::string name(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        std::size_t length = line.find(' ');
        if (line.starts_with('"')) {
            json::stream_parser parser;
            boost::system::error_code error;
            length = parser.write_some(line.data(), line.size(), error);
            if (error || !parser.done())
                return false;
            fields[name] = textOf(parser.release());
        } else {
            length = std::min(length, line.size());
            fields[name] = std::string(line.substr(0, length));
        }
        line.remove_prefix(std::min(line.size(), length));
        while (line.starts_with(' '))
            line.remove_prefix(1);
    }
    return true;
}

bool readJson(std::string_view line, Fields& fields)
{
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(line.data(), line.size()), error);
    if (error || !value.is_object())
        return false;
    for (const auto& [name, each] : value.get_object())
        fields[std::string(name)] = textOf(each);
    return true;
}

std::string take(Fields& fields, std::string_view name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    std::string value = std::move(found->second);
    fields.erase(found);
    return value;
}

}

std::string_view LogRecord::field(std::string_view name) const
{
    const auto found = this->fields.find(name);
    return found != this->fields.end() ? std::string_view(found->second) : std::string_view();
}

std::optional<std::int64_t> LogRecord::number(std::string_view name) const
{
    const std::string_view text = this->field(name);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<LogRecord> parseRecord(std::string_view line)
{
    while (line.ends_with('\n') || line.ends_with('\r'))
        line.remove_suffix(1);
    LogRecord record;
    const std::size_t logfmt = line.find("time=");
    const std::size_t object = line.find('{');
    const bool isRead = logfmt < object
        ? readLogfmt(line.substr(logfmt), record.fields)
        : object != std::string_view::npos && readJson(line.substr(object), record.fields);
    if (!isRead)
        return std::nullopt;
    const std::optional<std::int64_t> time = timeOf(take(record.fields, "time"));
    record.instance = take(record.fields, "instance");
    record.role = take(record.fields, "role");
    record.message = take(record.fields, "message");
    if (!time || record.instance.empty() || record.message.empty())
        return std::nullopt;
    record.time = *time - record.number("age_ms").value_or(0);
    record.fields.erase("age_ms");
    return record;
}

}
