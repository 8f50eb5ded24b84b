#pragma once

#include "celeryswitch/Core/BlockBytes.h"
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace celeryswitch::Http {

/// Header fields of a message, in the order in which they were added; names are compared without regard to the case of
/// ASCII letters. All fields share one text, so that a field takes no more memory than its bytes in the message.
class HttpHeaders {
public:
    using Field = std::pair<std::string_view, std::string_view>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields);

    /// Adds a field behind those of the same name. Neither text may contain a NUL character.
    void add(std::string_view name, std::string_view value);
    /// Sets the only field of a name.
    void set(std::string_view name, std::string_view value);
    /// Value of the last field of a name; empty when there is none.
    std::string_view value(std::string_view name) const;
    bool contains(std::string_view name) const;
    /// Calls `visit(name, value)` for each field.
    template <typename Visit> void forEach(Visit&& visit) const
    {
        for (std::string_view rest = this->text; !rest.empty();) {
            const Field field = takeField(rest);
            visit(field.first, field.second);
        }
    }
    /// Memory of the fields, in bytes.
    std::size_t memoryBytes() const { return Core::blockBytes(this->text.capacity()); }

private:
    // Removes the first field of a text.
    static Field takeField(std::string_view& rest);

    // "NAME\0VALUE\0" of each field.
    std::string text;
};

}
