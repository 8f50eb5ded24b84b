#pragma once

#include "celeryswitch/Core/Error.h"
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace celeryswitch::Core {

/// Value or error; reading the wrong alternative is a broken invariant and stops the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Success of a function that returns no value.
inline auto success() { return boost::outcome_v2::success(); }

}
