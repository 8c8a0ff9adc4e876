#pragma once

#include "core/learning/interference.h"
#include "core/learning/step_baseline.h"

namespace buckthornspar::learning {

/// What is noted of a run when it starts.
struct observed_run {
    step_baseline::step_id step = 0;
    /// Kinds of the other runs on the worker.
    kind_set neighbours = 0;
    kind_index kind = no_kind;
    /// The run does the whole work of its task by itself, so that its duration can be compared.
    bool comparable = false;
};

} // namespace buckthornspar::learning
