#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// What an instance has heard of the controller and the replicas: decides whether the controller
/// counts as lost. A controller that is slow to answer calls is still heard, since any frame from
/// it counts; one that has stopped or cannot be reached is silent.
///
/// Frames alone do not show that a replica leads: only one that has answered a call, and has not
/// refused one since, counts as the controller.
class ControllerLiveness
{
public:
    /// A frame from \a address arrived at \a when. Earlier times than the known one are ignored.
    void heard(const std::string &address, Instant when);
    /// \a address answered a call as the controller.
    void answered(const std::string &address, Instant now);
    /// \a address does not lead or serve, or the connection to it was lost.
    void denied(const std::string &address);
    /// Forgets addresses that are not in \a addresses and not the controller's.
    void keepOnly(const std::vector<std::string> &addresses);

    /// When \a address was last heard; the epoch if never.
    Instant lastHeard(const std::string &address) const;
    /// The address of the replica that counts as the controller; empty: none.
    const std::string &controller() const { return this->confirmed; }
    /// When the controller was last heard of; the epoch if never.
    Instant lastContact() const;

private:
    std::map<std::string, Instant> heardAt;
    std::string confirmed;
    Instant contact{}; ///< of any controller, without frames that arrived since its last answer
};

} // namespace guavavalve
