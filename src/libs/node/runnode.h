// Entry point of the process of a node.
#pragma once

#include "settings/nodesettings.h"

namespace ebonywick {

/// Serves until SIGTERM or SIGINT, then drains. Returns the exit code: 0 after a
/// complete drain, 7 if the node could not start. A second signal aborts the drain
/// and ends the process with exit code 3.
int run_node(const node_settings& settings);

} // namespace ebonywick
