#include "celeryswitch/Ownership/PartitionRecovery.h"
#include "celeryswitch/Ownership/JobTable.h"
#include "celeryswitch/Ownership/PartitionLeases.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Ownership;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t takeover = 1'000'000;

Messages::Member sidecar(const std::string& name, Core::Incarnation incarnation)
{
    Messages::Member member;
    member.identity = { Messages::Role::Sidecar, name, incarnation };
    return member;
}

Messages::LeaseGrant grantOf(std::initializer_list<std::pair<Core::PartitionId, Core::Epoch>> partitions)
{
    Messages::LeaseGrant grant;
    grant.leaseMilliseconds = 3000;
    for (const auto& [partition, epoch] : partitions)
        grant.held[partition] = { "e", 1, epoch, 0 };
    return grant;
}

}

// Guards against running a submission that an earlier owner may have run at a sidecar that has not answered, or whose
// records were lost.
TEST_CASE("unknown keys are refused until every sidecar has answered", "[Ownership]")
{
    PartitionRecovery recovery(7, { "e", 1, 4, takeover });
    CHECK(recovery.isRefused(takeover));
    recovery.setMembers({ sidecar("a", 1), sidecar("b", 1) });
    Messages::PartitionRecords part { 7, 4, 1, true, {} };
    CHECK(recovery.addRecords("a", part));
    CHECK_FALSE(recovery.isWhole());
    CHECK(recovery.isRefused(takeover + 10'000));
    CHECK_FALSE(recovery.isRefused(takeover + 10'001));
    part.epoch = 3;
    CHECK_FALSE(recovery.addRecords("b", part));
    part.epoch = 4;
    CHECK(recovery.addRecords("b", part));
    CHECK_FALSE(recovery.isRefused(takeover));
    Messages::Member restarted = sidecar("b", 2);
    restarted.replacedIncarnations[3] = takeover - 50'000;
    recovery.setMembers({ sidecar("a", 1), restarted });
    CHECK_FALSE(recovery.isWhole());
    part.incarnation = 2;
    CHECK(recovery.addRecords("b", part));
    CHECK(recovery.isRefused(takeover - 40'000));
    CHECK_FALSE(recovery.isRefused(takeover - 39'999));
    CHECK_FALSE(PartitionRecovery(7, { "e", 1, 1, takeover }).isRefused(0));
}

// Guards against an owner that acts after its lease, or that drops a lease because of an answer older than the lease.
TEST_CASE("a lease counts from before its request", "[Ownership]")
{
    using Standing = PartitionLeases::Standing;
    PartitionLeases leases;
    const Core::SteadyTime begin { 100s };
    CHECK(leases.apply(begin, begin + 1s, grantOf({ { 1, 5 } })).gained == std::vector<Core::PartitionId> { 1 });
    CHECK(leases.standing(1, begin + 2999ms) == Standing::Valid);
    CHECK(leases.standing(1, begin + 3000ms) == Standing::Expired);
    CHECK(leases.apply(begin + 500ms, begin + 2s, grantOf({})).lost.empty());
    const LeaseChanges changes = leases.apply(begin + 2s, begin + 2s, grantOf({ { 1, 6 } }));
    CHECK(changes.lost == changes.gained);
    CHECK(leases.owner(1)->epoch == 6);
    CHECK(leases.apply(begin + 3s, begin + 3s, grantOf({})).lost == std::vector<Core::PartitionId> { 1 });
    leases.apply(begin + 4s, begin + 4s, grantOf({ { 2, 1 } }));
    leases.giveUp(2, begin + 5s);
    CHECK(leases.apply(begin + 5s, begin + 6s, grantOf({ { 2, 1 } })).gained.empty());
}

// Guards against a second run of a key that was forgotten or is in use.
TEST_CASE("the job table judges submissions by key, content and age", "[Ownership]")
{
    JobTable table;
    Messages::Submission submission { "t", "c", "k", 1'000'000 };
    submission.tasks = { { "a", "x" } };
    const Core::JobId jobId = Core::makeJobId("t", "c", "k");
    const auto judge = [&](std::int64_t now) { return table.judge(submission, jobId, fingerprintOf(submission), now); };
    CHECK(judge(1'000'000) == SubmissionVerdict::New);
    CHECK(judge(1'000'000 - 10'001) == SubmissionVerdict::CreatedInFuture);
    CHECK(judge(1'590'000) == SubmissionVerdict::New);
    CHECK(judge(1'590'001) == SubmissionVerdict::KeyExpired);
    table.add({ jobId, 3, fingerprintOf(submission), submission.createdAt, 1 });
    CHECK(judge(1'590'001) == SubmissionVerdict::Known);
    submission.tasks[0].payload = "y";
    CHECK(judge(1'000'000) == SubmissionVerdict::KeyReuse);
    table.expire(1'700'000);
    CHECK(table.size() == 1);
    table.finish(jobId, { { 0, Messages::TaskOutcome::Failed, Messages::TaskReason::EndpointError, 500 } });
    CHECK(table.find(jobId)->state == Messages::JobState::Complete);
    table.expire(1'600'000);
    CHECK(table.size() == 1);
    table.expire(1'600'001);
    CHECK(table.size() == 0);
    CHECK(table.storedBytes() == 0);
}
