// Replaces the global allocation functions of the test program by ones that count.
#include "UnitTests/Core/AllocationCounter.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

thread_local std::size_t bytes = 0;

void* allocate(std::size_t size, std::size_t alignment)
{
    void* const block = alignment > alignof(std::max_align_t)
        ? std::aligned_alloc(alignment, (size + alignment - 1) / alignment * alignment)
        : std::malloc(size > 0 ? size : 1);
    if (!block)
        throw std::bad_alloc();
    bytes += ::malloc_usable_size(block);
    return block;
}

void release(void* block)
{
    if (block)
        bytes -= ::malloc_usable_size(block);
    std::free(block);
}

}

void* operator new(std::size_t size) { return allocate(size, 0); }
void* operator new(std::size_t size, std::align_val_t alignment)
{
    return allocate(size, static_cast<std::size_t>(alignment));
}
void operator delete(void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete(void* block, std::align_val_t) noexcept { release(block); }
void operator delete(void* block, std::size_t, std::align_val_t) noexcept { release(block); }

namespace celeryswitch {

std::size_t allocatedBytes() { return bytes; }

}
