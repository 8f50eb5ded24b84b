#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Core/Result.h"
#include <boost/json/value.hpp>

namespace celeryswitch::Core {

/// Why a JSON text could not be read.
enum class JsonError : std::uint8_t {
    /// The detail says what is wrong.
    Malformed,
    /// The values of the text take more memory than allowed.
    TooLarge,
};

/// Memory of the values of one text where the caller knows no limit of the process, in bytes.
inline constexpr std::size_t defaultJsonValueBytes = 64 * 1024 * 1024;

/// Reads a JSON text, whose values may take `valueBytesLimit` bytes of memory: a value of two characters takes up to a
/// hundred bytes. Errors: JsonError.
Result<boost::json::value> parseJson(std::string_view text, std::size_t valueBytesLimit);

}

namespace celeryswitch::Core {

template <> struct EnumTable<JsonError> {
    static constexpr std::string_view type = "JsonError";
    static constexpr std::array<std::pair<JsonError, std::string_view>, 2> names { {
        { JsonError::Malformed, "Malformed" },
        { JsonError::TooLarge, "TooLarge" },
    } };
};

}
