#include "celeryswitch/Storage/SystemFileSystem.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace celeryswitch::Storage {

using Core::Error;
using Core::Result;

namespace {

// Error for the failed system call that set errno.
Error systemError(const std::string& operation, const std::string& path)
{
    const int number = errno;
    const StorageError code = number == ENOENT ? StorageError::NotFound
        : number == ENOSPC || number == EDQUOT ? StorageError::DiskFull
                                               : StorageError::Failed;
    return Error(code, operation + " " + path + ": " + std::strerror(number));
}

/// A file descriptor that is closed at the end.
class Descriptor {
public:
    explicit Descriptor(int number)
        : number(number)
    {
    }
    ~Descriptor()
    {
        if (this->number >= 0)
            ::close(this->number);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    const int number;
};

/// An open file of the operating system.
class SystemFile final : public AppendFile {
public:
    SystemFile(int number, std::string path)
        : descriptor(number)
        , path(std::move(path))
    {
    }
    Result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(this->descriptor.number, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return systemError("write", this->path);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return Core::success();
    }
    Result<void> sync() override
    {
        if (::fdatasync(this->descriptor.number) != 0)
            return Error(StorageError::SyncFailed, "sync " + this->path + ": " + std::strerror(errno));
        return Core::success();
    }

private:
    Descriptor descriptor;
    std::string path;
};

/// A lock file held with flock.
class SystemLock final : public FolderLock {
public:
    explicit SystemLock(int number)
        : descriptor(number)
    {
    }

private:
    Descriptor descriptor;
};

}

Result<void> SystemFileSystem::createFolder(const std::string& path)
{
    std::error_code error;
    const std::filesystem::path absolute = std::filesystem::absolute(path, error);
    std::vector<std::string> parents;
    for (std::filesystem::path part = absolute;
         !error && !std::filesystem::exists(part, error) && part.has_relative_path(); part = part.parent_path())
        parents.push_back(part.parent_path().string());
    std::filesystem::create_directories(path, error);
    if (error)
        return Error(StorageError::Failed, "create folder " + path + ": " + error.message());
    // A folder that its parent forgets in a power loss takes its files with it.
    for (const std::string& parent : parents) {
        BOOST_OUTCOME_TRY(this->syncFolder(parent));
    }
    return Core::success();
}

Result<std::vector<std::string>> SystemFileSystem::list(const std::string& folder) const
{
    std::error_code error;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator position(folder, error), end; !error && position != end;
         position.increment(error))
        names.push_back(position->path().filename().string());
    if (error)
        return Error(StorageError::Failed, "list " + folder + ": " + error.message());
    std::sort(names.begin(), names.end());
    return names;
}

Result<std::string> SystemFileSystem::read(const std::string& path) const
{
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.number < 0)
        return systemError("open", path);
    std::string content;
    std::string buffer(1 << 16, '\0');
    for (;;) {
        const ssize_t count = ::read(file.number, buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("read", path);
        if (count == 0)
            return content;
        content.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

Result<std::unique_ptr<AppendFile>> SystemFileSystem::openAppend(const std::string& path)
{
    const int number = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (number < 0)
        return systemError("open", path);
    return std::make_unique<SystemFile>(number, path);
}

Result<void> SystemFileSystem::truncate(const std::string& path, std::uint64_t size)
{
    const Descriptor file(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
    if (file.number < 0)
        return systemError("open", path);
    if (::ftruncate(file.number, static_cast<off_t>(size)) != 0)
        return systemError("truncate", path);
    if (::fdatasync(file.number) != 0)
        return Error(StorageError::SyncFailed, "sync " + path + ": " + std::strerror(errno));
    return Core::success();
}

Result<void> SystemFileSystem::rename(const std::string& from, const std::string& to)
{
    if (::rename(from.c_str(), to.c_str()) != 0)
        return systemError("rename", from);
    return Core::success();
}

Result<void> SystemFileSystem::remove(const std::string& path)
{
    if (::unlink(path.c_str()) != 0 && errno != ENOENT)
        return systemError("remove", path);
    return Core::success();
}

Result<void> SystemFileSystem::syncFolder(const std::string& path)
{
    const Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.number < 0)
        return systemError("open", path);
    if (::fsync(folder.number) != 0)
        return Error(StorageError::SyncFailed, "sync " + path + ": " + std::strerror(errno));
    return Core::success();
}

Result<std::unique_ptr<FolderLock>> SystemFileSystem::lock(const std::string& folder)
{
    const std::string path = folder + "/lock";
    const int number = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
    if (number < 0)
        return systemError("open", path);
    auto held = std::make_unique<SystemLock>(number);
    if (::flock(number, LOCK_EX | LOCK_NB) != 0)
        return Error(StorageError::Locked, "data folder " + folder + " is used by another process");
    return std::unique_ptr<FolderLock>(std::move(held));
}

}
