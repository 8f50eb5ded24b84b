#pragma once

#include "celeryswitch/Core/BlockBytes.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include <vector>

namespace celeryswitch::Logging {

/// The decisions about one request, kept as a compact text until it is known whether they are worth a place in the log.
class Trace {
public:
    /// Keeps a record; beyond a limit records are only counted. `message` and the names of the fields are constant
    /// texts of less than 256 bytes; long values are cut.
    void add(Core::SteadyTime now, std::string_view message, std::initializer_list<LogField> fields);
    /// Counts a record that is not kept.
    void omit() { ++this->omitted; }
    /// Writes everything that was kept, each record with its age in milliseconds, and forgets it.
    void write(StructuredLog& log, Core::SteadyTime now);
    /// Memory of the records, in bytes.
    std::size_t memoryBytes() const
    {
        return Core::blockBytes(this->text.capacity()) + Core::blockBytes(this->records.capacity() * sizeof(Record));
    }

private:
    struct Record {
        Core::SteadyTime at;
        std::string_view message;
        /// End of its fields in the text.
        std::size_t end = 0;
    };

    // Reads the fields of a text.
    static std::vector<LogField> fieldsOf(std::string_view encoded);

    std::vector<Record> records;
    // Of each field: whether it is a number, the length of its name, that of its value, the name and the value.
    std::string text;
    std::uint64_t omitted = 0;
};

}
