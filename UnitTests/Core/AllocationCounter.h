#pragma once

#include <cstddef>

namespace celeryswitch {

/// Bytes that this thread has allocated by `new` and that are not freed yet, with what the allocator adds to each
/// block. Blocks that another thread frees are not taken off.
std::size_t allocatedBytes();

}
