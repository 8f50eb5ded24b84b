#include "Soak/CrowdClients.h"

#include "celeryswitch/Core/SocketAddress.h"
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryswitch::Soak {

namespace {

// The crowd's time: clients that the process reads no further are given up after it.
constexpr std::chrono::seconds sendLimit { 20 };
constexpr std::chrono::milliseconds quietLimit { 500 };
constexpr std::chrono::milliseconds quietStep { 5 };
// Time between two requests of a client that is served.
constexpr std::chrono::milliseconds requestInterval { 300 };
constexpr std::chrono::milliseconds servedStep { 10 };
// A silent crowd takes each place at once that becomes free.
constexpr std::chrono::milliseconds silentStep { 1 };

Core::SteadyTime now() { return Core::BootClock::now(); }

// Begins to connect to "address:port"; negative when that fails.
int beginToConnect(const std::string& text)
{
    const std::optional<Core::SocketAddress> address = Core::parseSocketAddress(text);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address->port);
    target.sin_addr.s_addr = htonl(address->ip.to_v4().to_uint());
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 || errno == EINPROGRESS)
        return descriptor;
    ::close(descriptor);
    return -1;
}

}

CrowdClients::~CrowdClients() { this->close(); }

void CrowdClients::close()
{
    for (const Client& client : this->clients)
        ::close(client.descriptor);
    this->clients.clear();
}

void CrowdClients::add(const std::string& address, std::size_t count, const Kind& kind)
{
    for (std::size_t number = 0; number < count; ++number) {
        const int descriptor = beginToConnect(address);
        if (descriptor >= 0)
            this->clients.push_back({ descriptor, kind });
    }
}

std::size_t CrowdClients::sendSome(Client& client)
{
    const Kind& kind = client.kind;
    const std::size_t total = kind.head.size() + kind.fillerBytes;
    if (client.sent >= total)
        return 0;
    std::string_view piece = kind.head;
    if (client.sent < kind.head.size()) {
        piece.remove_prefix(client.sent);
    } else {
        piece = kind.filler;
        piece.remove_prefix((client.sent - kind.head.size()) % kind.filler.size());
        piece = piece.substr(0, total - client.sent);
    }
    const ssize_t count = ::send(client.descriptor, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN)
        client.sent = total;
    client.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

void CrowdClients::sendByteByByte(const std::string& address, const std::string& head, const std::string& tail)
{
    // The process may close connections in favour of others at any time; one of several is read to its end.
    for (int attempt = 0; attempt < 5; ++attempt) {
        this->add(address, 1, { head });
        this->sendAll();
        for (const char byte : tail) {
            this->clients.back().kind.head += byte;
            this->sendAll();
        }
    }
}

void CrowdClients::sendAll()
{
    const auto limit = now() + sendLimit;
    auto quietSince = now();
    while (now() < limit && now() < quietSince + quietLimit) {
        std::size_t count = 0;
        for (Client& client : this->clients)
            count += sendSome(client);
        if (count > 0)
            quietSince = now();
        else
            std::this_thread::sleep_for(quietStep);
    }
}

ServedCrowd::ServedCrowd(std::string address, std::string request, std::size_t count)
    : address(std::move(address))
    , request(std::move(request))
    , clients(count)
    , thread([this] { this->run(); })
{
}

ServedCrowd::~ServedCrowd()
{
    this->isStopping = true;
    this->thread.join();
    for (Client& client : this->clients)
        close(client);
}

void ServedCrowd::run()
{
    while (!this->isStopping) {
        const Core::SteadyTime time = now();
        for (Client& client : this->clients)
            this->turn(client, time);
        std::this_thread::sleep_for(this->request.empty() ? silentStep : servedStep);
    }
}

void ServedCrowd::turn(Client& client, Core::SteadyTime time) const
{
    if (client.descriptor < 0) {
        client.descriptor = beginToConnect(this->address);
        client.isWaiting = this->request.empty();
        return;
    }
    if (client.isWaiting) {
        std::array<char, 4096> answer {};
        const ssize_t count = ::recv(client.descriptor, answer.data(), answer.size(), MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN))
            return close(client);
        if (count > 0) {
            client.isWaiting = false;
            client.sendAt = time + requestInterval;
        }
    } else if (time >= client.sendAt) {
        const ssize_t count
            = ::send(client.descriptor, this->request.data(), this->request.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        client.isWaiting = count > 0;
        if (count < 0 && errno != EAGAIN)
            close(client);
    }
}

void ServedCrowd::close(Client& client)
{
    if (client.descriptor >= 0)
        ::close(client.descriptor);
    client = {};
}

}
