#pragma once

#include "celeryswitch/Core/Result.h"
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Storage {

/// Why a file operation or stored data was refused. The detail names the file, and the offset where that helps.
enum class StorageError : std::uint8_t {
    NotFound,
    /// The operating system refused the operation.
    Failed,
    DiskFull,
    SyncFailed,
    /// Another process uses the data folder.
    Locked,
    /// Stored bytes are not what was written.
    Damaged,
    /// The stored format is of another version.
    UnknownVersion,
};

/// A file open for appending.
class AppendFile {
public:
    virtual ~AppendFile() = default;
    /// Appends bytes; after an error an unknown part of them may have been written.
    virtual Core::Result<void> append(std::string_view bytes) = 0;
    /// Makes all appended bytes durable.
    virtual Core::Result<void> sync() = 0;
};

/// Keeps other processes from using a data folder for as long as it exists.
class FolderLock {
public:
    virtual ~FolderLock() = default;
};

/// File operations, so that tests can inject faults. Paths are joined with '/'.
class FileSystem {
public:
    virtual ~FileSystem() = default;
    /// Creates a folder and those above it; an existing one is no error.
    virtual Core::Result<void> createFolder(const std::string& path) = 0;
    /// Names of the files in a folder, sorted.
    virtual Core::Result<std::vector<std::string>> list(const std::string& folder) const = 0;
    /// Whole content of a file.
    virtual Core::Result<std::string> read(const std::string& path) const = 0;
    /// Opens a file for appending; creates it when missing.
    virtual Core::Result<std::unique_ptr<AppendFile>> openAppend(const std::string& path) = 0;
    /// Cuts a file to `size` bytes and syncs it.
    virtual Core::Result<void> truncate(const std::string& path, std::uint64_t size) = 0;
    /// Renames a file over another; durable after syncFolder.
    virtual Core::Result<void> rename(const std::string& from, const std::string& to) = 0;
    /// Removes a file; a missing one is no error.
    virtual Core::Result<void> remove(const std::string& path) = 0;
    /// Makes names in a folder durable.
    virtual Core::Result<void> syncFolder(const std::string& path) = 0;
    /// Takes the lock file of a folder. Error: Locked.
    virtual Core::Result<std::unique_ptr<FolderLock>> lock(const std::string& folder) = 0;
};

/// Writes a whole file so that it is there with all its content or not at all.
Core::Result<void> replaceFile(
    FileSystem& files, const std::string& folder, const std::string& name, std::string_view content);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Storage::StorageError> {
    static constexpr std::string_view type = "StorageError";
    static constexpr std::array<std::pair<Storage::StorageError, std::string_view>, 7> names { {
        { Storage::StorageError::NotFound, "NotFound" },
        { Storage::StorageError::Failed, "Failed" },
        { Storage::StorageError::DiskFull, "DiskFull" },
        { Storage::StorageError::SyncFailed, "SyncFailed" },
        { Storage::StorageError::Locked, "Locked" },
        { Storage::StorageError::Damaged, "Damaged" },
        { Storage::StorageError::UnknownVersion, "UnknownVersion" },
    } };
};

}
