#include "replicas/exceptionguard.h"

#include "replicas/atomiccounters.h"
#include "replicas/messengeroptions.h"

namespace guavavalve::internal {

void noteException(const MessengerOptions &options, AtomicCounters &counters,
                   const std::exception &problem)
{
    ++counters.exceptions;
    if (options.onException)
        options.onException(problem.what());
}

} // namespace guavavalve::internal
