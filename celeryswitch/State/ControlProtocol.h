#pragma once

#include "celeryswitch/Configuration/RoutingDocument.h"
#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Http/HttpMessage.h"
#include <memory>
#include <string>
#include <variant>

namespace celeryswitch::State {

/// An operator puts a whole routing document.
struct PutDocument {
    Configuration::RoutingDocument document;
    /// The document as it was sent.
    std::string source;
};
/// An operator reads the routing document in force.
struct GetDocument { };
/// An operator begins or ends the evacuation of a data centre.
struct EvacuateDataCentre {
    std::string dataCentre;
    bool isEvacuated = false;
};
/// A call that this product does not serve.
struct UnservedCall {
    std::string reason;
};
/// The request can't be read.
struct UnreadableCall {
    std::string problem;
};
/// There is nothing under this path.
struct UnknownPath { };

/// What an operator asks over HTTP.
using ControlRequest
    = std::variant<PutDocument, GetDocument, EvacuateDataCentre, UnservedCall, UnreadableCall, UnknownPath>;

/// What an operator's request comes to.
enum class ControlOutcome : std::uint8_t {
    Acknowledged,
    /// The document in force, in `document`.
    Document,
    /// The request is wrong, for the reason in `text`.
    Invalid,
    /// Not now, or not here; the operator tries again.
    Unavailable,
    /// The replica at the address in `text` can answer.
    Moved,
    Unknown,
};

/// Answer to an operator.
struct ControlAnswer {
    ControlOutcome outcome = ControlOutcome::Unavailable;
    std::string text;
    /// Shared by all answers that hold the same document.
    std::shared_ptr<const std::string> document;
};

/// Translates between operators' HTTP requests and the requests of this library. Decides nothing.
class ControlProtocol {
public:
    virtual ~ControlProtocol() = default;
    /// What a request asks.
    virtual ControlRequest decode(const Http::HttpRequest& request) const = 0;
    /// Response to a request.
    virtual Http::HttpResponse encode(const ControlAnswer& answer, const Http::HttpRequest& request) const = 0;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<State::ControlOutcome> {
    static constexpr std::string_view type = "ControlOutcome";
    static constexpr std::array<std::pair<State::ControlOutcome, std::string_view>, 6> names { {
        { State::ControlOutcome::Acknowledged, "acknowledged" },
        { State::ControlOutcome::Document, "document" },
        { State::ControlOutcome::Invalid, "invalid" },
        { State::ControlOutcome::Unavailable, "unavailable" },
        { State::ControlOutcome::Moved, "moved" },
        { State::ControlOutcome::Unknown, "unknown" },
    } };
};

}
