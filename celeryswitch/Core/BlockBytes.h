#pragma once

#include <cstddef>

namespace celeryswitch::Core {

/// Memory that a heap block of `bytes` takes, with what the allocator adds: a header, and whole pages for large blocks.
constexpr std::size_t blockBytes(std::size_t bytes)
{
    constexpr std::size_t headerBytes = 16;
    constexpr std::size_t pageBytes = 4096;
    constexpr std::size_t largeBlockBytes = 64 * 1024;
    if (bytes == 0)
        return 0;
    const std::size_t whole = bytes + headerBytes;
    return whole < largeBlockBytes ? whole : (whole + pageBytes - 1) / pageBytes * pageBytes;
}

}
