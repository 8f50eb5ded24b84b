#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include <algorithm>
#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace celeryswitch::Network {

static_assert(std::endian::native == std::endian::little, "the message format is little endian");

/// Archive that appends values in little endian order to a text; lengths take 32 bits.
class MessageOutputArchive : public cereal::OutputArchive<MessageOutputArchive, cereal::AllowEmptyClassElision> {
public:
    /// Appends to `output`, which must outlive the archive.
    explicit MessageOutputArchive(std::string& output)
        : OutputArchive(this)
        , output(output)
    {
    }
    /// Appends raw bytes.
    void appendBytes(const void* data, std::size_t size) { this->output.append(static_cast<const char*>(data), size); }

private:
    std::string& output;
};

/// Archive that reads values from untrusted bytes. A length is accepted only when that many bytes are left, so that a
/// forged length never causes an allocation much larger than the frame. Throws cereal::Exception.
class MessageInputArchive : public cereal::InputArchive<MessageInputArchive, cereal::AllowEmptyClassElision> {
public:
    /// Reads from `input`, which must outlive the archive.
    explicit MessageInputArchive(std::string_view input)
        : InputArchive(this)
        , input(input)
    {
    }
    /// Copies the next bytes.
    void takeBytes(void* data, std::size_t size)
    {
        if (size > this->input.size())
            throw cereal::Exception("the message ends early");
        if (size != 0)
            std::memcpy(data, this->input.data(), size);
        this->input.remove_prefix(size);
    }
    /// Reads the length of a text or container; every element takes at least one byte.
    cereal::size_type takeLength()
    {
        std::uint32_t length = 0;
        this->takeBytes(&length, sizeof(length));
        if (length > this->input.size())
            throw cereal::Exception("a length exceeds the message");
        return length;
    }
    /// Bytes not read yet.
    std::size_t remaining() const { return this->input.size(); }

private:
    std::string_view input;
};

/// Writes a number.
template <typename T>
requires std::is_arithmetic_v<T>
inline void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive& archive, const T& value)
{
    archive.appendBytes(&value, sizeof(value));
}

/// Reads a number; a truth value other than 0 and 1 and a number that is no number are refused.
template <typename T>
requires std::is_arithmetic_v<T>
inline void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.takeBytes(&byte, 1);
        if (byte > 1)
            throw cereal::Exception("a truth value is neither 0 nor 1");
        value = byte == 1;
    } else {
        archive.takeBytes(&value, sizeof(value));
        if constexpr (std::is_floating_point_v<T>) {
            if (std::isnan(value))
                throw cereal::Exception("a number is NaN");
        }
    }
}

/// Writes a length.
template <typename T>
inline void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive& archive, const cereal::SizeTag<T>& tag)
{
    const auto length = static_cast<std::uint32_t>(tag.size);
    archive.appendBytes(&length, sizeof(length));
}

/// Reads a length.
template <typename T> inline void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive& archive, cereal::SizeTag<T>& tag)
{
    tag.size = archive.takeLength();
}

/// Writes a named value without its name.
template <typename T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(MessageOutputArchive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Reads a named value.
template <typename T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(MessageInputArchive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Writes the bytes of a text.
template <typename T>
inline void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive& archive, const cereal::BinaryData<T>& data)
{
    archive.appendBytes(data.data, static_cast<std::size_t>(data.size));
}

/// Reads the bytes of a text.
template <typename T> inline void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive& archive, cereal::BinaryData<T>& data)
{
    archive.takeBytes(data.data, static_cast<std::size_t>(data.size));
}

/// Reads an enumeration that has a table of names; a value outside the table is refused.
template <Core::NamedEnum E> inline void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive& archive, E& value)
{
    std::underlying_type_t<E> number = 0;
    archive.takeBytes(&number, sizeof(number));
    value = static_cast<E>(number);
    if (!Core::isKnown(value))
        throw cereal::Exception("an enumeration has an unknown value");
}

/// Reads a vector, growing it with the elements that are there rather than with the length that was announced.
template <typename T, typename Allocator>
inline void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive& archive, std::vector<T, Allocator>& values)
{
    const cereal::size_type length = archive.takeLength();
    values.clear();
    values.reserve(std::min<std::size_t>(length, archive.remaining() / sizeof(T) + 1));
    for (cereal::size_type index = 0; index < length; ++index)
        archive(values.emplace_back());
}

}

namespace cereal {

/// Prefers the checked load of enumerations that have a table of names to the library's unchecked one.
template <celeryswitch::Core::NamedEnum E>
struct specialize<celeryswitch::Network::MessageInputArchive, E, specialization::non_member_load_save>
    : public std::true_type {
};

}

CEREAL_REGISTER_ARCHIVE(celeryswitch::Network::MessageOutputArchive)
CEREAL_REGISTER_ARCHIVE(celeryswitch::Network::MessageInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(celeryswitch::Network::MessageInputArchive, celeryswitch::Network::MessageOutputArchive)
