#include "celeryswitch/Configuration/ConfigurationChange.h"
#include "celeryswitch/Configuration/AuditTrail.h"
#include <catch2/catch.hpp>

using namespace celeryswitch::Configuration;

namespace {

const std::string addDrain = R"({"operation":"addException","exceptionId":"x1","scopeKind":"endpoint",)"
                             R"("scopeName":"s1","key":"endpointDrained","value":1,"reason":"disk replaced"})";

}

// Guards against changes that are applied in part, and against values out of range that reach the processes.
TEST_CASE("a change is checked as a whole and errors name key and range", "[Configuration]")
{
    const ConfigurationDocument empty;
    const auto changed = checkChange(
        empty, R"([{"operation":"setDefault","key":"shareWeight","value":25},)" + addDrain + "]", "spring sale");
    REQUIRE(changed);
    REQUIRE(changed.value().document.version == 1);
    REQUIRE(changed.value().document.value(ConfigurationKey::ShareWeight) == 25);
    REQUIRE(changed.value().document.value(ConfigurationKey::EndpointDrained, { "", "", "", "s1", "" }) == 1);
    REQUIRE(changed.value().before == "[null,null]");

    const auto refused = [&](const std::string& operations) { return checkChange(empty, operations, "r").error(); };
    const auto outOfRange = refused(R"([{"operation":"setDefault","key":"retryBudgetPercent","value":101}])");
    REQUIRE(outOfRange.is(ChangeError::OutOfRange));
    REQUIRE(outOfRange.detail().find("retryBudgetPercent must be a whole number from 0 to 100") != std::string::npos);
    REQUIRE(refused(R"([{"operation":"setDefault","key":"x","value":1}])").is(ChangeError::UnknownKey));
    REQUIRE(refused(R"([{"operation":"setDefault","key":"shareWeight","value":"1"}])").is(ChangeError::Malformed));
    REQUIRE(refused(R"([{"operation":"unsetDefault","key":"shareWeight"}])").is(ChangeError::UnknownDefault));
    REQUIRE(refused(R"([{"operation":"removeException","exceptionId":"x1"}])").is(ChangeError::UnknownException));
    REQUIRE(refused("[" + addDrain + "," + addDrain + "]").is(ChangeError::DuplicateException));
    REQUIRE(refused("[]").is(ChangeError::Malformed));
    REQUIRE(refused("{").is(ChangeError::Malformed));
    REQUIRE(checkChange(empty, "[" + addDrain + "]", "").error().is(ChangeError::MissingReason));
    std::string withoutReason = "[" + addDrain + "]";
    withoutReason.replace(withoutReason.find("disk replaced"), 13, "");
    REQUIRE(refused(withoutReason).is(ChangeError::MissingReason));
}

// Guards against audit records that are altered, removed or reordered without notice.
TEST_CASE("the audit trail names the first bad record", "[Configuration]")
{
    AuditTrail trail;
    for (int index = 0; index < 5; ++index)
        trail.append({ 1000 + index, "c" + std::to_string(index), "ana", "because", 0, 1, "accepted", "", "[null]",
            R"([{"shareWeight":25}])" });
    const std::vector<std::string> records = trail.records(1, 100);
    REQUIRE(records.size() == 5);
    REQUIRE(AuditTrail::verify(records));
    REQUIRE(AuditTrail::verify(trail.records(3, 2)));
    for (std::size_t position = 0; position < records[2].size(); ++position) {
        std::vector<std::string> altered = records;
        altered[2][position] = altered[2][position] == '1' ? '2' : '1';
        const auto verdict = AuditTrail::verify(altered);
        REQUIRE(!verdict);
        REQUIRE(verdict.error().detail().find("line 3") != std::string::npos);
    }
    std::vector<std::string> shortened = records;
    shortened.erase(shortened.begin() + 1);
    REQUIRE(AuditTrail::verify(shortened).error().is(AuditError::Missing));
    REQUIRE(AuditTrail::verify(shortened).error().detail().find("line 2") != std::string::npos);
    std::swap(shortened[0], shortened[1]);
    REQUIRE(!AuditTrail::verify(shortened));
}
