#include "Common.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/json/src.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepMilliseconds(std::int64_t span) { std::this_thread::sleep_for(std::chrono::milliseconds(span)); }

Record::Record(const std::string& path)
    : descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
{
}

Record::~Record() { ::close(this->descriptor); }

void Record::write(const std::string& line) const
{
    const std::string text = std::to_string(wallMilliseconds()) + " " + line + "\n";
    if (::write(this->descriptor, text.data(), text.size()) < 0)
        std::perror("record");
}

namespace {

sockaddr_in addressOf(const std::string& text)
{
    sockaddr_in address {};
    const std::size_t colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int descriptor, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Reads one message with a Content-Length; `buffer` keeps what arrived beyond it.
std::optional<Message> readMessage(int descriptor, std::string& buffer)
{
    std::size_t end = std::string::npos;
    char chunk[8192];
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t count = ::recv(descriptor, chunk, sizeof(chunk), 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
    Message message;
    std::size_t lineStart = 0;
    std::size_t length = 0;
    while (lineStart < end) {
        const std::size_t lineEnd = std::min(buffer.find("\r\n", lineStart), end);
        const std::string line = buffer.substr(lineStart, lineEnd - lineStart);
        if (lineStart == 0) {
            const std::size_t first = line.find(' ');
            const std::size_t second = line.find(' ', first + 1);
            message.method = line.substr(0, first);
            message.path = line.substr(first + 1, second - first - 1);
            if (message.method.starts_with("HTTP/"))
                message.status = std::atoi(message.path.c_str());
        } else if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lowered(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        lineStart = lineEnd + 2;
    }
    if (const auto found = message.headers.find("content-length"); found != message.headers.end())
        length = std::stoul(found->second);
    buffer.erase(0, end + 4);
    while (buffer.size() < length) {
        const ssize_t count = ::recv(descriptor, chunk, sizeof(chunk), 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return message;
}

std::string headerText(const Message& message)
{
    std::string text;
    for (const auto& [name, value] : message.headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n";
}

}

Connection::Connection(const std::string& address, std::int64_t timeoutMilliseconds)
{
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit { timeoutMilliseconds / 1000, timeoutMilliseconds % 1000 * 1000 };
    ::setsockopt(opened, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(opened, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int yes = 1;
    ::setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const sockaddr_in target = addressOf(address);
    if (::connect(opened, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0)
        ::close(opened);
    else
        this->descriptor = opened;
}

Connection::~Connection()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

void Connection::reset()
{
    const linger none { 1, 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    ::close(this->descriptor);
    this->descriptor = -1;
}

std::optional<Message> Connection::exchange(const Message& request)
{
    if (this->descriptor < 0
        || !sendAll(this->descriptor,
            request.method + " " + request.path + " HTTP/1.1\r\n" + headerText(request) + request.body))
        return std::nullopt;
    std::string buffer;
    return readMessage(this->descriptor, buffer);
}

std::optional<Message> call(const std::string& address, const Message& request, std::int64_t timeoutMilliseconds)
{
    Connection connection(address, timeoutMilliseconds);
    return connection.exchange(request);
}

bool Server::start(const std::string& address, Handler newHandler)
{
    this->handler = std::move(newHandler);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in own = addressOf(address);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 || ::listen(listener, 128) != 0) {
        ::close(listener);
        return false;
    }
    std::thread([this, listener] {
        while (true) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int noDelay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::thread([this, accepted] {
                std::string buffer;
                while (const std::optional<Message> request = readMessage(accepted, buffer)) {
                    Message response = this->handler(*request);
                    response.headers["Content-Type"] = "application/json";
                    if (!sendAll(accepted,
                            "HTTP/1.1 " + std::to_string(response.status) + " X\r\n" + headerText(response)
                                + response.body))
                        break;
                }
                ::close(accepted);
            }).detach();
        }
    }).detach();
    return true;
}

void Child::start(const std::vector<std::string>& command, const std::map<std::string, std::string>& environment,
    const std::string& folder, const std::string& outputFile)
{
    this->id = ::fork();
    if (this->id != 0)
        return;
    // It ends with this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    for (const auto& [name, value] : environment)
        ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> arguments;
    for (const std::string& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    if (::chdir(folder.c_str()) == 0)
        ::execv(arguments[0], arguments.data());
    std::perror(arguments[0]);
    ::_exit(127);
}

void Child::signal(int number) const
{
    if (this->id > 0)
        ::kill(this->id, number);
}

void Child::kill()
{
    if (this->id <= 0)
        return;
    ::kill(this->id, SIGKILL);
    ::waitpid(this->id, nullptr, 0);
    this->id = -1;
}

bool Child::waitEnd(std::int64_t spanMilliseconds)
{
    const std::int64_t until = steadyMilliseconds() + spanMilliseconds;
    while (this->isRunning()) {
        if (steadyMilliseconds() >= until)
            return false;
        sleepMilliseconds(5);
    }
    return true;
}

bool Child::isRunning()
{
    if (this->id > 0 && ::waitpid(this->id, nullptr, WNOHANG) == this->id)
        this->id = -1;
    return this->id > 0;
}

bool isPortFree(const std::string& ip, int port)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in own = addressOf(ip + ":" + std::to_string(port));
    const bool isFree = ::bind(probe, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0;
    ::close(probe);
    return isFree;
}

}
