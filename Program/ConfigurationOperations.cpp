#include "Program/ConfigurationOperations.h"

namespace celeryswitch::Program {

boost::json::object setOperation(Configuration::ConfigurationKey key, std::int64_t value)
{
    return { { "operation", "setDefault" }, { "key", Core::enumName(key) }, { "value", value } };
}

boost::json::object resetOperation(Configuration::ConfigurationKey key)
{
    return { { "operation", "unsetDefault" }, { "key", Core::enumName(key) } };
}

boost::json::object addExceptionOperation(const Configuration::ConfigurationException& exception)
{
    return { { "operation", "addException" }, { "exceptionId", exception.exceptionId },
        { "scopeKind", Core::enumName(exception.scopeKind) }, { "scopeName", exception.scopeName },
        { "key", Core::enumName(exception.key) }, { "value", exception.value }, { "reason", exception.reason } };
}

boost::json::object removeExceptionOperation(const std::string& exceptionId)
{
    return { { "operation", "removeException" }, { "exceptionId", exceptionId } };
}

boost::json::array drainOperations(const std::string& endpoint, bool isUndo, const std::string& reason)
{
    const std::string exceptionId = "drain-" + endpoint;
    if (isUndo)
        return { removeExceptionOperation(exceptionId) };
    return { addExceptionOperation({ exceptionId, Configuration::ScopeKind::Endpoint, endpoint,
        Configuration::ConfigurationKey::EndpointDrained, 1, reason }) };
}

}
