// Replaces the global allocation functions of the test program by ones that count. All forms are replaced: the
// sanitizers refuse a block that one library allocates and another one releases.
#include "UnitTests/Core/AllocationCounter.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

thread_local std::size_t bytes = 0;

void* tryAllocate(std::size_t size, std::align_val_t alignment) noexcept
{
    const auto boundary = static_cast<std::size_t>(alignment);
    void* const block = boundary > alignof(std::max_align_t)
        ? std::aligned_alloc(boundary, (size + boundary - 1) / boundary * boundary)
        : std::malloc(size > 0 ? size : 1);
    bytes += block ? ::malloc_usable_size(block) : 0;
    return block;
}

void* allocate(std::size_t size, std::align_val_t alignment)
{
    void* const block = tryAllocate(size, alignment);
    if (!block)
        throw std::bad_alloc();
    return block;
}

void release(void* block) noexcept
{
    if (block)
        bytes -= ::malloc_usable_size(block);
    std::free(block);
}

constexpr std::align_val_t ordinary { alignof(std::max_align_t) };

}

using Alignment = std::align_val_t;
using NoThrow = std::nothrow_t;

void* operator new(std::size_t size) { return allocate(size, ordinary); }
void* operator new[](std::size_t size) { return allocate(size, ordinary); }
void* operator new(std::size_t size, Alignment alignment) { return allocate(size, alignment); }
void* operator new[](std::size_t size, Alignment alignment) { return allocate(size, alignment); }
void* operator new(std::size_t size, const NoThrow&) noexcept { return tryAllocate(size, ordinary); }
void* operator new[](std::size_t size, const NoThrow&) noexcept { return tryAllocate(size, ordinary); }
void* operator new(std::size_t size, Alignment alignment, const NoThrow&) noexcept
{
    return tryAllocate(size, alignment);
}
void* operator new[](std::size_t size, Alignment alignment, const NoThrow&) noexcept
{
    return tryAllocate(size, alignment);
}
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }
void operator delete(void* block, Alignment) noexcept { release(block); }
void operator delete[](void* block, Alignment) noexcept { release(block); }
void operator delete(void* block, std::size_t, Alignment) noexcept { release(block); }
void operator delete[](void* block, std::size_t, Alignment) noexcept { release(block); }
void operator delete(void* block, const NoThrow&) noexcept { release(block); }
void operator delete[](void* block, const NoThrow&) noexcept { release(block); }
void operator delete(void* block, Alignment, const NoThrow&) noexcept { release(block); }
void operator delete[](void* block, Alignment, const NoThrow&) noexcept { release(block); }

namespace celeryswitch {

std::size_t allocatedBytes() { return bytes; }

}
