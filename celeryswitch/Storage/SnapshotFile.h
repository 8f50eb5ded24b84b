#pragma once

#include "celeryswitch/Storage/FileSystem.h"

namespace celeryswitch::Storage {

/// Snapshot of a state machine: one checksummed file, replaced as a whole.
class SnapshotFile {
public:
    /// The file "snapshot" of a folder.
    SnapshotFile(FileSystem& files, std::string folder);

    /// Replaces the snapshot; durable on return.
    Core::Result<void> write(std::string_view content);
    /// Content of the snapshot. Errors: NotFound before the first write, Damaged with file and offset, UnknownVersion.
    Core::Result<std::string> read() const;

private:
    FileSystem* files;
    std::string folder;
};

}
