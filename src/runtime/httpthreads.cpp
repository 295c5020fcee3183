// The library's header for its threads still uses a name that this macro takes out of Asio.
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
        // The pool is there already: the library allows one size for the life of the process.
    }
}

} // namespace guavavalve
