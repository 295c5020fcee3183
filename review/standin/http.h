// A small HTTP/1.1 client and server over blocking sockets, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Message
{
    std::string first; // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    int status = 0; // of a response; 0: no response

    std::string word(int n) const
    {
        std::size_t at = 0;
        for (; n > 0; --n)
            at = this->first.find(' ', at) + 1;
        return this->first.substr(at, this->first.find(' ', at) - at);
    }
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Closes a socket with a reset.
inline void resetSocket(int fd)
{
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

/// Reads one message. \a buffer keeps bytes that follow it. False: closed, failed or too late.
inline bool readMessage(int fd, std::string &buffer, Message &message, std::int64_t deadline)
{
    const auto more = [&] {
        const std::int64_t left = deadline - steadyMs();
        pollfd one{fd, POLLIN, 0};
        if (left <= 0 || poll(&one, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t got = recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    message = {};
    std::size_t at = buffer.find("\r\n");
    message.first = buffer.substr(0, at);
    while (at < end) {
        const std::size_t begin = at + 2;
        at = buffer.find("\r\n", begin);
        const std::string line = buffer.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char &c : name)
            c = static_cast<char>(tolower(c));
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers[name] = line.substr(value);
    }
    const std::string length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < end + 4 + size) {
        if (!more())
            return false;
    }
    message.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return true;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// One request on a connection of its own. The status is 0 if no complete response arrived.
inline Message httpCall(const std::string &ip, int port, const std::string &method,
                        const std::string &path, const std::map<std::string, std::string> &headers,
                        const std::string &body, std::int64_t timeoutMs)
{
    const std::int64_t deadline = steadyMs() + timeoutMs;
    Message none;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return none;
    timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in to = addressOf(ip, port);
    std::string request = method + " " + path + " HTTP/1.1\r\n";
    if (headers.count("Host") == 0)
        request += "Host: " + ip + ":" + std::to_string(port) + "\r\n";
    for (const auto &[name, value] : headers)
        request += name + ": " + value + "\r\n";
    if (!body.empty())
        request += "Content-Type: application/json\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n"
        + body;
    Message response;
    std::string buffer;
    const bool isAnswered = connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0
        && sendAll(fd, request) && readMessage(fd, buffer, response, deadline);
    ::close(fd);
    if (!isAnswered)
        return none;
    response.status = std::stoi(response.word(1));
    return response;
}

inline std::string responseText(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
