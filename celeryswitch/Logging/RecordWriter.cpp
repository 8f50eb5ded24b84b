#include "celeryswitch/Logging/RecordWriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace celeryswitch::Logging {

namespace {

// A pipe that is ready takes this much without blocking: PIPE_BUF of POSIX on Linux.
constexpr std::size_t atomicBytes = 4096;

}

RecordWriter::RecordWriter(int descriptor, std::size_t capacity)
    : descriptor(descriptor)
    , capacity(capacity)
{
}

void RecordWriter::add(const std::string& record)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::string told = this->untoldDrops > 0
        ? "level=warning message=\"log records dropped\" count=" + std::to_string(this->untoldDrops) + "\n"
        : std::string();
    if (this->buffer.size() - this->begin + told.size() + record.size() + 1 > this->capacity) {
        ++this->droppedCount;
        ++this->untoldDrops;
        return;
    }
    this->untoldDrops = 0;
    this->buffer += told;
    this->buffer += record;
    this->buffer += '\n';
}

bool RecordWriter::flush()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    while (this->begin < this->buffer.size()) {
        pollfd ready { this->descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return false;
        const std::size_t length = std::min(this->buffer.size() - this->begin, atomicBytes);
        const ssize_t written = ::write(this->descriptor, this->buffer.data() + this->begin, length);
        if (written <= 0)
            return false;
        this->begin += static_cast<std::size_t>(written);
        if (this->begin >= this->capacity) {
            this->buffer.erase(0, this->begin);
            this->begin = 0;
        }
    }
    this->buffer.clear();
    this->begin = 0;
    return true;
}

std::uint64_t RecordWriter::dropped() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->droppedCount;
}

bool RecordWriter::isPending() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->begin < this->buffer.size();
}

}
