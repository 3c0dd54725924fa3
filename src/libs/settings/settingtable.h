// Tables with the key, type, default, unit, range and help of each node setting, each gateway
// setting and each value of a declaration. They are the only source for the readers and the
// reference pages.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace ebonywick {

enum class setting_type { name, address, address_list, name_list, integer, number, choice, list };

/// Describes one key of a file.
struct setting_descriptor
{
    // Kind of mapping that the key belongs to, for example `replica`; empty for the top level
    // of the file.
    std::string_view section = {};
    std::string_view key = {};
    setting_type type = setting_type::name;
    // YAML text of the default; unused if `required`.
    std::string_view default_value = {};
    bool required = false;
    std::string_view unit = {};
    // Inclusive bounds of integers and numbers.
    double min = 0;
    double max = 0;
    // Accepted words of a choice, separated by `|`.
    std::string_view choices = {};
    std::string_view help = {};
};

[[nodiscard]] std::span<const setting_descriptor> node_setting_table();
[[nodiscard]] std::span<const setting_descriptor> gateway_setting_table();
[[nodiscard]] std::span<const setting_descriptor> declaration_setting_table();

/// Name of the type in the reference pages.
[[nodiscard]] std::string_view to_string(setting_type type);
/// Accepted values in words, for example `1 to 64`.
[[nodiscard]] std::string accepted_values_text(const setting_descriptor& setting);

} // namespace ebonywick
