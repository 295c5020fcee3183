#include "controller/configurationfollower.h"

#include "controller/remotecontroller.h"
#include "state/configurationchanges.h"
#include "state/keysecret.h"

#include <mutex>
#include <utility>

namespace guavavalve {

namespace {

constexpr Milliseconds askLimit{1500};
constexpr Milliseconds pauseAfterError{100};

} // namespace

ConfigurationFollower::ConfigurationFollower(Options options, RemoteController &controller)
    : options(std::move(options))
    , controller(controller)
{}

void ConfigurationFollower::start()
{
    this->ask();
}

void ConfigurationFollower::stop()
{
    this->stopped = true;
}

bool ConfigurationFollower::holdsLease() const
{
    const std::shared_lock lock(this->mutex);
    return this->options.clock() < this->leaseEnd;
}

std::uint64_t ConfigurationFollower::version() const
{
    return this->read([](const ConfigurationView &held) { return held.version(); });
}

Result<KeyRecord> ConfigurationFollower::identify(const std::string &bearer) const
{
    const Result<KeyToken> token = parseToken(bearer);
    if (!token)
        return token.error();
    const std::shared_lock lock(this->mutex);
    if (this->options.clock() >= this->leaseEnd)
        return noLease();
    const KeyRecord *key = this->view.key(token.value().keyId);
    if (key == nullptr
        || !secretMatches(token.value(), this->options.clusterSecret, key->keyedHash)) {
        return failure(ErrorCode::Unauthenticated, "the key is not known, or is withdrawn");
    }
    return *key;
}

Error ConfigurationFollower::noLease()
{
    Error error =
        failure(ErrorCode::Unavailable, "this instance has lost touch with the controller");
    error.retryAfter = Milliseconds(1000);
    return error;
}

void ConfigurationFollower::ask()
{
    if (this->stopped)
        return;
    SyncRequest request;
    request.entry = this->options.instance;
    request.address = this->options.address;
    request.holdsReplica = this->options.holdsReplica;
    request.heldVersion = this->version();
    request.waitMs = this->options.hold.count();
    const Instant sentAt = this->options.clock();
    this->controller.synchronise(
        request, sentAt + askLimit,
        [self = this->shared_from_this(), sentAt](const Result<SyncReply> &reply) {
            self->answered(sentAt, reply);
        });
}

void ConfigurationFollower::answered(Instant sentAt, const Result<SyncReply> &reply)
{
    bool taken = false;
    if (reply) {
        const auto changes = decodeChanges(reply.value().changes);
        const std::unique_lock lock(this->mutex);
        taken = changes && this->view.applyChanges(changes.value());
        if (taken)
            this->leaseEnd = sentAt + Milliseconds(reply.value().leaseMs);
    }
    if (this->stopped)
        return;
    this->options.delay(taken ? Milliseconds(1) : pauseAfterError,
                        [self = this->shared_from_this()] { self->ask(); });
}

} // namespace guavavalve
