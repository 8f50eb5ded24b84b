#include "celeryswitch/Http/HttpHeaders.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Http {

namespace {

constexpr char terminator = '\0';

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char first, char second) { return lower(first) == lower(second); });
}

}

HttpHeaders::HttpHeaders(std::initializer_list<Field> fields)
{
    for (const auto& [name, value] : fields)
        this->add(name, value);
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    CELERY_ASSERT(name.find(terminator) == std::string_view::npos && value.find(terminator) == std::string_view::npos);
    this->text.append(name).push_back(terminator);
    this->text.append(value).push_back(terminator);
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    std::string kept;
    this->forEach([&](std::string_view otherName, std::string_view otherValue) {
        if (!isSameName(otherName, name))
            kept.append(otherName).append(1, terminator).append(otherValue).append(1, terminator);
    });
    this->text = std::move(kept);
    this->add(name, value);
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    std::string_view found;
    this->forEach([&](std::string_view otherName, std::string_view otherValue) {
        if (isSameName(otherName, name))
            found = otherValue;
    });
    return found;
}

bool HttpHeaders::contains(std::string_view name) const
{
    bool isFound = false;
    this->forEach(
        [&](std::string_view otherName, std::string_view) { isFound = isFound || isSameName(otherName, name); });
    return isFound;
}

HttpHeaders::Field HttpHeaders::takeField(std::string_view& rest)
{
    const std::size_t nameEnd = rest.find(terminator);
    const std::string_view name = rest.substr(0, nameEnd);
    rest.remove_prefix(nameEnd + 1);
    const std::size_t valueEnd = rest.find(terminator);
    const std::string_view value = rest.substr(0, valueEnd);
    rest.remove_prefix(valueEnd + 1);
    return { name, value };
}

}
