// Generates the reference pages in Markdown from the setting tables.
#pragma once

#include <string>

namespace ebonywick {

/// Settings of a node.
[[nodiscard]] std::string settings_reference();
/// Settings of a gateway.
[[nodiscard]] std::string gateway_reference();
/// Keys of a declaration.
[[nodiscard]] std::string declaration_reference();

} // namespace ebonywick
