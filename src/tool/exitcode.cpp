#include "tool/exitcode.h"

namespace guavavalve {

ExitCode exitCodeOf(const Error &error)
{
    if (error.ran == Ran::Unknown)
        return ExitCode::Unknown;
    if (error.ran == Ran::Yes)
        return ExitCode::Failed;
    switch (error.code) {
    case ErrorCode::Conflict:
        return ExitCode::Conflict;
    case ErrorCode::Unavailable:
    case ErrorCode::NotLeader:
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::Internal:
    case ErrorCode::WriteRefused:
    case ErrorCode::InUse:
        return ExitCode::Unavailable;
    default:
        return ExitCode::Refused;
    }
}

} // namespace guavavalve
