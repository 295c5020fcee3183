#include "untrusted/rawclient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace guavavalve::untrusted {

namespace {

constexpr timeval sendTimeout{5, 0};

} // namespace

RawClient::RawClient(const std::string &ip, int port)
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof sendTimeout);
    if (connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

RawClient::RawClient(int accepted)
    : socket(accepted)
{
    setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof sendTimeout);
}

RawClient::~RawClient()
{
    if (this->socket >= 0)
        ::close(this->socket);
}

bool RawClient::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void RawClient::sendEndless(std::string_view head, std::string_view repeated, std::size_t bytes)
{
    constexpr std::size_t blockBytes = std::size_t{64} << 10U;
    std::string block;
    while (block.size() < blockBytes)
        block += repeated;
    if (!this->send(head))
        return;
    for (std::size_t sent = 0; sent < bytes && this->send(block); sent += block.size()) {}
}

} // namespace guavavalve::untrusted
