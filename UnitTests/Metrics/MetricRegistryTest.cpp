#include "celeryswitch/Metrics/MetricRegistry.h"
#include <catch2/catch.hpp>
#include <random>

using celeryswitch::Metrics::MetricRegistry;
using celeryswitch::Metrics::Summary;

// Guards against an exposition that a Prometheus parser refuses: missing types, unescaped labels, absent +Inf bucket.
TEST_CASE("metrics are written in the text exposition format", "[Metrics]")
{
    MetricRegistry registry;
    registry.counter("tasks_total", "Tasks.", { { "kind", "a\"b\n" } }).add(2);
    registry.counter("tasks_total", "Tasks.", { { "kind", "a\"b\n" } }).add();
    registry.gauge("queue", "Queued tasks.").set(1.5);
    registry.histogram("size", "Job sizes.", { 1, 10 }).observe(10);
    registry.histogram("size", "Job sizes.", { 1, 10 }).observe(11);
    REQUIRE(registry.exposition()
        == "# HELP queue Queued tasks.\n# TYPE queue gauge\nqueue 1.5\n"
           "# HELP size Job sizes.\n# TYPE size histogram\nsize_bucket{le=\"1\"} 0\nsize_bucket{le=\"10\"} 1\n"
           "size_bucket{le=\"+Inf\"} 2\nsize_sum 21\nsize_count 2\n"
           "# HELP tasks_total Tasks.\n# TYPE tasks_total counter\ntasks_total{kind=\"a\\\"b\\n\"} 3\n");
}

// Guards against quantiles that are meaningless for few observations or drift far off for many.
TEST_CASE("a summary estimates quantiles for few and many observations", "[Metrics]")
{
    Summary few;
    REQUIRE(few.quantile(0.5) == 0);
    for (int value = 1; value <= 10; ++value)
        few.observe(value);
    REQUIRE(few.quantile(0.5) == 6);
    REQUIRE(few.quantile(0.99) == 10);
    Summary many;
    std::mt19937 generator(1);
    std::uniform_real_distribution<double> uniform(0, 100);
    for (int index = 0; index < 20000; ++index)
        many.observe(uniform(generator));
    REQUIRE(many.count() == 20000);
    REQUIRE(many.quantile(0.5) == Approx(50).margin(2));
    REQUIRE(many.quantile(0.99) == Approx(99).margin(0.5));
}
