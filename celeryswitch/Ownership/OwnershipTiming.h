#pragma once

#include "celeryswitch/Core/Clock.h"

namespace celeryswitch::Ownership {

/// Time for which a partition's owner may act after it sent the renewal that the state leader granted.
inline constexpr Core::Duration leaseLength = std::chrono::seconds(3);
/// Largest age of the clock sample that a start echoes, by the sidecar's own clock.
inline constexpr Core::Duration startValidity = std::chrono::seconds(1);
/// Allowance for clocks that run at different rates between a lease's holder, the state leader and a sidecar.
inline constexpr Core::Duration leaseMargin = std::chrono::milliseconds(500);
/// Time after the last answered renewal before which the state leader gives a partition to no other owner. A start that
/// the previous owner sent is no longer valid at any sidecar when this time is over.
inline constexpr Core::Duration transferWait = leaseLength + startValidity + leaseMargin;
/// Time between two renewals of an owner's leases.
inline constexpr Core::Duration renewalInterval = std::chrono::milliseconds(500);
/// Largest difference that is allowed between the wall clocks of callers, entries and state replicas.
inline constexpr Core::Duration clockSkewAllowance = std::chrono::seconds(10);
/// Time after `createdAt` for which idempotency keys, answers and fence records are kept.
inline constexpr Core::Duration keyRetention = std::chrono::seconds(600);
/// Age of the last confirmation of the configuration beyond which new work is refused as not run.
inline constexpr Core::Duration freshnessLimit = std::chrono::seconds(5);
/// Silence of a sidecar after which it gets no new work; with the heartbeat interval this stays within 3 s.
inline constexpr Core::Duration sidecarSilenceLimit = std::chrono::milliseconds(2500);

}
