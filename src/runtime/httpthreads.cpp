// pplx/threadpool.h still uses a name that this macro removes from Asio.
#undef BOOST_ASIO_NO_DEPRECATED

#include "runtime/httpthreads.h"

#include <pplx/threadpool.h>

#include <exception>

namespace guavavalve {

void initializeHttpThreads(std::size_t threads)
{
    try {
        crossplat::threadpool::initialize_with_threads(threads);
    } catch (const std::exception &) {
        // The pool exists already: its size cannot be changed while the process runs.
    }
}

} // namespace guavavalve
