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

/// A resend is proposed at another time; that alone makes it no other request.
std::uint64_t digestOf(WriteSection command)
{
    command.writtenAt = 0;
    return digestOf<WriteSection>(command);
}

/// The outcome as it is kept and answered; its bounds keep those of the state.
CommandOutcome outcomeOf(const Result<ConfigurationChanged> &result)
{
    if (result.has_error()) {
        Error error = result.error();
        error.message = error.message.substr(0, longestKeptError);
        return error;
    }
    return CommandValue(result.value());
}

} // namespace

} // namespace internal

/// Runs \a change, unless the request has been served before. Guards against an operator's
/// resend after a lost answer: without it a second write over the same base would be told that
/// somebody else had won, when it had itself.
template<typename OperatorCommand, typename Change>
CommandOutcome ClusterState::once(const OperatorCommand &command, const std::string &summary,
                                  Change change)
{
    const std::string &requestId = command.requestId;
    if (requestId.empty() || requestId.size() > internal::longestId)
        return failure(ErrorCode::InvalidArgument,
                       "a request needs an identity of 1 to 256 bytes, chosen by its sender");
    if (summary.size() > internal::longestSummary)
        return failure(ErrorCode::InvalidArgument,
                       "a key's identity or a section's name is too long");
    const std::uint64_t digest = internal::digestOf(command);
    if (const RequestLog::Entry *first = this->requests.find(requestId)) {
        if (first->digest == digest)
            return first->outcome;
        return failure(ErrorCode::Conflict,
                       "request identity " + internal::quoted(requestId)
                           + " stands for another request (" + first->summary
                           + "); choose a new one");
    }
    RequestLog::Entry entry;
    entry.digest = digest;
    entry.summary = summary;
    entry.outcome = change();
    CommandOutcome outcome = entry.outcome;
    this->requests.keep(requestId, std::move(entry));
    return outcome;
}

CommandOutcome ClusterState::applyOne(const GrantKey &command)
{
    return this->once(command, "grant of key " + internal::quoted(command.keyId),
                      [&] { return internal::outcomeOf(this->document.grant(command)); });
}

CommandOutcome ClusterState::applyOne(const WithdrawKey &command)
{
    return this->once(command, "withdrawal of key " + internal::quoted(command.keyId),
                      [&] { return internal::outcomeOf(this->document.withdraw(command)); });
}

CommandOutcome ClusterState::applyOne(const WriteSection &command)
{
    const std::string summary = "write of section " + internal::quoted(command.section)
        + " with key " + internal::quoted(command.author);
    return this->once(command, summary, [&] {
        CommandOutcome outcome = internal::outcomeOf(this->document.write(command));
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
