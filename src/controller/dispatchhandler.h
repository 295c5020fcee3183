#pragma once

#include "controller/dispatchorder.h"

#include <vector>

namespace guavavalve {

/// Carries out the controller's orders on an entry. An order may arrive more than once.
class DispatchHandler
{
public:
    virtual ~DispatchHandler() = default;

    virtual void dispatch(std::vector<DispatchOrder> orders) = 0;
};

} // namespace guavavalve
