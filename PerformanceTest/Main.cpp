#include "EntryPerformance.h"
#include <cstdio>

using namespace celeryswitch::PerformanceTest;

int main()
{
    for (const auto& measure : { measureEntryDecisions, measureAddedTime }) {
        for (const PerformanceCase& figure : measure()) {
            const bool isMet = figure.isUpperBound ? figure.value <= figure.bound : figure.value >= figure.bound;
            std::printf("%-70s %12.3f %-9s bound %s %g: %s\n", figure.name.c_str(), figure.value, figure.unit.c_str(),
                figure.isUpperBound ? "<=" : ">=", figure.bound, isMet ? "met" : "missed");
        }
    }
    return 0;
}
