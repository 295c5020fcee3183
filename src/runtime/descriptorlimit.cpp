#include "runtime/descriptorlimit.h"

#include <algorithm>
#include <sys/resource.h>

namespace guavavalve {

std::size_t raiseDescriptorLimit(std::size_t wanted)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return wanted;
    if (limit.rlim_cur >= wanted)
        return limit.rlim_cur;
    const rlim_t before = limit.rlim_cur;
    limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    return setrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : before;
}

} // namespace guavavalve
