#include <catch2/catch.hpp>

#include "core/codec.h"
#include "replicas/hello.h"
#include "replicas/raftmessage.h"
#include "replicas/securesession.h"
#include "replicas/tcpmessenger.h"
#include "replicas/wireframe.h"
#include "testgroup.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <netinet/in.h>
#include <random>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace guavavalve;
using guavavalve::internal::Hello;
using guavavalve::internal::SecureSession;
using guavavalve::internal::WireFrame;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

const std::string secret = "a secret of the tests";

MessengerOptions optionsOf(const std::string &instance)
{
    MessengerOptions options;
    options.instance = instance;
    options.listenAddress = "127.0.0.1:0";
    options.clusterId = "test";
    options.sharedSecret = secret;
    return options;
}

std::string addressOf(const TcpMessenger &messenger)
{
    return "127.0.0.1:" + std::to_string(messenger.port());
}

void serveEcho(TcpMessenger &messenger)
{
    messenger.handle(Method::Ping,
                     [](const InstanceId &from, const std::string &payload,
                        const Done<std::string> &reply) { reply(from + ": " + payload); });
}

Result<std::string> ping(TcpMessenger &from, const std::string &address, const std::string &payload,
                         Milliseconds limit = Milliseconds(20000))
{
    return await<std::string>([&](Done<std::string> done) {
        from.call(address, Method::Ping, payload, monotonicNow() + limit, std::move(done));
    });
}

/// A client that implements the protocol on a plain socket, in order to violate it.
class RawClient
{
public:
    explicit RawClient(const TcpMessenger &server)
        : socket(context)
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    /// Reads one length-prefixed message; empty if the server has closed the connection.
    std::string receive()
    {
        std::uint32_t length = 0;
        boost::system::error_code error;
        asio::read(this->socket, asio::buffer(&length, sizeof(length)), error);
        if (error)
            return {};
        std::string bytes(length, '\0');
        asio::read(this->socket, asio::buffer(bytes), error);
        return error ? std::string() : bytes;
    }

    /// Reads until the server closes the connection.
    void drain()
    {
        while (!this->receive().empty()) {}
    }

private:
    asio::io_context context;
    Tcp::socket socket;
};

std::string sealedCall(SecureSession &session, const std::string &payload)
{
    WireFrame frame;
    frame.kind = WireFrame::Kind::Call;
    frame.callId = 1;
    frame.method = static_cast<std::uint16_t>(Method::Ping);
    frame.payload = payload;
    return session.seal(encode(frame));
}

/// A server and a well-behaved caller, whose calls must succeed whatever other clients do.
struct ServerAndCaller
{
    ServerAndCaller()
        : server(optionsOf("server"))
        , caller(optionsOf("caller"))
    {
        server.handle(Method::Ping,
                      [this](const InstanceId &from, const std::string &payload,
                             const Done<std::string> &reply) {
                          ++this->served;
                          reply(from + ": " + payload);
                      });
        REQUIRE(this->server.start());
        REQUIRE(this->caller.start());
        this->checkCalls();
    }

    void checkCalls()
    {
        const auto reply = ping(this->caller, addressOf(this->server), "hello");
        REQUIRE(reply);
        CHECK(reply.value() == "caller: hello");
    }

    TcpMessenger server;
    TcpMessenger caller;
    std::atomic<int> served{0};
};

} // namespace

TEST_CASE("calls between two instances are answered over one connection", "[messenger]")
{
    ServerAndCaller pair;
    const std::string large(3 << 20, 'x');
    std::atomic<int> answered{0};
    for (int i = 0; i < 200; ++i) {
        pair.caller.call(addressOf(pair.server), Method::Ping, std::to_string(i),
                         monotonicNow() + Milliseconds(20000),
                         [&answered, i](const Result<std::string> &reply) {
                             if (reply && reply.value() == "caller: " + std::to_string(i))
                                 ++answered;
                         });
    }
    CHECK(ping(pair.caller, addressOf(pair.server), large).value().size() == large.size() + 8);
    CHECK(waitFor([&] { return answered == 200; }));
    CHECK(pair.caller.counters().connectionsOpened == 1);
    const auto unserved = await<std::string>([&](Done<std::string> done) {
        pair.caller.call(addressOf(pair.server), Method::Submit, "",
                         monotonicNow() + Milliseconds(20000), std::move(done));
    });
    CHECK(unserved.error().code == ErrorCode::NotFound);
}

// An unrelated client or an instance of another cluster connects and sends data. Its frames must be
// counted and dropped, and other callers of the same instance must not be affected.
TEST_CASE("frames from outside the cluster, forged and oversized ones do not affect other callers",
          "[messenger]")
{
    ServerAndCaller pair;
    {
        RawClient stranger(pair.server);
        stranger.send("GET / HTTP/1.1\r\n\r\n");
        stranger.drain();
    }
    CHECK(waitFor([&] { return pair.server.counters().badHandshakes == 1; }));
    {
        RawClient foreign(pair.server);
        SecureSession session("another cluster", "caller", secret, true);
        foreign.send(session.hello());
        foreign.drain();
    }
    CHECK(waitFor([&] { return pair.server.counters().badHandshakes == 2; }));
    {
        RawClient forger(pair.server);
        SecureSession session("test", "caller", "not the cluster's secret", true);
        forger.send(session.hello());
        REQUIRE(session.accept(forger.receive()));
        forger.send(sealedCall(session, "forged"));
        forger.drain();
    }
    CHECK(waitFor([&] { return pair.server.counters().unauthenticatedFrames == 1; }));
    {
        RawClient large(pair.server);
        SecureSession session("test", "caller", secret, true);
        large.send(session.hello());
        REQUIRE(session.accept(large.receive()));
        large.send(std::string("\x00\x00\x40\x00", 4)); // declares 4 MB before it is authenticated
        large.drain();
    }
    CHECK(waitFor([&] { return pair.server.counters().oversizedFrames == 1; }));
    {
        RawClient truncated(pair.server);
        SecureSession session("test", "caller", secret, true);
        truncated.send(session.hello());
        REQUIRE(session.accept(truncated.receive()));
        const std::string call = sealedCall(session, "cut");
        truncated.send(call.substr(0, call.size() / 2));
    }
    CHECK(pair.served == 1);
    pair.checkCalls();
    CHECK(pair.caller.counters().connectionsOpened == 1);
}

// Guards against strangers whose connections keep the other instances out.
TEST_CASE("connections that are not authenticated make room for instances", "[messenger]")
{
    auto options = optionsOf("server");
    options.maxInbound = 8;
    options.connectTimeout = Milliseconds(60000); // strangers stay
    TcpMessenger server(options);
    serveEcho(server);
    REQUIRE(server.start());
    std::vector<std::unique_ptr<RawClient>> strangers(40);
    std::generate_n(strangers.begin(), 20, [&] { return std::make_unique<RawClient>(server); });
    std::vector<std::unique_ptr<TcpMessenger>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<TcpMessenger>(optionsOf("caller")));
        REQUIRE(callers.back()->start());
        CHECK(ping(*callers.back(), addressOf(server), "x", Milliseconds(5000)));
    }
    std::generate_n(strangers.begin() + 20, 20,
                    [&] { return std::make_unique<RawClient>(server); });
    for (const auto &caller : callers) {
        CHECK(ping(*caller, addressOf(server), "y", Milliseconds(5000)));
        CHECK(caller->counters().connectionsOpened == 1);
    }
}

// Guards against a thread that tries without a pause to accept a connection for which the process
// has no descriptor.
TEST_CASE("a connection that cannot be accepted is tried again after a pause", "[messenger]")
{
    constexpr std::uint64_t withoutPause = 100; // in a second; with pauses there are 20
    TcpMessenger server(optionsOf("server"));
    serveEcho(server);
    REQUIRE(server.start());
    TcpMessenger caller(optionsOf("caller"));
    REQUIRE(caller.start());
    RawClient stranger(server);
    stranger.send("x"); // it has been accepted once the next one waits
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const int lowestFree = dup(STDIN_FILENO);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    const rlimit none{static_cast<rlim_t>(lowestFree) + 1, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK(connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    CHECK(waitFor([&] { return server.counters().acceptFailures > 0; }));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(server.counters().acceptFailures < withoutPause);
    setrlimit(RLIMIT_NOFILE, &before);
    close(client);
    close(lowestFree);
    CHECK(ping(caller, addressOf(server), "x"));
}

// An attacker who records traffic on the network replays a connection, so that a start or a vote
// would count twice. Nonces are fresh on each connection and frames are numbered, so the replay
// must be dropped.
TEST_CASE("replayed frames and connections are dropped", "[messenger]")
{
    ServerAndCaller pair;
    SecureSession session("test", "caller", secret, true);
    const std::string hello = session.hello();
    std::string call;
    {
        RawClient first(pair.server);
        first.send(hello);
        REQUIRE(session.accept(first.receive()));
        call = sealedCall(session, "once");
        first.send(call);
        CHECK(waitFor([&] { return pair.served == 2; }));
        first.send(call); // replays the frame on its own connection
        first.drain();
    }
    CHECK(waitFor([&] { return pair.server.counters().unauthenticatedFrames == 1; }));
    RawClient second(pair.server);
    second.send(hello);
    second.receive();
    second.send(call);
    second.drain();
    CHECK(waitFor([&] { return pair.server.counters().unauthenticatedFrames == 2; }));
    CHECK(pair.served == 2);
}

TEST_CASE("an authentic frame that cannot be decoded is dropped without closing its connection",
          "[messenger]")
{
    ServerAndCaller pair;
    RawClient odd(pair.server);
    SecureSession session("test", "caller", secret, true);
    odd.send(session.hello());
    REQUIRE(session.accept(odd.receive()));
    odd.send(session.seal("not a frame"));
    odd.send(sealedCall(session, "still here"));
    CHECK(waitFor([&] { return pair.served == 2; }));
    CHECK(pair.server.counters().malformedFrames == 1);
}

// A device between two instances loses the state of an open connection: writes still succeed but
// nothing ever comes back, while new connections work. Calls must not wait on it forever.
TEST_CASE("a connection on which nothing arrives any more is replaced", "[messenger]")
{
    auto options = optionsOf("caller");
    options.heartbeat = Milliseconds(50);
    options.idleTimeout = Milliseconds(300);
    TcpMessenger caller(options);
    REQUIRE(caller.start());
    // A peer that completes the handshake on the first connection and then sends nothing more.
    asio::io_context context;
    Tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto promise = std::make_shared<std::promise<Result<std::string>>>();
    caller.call(address, Method::Ping, "", monotonicNow() + Milliseconds(60000),
                [promise](Result<std::string> reply) { promise->set_value(std::move(reply)); });
    Tcp::socket socket = acceptor.accept();
    std::uint32_t length = 0;
    asio::read(socket, asio::buffer(&length, sizeof(length)));
    std::string hello(length, '\0');
    asio::read(socket, asio::buffer(hello));
    SecureSession session("test", "peer", secret, false);
    REQUIRE(session.accept(hello));
    asio::write(socket, asio::buffer(session.hello() + session.seal(encode(WireFrame{}))));

    const auto reply = promise->get_future().get();
    REQUIRE(reply.has_error());
    CHECK(reply.error().ran == Ran::Unknown); // it had been sent
    CHECK(caller.counters().connectionsReplaced == 1);
    caller.call(address, Method::Ping, "", monotonicNow() + Milliseconds(60000),
                [](const Result<std::string> &) {});
    Tcp::socket replacement = acceptor.accept();
    CHECK(replacement.is_open());
}

TEST_CASE("a call that was never sent fails with Ran::No", "[messenger]")
{
    TcpMessenger caller(optionsOf("caller"));
    REQUIRE(caller.start());
    const auto reply = ping(caller, "127.0.0.1:1", "x");
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::Unavailable);
    CHECK(reply.error().ran == Ran::No);
    CHECK(ping(caller, "nowhere", "x").error().ran == Ran::No);
}

// A peer is suspended and reads nothing. The data queued for it must stay bounded, and each call
// must end by its deadline.
TEST_CASE("calls to a suspended peer end by their deadlines and its queues stay bounded",
          "[messenger]")
{
    asio::io_context context;
    Tcp::acceptor frozen(context, {asio::ip::make_address("127.0.0.1"), 0});
    auto options = optionsOf("caller");
    options.maxQueuedBytes = 100000;
    options.connectTimeout = Milliseconds(60000);
    TcpMessenger caller(options);
    REQUIRE(caller.start());
    const std::string address = "127.0.0.1:" + std::to_string(frozen.local_endpoint().port());
    std::atomic<int> refused{0};
    std::atomic<int> late{0};
    for (int i = 0; i < 50; ++i) {
        caller.call(address, Method::Ping, std::string(10000, 'x'),
                    monotonicNow() + Milliseconds(300), [&](const Result<std::string> &reply) {
                        const bool isLate = reply.error().code == ErrorCode::DeadlineExceeded;
                        ++(isLate ? late : refused);
                    });
    }
    CHECK(waitFor([&] { return refused + late == 50; }));
    CHECK(refused == 40);
    CHECK(late == 10);
}

// Guards against a busy peer that counts as lost because its replies are late.
TEST_CASE("a peer is heard while it answers no calls, until its connection is gone",
          "[messenger][calls]")
{
    auto options = optionsOf("server");
    options.heartbeat = Milliseconds(20);
    TcpMessenger server(options);
    server.handle(Method::Ping,
                  [](const InstanceId &, const std::string &, const Done<std::string> &) {});
    REQUIRE(server.start());
    TcpMessenger caller(optionsOf("caller"));
    REQUIRE(caller.start());
    const std::string address = addressOf(server);
    CHECK_FALSE(caller.lastHeard(address));
    caller.call(address, Method::Ping, "", monotonicNow() + Milliseconds(60000),
                [](const Result<std::string> &) {});
    CHECK(waitFor([&] { return caller.lastHeard(address).has_value(); }));
    const Instant later = monotonicNow() + Milliseconds(50);
    CHECK(waitFor([&] { return caller.lastHeard(address).value_or(Instant{}) > later; }));
    server.stop();
    CHECK(waitFor([&] { return !caller.lastHeard(address); }));
}

TEST_CASE("a messenger that stops ends its pending calls", "[messenger]")
{
    TcpMessenger server(optionsOf("server"));
    std::vector<Done<std::string>> kept;
    std::mutex mutex;
    server.handle(Method::Ping,
                  [&](const InstanceId &, const std::string &, const Done<std::string> &reply) {
                      const std::lock_guard lock(mutex);
                      kept.push_back(reply);
                  });
    REQUIRE(server.start());
    TcpMessenger caller(optionsOf("caller"));
    REQUIRE(caller.start());
    std::atomic<int> ended{0};
    caller.call(addressOf(server), Method::Ping, "", monotonicNow() + Milliseconds(60000),
                [&](const Result<std::string> &) { ++ended; });
    CHECK(waitFor([&] {
        const std::lock_guard lock(mutex);
        return kept.size() == 1;
    }));
    caller.stop();
    CHECK(ended == 1);
    server.stop();
    kept.front()(std::string("too late")); // must not access the stopped messenger
}

TEST_CASE("an instance can be reached again after it restarts", "[messenger]")
{
    TcpMessenger caller(optionsOf("caller"));
    REQUIRE(caller.start());
    auto options = optionsOf("server");
    {
        TcpMessenger first(options);
        serveEcho(first);
        REQUIRE(first.start());
        options.listenAddress = addressOf(first);
        REQUIRE(ping(caller, options.listenAddress, "one"));
    }
    TcpMessenger second(options);
    serveEcho(second);
    REQUIRE(second.start());
    CHECK(waitFor([&] { return ping(caller, options.listenAddress, "two").has_value(); }));
}

// For any input, decoding ends with a value or an error and allocates no more than its size.
TEST_CASE("the frame decoders accept or reject arbitrary bytes without crashing",
          "[messenger][fuzz]")
{
    const std::uint64_t seed = 20261203;
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    RaftMessage message;
    AppendRequest append;
    append.entries = {{1, 1, EntryKind::Command, "abc"}, {2, 1, EntryKind::NoOp, ""}};
    message.body = append;
    WireFrame frame;
    frame.payload = "payload";
    const std::vector<std::string> samples{encode(message), encode(frame), encode(Hello{})};
    SecureSession caller("test", "a", secret, true);
    SecureSession callee("test", "b", secret, false);
    REQUIRE(callee.accept(caller.hello().substr(SecureSession::lengthBytes)));
    REQUIRE(caller.accept(callee.hello().substr(SecureSession::lengthBytes)));
    const std::string sealed = caller.seal("content").substr(SecureSession::lengthBytes);
    std::size_t opened = 0;
    std::size_t decoded = 0;
    for (int round = 0; round < 60000; ++round) {
        std::string bytes = samples[random() % samples.size()];
        std::string forged = sealed;
        for (auto changes = random() % 4; changes > 0; --changes) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
            forged[random() % forged.size()] ^= static_cast<char>(1 + random() % 255);
        }
        if (random() % 4 == 0)
            bytes.resize(random() % (bytes.size() + 1));
        decoded += decode<RaftMessage>(bytes).has_value() ? 1 : 0;
        decoded += decode<WireFrame>(bytes).has_value() ? 1 : 0;
        decoded += decode<Hello>(bytes).has_value() ? 1 : 0;
        if (forged != sealed)
            opened += callee.open(forged).has_value() ? 1 : 0;
    }
    CHECK(opened == 0);
    CHECK(decoded > 0);
    CHECK(callee.open(sealed) == std::string("content"));
}

TEST_CASE("a handler that throws or drops a call answers it with an error", "[messenger]")
{
    // Guards against a malformed call that ends the instance that serves it, and against callers
    // that wait for their deadline since the exception took the answer with it.
    TcpMessenger server(optionsOf("server"));
    TcpMessenger caller(optionsOf("caller"));
    serveEcho(server);
    server.handle(Method::Submit,
                  [](const InstanceId &, const std::string &, const Done<std::string> &) {
                      throw std::bad_alloc();
                  });
    server.handle(Method::Operate,
                  [](const InstanceId &, const std::string &, const Done<std::string> &) {});
    server.handle(Method::Announce,
                  [](const InstanceId &, const std::string &, const Done<std::string> &reply) {
                      reply(std::string("answered"));
                      throw std::runtime_error("afterwards");
                  });
    REQUIRE(server.start());
    REQUIRE(caller.start());
    const auto call = [&](Method method) {
        return await<std::string>([&](Done<std::string> done) {
            caller.call(addressOf(server), method, "", monotonicNow() + Milliseconds(20000),
                        std::move(done));
        });
    };
    for (const Method method : {Method::Submit, Method::Operate}) {
        const auto reply = call(method);
        REQUIRE_FALSE(reply);
        CHECK(reply.error().code == ErrorCode::Internal);
        CHECK(reply.error().ran == Ran::Unknown);
    }
    CHECK(call(Method::Announce).value() == "answered");
    CHECK(server.counters().exceptions == 2);
    CHECK(ping(caller, addressOf(server), "still served").value() == "caller: still served");
}

TEST_CASE("a completion handler that throws does not affect the other calls", "[messenger]")
{
    ServerAndCaller pair;
    pair.caller.call(addressOf(pair.server), Method::Ping, "thrown at",
                     monotonicNow() + Milliseconds(20000),
                     [](const Result<std::string> &) { throw std::runtime_error("in a reply"); });
    CHECK(waitFor([&] { return pair.caller.counters().exceptions == 1; }));
    CHECK(ping(pair.caller, addressOf(pair.server), "next").value() == "caller: next");
}
