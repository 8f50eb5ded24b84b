#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include <string>
#include <string_view>
#include <utility>

namespace celeryswitch::Core {

/// A failure as a value: the subsystem's error code, by name, and a detail for people.
class Error {
public:
    /// Builds an error from a subsystem's enumeration of errors; `detail` names the field, file or peer concerned.
    template <NamedEnum E>
    Error(E code, std::string detail)
        : enumType(EnumTable<E>::type)
        , codeName(enumName(code))
        , detailText(std::move(detail))
    {
    }

    /// Name of the enumeration that the code belongs to.
    std::string_view type() const { return this->enumType; }
    /// Name of the code, for example "TornRecord".
    std::string_view code() const { return this->codeName; }
    /// Detail for people; may be empty.
    const std::string& detail() const { return this->detailText; }
    /// Whether this error is the given code.
    template <NamedEnum E> bool is(E code) const
    {
        return this->enumType == EnumTable<E>::type && this->codeName == enumName(code);
    }
    /// "<code>: <detail>" for logs and messages.
    std::string message() const { return std::string(this->codeName) + ": " + this->detailText; }

private:
    std::string_view enumType;
    std::string_view codeName;
    std::string detailText;
};

}
