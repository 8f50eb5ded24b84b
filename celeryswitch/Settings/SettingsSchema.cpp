#include "celeryswitch/Settings/SettingsSchema.h"

#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Settings {

namespace {

SettingsKey required(std::string_view name, ValueKind kind, std::int64_t minimum = 0)
{
    return { .name = name, .kind = kind, .isRequired = true, .minimum = minimum };
}

SettingsKey integer(std::string_view name, std::int64_t minimum, std::int64_t maximum, std::int64_t builtIn)
{
    return { name, ValueKind::Integer, false, minimum, maximum, builtIn, {}, {} };
}

SettingsKey choice(std::string_view name, std::vector<std::string_view> choices, std::string_view builtIn)
{
    return { name, ValueKind::Choice, false, 0, 0, 0, builtIn, std::move(choices) };
}

SettingsKey optional(std::string_view name, ValueKind kind) { return { .name = name, .kind = kind }; }

// Keys of every process that runs as a role.
SettingsSchema withCommon(std::string_view nameKey, SettingsSchema keys)
{
    SettingsSchema schema { required(nameKey, ValueKind::Name), required("dataCentre", ValueKind::Name),
        required("rack", ValueKind::Name), required("keys", ValueKind::SecretTable), integer("currentKey", 0, 255, 1),
        choice("logLevel", { "debug", "info", "warning", "error" }, "info"),
        choice("logFormat", { "logfmt", "json" }, "logfmt"), integer("logRecordsPerSecond", 0, 100'000, 20) };
    schema.insert(schema.end(), keys.begin(), keys.end());
    return schema;
}

SettingsSchema entrySchema()
{
    return withCommon("instanceId",
        { required("httpAddress", ValueKind::Address), required("peerAddress", ValueKind::Address),
            required("datagramAddress", ValueKind::Address), required("stateAddresses", ValueKind::AddressList),
            optional("callerTokens", ValueKind::HiddenList), optional("operatorTokens", ValueKind::HiddenList),
            integer("connectionsLimit", 1, 100'000, 10'000), integer("bodyLimitBytes", 1024, 268'435'456, 16'777'216),
            integer("headerLimitBytes", 1024, 1'048'576, 16'384), integer("headerTimeMs", 100, 600'000, 10'000),
            integer("bodyTimeMs", 100, 600'000, 30'000), integer("idleTimeMs", 100, 3'600'000, 120'000),
            integer("storedLimitBytes", 1'048'576, 68'719'476'736, 1'073'741'824),
            integer("ringCapacity", 16, 1'048'576, 16'384) });
}

SettingsSchema sidecarSchema()
{
    return withCommon("instanceId",
        { required("service", ValueKind::Name), integer("slots", 1, 1024, 8), integer("connections", 1, 4096, 64),
            required("endpointAddress", ValueKind::Address, 1), required("peerAddress", ValueKind::Address),
            required("datagramAddress", ValueKind::Address), required("stateAddresses", ValueKind::AddressList) });
}

SettingsSchema stateSchema()
{
    return withCommon("name",
        { required("peerAddress", ValueKind::Address), required("dataFolder", ValueKind::Text),
            optional("replicas", ValueKind::AddressTable), integer("snapshotThreshold", 1, 1'000'000, 1000),
            integer("heartbeatMs", 10, 10'000, 100), integer("electionMinimumMs", 20, 60'000, 400),
            integer("electionMaximumMs", 20, 60'000, 800) });
}

SettingsSchema operatorSchema()
{
    return { required("author", ValueKind::Name), required("stateAddresses", ValueKind::AddressList),
        required("keys", ValueKind::SecretTable), integer("currentKey", 0, 255, 1),
        optional("entryAddresses", ValueKind::AddressList), optional("token", ValueKind::HiddenText),
        integer("requestTimeoutMs", 100, 600'000, 10'000) };
}

std::string choicesText(const SettingsKey& key)
{
    std::string text = "one of";
    for (std::string_view name : key.choices)
        text += " \"" + std::string(name) + "\"";
    return text;
}

}

const SettingsSchema& schemaOf(Messages::Role role)
{
    static const SettingsSchema entry = entrySchema();
    static const SettingsSchema sidecar = sidecarSchema();
    static const SettingsSchema state = stateSchema();
    static const SettingsSchema operatorKeys = operatorSchema();
    switch (role) {
    case Messages::Role::Entry:
        return entry;
    case Messages::Role::Sidecar:
        return sidecar;
    case Messages::Role::State:
        return state;
    case Messages::Role::Operator:
        return operatorKeys;
    }
    CELERY_ASSERT(false);
}

std::string allowedText(const SettingsKey& key)
{
    switch (key.kind) {
    case ValueKind::Text:
    case ValueKind::HiddenText:
        return "text of 1 to 256 bytes";
    case ValueKind::Name:
        return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
    case ValueKind::Integer:
        return "a whole number from " + std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
    case ValueKind::Choice:
        return choicesText(key);
    case ValueKind::Address:
        return "an IP number and a port from " + std::to_string(key.minimum) + " to 65535, as \"127.0.0.1:7001\"";
    case ValueKind::AddressList:
        return "a list of at least one address, as [\"127.0.0.1:7001\"], with ports from 1 to 65535 and no repetition";
    case ValueKind::SecretTable:
        return "a table of one or two key ids from 0 to 255, each with a secret of 16 to 256 bytes";
    case ValueKind::AddressTable:
        return "a table of at most 64 names, each with an address as \"127.0.0.1:7201\", without repetition";
    case ValueKind::HiddenList:
        return "a list of at most 64 texts of 16 to 256 bytes, without repetition";
    }
    return {};
}

}
