#pragma once

#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include "celeryswitch/Core/Result.h"
#include <string>

namespace celeryswitch::Configuration {

/// Why a change was refused.
enum class ChangeError : std::uint8_t {
    /// Not a JSON array of operations, or an operation with a missing, unknown or mistyped field.
    Malformed,
    UnknownKey,
    OutOfRange,
    MissingReason,
    /// The exception's id, or its scope and key, are taken.
    DuplicateException,
    UnknownException,
    /// The default to unset is not set.
    UnknownDefault,
};

/// A change that passed all checks.
struct CheckedChange {
    /// The document after the change, one version higher.
    ConfigurationDocument document;
    /// JSON arrays with one element an operation: what the operation found and what it left; null where there is none.
    std::string before;
    std::string after;
};

/// Largest text of a change's operations, in bytes, and largest number of exceptions in a document.
inline constexpr std::size_t maximumOperationsBytes = 64 * 1024;
inline constexpr std::size_t maximumExceptions = 1000;

/// Checks a change as a whole and applies it to a copy of the document. `operations` is a JSON array of
/// {"operation": "setDefault", "key", "value"}, {"operation": "unsetDefault", "key"},
/// {"operation": "addException", "exceptionId", "scopeKind", "scopeName", "key", "value", "reason"} and
/// {"operation": "removeException", "exceptionId"}; `reason` is why the change is made. Nothing is applied when one
/// operation is refused.
Core::Result<CheckedChange> checkChange(
    const ConfigurationDocument& document, const std::string& operations, const std::string& reason);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Configuration::ChangeError> {
    static constexpr std::string_view type = "ChangeError";
    static constexpr std::array<std::pair<Configuration::ChangeError, std::string_view>, 7> names { {
        { Configuration::ChangeError::Malformed, "Malformed" },
        { Configuration::ChangeError::UnknownKey, "UnknownKey" },
        { Configuration::ChangeError::OutOfRange, "OutOfRange" },
        { Configuration::ChangeError::MissingReason, "MissingReason" },
        { Configuration::ChangeError::DuplicateException, "DuplicateException" },
        { Configuration::ChangeError::UnknownException, "UnknownException" },
        { Configuration::ChangeError::UnknownDefault, "UnknownDefault" },
    } };
};

}
