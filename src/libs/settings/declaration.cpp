// Look-ups in a configuration, and the text form of addresses.
#include "settings/declaration.h"

#include <algorithm>
#include <charconv>

namespace ebonywick {

std::string to_string(const endpoint& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc{} || last != end || port == 0)
        return std::nullopt;
    return endpoint{text.substr(0, colon), port};
}

const service_declaration* configuration::find_service(const service_name& name) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const auto& service) { return service.name == name; });
    return it == services.end() ? nullptr : &*it;
}

preset_declaration configuration::active_preset() const
{
    const auto it = std::find_if(presets.begin(), presets.end(), [&](const auto& preset) {
        return preset.name == preset_in_force;
    });
    return it == presets.end() ? preset_declaration{} : *it;
}

bool configuration::is_domain_out(const failure_domain_id& domain) const
{
    const auto it = std::find_if(presets.begin(), presets.end(), [&](const auto& preset) {
        return preset.name == preset_in_force;
    });
    if (it == presets.end())
        return false;
    return std::find(it->domains_out.begin(), it->domains_out.end(), domain) !=
           it->domains_out.end();
}

} // namespace ebonywick
