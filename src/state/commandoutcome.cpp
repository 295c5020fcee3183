#include "state/commandoutcome.h"

#include "core/codec.h"
#include "state/outcomearchive.h"

namespace guavavalve {

std::string encodeOutcomes(const std::vector<CommandOutcome> &outcomes)
{
    std::vector<internal::StoredOutcome> stored;
    stored.reserve(outcomes.size());
    for (const CommandOutcome &outcome : outcomes)
        stored.emplace_back(outcome);
    return encode(stored);
}

Result<std::vector<CommandOutcome>> decodeOutcomes(const std::string &bytes)
{
    auto stored = decode<std::vector<internal::StoredOutcome>>(bytes);
    if (stored.has_error())
        return stored.error();
    std::vector<CommandOutcome> outcomes;
    outcomes.reserve(stored.value().size());
    for (const internal::StoredOutcome &outcome : stored.value())
        outcomes.push_back(outcome.outcome());
    return outcomes;
}

} // namespace guavavalve
