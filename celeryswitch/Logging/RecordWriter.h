#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace celeryswitch::Logging {

/// Writes records to a file descriptor without ever waiting for its reader: they are kept in a bounded buffer until the
/// descriptor takes them, and dropped and counted while the buffer is full. Safe to call from any thread.
class RecordWriter {
public:
    /// `descriptor` stays open for the writer's life; `capacity` is the size of the buffer in bytes.
    explicit RecordWriter(int descriptor, std::size_t capacity = 256 * 1024);
    /// Writes what the descriptor still takes.
    ~RecordWriter() { this->flush(); }
    RecordWriter(const RecordWriter&) = delete;
    RecordWriter& operator=(const RecordWriter&) = delete;

    /// Takes a record without its line end, or drops it.
    void add(const std::string& record);
    /// Writes as much as the descriptor takes now. Returns whether nothing is left.
    bool flush();
    /// Records dropped so far.
    std::uint64_t dropped() const;
    /// Whether records wait to be written.
    bool isPending() const;

private:
    int descriptor;
    std::size_t capacity;
    mutable std::mutex mutex;
    /// Bytes that are not written yet, from `begin` on.
    std::string buffer;
    std::size_t begin = 0;
    std::uint64_t droppedCount = 0;
    /// Drops that no record in the buffer has told of.
    std::uint64_t untoldDrops = 0;
};

}
