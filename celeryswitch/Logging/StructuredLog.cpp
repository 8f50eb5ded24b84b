#include "celeryswitch/Logging/StructuredLog.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
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

constexpr std::size_t typicalRecordBytes = 512;

// Hands the text of each record to a function. Records are formatted before they reach the sink, without a stream.
class FunctionBackend final : public log::sinks::basic_sink_backend<log::sinks::concurrent_feeding> {
public:
    explicit FunctionBackend(std::function<void(const std::string&)> output)
        : output(std::move(output))
    {
    }
    void consume(const log::record_view& record)
    {
        if (const auto text = record[log::expressions::smessage])
            this->output(*text);
    }

private:
    std::function<void(const std::string&)> output;
};

using Sink = log::sinks::synchronous_sink<FunctionBackend>;

void writeToStandardError(const std::string& record)
{
    const std::string line = record + "\n";
    std::fwrite(line.data(), 1, line.size(), stderr);
}

// Appends "2026-01-31T12:00:00.123Z"; the part down to the second is formatted once a second.
class TimeText {
public:
    void append(std::string& record, Core::WallTime time)
    {
        const std::int64_t milliseconds = Core::toUnixMilliseconds(time);
        const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
        if (this->day.empty() || seconds != this->second) {
            std::tm parts {};
            gmtime_r(&seconds, &parts);
            char text[32];
            std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
            this->day = text;
            this->second = seconds;
        }
        record += this->day;
        const int fraction = static_cast<int>(milliseconds % 1000);
        const char digits[] = { '.', static_cast<char>('0' + fraction / 100),
            static_cast<char>('0' + fraction / 10 % 10), static_cast<char>('0' + fraction % 10), 'Z' };
        record.append(digits, sizeof(digits));
    }

private:
    std::string day;
    std::time_t second = 0;
};

std::string quoted(std::string_view text) { return boost::json::serialize(boost::json::string(text)); }

// Characters that a logfmt value may hold without quotes.
constexpr std::array<bool, 256> plainCharacters = [] {
    std::array<bool, 256> plain {};
    for (const char character : std::string_view("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
                                                 "-_.:/+@"))
        plain[static_cast<unsigned char>(character)] = true;
    return plain;
}();

// Appends a logfmt value: quoted when it is empty or holds anything but plain characters, so that a value can't forge
// a field.
void appendLogfmtValue(std::string& record, std::string_view value)
{
    const bool isPlain = !value.empty() && std::all_of(value.begin(), value.end(), [](char character) {
        return plainCharacters[static_cast<unsigned char>(character)];
    });
    if (isPlain)
        record += value;
    else
        record += quoted(value);
}

void appendField(std::string& record, LogFormat format, std::string_view name, std::string_view value, bool isNumber)
{
    if (format == LogFormat::Logfmt) {
        if (!record.empty())
            record += ' ';
        record += name;
        record += '=';
        appendLogfmtValue(record, value);
        return;
    }
    record += record.empty() ? '{' : ',';
    record += quoted(name);
    record += ':';
    if (isNumber)
        record += value;
    else
        record += quoted(value);
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
        const LogFormat format = this->settings.format;
        std::string timeText;
        this->time.append(timeText, this->clock.wallNow());
        std::string text;
        text.reserve(typicalRecordBytes);
        appendField(text, format, "time", timeText, false);
        appendField(text, format, "level", Core::enumName(level), false);
        appendField(text, format, "role", this->settings.role, false);
        appendField(text, format, "instance", this->settings.instanceId, false);
        appendField(text, format, "message", message, false);
        for (std::size_t index = 0; index < count; ++index)
            appendField(text, format, fields[index].name, fields[index].value, fields[index].isNumber);
        if (suppressed != 0)
            appendField(text, format, "suppressed", std::to_string(suppressed), true);
        if (format == LogFormat::Json)
            text += '}';
        if (log::record record = this->logger.open_record()) {
            record.attribute_values().insert(
                log::expressions::tag::smessage::get_name(), log::attributes::make_attribute_value(std::move(text)));
            this->logger.push_record(std::move(record));
        }
    }

    LogSettings settings;
    const Core::Clock& clock;
    log::sources::logger logger;
    boost::shared_ptr<Sink> sink;
    std::mutex mutex;
    TimeText time;
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
