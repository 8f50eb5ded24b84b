#include "celeryswitch/Storage/RecordLog.h"
#include "UnitTests/Storage/FaultyFileSystem.h"
#include "celeryswitch/Storage/SnapshotFile.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Storage::FaultyFileSystem;
using Storage::RecordLog;
using Storage::StorageError;

namespace {

const std::string segment = "d/log-000000000001.seg";

// Opens the log and collects its records.
Core::Result<RecordLog> open(FaultyFileSystem& files, std::vector<std::string>& records)
{
    records.clear();
    return RecordLog::open(files, "d", [&](std::string_view record) { records.emplace_back(record); });
}

// Writes two batches of records.
void fill(FaultyFileSystem& files)
{
    std::vector<std::string> records;
    auto log = open(files, records);
    REQUIRE(log.value().append({ "one", "two" }));
    REQUIRE(log.value().append({ std::string(700, 'x') }));
}

}

// Guards against a crash in the middle of a write that makes the log unreadable, at every length of the torn part.
TEST_CASE("a torn last batch is dropped and writing goes on", "[Storage]")
{
    FaultyFileSystem whole;
    fill(whole);
    for (std::size_t kept = 0; kept < 100; ++kept) {
        FaultyFileSystem files = whole;
        std::vector<std::string> records;
        files.isSyncFailing = true;
        REQUIRE(open(files, records).value().append({ std::string(60, 'y') }).error().is(StorageError::SyncFailed));
        files.isSyncFailing = false;
        files.crash(kept);
        auto log = open(files, records);
        REQUIRE(log);
        const bool isWhole = kept >= 24 + 4 + 60;
        REQUIRE(records.size() == (isWhole ? 4u : 3u));
        REQUIRE(log.value().append({ "after" }));
        REQUIRE(open(files, records));
        REQUIRE(records.back() == "after");
    }
}

// Guards against a sector that a crash left as zeros being taken for damage, although its write was never confirmed.
TEST_CASE("a last batch with a missing sector is dropped", "[Storage]")
{
    FaultyFileSystem files;
    fill(files);
    std::string& content = files.files[segment].written;
    for (std::size_t position = 512; position < content.size(); ++position)
        content[position] = '\0';
    std::vector<std::string> records;
    auto log = open(files, records);
    REQUIRE(log);
    REQUIRE(records == std::vector<std::string> { "one", "two" });
    REQUIRE(log.value().droppedBytes() > 700);
}

// Guards against a flipped bit that goes unnoticed, or that drops confirmed records as if they were torn.
TEST_CASE("every flipped bit is reported as damage with file and offset", "[Storage]")
{
    FaultyFileSystem whole;
    fill(whole);
    const std::size_t size = whole.files[segment].written.size();
    std::vector<std::string> records;
    for (std::size_t bit = 8 * 8; bit < size * 8; bit += bit < 800 ? 1 : 37) {
        FaultyFileSystem files = whole;
        files.files[segment].written[bit / 8] ^= static_cast<char>(1 << (bit % 8));
        const auto log = open(files, records);
        INFO("bit " << bit);
        REQUIRE(!log);
        REQUIRE(log.error().is(StorageError::Damaged));
        REQUIRE(log.error().detail().find(segment + " at offset ") == 0);
    }
}

// Guards against a full disk that is reported as success.
TEST_CASE("a full disk fails the write", "[Storage]")
{
    FaultyFileSystem files;
    fill(files);
    std::vector<std::string> records;
    auto log = open(files, records);
    files.freeBytes = 10;
    REQUIRE(log.value().append({ "does not fit" }).error().is(StorageError::DiskFull));
    files.freeBytes = SIZE_MAX;
    REQUIRE(open(files, records));
    REQUIRE(records.size() == 3);
}

// Guards against old records that come back after a segment was replaced, and against a snapshot that is half written.
TEST_CASE("a new segment replaces the old one, and a damaged snapshot is noticed", "[Storage]")
{
    FaultyFileSystem files;
    fill(files);
    std::vector<std::string> records;
    {
        auto log = open(files, records);
        REQUIRE(log.value().restart({ "first" }));
        REQUIRE(log.value().append({ "second" }));
    }
    REQUIRE(open(files, records));
    REQUIRE(records == std::vector<std::string> { "first", "second" });
    REQUIRE(files.files.size() == 1);

    Storage::SnapshotFile snapshot(files, "d");
    REQUIRE(snapshot.read().error().is(StorageError::NotFound));
    REQUIRE(snapshot.write("content"));
    files.freeBytes = 5;
    REQUIRE(!snapshot.write("a new content that does not fit"));
    REQUIRE(snapshot.read().value() == "content");
    files.files["d/snapshot"].written.back() ^= 1;
    REQUIRE(snapshot.read().error().is(StorageError::Damaged));
}
