#include "celeryswitch/Settings/RoleSettings.h"

#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Settings {

namespace {

std::size_t sizeOf(const SettingsDocument& document, std::string_view key)
{
    return static_cast<std::size_t>(document.integer(key));
}

Core::Duration millisecondsOf(const SettingsDocument& document, std::string_view key)
{
    return std::chrono::milliseconds(document.integer(key));
}

}

Network::AuthenticationKeys authenticationKeys(const SettingsDocument& document)
{
    CELERY_ASSERT(document.problems().empty());
    Network::AuthenticationKeys keys;
    keys.currentKeyId = static_cast<std::uint8_t>(document.integer("currentKey"));
    for (const auto& [id, secret] : document.table("keys"))
        keys.keys[static_cast<std::uint8_t>(std::stoi(id))] = secret;
    return keys;
}

Logging::LogSettings logSettings(const SettingsDocument& document, Messages::Role role)
{
    Logging::LogSettings settings;
    settings.level = Core::enumValue<Logging::LogLevel>(document.text("logLevel")).value_or(settings.level);
    settings.format = Core::enumValue<Logging::LogFormat>(document.text("logFormat")).value_or(settings.format);
    settings.role = Core::enumName(role);
    settings.instanceId = document.text(role == Messages::Role::State ? "name" : "instanceId");
    settings.recordsPerSecond = static_cast<std::uint32_t>(document.integer("logRecordsPerSecond"));
    return settings;
}

Entry::EntrySettings entrySettings(const SettingsDocument& document)
{
    Entry::EntrySettings settings;
    settings.instanceId = document.text("instanceId");
    settings.dataCentre = document.text("dataCentre");
    settings.rack = document.text("rack");
    settings.httpAddress = document.text("httpAddress");
    settings.peerAddress = document.text("peerAddress");
    settings.datagramAddress = document.text("datagramAddress");
    settings.stateAddresses = document.list("stateAddresses");
    settings.authenticationKeys = authenticationKeys(document);
    for (const std::string& token : document.list("callerTokens"))
        settings.tokens.push_back({ token, Entry::TokenRole::Caller });
    for (const std::string& token : document.list("operatorTokens"))
        settings.tokens.push_back({ token, Entry::TokenRole::Operator });
    settings.connectionsLimit = sizeOf(document, "connectionsLimit");
    settings.bodyBytesLimit = sizeOf(document, "bodyLimitBytes");
    settings.headerBytesLimit = sizeOf(document, "headerLimitBytes");
    settings.headerTimeout = millisecondsOf(document, "headerTimeMs");
    settings.bodyTimeout = millisecondsOf(document, "bodyTimeMs");
    settings.idleTimeout = millisecondsOf(document, "idleTimeMs");
    settings.storedBytesLimit = sizeOf(document, "storedLimitBytes");
    settings.ringCapacity = sizeOf(document, "ringCapacity");
    return settings;
}

Sidecar::SidecarSettings sidecarSettings(const SettingsDocument& document)
{
    Sidecar::SidecarSettings settings;
    settings.instanceId = document.text("instanceId");
    settings.dataCentre = document.text("dataCentre");
    settings.rack = document.text("rack");
    settings.service = document.text("service");
    settings.slots = static_cast<std::uint32_t>(document.integer("slots"));
    settings.connections = static_cast<std::uint32_t>(document.integer("connections"));
    settings.endpointAddress = document.text("endpointAddress");
    settings.peerAddress = document.text("peerAddress");
    settings.datagramAddress = document.text("datagramAddress");
    settings.stateAddresses = document.list("stateAddresses");
    settings.authentication = authenticationKeys(document);
    return settings;
}

State::StateSettings stateSettings(const SettingsDocument& document)
{
    State::StateSettings settings;
    settings.replicaName = document.text("name");
    settings.dataCentre = document.text("dataCentre");
    settings.rack = document.text("rack");
    settings.peerAddress = document.text("peerAddress");
    settings.dataFolder = document.text("dataFolder");
    settings.initialReplicas = document.table("replicas");
    settings.authenticationKeys = authenticationKeys(document);
    settings.snapshotThreshold = sizeOf(document, "snapshotThreshold");
    settings.heartbeatInterval = millisecondsOf(document, "heartbeatMs");
    settings.electionTimeoutMinimum = millisecondsOf(document, "electionMinimumMs");
    settings.electionTimeoutMaximum = millisecondsOf(document, "electionMaximumMs");
    return settings;
}

OperatorSettings operatorSettings(const SettingsDocument& document)
{
    OperatorSettings settings;
    settings.author = document.text("author");
    settings.stateAddresses = document.list("stateAddresses");
    settings.keys = authenticationKeys(document);
    settings.entryAddresses = document.list("entryAddresses");
    settings.token = document.text("token");
    settings.requestTimeout = std::chrono::milliseconds(document.integer("requestTimeoutMs"));
    return settings;
}

}
