#pragma once

#include "core/clock.h"
#include "core/enumnames.h"

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace guavavalve {

/// Whether work may have begun when a request failed. `No` is a promise.
enum class Ran : std::uint8_t { No, Yes, Unknown };

inline constexpr EnumNames<Ran, 3> ranNames{{
    {Ran::No, "no"},
    {Ran::Yes, "yes"},
    {Ran::Unknown, "unknown"},
}};

/// Why something was refused or failed.
enum class ErrorCode : std::uint8_t {
    InvalidArgument, ///< the request itself is wrong; sending it again changes nothing
    Unauthenticated, ///< no key, or one that is unknown or withdrawn
    PermissionDenied, ///< the key's team may not do this
    NotFound, ///< no such thing
    Conflict, ///< the version or the identity is already taken by something else
    NeverFits, ///< no announced target could ever hold it
    LimitExceeded, ///< over the team's upper limit or a bounded queue
    DeadlineExceeded, ///< it cannot start, or did not finish, by its deadline
    Cancelled, ///< cancelled by its caller
    Unavailable, ///< no controller, quorum or lease at the moment
    NotLeader, ///< this replica does not lead; the message names who does, if known
    TargetFailed, ///< the target ran it and failed
    IncompleteAnswer, ///< less arrived than the target announced
    Corrupt, ///< stored or received bytes fail their checks
    Internal, ///< a fault of ours
    WriteRefused, ///< the disk took nothing of a write, as a full one does: it may be tried again
};

inline constexpr EnumNames<ErrorCode, 16> errorCodeNames{{
    {ErrorCode::InvalidArgument, "invalid-argument"},
    {ErrorCode::Unauthenticated, "unauthenticated"},
    {ErrorCode::PermissionDenied, "permission-denied"},
    {ErrorCode::NotFound, "not-found"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::NeverFits, "never-fits"},
    {ErrorCode::LimitExceeded, "limit-exceeded"},
    {ErrorCode::DeadlineExceeded, "deadline-exceeded"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::Unavailable, "unavailable"},
    {ErrorCode::NotLeader, "not-leader"},
    {ErrorCode::TargetFailed, "target-failed"},
    {ErrorCode::IncompleteAnswer, "incomplete-answer"},
    {ErrorCode::Corrupt, "corrupt"},
    {ErrorCode::Internal, "internal"},
    {ErrorCode::WriteRefused, "write-refused"},
}};

/// An error as a value.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    /// What happened, what was expected and what to do, for a person to read.
    std::string message;
    Ran ran = Ran::No;
    /// How long the caller should wait before it comes back; zero: no use in coming back.
    /// On the wire only, so a duration and not a deadline.
    Milliseconds retryAfter{0};

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::int64_t wait = this->retryAfter.count();
        archive(this->code, this->message, this->ran, wait);
        this->retryAfter = Milliseconds(wait);
    }
};

/// A value or an Error. Boost.Outcome stands in for Boost.LEAF, which cannot be installed beside
/// cpprestsdk's Boost 1.74. Reading the value of an error is a broken invariant and terminates.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Shorthand for an error return: `return failure(ErrorCode::NotFound, "...")`.
inline Error failure(ErrorCode code, std::string message)
{
    Error error;
    error.code = code;
    error.message = std::move(message);
    return error;
}

} // namespace guavavalve
