#include "platform/WorkerApi.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Platform::WorkerApi;

// Guards against a row of another writer that hides a worker's other runs and ends, and against a run that seems gone
// because its row was left out.
TEST_CASE("rows that can't be read are left out of a worker's lists and noted", "[Platform]")
{
    const WorkerApi api;
    const auto read = [&](const std::string& running, const std::string& ended) {
        return api.decode(Workers::RenewLeaseCall {},
            { 200, {}, R"({"clock_ms":1,"born":5,"running":[)" + running + R"(],"ended":[)" + ended + "]}" });
    };
    const std::string run = R"(["5c0e7a21d94b36f8.0.1.17",2,"",41,0])";
    const std::string end = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    const Workers::CallResult whole = read(run, end);
    REQUIRE(whole.status == Workers::CallStatus::Accepted);
    CHECK_FALSE(whole.hasUnreadableRunning);
    CHECK_FALSE(whole.hasUnreadableEnded);
    for (const char* odd : { "null", "{}", "[]", "7", R"(["x",1])", R"([7,1])", R"(["5c0e7a21d94b36f8.0.1.16"])",
             R"(["5c0e7a21d94b36f8.0.1.16","2"])", R"(["5c0e7a21d94b36f8.0.1.16",-1])" }) {
        INFO(odd);
        for (const std::string& list : { run + "," + odd, std::string(odd) + "," + run }) {
            const Workers::CallResult lists = read(list, end);
            REQUIRE(lists.status == Workers::CallStatus::Accepted);
            CHECK(lists.hasUnreadableRunning);
            CHECK_FALSE(lists.hasUnreadableEnded);
            REQUIRE(lists.running.size() == 1);
            CHECK(lists.running[0].task.index == 17);
            CHECK(lists.ended.size() == 1);
        }
    }
    for (const char* odd : { "null", "{}", "[]", R"([59,"5c0e7a21d94b36f8.0.1.8",1,"gone",""])",
             R"(["x","5c0e7a21d94b36f8.0.1.8",1,"done",""])", R"([59,"5c0e7a21d94b36f8.0.1.8",1])" }) {
        INFO(odd);
        const Workers::CallResult lists = read(run, std::string(odd) + "," + end);
        REQUIRE(lists.status == Workers::CallStatus::Accepted);
        CHECK(lists.hasUnreadableEnded);
        CHECK_FALSE(lists.hasUnreadableRunning);
        REQUIRE(lists.ended.size() == 1);
        CHECK(lists.ended[0].number == 58);
    }
}
