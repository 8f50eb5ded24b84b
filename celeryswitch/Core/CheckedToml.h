#pragma once

#include <stdexcept>

namespace celeryswitch::Core {

/// A state of the TOML parser that its authors held impossible.
struct TomlInvariantBroken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Throws TomlInvariantBroken.
[[noreturn]] inline void tomlInvariantBroken(const char* expression) { throw TomlInvariantBroken(expression); }

}

// toml++ 3.3 has assertions that malformed text can break (a key that ends at a broken UTF-8 sequence). As a value the
// failure is one more problem of the file; as an assertion it would stop the process.
#define TOML_ASSERT(expression)                                                                                        \
    (static_cast<bool>(expression) ? void(0) : ::celeryswitch::Core::tomlInvariantBroken(#expression))
#include <toml++/toml.h>
