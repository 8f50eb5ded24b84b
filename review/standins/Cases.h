// The cases of the review, each a function that plays one and judges it.
#pragma once

#include <string>

namespace review {

/// What a case needs to know.
struct CaseSetting {
    std::string ownProgram;
    std::string root;
    std::string folder;
    std::string recordFile;
    /// Whether the disruption happens.
    bool isTroubled = true;
};

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

/// A sidecar loses power right after an order that its worker carries out late.
int playLateStart(const CaseSetting& setting);
/// A worker crashes and starts again under its id; the client of a task that had begun is told that it never runs.
int playRestartedWorker(const CaseSetting& setting);
/// A job is cancelled; its request arrives again at another entry and is run.
int playResentAfterCancel(const CaseSetting& setting);
/// The connection of a cancellation is reset; sent again to another entry, it is answered and stops nothing.
int playCancelAtAnotherEntry(const CaseSetting& setting);
/// A client chooses an id with capital digits.
int playCapitalDigits(const CaseSetting& setting);

}
