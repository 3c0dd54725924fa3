// Reads node settings, gateway settings and declarations from YAML, and writes declarations.
// All problems of a text are reported together.
#pragma once

#include "settings/declaration.h"
#include "settings/gatewaysettings.h"
#include "settings/nodesettings.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace ebonywick {

/// One problem in a settings or declaration file.
struct setting_problem
{
    std::string file;
    // Counted from 1.
    int line = 0;
    // Path of the key, for example `services[0].name`; empty for the whole file.
    std::string key;
    std::string message;
    std::string accepted_values;
    std::string remedy;

    auto operator<=>(const setting_problem&) const = default;
};

/// `FILE:LINE: KEY: MESSAGE (accepted: VALUES); REMEDY`.
[[nodiscard]] std::string to_string(const setting_problem& problem);

/// The settings, or all problems sorted by line. Does not throw for any `text`; `file` is only
/// used to name the text in problems.
[[nodiscard]] std::variant<node_settings, std::vector<setting_problem>>
read_node_settings(const std::string& text, const std::string& file);

/// Like read_node_settings(), for a gateway.
[[nodiscard]] std::variant<gateway_settings, std::vector<setting_problem>>
read_gateway_settings(const std::string& text, const std::string& file);

/// Like read_node_settings(); also applies check_configuration().
[[nodiscard]] std::variant<configuration, std::vector<setting_problem>>
read_declaration(const std::string& text, const std::string& file);

/// YAML from which read_declaration() reads an equal configuration if `config` is valid.
[[nodiscard]] std::string write_declaration(const configuration& config);

} // namespace ebonywick
