#pragma once

#include "core/memoryarchive.h"
#include "state/commandoutcome.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

namespace guavavalve::internal {

/// A CommandOutcome in a form that cereal can serialise.
struct StoredOutcome
{
    bool accepted = true;
    CommandValue value;
    Error error;

    StoredOutcome() = default;
    explicit StoredOutcome(const CommandOutcome &outcome)
        : accepted(outcome.has_value())
    {
        if (this->accepted)
            this->value = outcome.value();
        else
            this->error = outcome.error();
    }

    CommandOutcome outcome() const
    {
        if (this->accepted)
            return this->value;
        return this->error;
    }

    template<typename Archive>
    void save(Archive &archive) const
    {
        archive(this->accepted);
        if (this->accepted)
            archive(this->value);
        else
            archive(this->error);
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        archive(this->accepted);
        if (this->accepted)
            archive(this->value);
        else
            archive(this->error);
    }
};

} // namespace guavavalve::internal
