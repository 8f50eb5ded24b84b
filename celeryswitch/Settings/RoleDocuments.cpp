#include "celeryswitch/Settings/RoleDocuments.h"

namespace celeryswitch::Settings {

namespace {

// Whether two listen addresses claim the same port of the same address.
bool isSameListener(const std::string& left, const std::string& right)
{
    return !left.empty() && left == right && left.substr(left.rfind(':')) != ":0";
}

// Adds a problem when the first key's value is above the second's; absent keys have 0 in both.
void checkOrder(SettingsDocument& document, const char* low, const char* high, const char* reason)
{
    if (document.integer(low) > document.integer(high))
        document.addProblem(
            low, "is " + std::to_string(document.integer(low)) + " and must be at most " + high + ": " + reason);
}

// Adds the problems that no key has by itself.
void checkClashes(SettingsDocument& document)
{
    const std::string currentKey = std::to_string(document.integer("currentKey"));
    const auto& keys = document.table("keys");
    if (!keys.empty() && keys.find(currentKey) == keys.end())
        document.addProblem("currentKey", "names key " + currentKey + ", which \"keys\" does not list");
    if (isSameListener(document.text("httpAddress"), document.text("peerAddress")))
        document.addProblem("httpAddress", "is also peerAddress; give each its own port");
    if (isSameListener(document.text("endpointAddress"), document.text("peerAddress")))
        document.addProblem("endpointAddress", "is also peerAddress; give each its own port");
    for (const std::string& replica : document.list("stateAddresses")) {
        if (isSameListener(replica, document.text("peerAddress")))
            document.addProblem("stateAddresses", "lists " + replica + ", which is this process's own peerAddress");
    }
    checkOrder(document, "slots", "connections", "each running task needs a connection");
    checkOrder(document, "electionMinimumMs", "electionMaximumMs", "each wait is drawn between the two");
    checkOrder(document, "heartbeatMs", "electionMinimumMs", "a leader would be replaced between its heartbeats");
    const std::string& peerAddress = document.text("peerAddress");
    const bool isChosenPort = peerAddress.size() > 2 && peerAddress.substr(peerAddress.rfind(':')) == ":0";
    if (isChosenPort && !document.table("replicas").empty())
        document.addProblem("peerAddress", "has port 0, but the other replicas need to know the port");
}

}

SettingsDocument loadDocument(const std::string& path, Messages::Role role)
{
    SettingsDocument document = SettingsDocument::fromFile(path, schemaOf(role));
    checkClashes(document);
    return document;
}

SettingsDocument checkDocument(const std::string& tomlText, const std::string& fileName, Messages::Role role)
{
    SettingsDocument document = SettingsDocument::fromText(tomlText, fileName, schemaOf(role));
    checkClashes(document);
    return document;
}

}
