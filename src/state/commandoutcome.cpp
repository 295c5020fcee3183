#include "state/commandoutcome.h"

#include "state/bytecodec.h"
#include "state/outcomearchive.h"

namespace guavavalve {

std::string encodeOutcomes(const std::vector<CommandOutcome> &outcomes)
{
    std::vector<internal::StoredOutcome> stored;
    stored.reserve(outcomes.size());
    for (const CommandOutcome &outcome : outcomes)
        stored.emplace_back(outcome);
    return encodeBytes(stored);
}

Result<std::vector<CommandOutcome>> decodeOutcomes(const std::string &bytes)
{
    auto stored = decodeBytes<std::vector<internal::StoredOutcome>>(bytes, "a list of outcomes");
    if (stored.has_error())
        return stored.error();
    std::vector<CommandOutcome> outcomes;
    outcomes.reserve(stored.value().size());
    for (const internal::StoredOutcome &outcome : stored.value())
        outcomes.push_back(outcome.outcome());
    return outcomes;
}

} // namespace guavavalve
