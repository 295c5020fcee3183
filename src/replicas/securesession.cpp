#include "replicas/securesession.h"

#include "core/codec.h"
#include "replicas/hello.h"

#include <sodium.h>

#include <cstring>

namespace guavavalve::internal {

namespace {

constexpr char toCallee = 'r';
constexpr char toCaller = 'a';

using Nonce = std::array<unsigned char, crypto_aead_chacha20poly1305_ietf_NPUBBYTES>;

Nonce nonceOf(std::uint64_t number)
{
    Nonce nonce{};
    std::memcpy(nonce.data(), &number, sizeof(number));
    return nonce;
}

const unsigned char *asBytes(const char *data)
{
    return reinterpret_cast<const unsigned char *>(data);
}

std::string withLength(std::string_view bytes)
{
    const auto length = static_cast<std::uint32_t>(bytes.size());
    std::string result(SecureSession::lengthBytes, '\0');
    std::memcpy(result.data(), &length, sizeof(length));
    result.append(bytes);
    return result;
}

} // namespace

static_assert(SecureSession::tagBytes == crypto_aead_chacha20poly1305_ietf_ABYTES);

SecureSession::SecureSession(const std::string &cluster, const InstanceId &instance,
                             const std::string &secret, bool calls)
    : clusterId(cluster)
    , isCaller(calls)
{
    Hello greeting;
    greeting.clusterId = cluster;
    greeting.instance = instance;
    randombytes_buf(greeting.nonce.data(), greeting.nonce.size());
    this->ownHello = encode(greeting);
    crypto_generichash(this->secretKey.data(), this->secretKey.size(), asBytes(secret.data()),
                       secret.size(), nullptr, 0);
}

std::string SecureSession::hello() const
{
    return withLength(this->ownHello);
}

Result<void> SecureSession::accept(std::string_view hello)
{
    auto decoded = decode<Hello>(hello);
    if (!decoded || decoded.value().magic != Hello::expectedMagic)
        return failure(ErrorCode::Corrupt, "the peer's handshake is not of this protocol");
    const Hello &greeting = decoded.value();
    if (greeting.version != Hello::currentVersion)
        return failure(ErrorCode::Conflict, "the peer uses another protocol version");
    if (greeting.clusterId != this->clusterId)
        return failure(ErrorCode::Conflict, "the peer belongs to another cluster");
    this->peerInstance = greeting.instance;
    const std::string_view own = this->ownHello;
    const auto caller = this->isCaller ? own : hello;
    const auto callee = this->isCaller ? hello : own;
    this->sendKey = this->deriveKey(caller, callee, this->isCaller ? toCallee : toCaller);
    this->receiveKey = this->deriveKey(caller, callee, this->isCaller ? toCaller : toCallee);
    return boost::outcome_v2::success();
}

SecureSession::Key SecureSession::deriveKey(std::string_view callerHello,
                                            std::string_view calleeHello, char direction) const
{
    std::string transcript = withLength(callerHello) + withLength(calleeHello);
    transcript.push_back(direction);
    Key key{};
    crypto_generichash(key.data(), key.size(), asBytes(transcript.data()), transcript.size(),
                       this->secretKey.data(), this->secretKey.size());
    return key;
}

std::string SecureSession::seal(std::string_view plain)
{
    const auto length = static_cast<std::uint32_t>(plain.size() + tagBytes);
    std::string frame(lengthBytes + length, '\0');
    std::memcpy(frame.data(), &length, sizeof(length));
    const Nonce nonce = nonceOf(this->sent++);
    crypto_aead_chacha20poly1305_ietf_encrypt(
        reinterpret_cast<unsigned char *>(frame.data() + lengthBytes), nullptr,
        asBytes(plain.data()), plain.size(), asBytes(frame.data()), lengthBytes, nullptr,
        nonce.data(), this->sendKey.data());
    return frame;
}

std::optional<std::string> SecureSession::open(std::string_view sealed)
{
    if (sealed.size() < tagBytes)
        return std::nullopt;
    const auto length = static_cast<std::uint32_t>(sealed.size());
    const Nonce nonce = nonceOf(this->received);
    std::string plain(sealed.size() - tagBytes, '\0');
    const int opened = crypto_aead_chacha20poly1305_ietf_decrypt(
        reinterpret_cast<unsigned char *>(plain.data()), nullptr, nullptr, asBytes(sealed.data()),
        sealed.size(), reinterpret_cast<const unsigned char *>(&length), sizeof(length),
        nonce.data(), this->receiveKey.data());
    if (opened != 0)
        return std::nullopt;
    ++this->received;
    return plain;
}

} // namespace guavavalve::internal
