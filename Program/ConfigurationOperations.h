#pragma once

#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace celeryswitch::Program {

/// Operation that sets a default.
boost::json::object setOperation(Configuration::ConfigurationKey key, std::int64_t value);
/// Operation that gives a default its built-in value again.
boost::json::object resetOperation(Configuration::ConfigurationKey key);
/// Operation that adds an exception.
boost::json::object addExceptionOperation(const Configuration::ConfigurationException& exception);
/// Operation that removes an exception.
boost::json::object removeExceptionOperation(const std::string& exceptionId);
/// Operations that stop new work for an endpoint, or end that.
boost::json::array drainOperations(const std::string& endpoint, bool isUndo, const std::string& reason);

}
