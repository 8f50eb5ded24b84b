#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Core/Identifiers.h"
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Logging {

/// How serious a record is.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// Form of a record.
enum class LogFormat : std::uint8_t {
    Logfmt,
    Json,
};

/// One named value of a record; `name` is a constant text. Payloads and idempotency keys are never logged; name jobs by
/// their id.
struct LogField {
    LogField(std::string_view name, std::string value);
    LogField(std::string_view name, const char* value);
    LogField(std::string_view name, std::int64_t value);
    LogField(std::string_view name, std::uint64_t value);
    LogField(std::string_view name, int value);
    LogField(std::string_view name, std::uint32_t value);
    /// Field "job".
    explicit LogField(const Core::JobId& jobId);

    /// A constant text.
    std::string_view name;
    std::string value;
    bool isNumber = false;
};

/// Settings of a log; fixed for its life.
struct LogSettings {
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Logfmt;
    /// Role and instance id that each record carries.
    std::string role;
    Core::InstanceId instanceId;
    /// Records of one message that are written in a second; the rest are counted. 0 means no limit.
    std::uint32_t recordsPerSecond = 20;
    /// Receives each record without its line end; standard error when empty.
    std::function<void(const std::string& record)> output;
};

/// Writes one record a line through Boost.Log. Safe to call from any thread.
class StructuredLog {
public:
    /// `clock` outlives the log.
    StructuredLog(LogSettings settings, const Core::Clock& clock);
    ~StructuredLog();
    StructuredLog(const StructuredLog&) = delete;
    StructuredLog& operator=(const StructuredLog&) = delete;

    /// Writes a record unless its level is below the settings' or its message is over the rate limit. `message` is a
    /// constant text, the same for every record of a kind: the rate limit counts by it.
    void write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});
    void write(LogLevel level, std::string_view message, const std::vector<LogField>& fields);
    /// Writes the counts of suppressed records of floods that are over; called every second or so.
    void reportFloods();
    /// Writes every count of suppressed records that no record has reported yet.
    void flush();
    /// Whether records of this level are written.
    bool isEnabled(LogLevel level) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Logging::LogLevel> {
    static constexpr std::string_view type = "LogLevel";
    static constexpr std::array<std::pair<Logging::LogLevel, std::string_view>, 4> names { {
        { Logging::LogLevel::Debug, "debug" },
        { Logging::LogLevel::Info, "info" },
        { Logging::LogLevel::Warning, "warning" },
        { Logging::LogLevel::Error, "error" },
    } };
};

template <> struct EnumTable<Logging::LogFormat> {
    static constexpr std::string_view type = "LogFormat";
    static constexpr std::array<std::pair<Logging::LogFormat, std::string_view>, 2> names { {
        { Logging::LogFormat::Logfmt, "logfmt" },
        { Logging::LogFormat::Json, "json" },
    } };
};

}
