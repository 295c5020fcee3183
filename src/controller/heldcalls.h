#pragma once

#include "core/clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace guavavalve {

/// Callers' requests that an instance holds while no controller is in contact, and hands in once
/// one is, only a few at a time: the requests of all instances reach a new controller together.
/// Those with the most time left come first. They can still be done in time, and would not be
/// behind those that are late already.
///
/// Pure: the owner reports the time and the ends of calls. A held call has never been sent, so its
/// rejection as not run is true of this attempt; of an earlier one elsewhere nothing is known here.
class HeldCalls
{
public:
    struct Options
    {
        std::size_t maxCalls = 2000;
        std::size_t maxBytes = 8U << 20U;
        /// Calls handed in and not yet answered, at first; one more for each that is answered. All
        /// instances hand in together: a few each fill a batch of the controller.
        std::size_t maxInFlight = 8;
        /// Time that must be left before a call's deadline when it is handed in: several times what
        /// a controller takes to store a request.
        Milliseconds reserve{200};
        /// Maximum time for which a call is held: most changes of leader take less, and its caller
        /// has time left to try another instance if only this one is cut off.
        Milliseconds maxHold{1000};
    };

    struct Call
    {
        Instant deadline; ///< by which the caller needs an answer
        std::size_t bytes = 0;
        std::function<void()> handIn;
        std::function<void()> reject;
    };

    HeldCalls();
    explicit HeldCalls(Options options);

    /// Holds \a call. Returns false, and does not take it, if too much is held already or no time
    /// is left to serve it.
    bool hold(Call &call, Instant now);
    /// Removes the calls that can no longer be served in time or were held for long enough.
    std::vector<Call> takeExpired(Instant now);
    /// Removes the next call to hand in, and counts it as in flight; none if enough are.
    std::optional<Call> takeNext();
    /// A call that was handed in has been answered.
    void ended();

    std::size_t size() const { return this->calls.size(); }
    bool isEmpty() const { return this->calls.empty(); }

private:
    Call take(std::multimap<Instant, Call>::iterator which);

    Options options;
    std::multimap<Instant, Call> calls; ///< by when they are given up
    std::size_t bytes = 0;
    std::size_t inFlight = 0;
    std::size_t window = 0; ///< maximum of inFlight in the present period
};

} // namespace guavavalve
