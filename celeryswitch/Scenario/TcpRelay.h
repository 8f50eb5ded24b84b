#pragma once

#include "celeryswitch/Core/Result.h"
#include <memory>
#include <string>

namespace celeryswitch::Scenario {

/// Forwards TCP connections to one address and can be cut: no byte passes and no connection ends, as in a silent
/// network partition. Bytes that arrive during the cut pass after it. Runs on a thread of its own.
class TcpRelay {
public:
    /// Listens on a port of 127.0.0.1 that the system chooses and forwards to `destination`.
    static Core::Result<std::unique_ptr<TcpRelay>> start(const std::string& destination);
    ~TcpRelay();
    TcpRelay(const TcpRelay&) = delete;
    TcpRelay& operator=(const TcpRelay&) = delete;

    /// Address to connect to.
    const std::string& address() const;
    /// Forwards new connections to another address.
    void setDestination(const std::string& destination);
    /// Stops or resumes the flow of bytes in both directions; it has stopped or resumed when this returns.
    void setCut(bool isCut);

private:
    class Implementation;
    explicit TcpRelay(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

}
