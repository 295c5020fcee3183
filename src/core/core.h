#pragma once

/// \file
/// The vocabulary that every other module shares: identities, resources, classes of work, time
/// and errors as values. It depends on nothing of ours.

#include "core/attemptoutcome.h"
#include "core/clock.h"
#include "core/done.h"
#include "core/enumnames.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/taskstate.h"
#include "core/workclass.h"
