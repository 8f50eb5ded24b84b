#pragma once

#include "celeryswitch/Messages/ConsensusMessages.h"
#include "celeryswitch/Storage/FileSystem.h"
#include <functional>
#include <optional>

namespace celeryswitch::Storage {

/// Identity and group of a replica that belongs to the first group by its settings.
struct FirstStart {
    Messages::ReplicaId replicaId;
    Messages::ReplicaGroup group;
};

/// A state replica's data folder: its lock, its identity and the group that it was formed with.
class DataFolder {
public:
    /// Opens a folder and takes its lock. A folder without identity gets a new one, durable on return: `name`, a hyphen
    /// and what `randomSuffix` returns, or identity and group of `firstStart` if it is set. Errors: Locked, Damaged
    /// when there is data but no identity, and those of the file system.
    static Core::Result<DataFolder> open(FileSystem& files, const std::string& path, const std::string& name,
        const std::function<std::string()>& randomSuffix, const std::optional<FirstStart>& firstStart = std::nullopt);
    /// 16 hexadecimal digits from the system's source of random numbers.
    static std::string systemRandomSuffix();

    /// Identity of the replica; never the same after a lost disk.
    const Messages::ReplicaId& replicaId() const { return this->id; }
    /// Whether the replica was formed into a group, or joined one.
    bool isFormed() const { return this->hasGroup; }
    /// Group that the replica was formed with; empty when it joined an existing one.
    const Messages::ReplicaGroup& initialGroup() const { return this->group; }
    /// Records the first group; durable on return.
    Core::Result<void> form(const Messages::ReplicaGroup& initialGroup);
    /// Path of the folder.
    const std::string& path() const { return this->folder; }

private:
    DataFolder(FileSystem& files, std::string path)
        : files(&files)
        , folder(std::move(path))
    {
    }
    // Reads the identity file.
    Core::Result<void> load(const std::string& text);
    Core::Result<void> save();

    FileSystem* files;
    std::string folder;
    std::unique_ptr<FolderLock> lock;
    Messages::ReplicaId id;
    bool hasGroup = false;
    Messages::ReplicaGroup group;
};

}
