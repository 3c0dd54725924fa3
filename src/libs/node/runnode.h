// Runs one node until it is told to stop.
#pragma once

#include "settings/nodesettings.h"

namespace ebonywick {

/// Serves until SIGTERM or SIGINT, then drains. Returns the exit code: 0 after a
/// complete drain, 3 if a second signal cut work short, 7 if the node could not
/// start.
int run_node(const node_settings& settings);

} // namespace ebonywick
