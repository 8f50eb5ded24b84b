#pragma once

#include <array>
#include <concepts>
#include <optional>
#include <string_view>
#include <utility>

namespace celeryswitch::Core {

/// Table of names of an enumeration; specialize with `static constexpr std::string_view type` and
/// `static constexpr std::array<std::pair<E, std::string_view>, N> names`.
template <typename E> struct EnumTable;

/// An enumeration that has a table of names.
template <typename E>
concept NamedEnum = requires
{
    {
        EnumTable<E>::type
        } -> std::convertible_to<std::string_view>;
    EnumTable<E>::names.begin();
};

/// Name of a value, or "unknown" for a value outside the table.
template <NamedEnum E> constexpr std::string_view enumName(E value)
{
    for (const auto& [entry, name] : EnumTable<E>::names) {
        if (entry == value)
            return name;
    }
    return "unknown";
}

/// Value for a name, or nothing when no entry has that name.
template <NamedEnum E> constexpr std::optional<E> enumValue(std::string_view name)
{
    for (const auto& [entry, entryName] : EnumTable<E>::names) {
        if (entryName == name)
            return entry;
    }
    return std::nullopt;
}

/// Whether a value, for example one decoded from a message, is in the table.
template <NamedEnum E> constexpr bool isKnown(E value)
{
    for (const auto& entry : EnumTable<E>::names) {
        if (entry.first == value)
            return true;
    }
    return false;
}

}
