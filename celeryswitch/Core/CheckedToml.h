#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace celeryswitch::Core {

/// A state of the TOML parser that its authors held impossible.
struct TomlInvariantBroken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Throws TomlInvariantBroken.
[[noreturn]] inline void tomlInvariantBroken(const char* expression) { throw TomlInvariantBroken(expression); }

}

// toml++ 3.3 has assertions that malformed text can break (a key that ends at a broken UTF-8 sequence). As an exception
// the failure is one more problem of the file; as an assertion it would stop the process. Every file that parses TOML
// includes this header and not the library's, because the parser's inline functions are shared by the whole binary.
#define TOML_ASSERT(expression)                                                                                        \
    (static_cast<bool>(expression) ? void(0) : ::celeryswitch::Core::tomlInvariantBroken(#expression))
#include <toml++/toml.h>

namespace celeryswitch::Core {

/// Parses TOML; throws toml::parse_error and nothing else when the text is malformed.
inline toml::table parseToml(std::string_view text, std::string_view fileName)
{
    try {
        return toml::parse(text, fileName);
    } catch (const TomlInvariantBroken&) {
        throw toml::parse_error("malformed text that the parser can't place", toml::source_position { 1, 1 });
    }
}

}
