#include "replicas/tcpmessenger.h"

#include "replicas/tcphub.h"

#include <utility>

namespace guavavalve {

TcpMessenger::TcpMessenger(MessengerOptions options)
    : hub(std::make_shared<internal::TcpHub>(std::move(options)))
{}

TcpMessenger::~TcpMessenger()
{
    this->hub->stop();
}

Result<void> TcpMessenger::start()
{
    return this->hub->start();
}

void TcpMessenger::stop()
{
    this->hub->stop();
}

std::uint16_t TcpMessenger::port() const
{
    return this->hub->port();
}

MessengerCounters TcpMessenger::counters() const
{
    return this->hub->counters();
}

void TcpMessenger::handle(Method method, Handler handler)
{
    this->hub->handle(method, std::move(handler));
}

void TcpMessenger::call(const std::string &address, Method method, std::string payload,
                        Instant deadline, Done<std::string> done)
{
    this->hub->call(address, method, std::move(payload), deadline, std::move(done));
}

std::optional<Instant> TcpMessenger::lastHeard(const std::string &address) const
{
    return this->hub->lastHeard(address);
}

} // namespace guavavalve
