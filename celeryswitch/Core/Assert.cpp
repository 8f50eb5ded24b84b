#include "celeryswitch/Core/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace celeryswitch::Core {

void invariantFailed(const char* expression, const char* file, int line)
{
    std::fprintf(stderr, "%s:%d: invariant broken: %s\n", file, line, expression);
    std::abort();
}

}
