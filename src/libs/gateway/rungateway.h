// Main function of the gateway process.
#pragma once

#include "settings/gatewaysettings.h"

#include <string>

namespace ebonywick {

/// Serves until SIGTERM or SIGINT, drains, and returns the exit code of the process. The
/// settings file is reloaded on SIGHUP and when its modification time or size changes.
int run_gateway(const gateway_settings& settings, const std::string& settings_path);

} // namespace ebonywick
