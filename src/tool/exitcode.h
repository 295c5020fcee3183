#pragma once

#include "core/enumnames.h"
#include "core/error.h"

namespace guavavalve {

/// What the tool's process ends with. Scripts rely on the numbers.
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
    {ExitCode::Done, "done as asked"},
    {ExitCode::Usage, "the command line is wrong; nothing was sent"},
    {ExitCode::Refused, "refused, and nothing was changed or run: mend the request or the key"},
    {ExitCode::Conflict, "somebody else was first: look at what is there, then ask again"},
    {ExitCode::Unavailable, "nobody could answer, and nothing was changed or run: ask again"},
    {ExitCode::Unknown, "it may have been carried out: send the same request identity again"},
    {ExitCode::Failed, "it ran and failed"},
}};

/// The code that stands for \a error.
ExitCode exitCodeOf(const Error &error);

} // namespace guavavalve
