#include "celeryswitch/Storage/RecordLog.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstring>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Storage {

using Core::Error;
using Core::Result;

namespace {

// First bytes of each segment; the last one is the version of the format.
constexpr std::string_view segmentMagic("CSWLOG\0\1", 8);
// Bytes that a disk writes as a whole; a torn write leaves some of them as zeros at the end of the file.
constexpr std::uint64_t sectorBytes = 512;

/// Head of a frame, followed by `payloadBytes` bytes.
struct FrameHead {
    std::uint64_t payloadBytes = 0;
    /// xxh3 of the payload, seeded with the frame's offset, so that a frame in the wrong place is noticed.
    std::uint64_t checksum = 0;
    /// xxh3 of the two fields above, seeded in the same way; tells a damaged length from a frame that was cut off.
    std::uint64_t headChecksum = 0;
};

// Checksum of a head's own fields.
std::uint64_t headChecksum(const FrameHead& head, std::uint64_t offset)
{
    return XXH3_64bits_withSeed(&head, offsetof(FrameHead, headChecksum), offset);
}

std::string segmentName(std::uint64_t segment)
{
    const std::string digits = std::to_string(segment);
    return "log-" + std::string(digits.size() < 12 ? 12 - digits.size() : 0, '0') + digits + ".seg";
}

// Number of a segment file, or 0 for another file.
std::uint64_t segmentNumber(std::string_view name)
{
    std::uint64_t number = 0;
    if (name.size() != 20 || !name.starts_with("log-") || !name.ends_with(".seg"))
        return 0;
    const char* last = name.data() + 16;
    return std::from_chars(name.data() + 4, last, number).ptr == last ? number : 0;
}

// A frame with records, for the offset where it will stand.
std::string encodeFrame(const std::vector<std::string>& records, std::uint64_t offset)
{
    std::string payload;
    for (const std::string& record : records) {
        const std::uint32_t length = static_cast<std::uint32_t>(record.size());
        payload.append(reinterpret_cast<const char*>(&length), sizeof(length));
        payload += record;
    }
    FrameHead head { payload.size(), XXH3_64bits_withSeed(payload.data(), payload.size(), offset), 0 };
    head.headChecksum = headChecksum(head, offset);
    return std::string(reinterpret_cast<const char*>(&head), sizeof(head)) + payload;
}

// Whether the bytes of some sector between two offsets are all zeros, as after a write that a crash cut off. Fewer than
// eight bytes don't count, because intact data has such runs.
bool hasZeroSector(std::string_view content, std::uint64_t begin, std::uint64_t end)
{
    for (std::uint64_t from = begin; from < end;) {
        const std::uint64_t to = std::min((from / sectorBytes + 1) * sectorBytes, end);
        const std::string_view part = content.substr(from, to - from);
        if (part.size() >= 8 && part.find_first_not_of('\0') == std::string_view::npos)
            return true;
        from = to;
    }
    return false;
}

/// What stands at an offset of a segment.
struct FoundFrame {
    enum class Kind { Intact, Torn, Damaged } kind = Kind::Damaged;
    std::string_view payload;
};

// Reads the frame at `offset`. Only the last frame can be torn, because each is synced before the next is written.
FoundFrame readFrame(std::string_view content, std::uint64_t offset)
{
    FrameHead head;
    if (content.size() - offset < sizeof(head))
        return { FoundFrame::Kind::Torn, {} };
    std::memcpy(&head, content.data() + offset, sizeof(head));
    const std::uint64_t payloadOffset = offset + sizeof(head);
    if (head.headChecksum != headChecksum(head, offset))
        return { hasZeroSector(content, offset, payloadOffset) ? FoundFrame::Kind::Torn : FoundFrame::Kind::Damaged,
            {} };
    const std::uint64_t available = content.size() - payloadOffset;
    if (head.payloadBytes > available)
        return { FoundFrame::Kind::Torn, {} };
    const std::string_view payload = content.substr(payloadOffset, head.payloadBytes);
    if (XXH3_64bits_withSeed(payload.data(), payload.size(), offset) == head.checksum)
        return { FoundFrame::Kind::Intact, payload };
    const bool isTorn = head.payloadBytes == available && hasZeroSector(content, payloadOffset, content.size());
    return { isTorn ? FoundFrame::Kind::Torn : FoundFrame::Kind::Damaged, {} };
}

// Gives each record of a batch to a function; false when the batch is malformed.
bool readBatch(std::string_view payload, const std::function<void(std::string_view)>& onRecord)
{
    while (!payload.empty()) {
        std::uint32_t length = 0;
        if (payload.size() < sizeof(length))
            return false;
        std::memcpy(&length, payload.data(), sizeof(length));
        payload.remove_prefix(sizeof(length));
        if (length > payload.size())
            return false;
        onRecord(payload.substr(0, length));
        payload.remove_prefix(length);
    }
    return true;
}

}

Result<RecordLog> RecordLog::open(
    FileSystem& files, const std::string& folder, const std::function<void(std::string_view)>& onRecord)
{
    RecordLog log(files, folder);
    BOOST_OUTCOME_TRY(const auto names, files.list(folder));
    for (const std::string& name : names)
        log.segment = std::max(log.segment, segmentNumber(name));
    if (log.segment == 0) {
        BOOST_OUTCOME_TRY(log.restart({}));
        return log;
    }
    BOOST_OUTCOME_TRY(log.readSegment(onRecord));
    BOOST_OUTCOME_TRY(log.file, files.openAppend(folder + "/" + segmentName(log.segment)));
    return log;
}

Result<void> RecordLog::readSegment(const std::function<void(std::string_view)>& onRecord)
{
    const std::string path = this->folder + "/" + segmentName(this->segment);
    BOOST_OUTCOME_TRY(const std::string content, this->files->read(path));
    const auto damaged = [&](std::uint64_t offset, const char* what) {
        return Error(StorageError::Damaged, path + " at offset " + std::to_string(offset) + ": " + what);
    };
    // Segments appear by rename, complete with their first batch, so a short one was damaged.
    if (content.size() < segmentMagic.size() || content.substr(0, 6) != segmentMagic.substr(0, 6))
        return damaged(0, "not a log segment");
    if (content.substr(0, segmentMagic.size()) != segmentMagic)
        return Error(StorageError::UnknownVersion, path);
    std::uint64_t offset = segmentMagic.size();
    while (offset < content.size()) {
        const FoundFrame frame = readFrame(content, offset);
        if (frame.kind == FoundFrame::Kind::Damaged)
            return damaged(offset, "checksum mismatch");
        if (frame.kind == FoundFrame::Kind::Torn) {
            this->dropped = content.size() - offset;
            BOOST_OUTCOME_TRY(this->files->truncate(path, offset));
            break;
        }
        if (!readBatch(frame.payload, onRecord))
            return damaged(offset, "malformed batch");
        offset += sizeof(FrameHead) + frame.payload.size();
    }
    this->size = offset;
    return Core::success();
}

Result<void> RecordLog::append(const std::vector<std::string>& records)
{
    const std::string frame = encodeFrame(records, this->size);
    BOOST_OUTCOME_TRY(this->file->append(frame));
    BOOST_OUTCOME_TRY(this->file->sync());
    this->size += frame.size();
    return Core::success();
}

Result<void> RecordLog::restart(const std::vector<std::string>& records)
{
    std::string content(segmentMagic);
    if (!records.empty())
        content += encodeFrame(records, content.size());
    this->file.reset();
    const std::string name = segmentName(++this->segment);
    BOOST_OUTCOME_TRY(replaceFile(*this->files, this->folder, name, content));
    this->size = content.size();
    BOOST_OUTCOME_TRY(const auto names, this->files->list(this->folder));
    for (const std::string& old : names) {
        const std::uint64_t number = segmentNumber(old);
        if (number != 0 && number < this->segment) {
            BOOST_OUTCOME_TRY(this->files->remove(this->folder + "/" + old));
        }
    }
    BOOST_OUTCOME_TRY(this->file, this->files->openAppend(this->folder + "/" + name));
    return Core::success();
}

}
