#include "celeryswitch/Storage/DataFolder.h"
#include "UnitTests/Storage/FaultyFileSystem.h"
#include "celeryswitch/Consensus/ReplicaStore.h"
#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/Storage/SystemFileSystem.h"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>

using namespace celeryswitch;
using Storage::DataFolder;
using Storage::FaultyFileSystem;
using Storage::StorageError;

// Guards against two processes on one folder, and against a replica that votes under its old identity without its data.
TEST_CASE("a data folder has one user and one identity", "[Storage]")
{
    FaultyFileSystem files;
    {
        auto folder = DataFolder::open(files, "d", "state-0", [] { return "1"; });
        REQUIRE(folder.value().replicaId() == "state-0-1");
        REQUIRE(DataFolder::open(files, "d", "state-0", [] { return "2"; }).error().is(StorageError::Locked));
        REQUIRE(folder.value().form({ { { "state-0-1", "a" }, { "state-1-9", "b" } }, {} }));
    }
    {
        auto folder = DataFolder::open(files, "d", "state-0", [] { return "2"; });
        REQUIRE(folder.value().replicaId() == "state-0-1");
        REQUIRE(folder.value().isFormed());
        REQUIRE(folder.value().initialGroup().hasVoter("state-1-9"));
    }
    files.files["d/log-000000000001.seg"];
    files.files.erase("d/identity.json");
    REQUIRE(DataFolder::open(files, "d", "state-0", [] { return "3"; }).error().is(StorageError::Damaged));
}

// Guards against a replica of the first group that is killed early and forgets that it belongs to it, and against one
// that lost its disk and takes the identity of the first start again.
TEST_CASE("identity and group of the first start are durable from the beginning", "[Storage]")
{
    const Storage::FirstStart firstStart { "a-first", { { { "a-first", "a" }, { "b-first", "b" } }, {} } };
    FaultyFileSystem files;
    {
        auto folder = DataFolder::open(
            files, "d", "a", [] { return "1"; }, firstStart);
        REQUIRE(folder.value().replicaId() == "a-first");
    }
    files.crash(0);
    {
        // Later starts have no mark; one that has it nevertheless keeps what the disk holds.
        for (const std::optional<Storage::FirstStart>& mark :
            { std::optional<Storage::FirstStart>(), std::optional(Storage::FirstStart { "other", {} }) }) {
            auto folder = DataFolder::open(
                files, "d", "a", [] { return "1"; }, mark);
            REQUIRE(folder.value().replicaId() == "a-first");
            REQUIRE(folder.value().isFormed());
            REQUIRE(folder.value().initialGroup().hasVoter("b-first"));
        }
    }
    files.files.clear();
    auto folder = DataFolder::open(files, "d", "a", [] { return "1"; });
    REQUIRE(folder.value().replicaId() == "a-1");
    REQUIRE_FALSE(folder.value().isFormed());
}

// Guards against a crash between the snapshot and the new log segment that mixes old entries with the new snapshot.
TEST_CASE("a stored log survives a crash at any point of a snapshot", "[Storage][Consensus]")
{
    using namespace Consensus;
    const auto entry = [](LogIndex index, Term term) {
        return LogEntry { index, term, Messages::EntryKind::Command, "e" + std::to_string(index) };
    };
    for (Term snapshotTerm : { Term(1), Term(2) }) {
        FaultyFileSystem files;
        RecoveredState recovered;
        auto store = ReplicaStore::open(files, "d", recovered);
        REQUIRE(
            store.value().apply({ SaveTerm { 2, "a" }, SaveEntries { { entry(1, 1), entry(2, 1), entry(3, 1) } } }));
        const std::size_t syncs = files.syncCount;
        REQUIRE(store.value().apply({ TruncateEntries { 3 }, SaveEntries { { entry(3, 1) } } }));
        REQUIRE(files.syncCount == syncs + 1);
        Snapshot snapshot;
        snapshot.lastIndex = 2;
        snapshot.lastTerm = snapshotTerm;
        REQUIRE(Storage::SnapshotFile(files, "d").write(Network::encodeMessage(snapshot)));
        RecoveredState again;
        REQUIRE(ReplicaStore::open(files, "d", again));
        REQUIRE(again.term == 2);
        REQUIRE(again.votedFor == "a");
        REQUIRE(again.snapshot->lastIndex == 2);
        // Entries after the snapshot count only when the log agrees with the snapshot's last entry.
        REQUIRE(again.entries.size() == (snapshotTerm == 1 ? 1u : 0u));
    }
}

// Guards against a real file system that behaves unlike the fake one.
TEST_CASE("the system's files are appended, replaced and locked", "[Storage]")
{
    char pattern[] = "/tmp/celeryswitch-files-XXXXXX";
    const std::string folder = ::mkdtemp(pattern);
    Storage::SystemFileSystem files;
    {
        auto lock = files.lock(folder);
        REQUIRE(lock);
        REQUIRE(files.lock(folder).error().is(StorageError::Locked));
    }
    REQUIRE(files.lock(folder));
    auto file = files.openAppend(folder + "/f");
    REQUIRE(file.value()->append("abc"));
    REQUIRE(file.value()->sync());
    REQUIRE(files.truncate(folder + "/f", 2));
    REQUIRE(file.value()->append("z"));
    REQUIRE(files.read(folder + "/f").value() == "abz");
    REQUIRE(Storage::replaceFile(files, folder, "f", "new"));
    REQUIRE(files.read(folder + "/f").value() == "new");
    REQUIRE(files.read(folder + "/missing").error().is(StorageError::NotFound));
    REQUIRE(files.list(folder).value() == std::vector<std::string> { "f", "lock" });
    std::filesystem::remove_all(folder);
}
