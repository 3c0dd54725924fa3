// JSON form of the store objects. Reading is strict: unknown, missing and
// duplicate keys and values of another type are errors.
#include "control/objectcodec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string_view>

namespace ebonywick {

namespace {

using json = nlohmann::json;

constexpr std::string_view class_names[] = {"interactive", "batch"};
constexpr std::string_view yields_names[] = {"latency", "coverage"};

// The first fault of a text; later ones are ignored.
struct fault
{
    std::string message;

    void set(const std::string& path, std::string_view what)
    {
        if (message.empty())
            message = fmt::format("{}: {}", path.empty() ? "object" : path, what);
    }
};

// One JSON object. Values with a fault read as zero or empty.
class fields
{
public:
    fields(const json& node, std::string path, std::initializer_list<const char*> keys, fault& bad)
        : node_(node), path_(std::move(path)), bad_(bad)
    {
        if (!node.is_object()) {
            bad_.set(path_, "not an object");
            return;
        }
        for (const char* key : keys) {
            if (!node.contains(key))
                bad_.set(path_, fmt::format("key `{}` is missing", key));
        }
        if (node.size() != keys.size())
            bad_.set(path_, "unknown key");
    }

    [[nodiscard]] std::string text(const char* key) const
    {
        const json* value = find(key, &json::is_string, "not text");
        return value == nullptr ? std::string{} : value->get<std::string>();
    }

    [[nodiscard]] std::uint64_t integer(const char* key, std::uint64_t most) const
    {
        const json* value = find(key, &json::is_number_unsigned, "not an unsigned integer");
        if (value == nullptr)
            return 0;
        const auto n = value->get<std::uint64_t>();
        if (n > most)
            bad_.set(path_ + "." + key, "out of range");
        return n;
    }

    [[nodiscard]] std::uint32_t integer32(const char* key) const
    {
        return static_cast<std::uint32_t>(integer(key, std::numeric_limits<std::uint32_t>::max()));
    }

    [[nodiscard]] duration nanoseconds(const char* key) const
    {
        const json* value = find(key, &json::is_number_integer, "not an integer");
        if (value == nullptr)
            return {};
        if (value->is_number_unsigned() &&
            value->get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max())
            bad_.set(path_ + "." + key, "out of range");
        return duration{value->get<std::int64_t>()};
    }

    [[nodiscard]] double number(const char* key) const
    {
        const json* value = find(key, &json::is_number, "not a number");
        return value == nullptr ? 0.0 : value->get<double>();
    }

    template <std::size_t N>
    [[nodiscard]] std::size_t choice(const char* key, const std::string_view (&words)[N]) const
    {
        const std::string word = text(key);
        for (std::size_t it = 0; it < N; ++it) {
            if (words[it] == word)
                return it;
        }
        bad_.set(path_ + "." + key, "not a known word");
        return 0;
    }

    [[nodiscard]] endpoint address(const char* key) const
    {
        const std::string text_value = text(key);
        const auto out = parse_endpoint(text_value);
        // The second test refuses spellings such as a port with leading zeros.
        if (!out || to_string(*out) != text_value)
            bad_.set(path_ + "." + key, "not an address");
        return out.value_or(endpoint{});
    }

    /// Reads each entry of a list with `read(entry, path)`.
    template <class Read>
    [[nodiscard]] auto list(const char* key, Read read) const
    {
        std::vector<decltype(read(node_, path_))> out;
        const json* value = find(key, &json::is_array, "not a list");
        if (value == nullptr)
            return out;
        for (const auto& entry : *value)
            out.push_back(read(entry, fmt::format("{}.{}[{}]", path_, key, out.size())));
        return out;
    }

    template <class Id>
    [[nodiscard]] std::vector<Id> ids(const char* key) const
    {
        return list(key, [this](const json& entry, const std::string& path) {
            if (!entry.is_string())
                bad_.set(path, "not text");
            return Id{entry.is_string() ? entry.get<std::string>() : std::string{}};
        });
    }

private:
    const json* find(const char* key, bool (json::*is_type)() const noexcept,
                     const char* what) const
    {
        const auto it = node_.find(key);
        if (it == node_.end())
            return nullptr;
        if (!((*it).*is_type)()) {
            bad_.set(path_ + "." + key, what);
            return nullptr;
        }
        return &*it;
    }

    const json& node_;
    std::string path_;
    fault& bad_;
};

template <class Ids>
json id_list(const Ids& ids)
{
    json out = json::array();
    for (const auto& id : ids)
        out.push_back(id.value());
    return out;
}

json to_json(const upstream_declaration& upstream)
{
    return {{"id", upstream.id.value()},
            {"address", to_string(upstream.address)},
            {"failure_domain", upstream.domain.value()},
            {"slots", upstream.slots},
            {"connections", upstream.connections},
            {"cold_concurrency", upstream.cold_concurrency}};
}

json to_json(const service_declaration& service)
{
    json maps = json::array();
    for (const auto& map : service.shard_maps) {
        json shards = json::array();
        for (const auto& shard : map.shards) {
            json replicas = json::array();
            for (const auto& upstream : shard.replicas)
                replicas.push_back(to_json(upstream));
            shards.push_back({{"name", shard.name.value()}, {"replicas", std::move(replicas)}});
        }
        maps.push_back({{"epoch", map.epoch}, {"shards", std::move(shards)}});
    }
    return {{"name", service.name.value()},
            {"class", class_names[static_cast<std::size_t>(service.default_class)]},
            {"yields_first", yields_names[static_cast<std::size_t>(service.yields)]},
            {"least_coverage", service.least_coverage},
            {"shard_maps", std::move(maps)}};
}

json to_json(const preset_declaration& preset)
{
    return {{"name", preset.name.value()},
            {"deadline_ns", preset.deadline.count()},
            {"hedge_budget", preset.hedge_budget},
            {"interactive_limit", preset.interactive_limit},
            {"batch_limit", preset.batch_limit},
            {"batch_queue", preset.batch_queue},
            {"target_queue_wait_ns", preset.target_queue_wait.count()},
            {"domains_out", id_list(preset.domains_out)}};
}

json to_json(const roster_host& host)
{
    return {{"id", host.id.value()},
            {"failure_domain", host.domain.value()},
            {"http", to_string(host.http)},
            {"control", to_string(host.control)},
            {"dispatch", to_string(host.dispatch)}};
}

upstream_declaration upstream_from(const json& node, const std::string& path, fault& bad)
{
    const fields in{node,
                    path,
                    {"id", "address", "failure_domain", "slots", "connections", "cold_concurrency"},
                    bad};
    return {upstream_id{in.text("id")},
            in.address("address"),
            failure_domain_id{in.text("failure_domain")},
            in.integer32("slots"),
            in.integer32("connections"),
            in.integer32("cold_concurrency")};
}

shard_declaration shard_from(const json& node, const std::string& path, fault& bad)
{
    const fields in{node, path, {"name", "replicas"}, bad};
    return {shard_name{in.text("name")}, in.list("replicas", [&](const json& it, const auto& at) {
                return upstream_from(it, at, bad);
            })};
}

shard_map map_from(const json& node, const std::string& path, fault& bad)
{
    const fields in{node, path, {"epoch", "shards"}, bad};
    return {
        in.integer("epoch", std::numeric_limits<std::uint64_t>::max()),
        in.list("shards", [&](const json& it, const auto& at) { return shard_from(it, at, bad); })};
}

service_declaration service_from(const json& node, const std::string& path, fault& bad)
{
    const fields in{
        node, path, {"name", "class", "yields_first", "least_coverage", "shard_maps"}, bad};
    return {service_name{in.text("name")},
            static_cast<request_class>(in.choice("class", class_names)),
            static_cast<yields_first>(in.choice("yields_first", yields_names)),
            in.number("least_coverage"), in.list("shard_maps", [&](const json& it, const auto& at) {
                return map_from(it, at, bad);
            })};
}

preset_declaration preset_from(const json& node, const std::string& path, fault& bad)
{
    const fields in{node,
                    path,
                    {"name", "deadline_ns", "hedge_budget", "interactive_limit", "batch_limit",
                     "batch_queue", "target_queue_wait_ns", "domains_out"},
                    bad};
    return {preset_name{in.text("name")},
            in.nanoseconds("deadline_ns"),
            in.number("hedge_budget"),
            in.integer32("interactive_limit"),
            in.integer32("batch_limit"),
            in.integer32("batch_queue"),
            in.nanoseconds("target_queue_wait_ns"),
            in.ids<failure_domain_id>("domains_out")};
}

roster_host host_from(const json& node, const std::string& path, fault& bad)
{
    const fields in{node, path, {"id", "failure_domain", "http", "control", "dispatch"}, bad};
    return {host_id{in.text("id")}, failure_domain_id{in.text("failure_domain")},
            in.address("http"), in.address("control"), in.address("dispatch")};
}

// nlohmann-json keeps the last of duplicate keys; the callback finds them.
std::optional<json> parse(const std::string& text, fault& bad)
{
    std::vector<std::set<std::string>> seen;
    const auto watch = [&](int, json::parse_event_t event, json& value) {
        if (event == json::parse_event_t::object_start)
            seen.emplace_back();
        else if (event == json::parse_event_t::object_end)
            seen.pop_back();
        else if (event == json::parse_event_t::key &&
                 !seen.back().insert(value.get<std::string>()).second)
            bad.set("", fmt::format("duplicate key `{}`", value.get<std::string>()));
        return true;
    };
    json out = json::parse(text, watch, false);
    if (!out.is_discarded())
        return out;
    bad.set("", "not valid JSON");
    return std::nullopt;
}

// Invalid UTF-8, which no reader of declarations accepts in a name, is replaced.
std::string dump(const json& node)
{
    return node.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::string> change_ids_from(const fields& in, fault& bad)
{
    auto out = in.list("change_ids", [&](const json& entry, const std::string& path) {
        if (!entry.is_string())
            bad.set(path, "not text");
        return entry.is_string() ? entry.get<std::string>() : std::string{};
    });
    if (out.size() > max_change_ids)
        bad.set("change_ids", "too many entries");
    return out;
}

} // namespace

std::string encode(const config_object& object)
{
    json services = json::array();
    for (const auto& service : object.config.services)
        services.push_back(to_json(service));
    json presets = json::array();
    for (const auto& preset : object.config.presets)
        presets.push_back(to_json(preset));
    return dump({{"services", std::move(services)},
                 {"presets", std::move(presets)},
                 {"preset_in_force", object.config.preset_in_force.value()},
                 {"change_ids", object.change_ids}});
}

std::string encode(const roster_object& object)
{
    json hosts = json::array();
    for (const auto& host : object.hosts.hosts)
        hosts.push_back(to_json(host));
    return dump({{"hosts", std::move(hosts)},
                 {"witnesses", id_list(object.hosts.witnesses)},
                 {"previous_witnesses", id_list(object.hosts.previous_witnesses)},
                 {"change_ids", object.change_ids}});
}

result<config_object> decode_config(const std::string& text)
{
    fault bad;
    config_object out;
    if (const auto node = parse(text, bad)) {
        const fields in{*node, "", {"services", "presets", "preset_in_force", "change_ids"}, bad};
        out.config.services = in.list(
            "services", [&](const json& it, const auto& at) { return service_from(it, at, bad); });
        out.config.presets = in.list(
            "presets", [&](const json& it, const auto& at) { return preset_from(it, at, bad); });
        out.config.preset_in_force = preset_name{in.text("preset_in_force")};
        out.change_ids = change_ids_from(in, bad);
    }
    if (!bad.message.empty())
        return leaf::new_error(make_error(error_kind::invalid_declaration, bad.message));
    return out;
}

result<roster_object> decode_roster(const std::string& text)
{
    fault bad;
    roster_object out;
    if (const auto node = parse(text, bad)) {
        const fields in{*node, "", {"hosts", "witnesses", "previous_witnesses", "change_ids"}, bad};
        out.hosts.hosts = in.list(
            "hosts", [&](const json& it, const auto& at) { return host_from(it, at, bad); });
        out.hosts.witnesses = in.ids<host_id>("witnesses");
        out.hosts.previous_witnesses = in.ids<host_id>("previous_witnesses");
        out.change_ids = change_ids_from(in, bad);
    }
    if (!bad.message.empty())
        return leaf::new_error(make_error(error_kind::invalid_declaration, bad.message));
    return out;
}

} // namespace ebonywick
