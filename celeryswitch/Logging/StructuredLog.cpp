#include "celeryswitch/Logging/StructuredLog.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace celeryswitch::Logging {

namespace {

namespace log = boost::log;

// Hands each formatted record to a function.
class FunctionBackend final : public log::sinks::basic_formatted_sink_backend<char, log::sinks::concurrent_feeding> {
public:
    explicit FunctionBackend(std::function<void(const std::string&)> output)
        : output(std::move(output))
    {
    }
    void consume(const log::record_view&, const std::string& record) { this->output(record); }

private:
    std::function<void(const std::string&)> output;
};

using Sink = log::sinks::synchronous_sink<FunctionBackend>;

void writeToStandardError(const std::string& record)
{
    const std::string line = record + "\n";
    std::fwrite(line.data(), 1, line.size(), stderr);
}

// "2026-01-31T12:00:00.123Z"
std::string timeText(Core::WallTime time)
{
    const std::int64_t milliseconds = Core::toUnixMilliseconds(time);
    const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char day[32];
    std::strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof(text), "%s.%03dZ", day, static_cast<int>(milliseconds % 1000));
    return text;
}

std::string quoted(const std::string& text) { return boost::json::serialize(boost::json::string(text)); }

// A logfmt value: quoted when it is empty or holds anything but plain characters, so that a value can't forge a field.
std::string logfmtValue(const LogField& field)
{
    const bool isPlain = !field.value.empty()
        && field.value.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@")
            == std::string::npos;
    return isPlain ? field.value : quoted(field.value);
}

std::string formatRecord(LogFormat format, const std::vector<LogField>& fields)
{
    std::string record;
    for (const LogField& field : fields) {
        if (format == LogFormat::Logfmt) {
            record += record.empty() ? "" : " ";
            record += field.name;
            record += "=" + logfmtValue(field);
        } else {
            record += record.empty() ? "{" : ",";
            record += quoted(std::string(field.name)) + ":" + (field.isNumber ? field.value : quoted(field.value));
        }
    }
    return format == LogFormat::Json ? record + "}" : record;
}

}

LogField::LogField(std::string_view name, std::string value)
    : name(name)
    , value(std::move(value))
{
}

LogField::LogField(std::string_view name, const char* value)
    : LogField(name, std::string(value))
{
}

LogField::LogField(std::string_view name, std::int64_t value)
    : name(name)
    , value(std::to_string(value))
    , isNumber(true)
{
}

LogField::LogField(std::string_view name, std::uint64_t value)
    : name(name)
    , value(std::to_string(value))
    , isNumber(true)
{
}

LogField::LogField(std::string_view name, int value)
    : LogField(name, static_cast<std::int64_t>(value))
{
}

LogField::LogField(std::string_view name, std::uint32_t value)
    : LogField(name, static_cast<std::uint64_t>(value))
{
}

LogField::LogField(const Core::JobId& jobId)
    : LogField("job", Core::toString(jobId))
{
}

class StructuredLog::Implementation {
public:
    Implementation(LogSettings settings, const Core::Clock& clock)
        : settings(std::move(settings))
        , clock(clock)
        , sink(boost::make_shared<Sink>(boost::make_shared<FunctionBackend>(
              this->settings.output ? this->settings.output : writeToStandardError)))
    {
        // The Boost.Log core is shared by the process; the filter keeps each log's records in its own sink.
        const auto owner = reinterpret_cast<std::uintptr_t>(this);
        this->logger.add_attribute("Owner", log::attributes::constant<std::uintptr_t>(owner));
        this->sink->set_filter(log::expressions::attr<std::uintptr_t>("Owner") == owner);
        this->sink->set_formatter(log::expressions::stream << log::expressions::smessage);
        log::core::get()->add_sink(this->sink);
    }
    ~Implementation()
    {
        log::core::get()->remove_sink(this->sink);
        this->sink->flush();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    bool isEnabled(LogLevel level) const { return level >= this->settings.level; }

    void write(LogLevel level, std::string_view message, const LogField* fields, std::size_t count)
    {
        if (!this->isEnabled(level))
            return;
        const std::lock_guard<std::mutex> lock(this->mutex);
        Window& window = this->windowOf(level, message);
        if (this->settings.recordsPerSecond != 0 && window.written >= this->settings.recordsPerSecond) {
            ++window.suppressed;
            return;
        }
        ++window.written;
        this->emit(level, message, fields, count, std::exchange(window.suppressed, 0));
    }

    void report(bool isFinal)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->reportSuppressed(isFinal);
    }

private:
    // Records of one message in the current second.
    struct Window {
        LogLevel level = LogLevel::Info;
        Core::SteadyTime start;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    Window& windowOf(LogLevel level, std::string_view message)
    {
        const Core::SteadyTime now = this->clock.steadyNow();
        if (now - this->lastSweep >= std::chrono::seconds(1)) {
            this->lastSweep = now;
            this->reportSuppressed(false);
        }
        auto found = this->windows.find(message);
        if (found == this->windows.end())
            found = this->windows.emplace(std::string(message), Window { level, now }).first;
        Window& window = found->second;
        if (now - window.start >= std::chrono::seconds(1)) {
            window.start = now;
            window.written = 0;
        }
        return window;
    }

    // Reports floods that have ended, so that their count does not wait for the next record of that message.
    void reportSuppressed(bool isFinal)
    {
        const Core::SteadyTime now = this->clock.steadyNow();
        for (auto window = this->windows.begin(); window != this->windows.end();) {
            const bool isOver = isFinal || now - window->second.start >= std::chrono::seconds(2);
            if (isOver && window->second.suppressed != 0)
                this->emit(window->second.level, window->first, nullptr, 0, window->second.suppressed);
            window = isOver ? this->windows.erase(window) : std::next(window);
        }
    }

    void emit(
        LogLevel level, std::string_view message, const LogField* fields, std::size_t count, std::uint64_t suppressed)
    {
        std::vector<LogField> all;
        all.reserve(count + 6);
        all.emplace_back("time", timeText(this->clock.wallNow()));
        all.emplace_back("level", std::string(Core::enumName(level)));
        all.emplace_back("role", this->settings.role);
        all.emplace_back("instance", this->settings.instanceId);
        all.emplace_back("message", std::string(message));
        all.insert(all.end(), fields, fields + count);
        if (suppressed != 0)
            all.emplace_back("suppressed", suppressed);
        if (log::record record = this->logger.open_record()) {
            log::record_ostream stream(record);
            stream << formatRecord(this->settings.format, all);
            stream.flush();
            this->logger.push_record(std::move(record));
        }
    }

    LogSettings settings;
    const Core::Clock& clock;
    log::sources::logger logger;
    boost::shared_ptr<Sink> sink;
    std::mutex mutex;
    std::map<std::string, Window, std::less<>> windows;
    Core::SteadyTime lastSweep;
};

StructuredLog::StructuredLog(LogSettings settings, const Core::Clock& clock)
    : implementation(std::make_unique<Implementation>(std::move(settings), clock))
{
}

StructuredLog::~StructuredLog() { this->implementation->report(true); }

void StructuredLog::write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    this->implementation->write(level, message, fields.begin(), fields.size());
}

void StructuredLog::write(LogLevel level, std::string_view message, const std::vector<LogField>& fields)
{
    this->implementation->write(level, message, fields.data(), fields.size());
}

void StructuredLog::reportFloods() { this->implementation->report(false); }

void StructuredLog::flush() { this->implementation->report(true); }

bool StructuredLog::isEnabled(LogLevel level) const { return this->implementation->isEnabled(level); }

}
