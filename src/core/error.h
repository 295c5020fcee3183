#pragma once

#include "core/clock.h"
#include "core/enumnames.h"

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace guavavalve {

/// Whether the work may have started before the request failed. `No` is a guarantee.
enum class Ran : std::uint8_t { No, Yes, Unknown };

inline constexpr EnumNames<Ran, 3> ranNames{{
    {Ran::No, "no"},
    {Ran::Yes, "yes"},
    {Ran::Unknown, "unknown"},
}};

/// Reason for which a request was refused or an operation failed.
enum class ErrorCode : std::uint8_t {
    InvalidArgument, ///< the request itself is invalid; a retry cannot succeed
    Unauthenticated, ///< no key, or one that is unknown or revoked
    PermissionDenied, ///< the key's team is not allowed to do this
    NotFound, ///< the requested object does not exist
    Conflict, ///< the version or the identity is already in use elsewhere
    NeverFits, ///< exceeds the total capacity of every announced target
    LimitExceeded, ///< exceeds the team's upper limit or the capacity of a queue
    DeadlineExceeded, ///< cannot start, or did not finish, by its deadline
    Cancelled, ///< cancelled by its caller
    Unavailable, ///< no controller, quorum or lease is currently available
    NotLeader, ///< this replica is not the leader; the message names the leader if known
    TargetFailed, ///< the target ran the work and failed
    IncompleteAnswer, ///< the answer is shorter than the target announced
    Corrupt, ///< stored or received bytes are invalid
    Internal, ///< a defect of this program
    WriteRefused, ///< nothing was written, e.g. because the disk is full; a retry may succeed
    InUse, ///< another process holds a lock or an address; it may release it
};

inline constexpr EnumNames<ErrorCode, 17> errorCodeNames{{
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
    {ErrorCode::InUse, "in-use"},
}};

/// An error as a value.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    /// Human-readable: what happened, what was expected and what to do.
    std::string message;
    Ran ran = Ran::No;
    /// How long the caller should wait before a retry; zero: a retry is pointless.
    /// Only used on the wire, hence a duration and not a deadline.
    Milliseconds retryAfter{0};

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::int64_t wait = this->retryAfter.count();
        archive(this->code, this->message, this->ran, wait);
        this->retryAfter = Milliseconds(wait);
    }
};

/// A value or an Error. Uses Boost.Outcome because Boost.LEAF cannot be installed alongside the
/// Boost 1.74 of cpprestsdk. Accessing the value of an error is a violated precondition and
/// terminates the process.
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
