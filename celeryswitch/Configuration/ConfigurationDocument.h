#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Core/Identifiers.h"
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryswitch::Configuration {

/// Keys of the fleet's configuration. The key's name, unit and range stand in `keyDescription`.
enum class ConfigurationKey : std::uint8_t {
    /// Weight of a kind's share of the slots.
    ShareWeight,
    /// Starts a second that a team may use over the whole fleet; 0 means no limit.
    TeamStartsPerSecond,
    /// Part of the slots, in percent, that no kind above its share may take.
    ReservedSlotsPercent,
    /// Tasks that one entry queues for a service.
    QueuedTasksLimit,
    /// Retries as a percentage of starts.
    RetryBudgetPercent,
    /// Largest part of the fleet, in percent, that may be ejected as outliers.
    EjectionLimitPercent,
    /// 1 allows a second start of tasks of idempotent jobs.
    IdempotentRestarts,
    /// 1 means that the endpoint gets no new work.
    EndpointDrained,
    /// Time that an endpoint may take for one task, in milliseconds.
    TaskTimeoutMilliseconds,
};

/// What an exception applies to.
enum class ScopeKind : std::uint8_t {
    Service,
    Kind,
    Team,
    Endpoint,
    DataCentre,
};

/// Names that a value is looked up for; empty fields match no exception.
struct Scope {
    std::string service;
    std::string kind;
    std::string team;
    /// Instance id of the sidecar beside the endpoint.
    std::string endpoint;
    std::string dataCentre;
};

/// A value that differs from the defaults for one scope.
struct ConfigurationException {
    std::string exceptionId;
    ScopeKind scopeKind = ScopeKind::Service;
    /// Name of the service, kind, team, endpoint or data centre.
    std::string scopeName;
    ConfigurationKey key = ConfigurationKey::ShareWeight;
    std::int64_t value = 0;
    /// Why the exception exists; never empty.
    std::string reason;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->exceptionId, this->scopeKind, this->scopeName, this->key, this->value, this->reason);
    }
};

/// Unit, range and built-in value of a key.
struct KeyDescription {
    std::string_view unit;
    std::int64_t minimum;
    std::int64_t maximum;
    std::int64_t builtIn;
};

/// Description of a key.
const KeyDescription& keyDescription(ConfigurationKey key);

/// The fleet's configuration: defaults and a short list of exceptions.
struct ConfigurationDocument {
    Core::ConfigurationVersion version = 0;
    /// Defaults that differ from the built-in values.
    std::map<ConfigurationKey, std::int64_t> defaults;
    std::vector<ConfigurationException> exceptions;

    /// Value of a key in a scope: the most specific exception (endpoint, team, kind, service, data centre, in this
    /// order), else the default, else the built-in value.
    std::int64_t value(ConfigurationKey key, const Scope& scope = {}) const;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->version, this->defaults, this->exceptions);
    }
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Configuration::ConfigurationKey> {
    static constexpr std::string_view type = "ConfigurationKey";
    static constexpr std::array<std::pair<Configuration::ConfigurationKey, std::string_view>, 9> names { {
        { Configuration::ConfigurationKey::ShareWeight, "shareWeight" },
        { Configuration::ConfigurationKey::TeamStartsPerSecond, "teamStartsPerSecond" },
        { Configuration::ConfigurationKey::ReservedSlotsPercent, "reservedSlotsPercent" },
        { Configuration::ConfigurationKey::QueuedTasksLimit, "queuedTasksLimit" },
        { Configuration::ConfigurationKey::RetryBudgetPercent, "retryBudgetPercent" },
        { Configuration::ConfigurationKey::EjectionLimitPercent, "ejectionLimitPercent" },
        { Configuration::ConfigurationKey::IdempotentRestarts, "idempotentRestarts" },
        { Configuration::ConfigurationKey::EndpointDrained, "endpointDrained" },
        { Configuration::ConfigurationKey::TaskTimeoutMilliseconds, "taskTimeoutMilliseconds" },
    } };
};

template <> struct EnumTable<Configuration::ScopeKind> {
    static constexpr std::string_view type = "ScopeKind";
    static constexpr std::array<std::pair<Configuration::ScopeKind, std::string_view>, 5> names { {
        { Configuration::ScopeKind::Service, "service" },
        { Configuration::ScopeKind::Kind, "kind" },
        { Configuration::ScopeKind::Team, "team" },
        { Configuration::ScopeKind::Endpoint, "endpoint" },
        { Configuration::ScopeKind::DataCentre, "dataCentre" },
    } };
};

}
