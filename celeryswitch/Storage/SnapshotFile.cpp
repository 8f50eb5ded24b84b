#include "celeryswitch/Storage/SnapshotFile.h"

#include <cstring>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Storage {

using Core::Error;

namespace {

// First bytes of the file; the last one is the version of the format.
constexpr std::string_view snapshotMagic("CSWSNP\0\1", 8);
constexpr const char* fileName = "snapshot";

}

SnapshotFile::SnapshotFile(FileSystem& files, std::string folder)
    : files(&files)
    , folder(std::move(folder))
{
}

Core::Result<void> SnapshotFile::write(std::string_view content)
{
    const std::uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string bytes(snapshotMagic);
    bytes.append(reinterpret_cast<const char*>(&checksum), sizeof(checksum));
    bytes += content;
    return replaceFile(*this->files, this->folder, fileName, bytes);
}

Core::Result<std::string> SnapshotFile::read() const
{
    const std::string path = this->folder + "/" + fileName;
    BOOST_OUTCOME_TRY(std::string bytes, this->files->read(path));
    std::uint64_t checksum = 0;
    const std::size_t headBytes = snapshotMagic.size() + sizeof(checksum);
    if (bytes.size() < headBytes || bytes.substr(0, 6) != snapshotMagic.substr(0, 6))
        return Error(StorageError::Damaged, path + " at offset 0: not a snapshot");
    if (bytes.substr(0, snapshotMagic.size()) != snapshotMagic)
        return Error(StorageError::UnknownVersion, path);
    std::memcpy(&checksum, bytes.data() + snapshotMagic.size(), sizeof(checksum));
    bytes.erase(0, headBytes);
    if (XXH3_64bits(bytes.data(), bytes.size()) != checksum)
        return Error(StorageError::Damaged, path + " at offset " + std::to_string(headBytes) + ": checksum mismatch");
    return bytes;
}

}
