#pragma once

#include "celeryswitch/Storage/FileSystem.h"
#include <map>
#include <set>

namespace celeryswitch::Storage {

/// Files in memory that tell synced content from written content, with faults that tests choose.
class FaultyFileSystem final : public FileSystem {
public:
    /// A file: what a crash keeps, and what was written since.
    struct Content {
        std::string synced;
        std::string written;
    };

    Core::Result<void> createFolder(const std::string&) override { return Core::success(); }
    Core::Result<std::vector<std::string>> list(const std::string& folder) const override
    {
        std::vector<std::string> names;
        for (const auto& [path, content] : this->files) {
            if (path.starts_with(folder + "/"))
                names.push_back(path.substr(folder.size() + 1));
        }
        return names;
    }
    Core::Result<std::string> read(const std::string& path) const override
    {
        const auto found = this->files.find(path);
        if (found == this->files.end())
            return Core::Error(StorageError::NotFound, path);
        return found->second.written;
    }
    Core::Result<std::unique_ptr<AppendFile>> openAppend(const std::string& path) override
    {
        this->files[path];
        return std::unique_ptr<AppendFile>(std::make_unique<File>(*this, path));
    }
    Core::Result<void> truncate(const std::string& path, std::uint64_t size) override
    {
        this->files[path].written.resize(size);
        this->files[path].synced = this->files[path].written;
        return Core::success();
    }
    Core::Result<void> rename(const std::string& from, const std::string& to) override
    {
        this->files[to] = this->files[from];
        this->files.erase(from);
        return Core::success();
    }
    Core::Result<void> remove(const std::string& path) override
    {
        this->files.erase(path);
        return Core::success();
    }
    Core::Result<void> syncFolder(const std::string&) override { return Core::success(); }
    Core::Result<std::unique_ptr<FolderLock>> lock(const std::string& folder) override
    {
        if (!this->locked.insert(folder).second)
            return Core::Error(StorageError::Locked, folder);
        return std::unique_ptr<FolderLock>(std::make_unique<Lock>(*this, folder));
    }

    /// Loses what was not synced, but for the first `keptBytes` of each file's unsynced tail.
    void crash(std::size_t keptBytes)
    {
        for (auto& [path, content] : this->files) {
            content.written.resize(std::min(content.written.size(), content.synced.size() + keptBytes));
            content.synced = content.written;
        }
    }

    std::map<std::string, Content> files;
    /// Bytes that may still be written before the disk is full.
    std::size_t freeBytes = SIZE_MAX;
    bool isSyncFailing = false;
    std::size_t syncCount = 0;

private:
    /// An open file.
    class File final : public AppendFile {
    public:
        File(FaultyFileSystem& owner, std::string path)
            : owner(owner)
            , path(std::move(path))
        {
        }
        Core::Result<void> append(std::string_view bytes) override
        {
            const std::size_t fitting = std::min(bytes.size(), this->owner.freeBytes);
            this->owner.freeBytes -= fitting;
            this->owner.files[this->path].written += bytes.substr(0, fitting);
            if (fitting < bytes.size())
                return Core::Error(StorageError::DiskFull, this->path);
            return Core::success();
        }
        Core::Result<void> sync() override
        {
            ++this->owner.syncCount;
            if (this->owner.isSyncFailing)
                return Core::Error(StorageError::SyncFailed, this->path);
            this->owner.files[this->path].synced = this->owner.files[this->path].written;
            return Core::success();
        }

    private:
        FaultyFileSystem& owner;
        std::string path;
    };

    /// A held lock.
    class Lock final : public FolderLock {
    public:
        Lock(FaultyFileSystem& owner, std::string folder)
            : owner(owner)
            , folder(std::move(folder))
        {
        }
        ~Lock() override { this->owner.locked.erase(this->folder); }
        Lock(const Lock&) = delete;
        Lock& operator=(const Lock&) = delete;

    private:
        FaultyFileSystem& owner;
        std::string folder;
    };

    std::set<std::string> locked;
};

}
