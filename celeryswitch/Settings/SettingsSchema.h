#pragma once

#include "celeryswitch/Messages/TaskMessages.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Settings {

/// Type of a settings value.
enum class ValueKind : std::uint8_t {
    /// Text of 1 to 256 bytes.
    Text,
    /// Letters, digits, '.', '_' and '-', 1 to 64 of them.
    Name,
    /// Whole number inside the key's range.
    Integer,
    /// One of the key's choices.
    Choice,
    /// "address:port" with an IP number; port 0 lets the system choose where the key allows it.
    Address,
    /// One or more addresses with a port above 0, without repetition.
    AddressList,
    /// Table of key ids 0 to 255 and secrets of at least 16 bytes.
    SecretTable,
    /// Table of names and addresses with a port above 0.
    AddressTable,
    /// List of texts of 16 to 256 bytes that are kept out of messages, without repetition.
    HiddenList,
    /// Text that is kept out of messages.
    HiddenText,
};

/// One key of a settings file.
struct SettingsKey {
    std::string_view name;
    ValueKind kind = ValueKind::Text;
    bool isRequired = false;
    /// Range of an Integer; for an Address, `minimum` is the lowest port.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Value of an Integer, Text or Choice that is left out.
    std::int64_t builtInInteger = 0;
    std::string_view builtInText;
    std::vector<std::string_view> choices;
};

/// Keys of one role's settings file.
using SettingsSchema = std::vector<SettingsKey>;

/// Keys of a role's settings file.
const SettingsSchema& schemaOf(Messages::Role role);
/// What a key accepts, for messages: "a whole number from 1 to 1024".
std::string allowedText(const SettingsKey& key);

}
