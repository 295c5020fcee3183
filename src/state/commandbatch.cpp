#include "state/commandbatch.h"

#include "core/codec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>

namespace guavavalve {
namespace internal {

namespace {

/// Raised with every change of the format; a decoder refuses what it does not know.
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
bool isNamed(const EnumNames<Enum, Count> &names, Enum value)
{
    return std::any_of(names.begin(), names.end(),
                       [value](const auto &row) { return row.first == value; });
}

/// Enumerators are used as positions in tables, so a value outside its table must not get in.
struct HasKnownValues
{
    bool operator()(const GrantKey &command) const { return isNamed(keyRoleNames, command.role); }
    bool operator()(const AcceptJob &command) const
    {
        return isNamed(workClassNames, command.workClass);
    }
    bool operator()(const EndAttempt &command) const
    {
        return isNamed(attemptOutcomeNames, command.outcome);
    }
    bool operator()(const RefuseJob &command) const
    {
        return isNamed(errorCodeNames, command.code);
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
                       "a batch of " + std::to_string(bytes.size()) + " bytes is over the limit of "
                           + std::to_string(maxBatchBytes) + "; propose fewer commands at once");
    return bytes;
}

Result<CommandBatch> decodeBatch(const std::string &bytes)
{
    if (bytes.size() > maxBatchBytes)
        return failure(ErrorCode::Corrupt, "a command batch is over its largest size");
    auto encoded = decode<internal::EncodedBatch>(bytes);
    if (encoded.has_error())
        return encoded.error();
    if (encoded.value().format != internal::batchFormat)
        return failure(ErrorCode::Corrupt,
                       "a command batch has format " + std::to_string(encoded.value().format)
                           + ", this version reads " + std::to_string(internal::batchFormat));
    const auto &commands = encoded.value().batch.commands;
    const bool known = std::all_of(commands.begin(), commands.end(), [](const Command &command) {
        return std::visit(internal::HasKnownValues(), command);
    });
    if (!known)
        return failure(ErrorCode::Corrupt, "a command batch holds an unknown enumerator");
    return std::move(encoded.value().batch);
}

} // namespace guavavalve
