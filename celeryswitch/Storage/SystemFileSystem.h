#pragma once

#include "celeryswitch/Storage/FileSystem.h"

namespace celeryswitch::Storage {

/// The file system of the operating system.
class SystemFileSystem final : public FileSystem {
public:
    Core::Result<void> createFolder(const std::string& path) override;
    Core::Result<std::vector<std::string>> list(const std::string& folder) const override;
    Core::Result<std::string> read(const std::string& path) const override;
    Core::Result<std::unique_ptr<AppendFile>> openAppend(const std::string& path) override;
    Core::Result<void> truncate(const std::string& path, std::uint64_t size) override;
    Core::Result<void> rename(const std::string& from, const std::string& to) override;
    Core::Result<void> remove(const std::string& path) override;
    Core::Result<void> syncFolder(const std::string& path) override;
    Core::Result<std::unique_ptr<FolderLock>> lock(const std::string& folder) override;
};

}
