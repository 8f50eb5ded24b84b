#include "celeryswitch/Configuration/ConfigurationChange.h"

#include <algorithm>
#include <boost/json.hpp>

namespace celeryswitch::Configuration {

using Core::Error;
using Core::Result;
namespace json = boost::json;

namespace {

// An exception as the audit trail shows it.
json::object describe(const ConfigurationException& exception)
{
    return { { "exceptionId", exception.exceptionId }, { "scopeKind", Core::enumName(exception.scopeKind) },
        { "scopeName", exception.scopeName }, { "key", Core::enumName(exception.key) }, { "value", exception.value },
        { "reason", exception.reason } };
}

/// Reads and applies operations, one after the other.
class ChangeChecker {
public:
    explicit ChangeChecker(const ConfigurationDocument& document)
        : document(document)
    {
    }

    // Applies one operation; `position` counts from 1 and names it in errors.
    Result<void> apply(const json::value& value, std::size_t position)
    {
        this->place = "operation " + std::to_string(position);
        if (!value.is_object())
            return Error(ChangeError::Malformed, this->place + " is not an object");
        this->fields = &value.get_object();
        BOOST_OUTCOME_TRY(const std::string name, this->text("operation"));
        if (name == "setDefault")
            return this->setDefault();
        if (name == "unsetDefault")
            return this->unsetDefault();
        if (name == "addException")
            return this->addException();
        if (name == "removeException")
            return this->removeException();
        return Error(ChangeError::Malformed, this->place + ": unknown operation \"" + name + "\"");
    }

    ConfigurationDocument document;
    json::array before;
    json::array after;

private:
    // A non-empty text field.
    Result<std::string> text(std::string_view field) const
    {
        const json::value* value = this->fields->if_contains(field);
        if (!value || !value->is_string() || value->get_string().empty() || value->get_string().size() > 512)
            return Error(ChangeError::Malformed,
                this->place + ": \"" + std::string(field) + "\" must be a text of 1 to 512 bytes");
        return std::string(value->get_string());
    }

    // The field "key".
    Result<ConfigurationKey> key() const
    {
        BOOST_OUTCOME_TRY(const std::string name, this->text("key"));
        const auto found = Core::enumValue<ConfigurationKey>(name);
        if (!found)
            return Error(ChangeError::UnknownKey, this->place + ": unknown key \"" + name + "\"");
        return *found;
    }

    // The field "value", within the key's range.
    Result<std::int64_t> value(ConfigurationKey key) const
    {
        const json::value* value = this->fields->if_contains("value");
        const KeyDescription& description = keyDescription(key);
        const std::string allowed = std::string(Core::enumName(key)) + " must be a whole number from "
            + std::to_string(description.minimum) + " to " + std::to_string(description.maximum) + " ("
            + std::string(description.unit) + ")";
        if (!value || !value->is_int64())
            return Error(ChangeError::Malformed, this->place + ": " + allowed);
        if (value->get_int64() < description.minimum || value->get_int64() > description.maximum)
            return Error(
                ChangeError::OutOfRange, this->place + ": " + allowed + ", not " + std::to_string(value->get_int64()));
        return value->get_int64();
    }

    Result<void> setDefault()
    {
        BOOST_OUTCOME_TRY(const ConfigurationKey key, this->key());
        BOOST_OUTCOME_TRY(const std::int64_t value, this->value(key));
        const std::string name(Core::enumName(key));
        const auto found = this->document.defaults.find(key);
        if (found != this->document.defaults.end())
            this->before.push_back(json::object { { name, found->second } });
        else
            this->before.push_back(nullptr);
        this->after.push_back(json::object { { name, value } });
        this->document.defaults[key] = value;
        return Core::success();
    }

    Result<void> unsetDefault()
    {
        BOOST_OUTCOME_TRY(const ConfigurationKey key, this->key());
        const auto found = this->document.defaults.find(key);
        const std::string name(Core::enumName(key));
        if (found == this->document.defaults.end())
            return Error(ChangeError::UnknownDefault, this->place + ": " + name + " has no default to unset");
        this->before.push_back(json::object { { name, found->second } });
        this->after.push_back(nullptr);
        this->document.defaults.erase(found);
        return Core::success();
    }

    Result<void> addException()
    {
        ConfigurationException added;
        BOOST_OUTCOME_TRY(added.exceptionId, this->text("exceptionId"));
        BOOST_OUTCOME_TRY(const std::string scopeKind, this->text("scopeKind"));
        const auto kind = Core::enumValue<ScopeKind>(scopeKind);
        if (!kind)
            return Error(ChangeError::Malformed, this->place + ": unknown scopeKind \"" + scopeKind + "\"");
        added.scopeKind = *kind;
        BOOST_OUTCOME_TRY(added.scopeName, this->text("scopeName"));
        BOOST_OUTCOME_TRY(added.key, this->key());
        BOOST_OUTCOME_TRY(added.value, this->value(added.key));
        Result<std::string> reason = this->text("reason");
        if (!reason)
            return Error(ChangeError::MissingReason, this->place + ": an exception needs a reason");
        added.reason = std::move(reason).value();
        for (const ConfigurationException& present : this->document.exceptions) {
            const bool isSameScope = present.key == added.key && present.scopeKind == added.scopeKind
                && present.scopeName == added.scopeName;
            if (present.exceptionId == added.exceptionId || isSameScope)
                return Error(ChangeError::DuplicateException,
                    this->place + ": exception \"" + present.exceptionId
                        + "\" has the same id or the same scope and key");
        }
        if (this->document.exceptions.size() >= maximumExceptions)
            return Error(ChangeError::OutOfRange,
                this->place + ": at most " + std::to_string(maximumExceptions) + " exceptions are allowed");
        this->before.push_back(nullptr);
        this->after.push_back(describe(added));
        this->document.exceptions.push_back(std::move(added));
        return Core::success();
    }

    Result<void> removeException()
    {
        BOOST_OUTCOME_TRY(const std::string exceptionId, this->text("exceptionId"));
        auto& exceptions = this->document.exceptions;
        const auto found = std::find_if(exceptions.begin(), exceptions.end(),
            [&](const ConfigurationException& present) { return present.exceptionId == exceptionId; });
        if (found == exceptions.end())
            return Error(ChangeError::UnknownException, this->place + ": no exception \"" + exceptionId + "\"");
        this->before.push_back(describe(*found));
        this->after.push_back(nullptr);
        exceptions.erase(found);
        return Core::success();
    }

    std::string place;
    const json::object* fields = nullptr;
};

}

Result<CheckedChange> checkChange(
    const ConfigurationDocument& document, const std::string& operations, const std::string& reason)
{
    if (reason.empty())
        return Error(ChangeError::MissingReason, "a change needs a reason");
    if (operations.size() > maximumOperationsBytes)
        return Error(ChangeError::Malformed, "operations exceed " + std::to_string(maximumOperationsBytes) + " bytes");
    boost::system::error_code error;
    const json::value parsed = json::parse(operations, error);
    if (error || !parsed.is_array() || parsed.get_array().empty())
        return Error(ChangeError::Malformed, "operations must be a JSON array with at least one operation");
    ChangeChecker checker(document);
    std::size_t position = 0;
    for (const json::value& operation : parsed.get_array()) {
        BOOST_OUTCOME_TRY(checker.apply(operation, ++position));
    }
    checker.document.version = document.version + 1;
    return CheckedChange { std::move(checker.document), json::serialize(checker.before),
        json::serialize(checker.after) };
}

}
