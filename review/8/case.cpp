// A desired state raises a limit of requests, and a connection that was open before goes on with the older limit.
#include "../standins-2/Fleet.h"

namespace {

using namespace review;

constexpr std::int64_t smallLimit = 2048;
constexpr std::int64_t largeLimit = 262144;
// Pages: config_apply_ms is 2,000.
constexpr std::int64_t applyTime = 2000;
constexpr std::size_t padding = 3000;
constexpr int connections = 3;

int submit(Connection& connection, Record& record, const std::string& label, const std::string& id, bool isLarge)
{
    const std::string spec = "ms=100 " + (isLarge ? std::string(padding, 'x') : std::string());
    const std::string body = jobText(spec, 1, 1000, 100);
    const Message answer = connection.call(
        "POST", "/order/" + id, { { "Host", "order.example" }, { "X-Deadline-Ms", "1500" } }, body, 2500);
    record.line("client: " + label + ", job " + id + " with a body of " + std::to_string(body.size()) + " bytes -> "
        + std::to_string(answer.status) + " " + answer.body);
    return answer.status;
}

int play(const std::string& program, const std::string& recordPath)
{
    Record record(recordPath);
    FleetSize size;
    size.entries = 1;
    Fleet fleet(program, size);
    const std::int64_t before = isCalm() ? largeLimit : smallLimit;
    if (!fleet.start() || !fleet.put(desiredState(1, { {} }, before)) || !fleet.waitReady())
        return 2;
    record.line("operator: version 1 with max_body_bytes " + std::to_string(before) + " is confirmed");
    waitMilliseconds(applyTime + 2000);
    // As clients that keep their connections do.
    std::vector<std::unique_ptr<Connection>> kept;
    for (int number = 0; number < connections; ++number) {
        kept.push_back(std::make_unique<Connection>(fleet.front(1)));
        if (submit(*kept.back(), record, "connection " + std::to_string(number + 1) + " opened under version 1",
                "00000000000000a" + std::to_string(number), false)
            != 200)
            return 2;
    }
    if (!fleet.put(desiredState(2, { {} }, largeLimit)))
        return 2;
    record.line("operator: version 2 with max_body_bytes " + std::to_string(largeLimit) + " is confirmed");
    waitMilliseconds(applyTime + 1000);
    Connection fresh(fleet.front(1));
    if (submit(fresh, record, "new connection", "00000000000000b0", true) != 200)
        return 2;
    int broken = 0;
    for (int number = 0; number < connections; ++number) {
        const bool wasOpen = kept[static_cast<std::size_t>(number)]->isOpen();
        const int status = submit(*kept[static_cast<std::size_t>(number)], record,
            "connection " + std::to_string(number + 1) + (wasOpen ? ", still open" : ", opened again"),
            "00000000000000c" + std::to_string(number), true);
        broken += status == 413 ? 1 : 0;
    }
    record.line("requests refused by the limit of version 1, more than " + std::to_string(applyTime)
        + " ms after the confirmation of version 2: " + std::to_string(broken)
        + (broken > 0 ? "; CONFIG is broken" : ""));
    return broken > 0 ? 1 : 0;
}

}

int main(int count, char** arguments) { return count < 3 ? 2 : play(arguments[1], arguments[2]); }
