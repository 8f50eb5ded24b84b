#pragma once

#include "celeryswitch/Logging/StructuredLog.h"
#include <vector>

namespace celeryswitch::Logging {

/// The decisions about one request, kept until it is known whether they are worth a place in the log.
class Trace {
public:
    /// Keeps a record; beyond a limit records are only counted. `message` is a constant text.
    void add(Core::SteadyTime now, std::string_view message, std::initializer_list<LogField> fields);
    /// Writes everything that was kept, each record with its age in milliseconds, and forgets it.
    void write(StructuredLog& log, Core::SteadyTime now);

private:
    struct Record {
        Core::SteadyTime at;
        std::string_view message;
        std::vector<LogField> fields;
    };

    std::vector<Record> records;
    std::uint64_t omitted = 0;
};

}
