#include "celeryswitch/Core/Identifiers.h"

#define XXH_INLINE_ALL
#include <cstdio>
#include <xxhash.h>

namespace celeryswitch::Core {

namespace {

// Joins fields with a length prefix so that different fields never give the same text.
std::string joinFields(std::initializer_list<const std::string*> fields)
{
    std::string text;
    for (const std::string* field : fields)
        text += std::to_string(field->size()) + ":" + *field;
    return text;
}

}

std::string toString(const JobId& jobId)
{
    char text[33];
    std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(jobId.high),
        static_cast<unsigned long long>(jobId.low));
    return text;
}

JobId makeJobId(const std::string& team, const std::string& caller, const std::string& idempotencyKey)
{
    const std::string text = joinFields({ &team, &caller, &idempotencyKey });
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return { hash.high64, hash.low64 };
}

PartitionId partitionOf(const std::string& team, const std::string& caller)
{
    const std::string text = joinFields({ &team, &caller });
    return static_cast<PartitionId>(XXH3_64bits(text.data(), text.size()) % partitionCount);
}

}
