#include "celeryswitch/Logging/Trace.h"

#include <utility>

namespace celeryswitch::Logging {

namespace {

// Enough for a job of many tasks that are each tried a few times.
constexpr std::size_t recordLimit = 64;

}

void Trace::add(Core::SteadyTime now, std::string_view message, std::initializer_list<LogField> fields)
{
    if (this->records.size() >= recordLimit)
        ++this->omitted;
    else
        this->records.push_back({ now, message, fields });
}

void Trace::write(StructuredLog& log, Core::SteadyTime now)
{
    for (Record& record : std::exchange(this->records, {})) {
        record.fields.emplace_back("age_ms",
            static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - record.at).count()));
        log.write(LogLevel::Info, record.message, record.fields);
    }
    if (const std::uint64_t count = std::exchange(this->omitted, 0))
        log.write(LogLevel::Info, "request records omitted", { { "count", count } });
}

}
