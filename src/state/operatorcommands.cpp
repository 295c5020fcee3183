#include "core/codec.h"
#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <cereal/types/string.hpp>

#include <xxhash.h>

#include <utility>

namespace guavavalve {
namespace internal {

namespace {

template<typename OperatorCommand>
std::uint64_t digestOf(const OperatorCommand &command)
{
    const std::string bytes = encode(command);
    return XXH3_64bits(bytes.data(), bytes.size());
}

/// Ignores the time of the write, which differs when the same request is resent.
std::uint64_t digestOf(WriteSection command)
{
    command.writtenAt = 0;
    return digestOf<WriteSection>(command);
}

/// The outcome as it is stored and returned. The error message is truncated to bound the state.
CommandOutcome storedOutcome(const Result<ConfigurationChanged> &result)
{
    if (result.has_error()) {
        Error error = result.error();
        error.message = error.message.substr(0, maxErrorBytes);
        return error;
    }
    return CommandValue(result.value());
}

} // namespace

} // namespace internal

/// Runs \a change and records its outcome, or returns the recorded outcome if the request has been
/// applied before. Guards against an operator's resend after a lost answer: the resent write would
/// otherwise fail with a version conflict that its own first write had caused.
template<typename OperatorCommand, typename Change>
CommandOutcome ClusterState::applyOnce(const OperatorCommand &command, const std::string &summary,
                                       Change change)
{
    const std::string &requestId = command.requestId;
    if (requestId.empty() || requestId.size() > internal::maxIdBytes)
        return failure(ErrorCode::InvalidArgument,
                       "a request needs an ID of 1 to 256 bytes, chosen by its sender");
    if (summary.size() > internal::maxSummaryBytes)
        return failure(ErrorCode::InvalidArgument, "the key ID or the section name is too long");
    const std::uint64_t digest = internal::digestOf(command);
    if (const RequestLog::Entry *first = this->requests.find(requestId)) {
        if (first->digest == digest)
            return first->outcome;
        return failure(ErrorCode::Conflict,
                       "request ID " + internal::quoted(requestId)
                           + " was already used for another request (" + first->summary
                           + "); choose a new ID");
    }
    RequestLog::Entry entry;
    entry.digest = digest;
    entry.summary = summary;
    entry.outcome = change();
    CommandOutcome outcome = entry.outcome;
    this->requests.add(requestId, std::move(entry));
    return outcome;
}

CommandOutcome ClusterState::applyOne(const GrantKey &command)
{
    return this->applyOnce(command, "grant of key " + internal::quoted(command.keyId),
                           [&] { return internal::storedOutcome(this->document.grant(command)); });
}

CommandOutcome ClusterState::applyOne(const WithdrawKey &command)
{
    return this->applyOnce(command, "withdrawal of key " + internal::quoted(command.keyId), [&] {
        return internal::storedOutcome(this->document.withdraw(command));
    });
}

CommandOutcome ClusterState::applyOne(const WriteSection &command)
{
    const std::string summary = "write of section " + internal::quoted(command.section)
        + " with key " + internal::quoted(command.author);
    return this->applyOnce(command, summary, [&] {
        CommandOutcome outcome = internal::storedOutcome(this->document.write(command));
        const std::string team = teamOfSection(command.section);
        if (outcome.has_value() && !team.empty() && this->teamNamed(team) == nullptr) {
            TeamRecord record;
            record.id = static_cast<TeamId>(this->teamTable.size() + 1);
            record.name = team;
            this->teamsByName[team] = record.id;
            this->teamTable[record.id] = std::move(record);
        }
        return outcome;
    });
}

} // namespace guavavalve
