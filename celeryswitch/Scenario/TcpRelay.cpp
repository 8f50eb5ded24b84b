#include "celeryswitch/Scenario/TcpRelay.h"

#include "celeryswitch/Core/SocketAddress.h"
#include "celeryswitch/Scenario/ChildProcess.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <set>
#include <thread>

namespace celeryswitch::Scenario {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint endpointOf(const std::string& address)
{
    const std::optional<Core::SocketAddress> parsed = Core::parseSocketAddress(address);
    return parsed ? tcp::endpoint(parsed->ip, parsed->port) : tcp::endpoint();
}

// Two connected sockets; each direction moves bytes only while the relay is not cut.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(tcp::socket accepted, asio::io_context& context)
        : near(std::move(accepted))
        , far(context)
    {
    }

    void start(const std::string& destination, const bool* cutFlag)
    {
        this->isCut = cutFlag;
        this->far.async_connect(endpointOf(destination), [self = this->shared_from_this()](error_code error) {
            if (error)
                return self->close();
            error_code ignored;
            self->near.set_option(tcp::no_delay(true), ignored);
            self->far.set_option(tcp::no_delay(true), ignored);
            self->isConnected = true;
            self->resume();
        });
    }

    // Moves bytes again after a cut.
    void resume()
    {
        if (!this->isConnected)
            return;
        this->pump(this->near, this->far, this->outward);
        this->pump(this->far, this->near, this->inward);
    }

private:
    // Bytes on their way in one direction.
    struct Direction {
        std::array<char, 65536> buffer {};
        std::size_t held = 0;
        bool isBusy = false;
        bool hasEnded = false;
    };

    void close()
    {
        error_code ignored;
        this->near.close(ignored);
        this->far.close(ignored);
    }

    void pump(tcp::socket& from, tcp::socket& to, Direction& direction)
    {
        if (direction.isBusy || *this->isCut)
            return;
        if (direction.hasEnded)
            return this->close();
        direction.isBusy = true;
        if (direction.held != 0)
            return this->pass(from, to, direction);
        from.async_read_some(asio::buffer(direction.buffer),
            [self = this->shared_from_this(), &from, &to, &direction](error_code error, std::size_t size) {
                direction.isBusy = false;
                direction.hasEnded = bool(error);
                direction.held = size;
                // Bytes and ends that arrive as the cut begins stay here until it is over.
                self->pump(from, to, direction);
            });
    }

    void pass(tcp::socket& from, tcp::socket& to, Direction& direction)
    {
        asio::async_write(to, asio::buffer(direction.buffer.data(), direction.held),
            [self = this->shared_from_this(), &from, &to, &direction](error_code error, std::size_t) {
                direction.isBusy = false;
                direction.held = 0;
                direction.hasEnded = direction.hasEnded || bool(error);
                self->pump(from, to, direction);
            });
    }

    tcp::socket near;
    tcp::socket far;
    Direction outward;
    Direction inward;
    bool isConnected = false;
    const bool* isCut = nullptr;
};

}

class TcpRelay::Implementation {
public:
    explicit Implementation(const std::string& destination)
        : acceptor(this->context)
        , destination(destination)
    {
    }
    ~Implementation()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    error_code listen()
    {
        error_code error;
        const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
        this->acceptor.open(endpoint.protocol(), error);
        if (!error)
            this->acceptor.bind(endpoint, error);
        if (!error)
            this->acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return error;
        this->address = "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
        return error;
    }

    void run(std::function<void()> action) { asio::post(this->context, std::move(action)); }

    void setCut(bool value)
    {
        this->isCut = value;
        if (value)
            return;
        for (auto link = this->links.begin(); link != this->links.end();) {
            const std::shared_ptr<Link> open = link->lock();
            if (open)
                open->resume();
            link = open ? std::next(link) : this->links.erase(link);
        }
        for (tcp::socket& socket : std::exchange(this->heldSockets, {}))
            this->forward(std::move(socket));
    }

private:
    asio::io_context context { 1 };

public:
    tcp::acceptor acceptor;
    std::string address;
    std::string destination;

private:
    void accept()
    {
        this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            if (this->isCut)
                this->heldSockets.push_back(std::move(socket));
            else
                this->forward(std::move(socket));
            this->accept();
        });
    }

    void forward(tcp::socket socket)
    {
        const auto link = std::make_shared<Link>(std::move(socket), this->context);
        this->links.insert(link);
        link->start(this->destination, &this->isCut);
    }

    bool isCut = false;
    std::set<std::weak_ptr<Link>, std::owner_less<>> links;
    std::vector<tcp::socket> heldSockets;
    std::thread thread;
};

Core::Result<std::unique_ptr<TcpRelay>> TcpRelay::start(const std::string& destination)
{
    auto implementation = std::make_unique<Implementation>(destination);
    if (const error_code error = implementation->listen())
        return Core::Error(ScenarioError::StartFailed, "relay: " + error.message());
    return std::unique_ptr<TcpRelay>(new TcpRelay(std::move(implementation)));
}

TcpRelay::TcpRelay(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

TcpRelay::~TcpRelay() = default;

const std::string& TcpRelay::address() const { return this->implementation->address; }

void TcpRelay::setDestination(const std::string& destination)
{
    this->implementation->run([this, destination] { this->implementation->destination = destination; });
}

void TcpRelay::setCut(bool isCut)
{
    std::promise<void> done;
    this->implementation->run([&] {
        this->implementation->setCut(isCut);
        done.set_value();
    });
    done.get_future().wait();
}

}
