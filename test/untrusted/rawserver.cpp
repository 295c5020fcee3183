#include "untrusted/rawserver.h"

#include "untrusted/rawclient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>
#include <vector>

namespace guavavalve::untrusted {

RawServer::RawServer(const std::string &ip, int port, std::string head, std::string repeated,
                     std::size_t bytes)
    : head(std::move(head))
    , repeated(std::move(repeated))
    , bytes(bytes)
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 16;
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(this->listener, backlog) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    this->thread = std::thread([this] { this->serve(); });
}

RawServer::~RawServer()
{
    this->isClosing = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
}

void RawServer::serve()
{
    std::vector<std::thread> connections;
    while (!this->isClosing) {
        const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            break;
        connections.emplace_back([this, accepted] {
            RawClient client(accepted);
            client.sendEndless(this->head, this->repeated, this->bytes);
            ++this->finishedConnections;
        });
    }
    for (std::thread &connection : connections)
        connection.join();
}

} // namespace guavavalve::untrusted
