#include "celeryswitch/Logging/RecordWriter.h"
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace celeryswitch::Logging;

namespace {

// A pipe whose reader reads only when a test says so.
class Pipe {
public:
    Pipe() { REQUIRE(::pipe(this->ends) == 0); }
    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    int writeEnd() const { return this->ends[1]; }
    std::string read() const
    {
        std::string text(1024 * 1024, '\0');
        const ssize_t count = ::read(this->ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
        return text;
    }

private:
    int ends[2] {};
};

}

// Guards against lines that are cut, joined or out of order.
TEST_CASE("records are written one a line in order", "[Logging]")
{
    const Pipe pipe;
    RecordWriter writer(pipe.writeEnd());
    writer.add("first");
    writer.add("second");
    REQUIRE(writer.isPending());
    REQUIRE(writer.flush());
    REQUIRE_FALSE(writer.isPending());
    REQUIRE(pipe.read() == "first\nsecond\n");
}

// Guards against a process that stands still because nobody reads its output, and against losses that nobody learns of.
TEST_CASE("a reader that never reads makes records drop, counted, and never blocks", "[Logging]")
{
    const Pipe pipe;
    RecordWriter writer(pipe.writeEnd(), 16 * 1024);
    const std::string record(1000, 'x');
    for (int count = 0; count < 1000; ++count) {
        writer.add(record);
        writer.flush();
    }
    REQUIRE(writer.dropped() > 800);
    // Whole lines arrive once the reader reads again, and the first one after the gap tells of it.
    std::string text = pipe.read();
    while (!writer.flush())
        text += pipe.read();
    writer.add("after the gap");
    REQUIRE(writer.flush());
    text += pipe.read();
    REQUIRE(text.find("message=\"log records dropped\" count=" + std::to_string(writer.dropped()) + "\nafter the gap\n")
        != std::string::npos);
    REQUIRE(text.find("xx\nxx") != std::string::npos);
}
