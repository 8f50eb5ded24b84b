#pragma once

#include "celeryswitch/Core/Clock.h"

namespace celeryswitch::Experiment {

/// Faults at random times during a run, each as its rate per minute unless stated otherwise.
struct LeasedFaults {
    double entryKills = 0;
    double sidecarKills = 0;
    double workerCrashes = 0;
    double linkCuts = 0;
    double sidecarFreezes = 0;
    double entryFreezes = 0;
    /// Workers that fail their runs, stall or run slowly for 5 s.
    double degradedWorkers = 0;
    /// Shares of the starts and stops, and of the lease renewals, that are delivered 2 to 12 s late and whose answers
    /// are lost.
    double lateOrders = 0;
    double lateRenewals = 0;
    /// Share of the stops that are delivered late, if it is higher than `lateOrders`.
    double lateStops = 0;
    /// Whether the lease that a late renewal requests counts from its arrival.
    bool isLateLeaseFromArrival = false;
    /// The same for late starts.
    bool isLateStartFromArrival = false;
    /// Suspensions of machines that run an entry.
    double entrySuspensions = 0;
    /// Workers that start again at once, under the same id.
    double workerRestarts = 0;
    /// Time between the begin of a run and the worker's answer to its start, in seconds; a worker that restarts
    /// meanwhile never answers.
    double startAnswerSeconds = 0;
    /// Whether each incarnation of a worker is of a kind drawn anew, with its label and capacity, does not guard its
    /// capacity, and announces itself for the first time at once or up to an announcement interval after its start.
    bool areKindsDrawn = false;
    /// Whether a worker's start time is the time of day, as on the platform, and not the number of its incarnation.
    bool isStartTimeOfDay = false;
    /// Announcements and deregistrations of other workers or of earlier incarnations that reach a sidecar.
    double strayAnnouncements = 0;
    /// Connections of callers that break.
    double callerResets = 0;
    /// Stalls of entries for 100 to 590 ms, below StallGuard's threshold, in which connections of their callers break;
    /// on waking an entry reads the ends of these connections after the sidecars' updates.
    double entryStalls = 0;
    /// Share of an entry's open requests whose connections break in such a stall.
    double stallResets = 0.3;
    /// Entries and sidecars that handle each event up to 8 times as slowly for some seconds, in order of arrival.
    double slowProcesses = 0;
    /// Power losses of sidecars for 2 to 6 s, of which nobody is told, and freezes of sidecars that long.
    double sidecarOutages = 0;
    double longSidecarFreezes = 0;
    /// Sidecars that drain, end once no run is left or after 3 s, and start again.
    double sidecarReplacements = 0;
    /// Workers that announce that they drain, deregister 0.5 to 2 s later and end.
    double workerDepartures = 0;
    /// Jumps of a sidecar's time of day to up to `clockJumpSeconds` before or after the true time; the first fencing
    /// token of a sidecar follows it.
    double sidecarClockJumps = 0;
    double clockJumpSeconds = 2;
    /// Links of a sidecar, to one entry or to all, that delay messages by 20 to 200 ms for some seconds.
    double slowLinks = 0;
    /// The same for the links between an entry and its callers.
    double slowCallerLinks = 0;
    /// Share of the repeated requests that go to the entry of the request before.
    double sameEntryRepeats = 0;
    /// Share of the jobs whose callers close their connection within 0.6 s and repeat the request; half of these close
    /// the next connection as well.
    double earlyLeavers = 0;
    /// Changes of the links between entries and sidecars, as when entries join and leave.
    double linkChanges = 0;
};

/// Safety mechanisms that a test can disable to show that the checks detect it; always enabled outside of tests.
struct LeasedMechanisms {
    /// Sidecars end the runs of an entry that has been out of contact for too long.
    bool isEntryTimeoutEnabled = true;
    /// An unanswered start is revoked before its task may run elsewhere.
    bool isUnansweredStartRevoked = true;
    /// An entry waits until runs on an unreachable worker must have ended.
    bool isUnreachableTimeoutEnabled = true;
    /// Leases end before the callers of a failed entry retry.
    bool isLeaseLimited = true;
    /// Entries decide nothing after a stall until they have read what arrived meanwhile.
    bool isStallGuarded = true;
    /// Entries check the connections of their callers before they begin a request or tell sidecars that they are alive.
    bool areCallersChecked = true;
    /// The clocks of processes count the time for which their machines were suspended.
    bool isSuspensionCounted = true;
    /// Incarnations of a worker under the same id state different start times.
    bool areIncarnationsDistinct = true;
    /// A sidecar starts runs on no other incarnation of the worker than the one that the entry chose.
    bool areOrdersCompared = true;
    /// A start is only sent on a connection that leads to the incarnation of the worker that it names.
    bool areConnectionsIdentified = true;
};

}
