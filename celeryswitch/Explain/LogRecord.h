#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace celeryswitch::Explain {

/// One record of a process's log, as StructuredLog writes it.
struct LogRecord {
    std::string instance;
    std::string role;
    std::string message;
    /// When it happened by the instance's wall clock, in milliseconds since 1970: the record's time less its age.
    std::int64_t time = 0;
    /// Place among the records of all files.
    std::uint64_t place = 0;
    /// Every other field.
    std::map<std::string, std::string, std::less<>> fields;

    /// A field; empty when there is none.
    std::string_view field(std::string_view name) const;
    /// A field that is a number; nothing when it is none.
    std::optional<std::int64_t> number(std::string_view name) const;
};

/// Reads a line in logfmt or JSON; what stands before "time=" or "{" is ignored. Nothing when the line is no record.
std::optional<LogRecord> parseRecord(std::string_view line);

}
