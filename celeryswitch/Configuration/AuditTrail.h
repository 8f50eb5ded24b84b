#pragma once

#include "celeryswitch/Core/Identifiers.h"
#include "celeryswitch/Core/Result.h"
#include <cereal/types/deque.hpp>
#include <cereal/types/string.hpp>
#include <deque>
#include <string>
#include <vector>

namespace celeryswitch::Configuration {

/// Why an audit trail is not whole.
enum class AuditError : std::uint8_t {
    Malformed,
    /// A record does not have the hash that it names.
    Altered,
    /// A record does not follow the one before it.
    Missing,
};

/// A proposed change and what became of it.
struct AuditEntry {
    /// Milliseconds since 1970 by the state leader's clock.
    std::int64_t time = 0;
    std::string changeId;
    std::string author;
    std::string reason;
    Core::ConfigurationVersion fromVersion = 0;
    Core::ConfigurationVersion toVersion = 0;
    /// "accepted", or the name of the refusal.
    std::string outcome;
    /// Detail of a refusal.
    std::string detail;
    /// JSON arrays, one element an operation; empty when refused.
    std::string before;
    std::string after;
};

/// Chain of audit records: each is a JSON text on one line with its own SHA-256 and that of the record before it. The
/// newest `retainedRecords` are kept.
class AuditTrail {
public:
    /// Records kept; 20,000 are almost three days at 7,100 changes a day and about 10 MB.
    static constexpr std::size_t retainedRecords = 20'000;

    /// Adds a record.
    void append(const AuditEntry& entry);
    /// Records from `fromIndex` (the first ever has 1) on, at most `limit`.
    std::vector<std::string> records(std::uint64_t fromIndex, std::size_t limit) const;
    /// Index of the newest record; 0 when there is none.
    std::uint64_t lastIndex() const { return this->newestIndex; }
    /// Hash of the newest record.
    const std::string& lastHash() const { return this->newestHash; }

    /// Checks consecutive records. The error names the first bad record's line, counted from 1.
    static Core::Result<void> verify(const std::vector<std::string>& records);

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->newestIndex, this->newestHash, this->kept);
    }

private:
    std::uint64_t newestIndex = 0;
    std::string newestHash;
    std::deque<std::string> kept;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Configuration::AuditError> {
    static constexpr std::string_view type = "AuditError";
    static constexpr std::array<std::pair<Configuration::AuditError, std::string_view>, 3> names { {
        { Configuration::AuditError::Malformed, "Malformed" },
        { Configuration::AuditError::Altered, "Altered" },
        { Configuration::AuditError::Missing, "Missing" },
    } };
};

}
