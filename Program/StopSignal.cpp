#include "Program/StopSignal.h"

#include <csignal>
#include <ctime>

namespace celeryswitch::Program {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

}

StopSignal::StopSignal()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool StopSignal::waitFor(std::chrono::milliseconds span) const
{
    const sigset_t signals = stopSignals();
    const timespec time { span.count() / 1000, (span.count() % 1000) * 1'000'000 };
    return sigtimedwait(&signals, nullptr, &time) > 0;
}

}
