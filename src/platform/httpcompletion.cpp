#include "platform/httpcompletion.h"

#include <exception>
#include <utility>

namespace guavavalve::internal {

void whenSettled(const pplx::task<void> &sending, std::function<void()> settled)
{
    sending.then([settled = std::move(settled)](const pplx::task<void> &sent) {
        try {
            sent.get();
        } catch (const std::exception &) {
            // The caller left before its answer; that is its own right.
        }
        settled();
    });
}

} // namespace guavavalve::internal
