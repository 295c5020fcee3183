#pragma once

#include "core/enumnames.h"
#include "core/error.h"

namespace guavavalve {

/// The exit status of the tool's process. Scripts rely on the numbers.
enum class ExitCode : std::uint8_t {
    Done = 0,
    Usage = 2,
    Refused = 3,
    Conflict = 4,
    Unavailable = 5,
    Unknown = 6,
    Failed = 7,
};

inline constexpr EnumNames<ExitCode, 7> exitCodeMeanings{{
    {ExitCode::Done, "success"},
    {ExitCode::Usage, "invalid command line; no request was sent"},
    {ExitCode::Refused, "refused; nothing was changed or run: correct the request or the key"},
    {ExitCode::Conflict, "conflict with a concurrent change: check the current state, then retry"},
    {ExitCode::Unavailable, "no server could answer; nothing was changed or run: retry"},
    {ExitCode::Unknown,
     "the request may have been carried out: retry with the same request identity"},
    {ExitCode::Failed, "carried out, but failed"},
}};

/// The exit code that reports \a error.
ExitCode exitCodeOf(const Error &error);

} // namespace guavavalve
