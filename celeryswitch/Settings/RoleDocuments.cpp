#include "celeryswitch/Settings/RoleDocuments.h"

#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Settings {

namespace {

// Whether two listen addresses claim the same port of the same address.
bool isSameListener(const std::string& left, const std::string& right)
{
    return !left.empty() && left == right && left.substr(left.rfind(':')) != ":0";
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

Network::AuthenticationKeys authenticationKeys(const SettingsDocument& document)
{
    CELERY_ASSERT(document.problems().empty());
    Network::AuthenticationKeys keys;
    keys.currentKeyId = static_cast<std::uint8_t>(document.integer("currentKey"));
    for (const auto& [id, secret] : document.table("keys"))
        keys.keys[static_cast<std::uint8_t>(std::stoi(id))] = secret;
    return keys;
}

OperatorSettings operatorSettings(const SettingsDocument& document)
{
    OperatorSettings settings;
    settings.author = document.text("author");
    settings.stateAddresses = document.list("stateAddresses");
    settings.keys = authenticationKeys(document);
    settings.entryAddresses = document.list("entryAddresses");
    settings.token = document.text("token");
    settings.requestTimeout = std::chrono::milliseconds(document.integer("requestTimeoutMs"));
    return settings;
}

}
