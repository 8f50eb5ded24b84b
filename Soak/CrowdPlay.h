#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include <cstddef>

namespace celeryswitch::Soak {

/// What the clients of a crowd do.
enum class CrowdPlay : std::uint8_t {
    /// Trailers without end, large bodies that stop short of their end, silent connections.
    Stalled,
    /// Headers of as many fields as their bytes allow, with a body that stops short.
    Fields,
    /// Whole bodies of a few bytes that ask for as many tasks as a job may have.
    Tasks,
    /// Whole bodies of the largest size that consist of steps.
    Steps,
    /// Every connection is answered again and again, and opened anew when it is closed.
    Served,
    /// Whole bodies of lists in lists, in a field that nobody knows.
    Nested,
    /// A large document is read on every connection.
    Reads,
    /// Whole requests of many fields before the process has its first routing document.
    Unrouted,
    /// Connections that send as much as they can while the process is stopped.
    Frozen,
    /// Silent connections to the listener for other processes, opened anew when they are closed, while the entry is
    /// started again and connects.
    Handshakes,
    /// Whole valid routing documents of many queues, with rising versions.
    Documents,
    /// No crowd: a single job whose body has the largest size.
    Largest,
    /// Several plays one after the other, each after the connections of the one before were closed.
    Repeated,
};

/// Limits of every process in a play. 200 descriptors are reserved for files outside the data folder.
struct CrowdLimits {
    std::size_t memoryMegabytes = 64;
    std::size_t descriptors = 512;

    std::size_t usableDescriptors() const { return this->descriptors - 200; }
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Soak::CrowdPlay> {
    static constexpr std::string_view type = "CrowdPlay";
    static constexpr std::array<std::pair<Soak::CrowdPlay, std::string_view>, 13> names { {
        { Soak::CrowdPlay::Stalled, "stalled" },
        { Soak::CrowdPlay::Fields, "fields" },
        { Soak::CrowdPlay::Tasks, "tasks" },
        { Soak::CrowdPlay::Steps, "steps" },
        { Soak::CrowdPlay::Served, "served" },
        { Soak::CrowdPlay::Nested, "nested" },
        { Soak::CrowdPlay::Reads, "reads" },
        { Soak::CrowdPlay::Unrouted, "unrouted" },
        { Soak::CrowdPlay::Frozen, "frozen" },
        { Soak::CrowdPlay::Handshakes, "handshakes" },
        { Soak::CrowdPlay::Documents, "documents" },
        { Soak::CrowdPlay::Largest, "largest" },
        { Soak::CrowdPlay::Repeated, "repeated" },
    } };
};

}
