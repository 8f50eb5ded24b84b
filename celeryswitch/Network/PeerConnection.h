#pragma once

#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Network {

/// An authenticated, ordered stream of frames to one peer. Every function runs on the connection's io_context thread.
class PeerConnection {
public:
    /// Called with the payload of each frame that passed authentication.
    using FrameHandler = std::function<void(std::string payload)>;
    /// Called once, with the reason, when the connection has ended.
    using CloseHandler = std::function<void(std::string reason)>;

    virtual ~PeerConnection() = default;
    /// Sets the handlers; frames that arrived earlier are delivered from the event loop afterwards.
    virtual void start(FrameHandler onFrame, CloseHandler onClose) = 0;
    /// Queues a frame. Returns false when the connection is closed or its send queue (32 MiB) is full.
    virtual bool send(std::string payload) = 0;
    /// Ends the connection; frames not yet delivered are discarded. The close handler is not called.
    virtual void close() = 0;
    /// Address of the peer, "127.0.0.1:7001".
    virtual std::string remoteAddress() const = 0;
};

using PeerConnectionPointer = std::shared_ptr<PeerConnection>;

}
