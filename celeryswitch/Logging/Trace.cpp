#include "celeryswitch/Logging/Trace.h"

#include <algorithm>
#include <utility>

namespace celeryswitch::Logging {

namespace {

// Enough for a job of many tasks that are each tried a few times.
constexpr std::size_t recordLimit = 64;
constexpr std::size_t textLimit = 16 * 1024;
constexpr std::size_t longestValue = 255;
constexpr std::size_t fieldHeadBytes = 3;

}

void Trace::add(Core::SteadyTime now, std::string_view message, std::initializer_list<LogField> fields)
{
    if (this->records.size() >= recordLimit || this->text.size() >= textLimit)
        return this->omit();
    for (const LogField& field : fields) {
        const std::string_view value = std::string_view(field.value).substr(0, longestValue);
        const char head[fieldHeadBytes] { static_cast<char>(field.isNumber), static_cast<char>(field.name.size()),
            static_cast<char>(value.size()) };
        this->text.append(head, fieldHeadBytes).append(field.name).append(value);
    }
    this->records.push_back({ now, message, this->text.size() });
}

std::vector<LogField> Trace::fieldsOf(std::string_view encoded)
{
    std::vector<LogField> fields;
    while (!encoded.empty()) {
        const auto nameLength = static_cast<unsigned char>(encoded[1]);
        const auto valueLength = static_cast<unsigned char>(encoded[2]);
        fields.emplace_back(encoded.substr(fieldHeadBytes, nameLength),
            std::string(encoded.substr(fieldHeadBytes + nameLength, valueLength)));
        fields.back().isNumber = encoded[0] != 0;
        encoded.remove_prefix(fieldHeadBytes + nameLength + valueLength);
    }
    return fields;
}

void Trace::write(StructuredLog& log, Core::SteadyTime now)
{
    const std::string kept = std::exchange(this->text, {});
    std::size_t begin = 0;
    for (const Record& record : std::exchange(this->records, {})) {
        std::vector<LogField> fields = fieldsOf(std::string_view(kept).substr(begin, record.end - begin));
        begin = record.end;
        fields.emplace_back("age_ms",
            static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - record.at).count()));
        log.write(LogLevel::Info, record.message, fields);
    }
    if (const std::uint64_t count = std::exchange(this->omitted, 0))
        log.write(LogLevel::Info, "request records omitted", { { "count", count } });
}

}
