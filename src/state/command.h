#pragma once

#include "state/commands/acceptjob.h"
#include "state/commands/canceljob.h"
#include "state/commands/endattempt.h"
#include "state/commands/forgetjobs.h"
#include "state/commands/grantkey.h"
#include "state/commands/lapsetarget.h"
#include "state/commands/placegang.h"
#include "state/commands/placetask.h"
#include "state/commands/reassigndispatcher.h"
#include "state/commands/refusejob.h"
#include "state/commands/registertarget.h"
#include "state/commands/retiretarget.h"
#include "state/commands/setdomainevacuated.h"
#include "state/commands/settargetdraining.h"
#include "state/commands/withdrawkey.h"
#include "state/commands/writesection.h"

#include <variant>

namespace guavavalve {

/// A change to the replicated state. The log stores the index of the alternative, so new
/// alternatives go at the end.
///
/// Some commands carry cell times: milliseconds of the clock of the controller that proposed them.
/// They serve retention, deadlines and reports; correctness does not depend on them.
using Command =
    std::variant<GrantKey, WithdrawKey, WriteSection, RegisterTarget, LapseTarget, RetireTarget,
                 SetTargetDraining, AcceptJob, PlaceTask, PlaceGang, EndAttempt, ReassignDispatcher,
                 CancelJob, ForgetJobs, RefuseJob, SetDomainEvacuated>;

} // namespace guavavalve
