#include "celeryswitch/Configuration/ConfigurationDocument.h"

#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Configuration {

const KeyDescription& keyDescription(ConfigurationKey key)
{
    static constexpr std::array<KeyDescription, 9> descriptions { {
        { "weight", 1, 1000, 10 },
        { "starts/s", 0, 10'000'000, 0 },
        { "percent", 0, 50, 6 },
        { "tasks", 1, 1'000'000, 20'000 },
        { "percent", 0, 100, 10 },
        { "percent", 0, 90, 30 },
        { "0 or 1", 0, 1, 0 },
        { "0 or 1", 0, 1, 0 },
        { "ms", 100, 600'000, 60'000 },
    } };
    const auto index = static_cast<std::size_t>(key);
    CELERY_ASSERT(index < descriptions.size());
    return descriptions[index];
}

namespace {

// Whether an exception applies to a scope.
bool matches(const ConfigurationException& exception, const Scope& scope)
{
    switch (exception.scopeKind) {
    case ScopeKind::Service:
        return exception.scopeName == scope.service;
    case ScopeKind::Kind:
        return exception.scopeName == scope.kind;
    case ScopeKind::Team:
        return exception.scopeName == scope.team;
    case ScopeKind::Endpoint:
        return exception.scopeName == scope.endpoint;
    case ScopeKind::DataCentre:
        return exception.scopeName == scope.dataCentre;
    }
    return false;
}

}

std::int64_t ConfigurationDocument::value(ConfigurationKey key, const Scope& scope) const
{
    static constexpr std::array<ScopeKind, 5> mostSpecificFirst { ScopeKind::Endpoint, ScopeKind::Team, ScopeKind::Kind,
        ScopeKind::Service, ScopeKind::DataCentre };
    for (ScopeKind scopeKind : mostSpecificFirst) {
        for (const ConfigurationException& exception : this->exceptions) {
            if (exception.key == key && exception.scopeKind == scopeKind && matches(exception, scope))
                return exception.value;
        }
    }
    const auto found = this->defaults.find(key);
    return found != this->defaults.end() ? found->second : keyDescription(key).builtIn;
}

}
