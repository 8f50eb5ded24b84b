#include "celeryswitch/Core/BoundedJson.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Core/BlockBytes.h"
#include <boost/json/parser.hpp>
#include <new>

namespace celeryswitch::Core {

namespace json = boost::json;

namespace {

// Upper bound of what one byte of a text takes as values.
constexpr std::size_t valueBytesPerByte = 100;
// Place for the parser's own stack, so that ordinary texts need no block for it.
constexpr std::size_t stackBytes = 1024;

/// Heap memory up to a limit. Values share it, so that it lives as long as they do.
class LimitedMemory final : public json::memory_resource {
public:
    explicit LimitedMemory(std::size_t limitBytes)
        : limit(limitBytes)
    {
    }

private:
    void* do_allocate(std::size_t bytes, std::size_t alignment) override
    {
        CELERY_ASSERT(alignment <= __STDCPP_DEFAULT_NEW_ALIGNMENT__);
        const std::size_t block = blockBytes(bytes);
        // The library's interface knows no other way to refuse.
        if (block > this->limit - this->held)
            throw std::bad_alloc();
        this->held += block;
        return ::operator new(bytes);
    }
    void do_deallocate(void* block, std::size_t bytes, std::size_t) override
    {
        this->held -= blockBytes(bytes);
        ::operator delete(block);
    }
    bool do_is_equal(const json::memory_resource& other) const noexcept override { return this == &other; }

    std::size_t limit;
    std::size_t held = 0;
};

}

Result<json::value> parseJson(std::string_view text, std::size_t valueBytesLimit)
{
    // Short texts can't reach the limit and are not counted.
    const json::storage_ptr memory = text.size() < valueBytesLimit / valueBytesPerByte
        ? json::storage_ptr()
        : json::make_shared_resource<LimitedMemory>(valueBytesLimit);
    unsigned char stack[stackBytes];
    boost::system::error_code error;
    try {
        json::parser parser(memory, {}, stack, sizeof stack);
        parser.reset(memory);
        parser.write(json::string_view(text.data(), text.size()), error);
        if (!error)
            return parser.release();
    } catch (const std::bad_alloc&) {
        return Error(JsonError::TooLarge, "its values take more than " + std::to_string(valueBytesLimit) + " bytes");
    }
    return Error(JsonError::Malformed, error.message());
}

}
