// Generates the reference pages in Markdown from the setting tables.
#include "settings/reference.h"

#include "settings/settingtable.h"

#include <fmt/format.h>

#include <span>
#include <string_view>

namespace ebonywick {

namespace {

std::string markdown_tables(std::span<const setting_descriptor> settings)
{
    std::string out;
    // Not the name of a section, so that the first setting starts a table.
    std::string_view section = "none";
    for (const auto& setting : settings) {
        if (setting.section != section) {
            section = setting.section;
            out += section.empty() ? "\n## Top level\n" : fmt::format("\n## {}\n", section);
            out += "\n| key | type | default | unit | accepted | meaning |\n"
                   "|---|---|---|---|---|---|\n";
        }
        out +=
            fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", setting.key, to_string(setting.type),
                        setting.required ? "required" : fmt::format("`{}`", setting.default_value),
                        setting.unit, accepted_values_text(setting), setting.help);
    }
    return out;
}

} // namespace

std::string settings_reference()
{
    return "# Node settings\n\nMade by `ebonywick reference settings`; don't edit.\n"
           "`ebonywick serve --settings FILE --check-settings` checks a file.\n" +
           markdown_tables(node_setting_table());
}

std::string gateway_reference()
{
    return "# Gateway settings\n\nMade by `ebonywick reference gateway`; don't edit.\n"
           "`ebonywick gateway --settings FILE --check-settings` checks a file.\n" +
           markdown_tables(gateway_setting_table());
}

std::string declaration_reference()
{
    return "# Declaration\n\nMade by `ebonywick reference declaration`; don't edit.\n"
           "`ebonywick validate FILE` checks a file.\n" +
           markdown_tables(declaration_setting_table());
}

} // namespace ebonywick
