#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readBytes = 65536;

sockaddr_in endpointOf(const std::string& address)
{
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    const std::size_t colon = address.rfind(':');
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads a whole message; false when the connection ends or the time is over.
bool readMessage(int descriptor, std::string& unread, std::int64_t until, bool isResponse, Message& message)
{
    while (true) {
        const std::size_t end = unread.find("\r\n\r\n");
        if (end != std::string::npos) {
            message = {};
            std::size_t position = unread.find("\r\n");
            const std::string first = unread.substr(0, position);
            const std::size_t space = first.find(' ');
            if (isResponse) {
                message.status = std::atoi(first.c_str() + space + 1);
            } else {
                message.method = first.substr(0, space);
                message.path = first.substr(space + 1, first.rfind(' ') - space - 1);
            }
            while (position < end) {
                const std::size_t next = unread.find("\r\n", position + 2);
                const std::string line = unread.substr(position + 2, next - position - 2);
                const std::size_t colon = line.find(':');
                if (colon != std::string::npos) {
                    std::string name = line.substr(0, colon);
                    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                    const std::size_t from = line.find_first_not_of(' ', colon + 1);
                    message.headers[name] = from == std::string::npos ? "" : line.substr(from);
                }
                position = next;
            }
            const auto length = message.headers.find("content-length");
            const std::size_t bytes = length == message.headers.end() ? 0 : std::stoul(length->second);
            if (unread.size() >= end + 4 + bytes) {
                message.body = unread.substr(end + 4, bytes);
                unread.erase(0, end + 4 + bytes);
                return true;
            }
        }
        const std::int64_t left = until - steadyMilliseconds();
        pollfd watched { descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&watched, 1, static_cast<int>(std::min<std::int64_t>(left, 3'600'000))) <= 0)
            return false;
        char buffer[readBytes];
        const ssize_t count = ::recv(descriptor, buffer, sizeof(buffer), 0);
        if (count <= 0)
            return false;
        unread.append(buffer, static_cast<std::size_t>(count));
    }
}

}

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void waitMilliseconds(std::int64_t span) { std::this_thread::sleep_for(std::chrono::milliseconds(span)); }

Connection::Connection(std::string address)
    : address(std::move(address))
{
}

Connection::~Connection() { this->close(); }

void Connection::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
    this->unread.clear();
}

bool Connection::open(std::int64_t limit)
{
    this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const timeval wait { limit / 1000, (limit % 1000) * 1000 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
    const sockaddr_in endpoint = endpointOf(this->address);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) == 0)
        return true;
    this->close();
    return false;
}

Message Connection::call(const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t limit)
{
    const std::int64_t until = steadyMilliseconds() + limit;
    if (this->descriptor < 0 && !this->open(limit))
        return {};
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (headers.count("Host") == 0)
        text += "Host: " + this->address + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Message response;
    if (!sendAll(this->descriptor, text) || !readMessage(this->descriptor, this->unread, until, true, response)) {
        this->close();
        return {};
    }
    const auto connection = response.headers.find("connection");
    if (connection != response.headers.end() && connection->second == "close")
        this->close();
    return response;
}

Message callOnce(const std::string& address, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t limit)
{
    Connection connection(address);
    return connection.call(method, path, headers, body, limit);
}

/// Connections of a server, known to their threads too.
struct Server::Shared {
    std::mutex mutex;
    std::set<int> open;
    std::atomic<int> threads { 0 };
};

Server::Server(const std::string& address, Handler handler)
    : handler(std::move(handler))
    , shared(std::make_shared<Shared>())
{
    const sockaddr_in endpoint = endpointOf(address);
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0
        || ::listen(this->listener, 128) != 0) {
        ::close(this->listener);
        this->listener = -1;
        return;
    }
    this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server()
{
    this->isStopping = true;
    if (this->listener >= 0)
        ::shutdown(this->listener, SHUT_RDWR);
    if (this->acceptor.joinable())
        this->acceptor.join();
    if (this->listener >= 0)
        ::close(this->listener);
    this->resetConnections();
    while (this->shared->threads > 0)
        waitMilliseconds(5);
}

void Server::resetConnections()
{
    const std::lock_guard<std::mutex> guard(this->shared->mutex);
    for (const int descriptor : this->shared->open) {
        const linger atOnce { 1, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void Server::accept()
{
    while (!this->isStopping) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int yes = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        {
            const std::lock_guard<std::mutex> guard(this->shared->mutex);
            this->shared->open.insert(descriptor);
        }
        ++this->shared->threads;
        std::thread([this, descriptor] { this->serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    const std::shared_ptr<Shared> known = this->shared;
    std::string unread;
    Message request;
    while (!this->isStopping && readMessage(descriptor, unread, steadyMilliseconds() + 600'000, false, request)) {
        const std::optional<Message> response = this->handler(request);
        if (!response)
            continue;
        std::string text = "HTTP/1.1 " + std::to_string(response->status) + " -\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
        if (!sendAll(descriptor, text))
            break;
    }
    {
        const std::lock_guard<std::mutex> guard(known->mutex);
        known->open.erase(descriptor);
        ::close(descriptor);
    }
    --known->threads;
}

std::string jsonText(const std::string& json, const std::string& name)
{
    const std::string key = "\"" + name + "\":\"";
    const std::size_t from = json.find(key);
    if (from == std::string::npos)
        return {};
    const std::size_t begin = from + key.size();
    return json.substr(begin, json.find('"', begin) - begin);
}

std::optional<std::int64_t> jsonNumber(const std::string& json, const std::string& name)
{
    const std::string key = "\"" + name + "\":";
    const std::size_t from = json.find(key);
    if (from == std::string::npos)
        return std::nullopt;
    return std::stoll(json.substr(from + key.size()));
}

}
