#include "controller/configurationfollower.h"

#include "controller/remotecontroller.h"
#include "state/configurationchanges.h"
#include "state/keysecret.h"

#include <mutex>
#include <utility>

namespace guavavalve {

namespace {

constexpr Milliseconds syncTimeout{1500};
constexpr Milliseconds retryDelay{100};

} // namespace

ConfigurationFollower::ConfigurationFollower(Options options, RemoteController &controller)
    : options(std::move(options))
    , controller(controller)
{}

void ConfigurationFollower::start()
{
    this->sendRequest();
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
        return noLeaseError();
    const KeyRecord *key = this->view.key(token.value().keyId);
    if (key == nullptr
        || !secretMatches(token.value(), this->options.clusterSecret, key->keyedHash)) {
        return failure(ErrorCode::Unauthenticated, "the key is unknown or has been withdrawn");
    }
    return *key;
}

Error ConfigurationFollower::noLeaseError()
{
    Error error = failure(
        ErrorCode::Unavailable,
        "this instance holds no configuration lease: it has no contact with the controller");
    error.retryAfter = Milliseconds(1000);
    return error;
}

void ConfigurationFollower::sendRequest()
{
    if (this->stopped)
        return;
    SyncRequest request;
    request.entry = this->options.instance;
    request.address = this->options.address;
    request.holdsReplica = this->options.holdsReplica;
    request.heldVersion = this->version();
    request.waitMs = this->options.maxReplyHold.count();
    const Instant sentAt = this->options.clock();
    this->controller.synchronise(
        request, sentAt + syncTimeout,
        [self = this->shared_from_this(), sentAt](const Result<SyncReply> &reply) {
            self->replyReceived(sentAt, reply);
        });
}

void ConfigurationFollower::replyReceived(Instant sentAt, const Result<SyncReply> &reply)
{
    bool applied = false;
    if (reply) {
        const auto changes = decodeChanges(reply.value().changes);
        const std::unique_lock lock(this->mutex);
        applied = changes && this->view.applyChanges(changes.value());
        if (applied)
            this->leaseEnd = sentAt + Milliseconds(reply.value().leaseMs);
    }
    if (this->stopped)
        return;
    this->options.delay(applied ? Milliseconds(1) : retryDelay,
                        [self = this->shared_from_this()] { self->sendRequest(); });
}

} // namespace guavavalve
