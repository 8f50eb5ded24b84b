#include "UnitTests/Scheduling/SchedulerFixture.h"

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

// Guards against orders to an evacuated data centre, and against work that waits until its deadline although no worker
// may run it.
TEST_CASE("work leaves an evacuated data centre or is refused at once", "[Scheduling]")
{
    SchedulerFixture fixture(0);
    fixture.scheduler.setLinkedSidecars(fixture.now(), { "near", "far" });
    for (const char* name : { "near", "far" }) {
        Messages::Member member;
        member.identity.instanceId = name;
        member.identity.dataCentre = name == std::string("near") ? "a" : "b";
        fixture.scheduler.sidecarConnected(fixture.now(), member);
        fixture.update(name, { 32'000, 65'536, 0 });
    }
    fixture.clock.advance(5s);
    fixture.update("near", { 32'000, 65'536, 0 });
    fixture.update("far", { 32'000, 65'536, 0 });
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.orderOf(100, 0).first == "near");

    fixture.scheduler.setEvacuatedDataCentres(fixture.now(), { "a" });
    fixture.submit(2, fixture.makeJob(200));
    REQUIRE(fixture.orderOf(200, 0).first == "far");
    // The run that was ordered before may end.
    REQUIRE(fixture.stops.empty());
    fixture.report("near", 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
    // Only a worker of the evacuated data centre has this label.
    SubmitJob bound = fixture.makeJob(300);
    bound.job.steps[0].requiredLabel = "rack-near";
    fixture.submit(3, bound);
    REQUIRE(fixture.answers.at(3).kind == AnswerKind::NotRun);
    REQUIRE(fixture.answers.at(3).retryAfter > 0s);
    // A job that waits when the evacuation begins.
    fixture.update("far", { 0, 65'536, 0 });
    SubmitJob waiting = fixture.makeJob(400);
    waiting.job.steps[0].requiredLabel = "rack-far";
    fixture.submit(4, waiting);
    REQUIRE(fixture.answers.count(4) == 0);
    fixture.scheduler.setEvacuatedDataCentres(fixture.now(), { "a", "b" });
    fixture.pollScheduler();
    REQUIRE(fixture.answers.at(4).kind == AnswerKind::NotRun);

    fixture.scheduler.setEvacuatedDataCentres(fixture.now(), {});
    fixture.update("near", { 32'000, 65'536, 0 });
    fixture.submit(5, fixture.makeJob(500));
    REQUIRE(fixture.orderOf(500, 0).first == "near");
}
