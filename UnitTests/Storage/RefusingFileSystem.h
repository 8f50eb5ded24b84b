#pragma once

#include "celeryswitch/Storage/SystemFileSystem.h"
#include <atomic>

namespace celeryswitch::Storage {

/// Real files on a disk that a test can let refuse writes for a while; the switch may be set from any thread.
class RefusingFileSystem final : public FileSystem {
public:
    Core::Result<void> createFolder(const std::string& path) override { return this->files.createFolder(path); }
    Core::Result<std::vector<std::string>> list(const std::string& folder) const override
    {
        return this->files.list(folder);
    }
    Core::Result<std::string> read(const std::string& path) const override { return this->files.read(path); }
    Core::Result<std::unique_ptr<AppendFile>> openAppend(const std::string& path) override
    {
        BOOST_OUTCOME_TRY(std::unique_ptr<AppendFile> opened, this->files.openAppend(path));
        return std::unique_ptr<AppendFile>(std::make_unique<File>(std::move(opened), this->isRefusing));
    }
    Core::Result<void> truncate(const std::string& path, std::uint64_t size) override
    {
        return this->files.truncate(path, size);
    }
    Core::Result<void> rename(const std::string& from, const std::string& to) override
    {
        return this->files.rename(from, to);
    }
    Core::Result<void> remove(const std::string& path) override { return this->files.remove(path); }
    Core::Result<void> syncFolder(const std::string& path) override { return this->files.syncFolder(path); }
    Core::Result<std::unique_ptr<FolderLock>> lock(const std::string& folder) override
    {
        return this->files.lock(folder);
    }

    std::atomic<bool> isRefusing { false };

private:
    /// An open file.
    class File final : public AppendFile {
    public:
        File(std::unique_ptr<AppendFile> file, const std::atomic<bool>& isRefusing)
            : file(std::move(file))
            , isRefusing(isRefusing)
        {
        }
        Core::Result<void> append(std::string_view bytes) override
        {
            if (!this->isRefusing)
                return this->file->append(bytes);
            // A full disk takes a part of the last write.
            BOOST_OUTCOME_TRY(this->file->append(bytes.substr(0, bytes.size() / 2)));
            return Core::Error(StorageError::DiskFull, "refused by the test");
        }
        Core::Result<void> sync() override { return this->file->sync(); }

    private:
        std::unique_ptr<AppendFile> file;
        const std::atomic<bool>& isRefusing;
    };

    SystemFileSystem files;
};

}
