#include "state/commandbatch.h"

#include "core/codec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>

namespace guavavalve {
namespace internal {

namespace {

/// Incremented with every change of the format; the decoder rejects any other value.
constexpr std::uint16_t batchFormat = 1;

struct EncodedBatch
{
    std::uint16_t format = batchFormat;
    CommandBatch batch;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->batch.shard, this->batch.commands);
    }
};

template<typename Enum, std::size_t Count>
bool isEnumerator(const EnumNames<Enum, Count> &names, Enum value)
{
    return std::any_of(names.begin(), names.end(),
                       [value](const auto &row) { return row.first == value; });
}

/// Enumerators are used as array indices, so a value without an enumerator must be rejected.
struct HasKnownEnumerators
{
    bool operator()(const GrantKey &command) const
    {
        return isEnumerator(keyRoleNames, command.role);
    }
    bool operator()(const AcceptJob &command) const
    {
        return isEnumerator(workClassNames, command.workClass);
    }
    bool operator()(const EndAttempt &command) const
    {
        return isEnumerator(attemptOutcomeNames, command.outcome);
    }
    bool operator()(const RefuseJob &command) const
    {
        return isEnumerator(errorCodeNames, command.code);
    }
    template<typename Other>
    bool operator()(const Other &) const
    {
        return true;
    }
};

} // namespace

} // namespace internal

Result<std::string> encodeBatch(const CommandBatch &batch)
{
    internal::EncodedBatch encoded;
    encoded.batch = batch;
    std::string bytes = encode(encoded);
    if (bytes.size() > maxBatchBytes)
        return failure(ErrorCode::InvalidArgument,
                       "a batch of " + std::to_string(bytes.size()) + " bytes exceeds the limit of "
                           + std::to_string(maxBatchBytes)
                           + " bytes; propose fewer commands at once");
    return bytes;
}

Result<CommandBatch> decodeBatch(const std::string &bytes)
{
    if (bytes.size() > maxBatchBytes)
        return failure(ErrorCode::Corrupt,
                       "the command batch has " + std::to_string(bytes.size())
                           + " bytes, more than the limit of " + std::to_string(maxBatchBytes));
    auto encoded = decode<internal::EncodedBatch>(bytes);
    if (encoded.has_error())
        return encoded.error();
    if (encoded.value().format != internal::batchFormat)
        return failure(ErrorCode::Corrupt,
                       "the command batch has format " + std::to_string(encoded.value().format)
                           + ", but this version reads only "
                           + std::to_string(internal::batchFormat));
    const auto &commands = encoded.value().batch.commands;
    const bool known = std::all_of(commands.begin(), commands.end(), [](const Command &command) {
        return std::visit(internal::HasKnownEnumerators(), command);
    });
    if (!known)
        return failure(ErrorCode::Corrupt, "the command batch holds an unknown enumerator");
    return std::move(encoded.value().batch);
}

} // namespace guavavalve
