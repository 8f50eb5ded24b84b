#pragma once

#include "celeryswitch/Storage/FileSystem.h"
#include <functional>

namespace celeryswitch::Storage {

/// Append-only log of records in one folder. Records are written in batches; a batch is one frame with an xxh3 checksum
/// and is synced before the next one is written, so only the last frame can be torn. The log lives in one segment file;
/// `restart` begins a new segment whose first batch replaces everything before it.
class RecordLog {
public:
    /// Opens the newest segment of a folder, or creates the first, and gives each record to `onRecord`. A torn last
    /// frame is cut off. Errors: Damaged with file and offset, UnknownVersion, and those of the file system.
    static Core::Result<RecordLog> open(
        FileSystem& files, const std::string& folder, const std::function<void(std::string_view)>& onRecord);

    /// Appends records as one batch and makes them durable. After an error the log must not be used any more.
    Core::Result<void> append(const std::vector<std::string>& records);
    /// Begins a new segment with these records and removes the older segments.
    Core::Result<void> restart(const std::vector<std::string>& records);
    /// Bytes of a torn last frame that `open` dropped.
    std::uint64_t droppedBytes() const { return this->dropped; }
    /// Bytes in the current segment.
    std::uint64_t segmentBytes() const { return this->size; }

private:
    RecordLog(FileSystem& files, std::string folder)
        : files(&files)
        , folder(std::move(folder))
    {
    }
    // Reads the current segment.
    Core::Result<void> readSegment(const std::function<void(std::string_view)>& onRecord);

    FileSystem* files;
    std::string folder;
    std::uint64_t segment = 0;
    std::uint64_t size = 0;
    std::uint64_t dropped = 0;
    std::unique_ptr<AppendFile> file;
};

}
