#pragma once

/// \file
/// Basic types that all other modules share: identifiers, resources, work classes, time and error
/// values. Depends on no other module of this project.

#include "core/attemptoutcome.h"
#include "core/clock.h"
#include "core/done.h"
#include "core/enumnames.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/taskstate.h"
#include "core/workclass.h"
