// JSON encoding of the store objects. Decoding is strict: unknown, missing and
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

// The first error in a text; later ones are ignored.
struct decode_failure
{
    std::string message;

    void report(const std::string& path, std::string_view what)
    {
        if (message.empty())
            message = fmt::format("{}: {}", path.empty() ? "object" : path, what);
    }
};

// Reads the fields of one JSON object. The constructor checks the set of keys. A value
// with an error is reported and returned as zero or empty.
class object_reader
{
public:
    object_reader(const json& node, std::string path, std::initializer_list<const char*> keys,
                  decode_failure& failure)
        : node_(node), path_(std::move(path)), failure_(failure)
    {
        if (!node.is_object()) {
            failure_.report(path_, "not an object");
            return;
        }
        for (const char* key : keys) {
            if (!node.contains(key))
                failure_.report(path_, fmt::format("key `{}` is missing", key));
        }
        if (node.size() != keys.size())
            failure_.report(path_, "unknown key");
    }

    [[nodiscard]] std::string text(const char* key) const
    {
        const json* value = find(key, &json::is_string, "not text");
        return value == nullptr ? std::string{} : value->get<std::string>();
    }

    [[nodiscard]] std::uint64_t integer(const char* key, std::uint64_t max) const
    {
        const json* value = find(key, &json::is_number_unsigned, "not an unsigned integer");
        if (value == nullptr)
            return 0;
        const auto n = value->get<std::uint64_t>();
        if (n > max)
            failure_.report(path_ + "." + key, "out of range");
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
            failure_.report(path_ + "." + key, "out of range");
        return duration{value->get<std::int64_t>()};
    }

    [[nodiscard]] double number(const char* key) const
    {
        const json* value = find(key, &json::is_number, "not a number");
        return value == nullptr ? 0.0 : value->get<double>();
    }

    template <std::size_t N>
    [[nodiscard]] std::size_t index_of(const char* key, const std::string_view (&names)[N]) const
    {
        const std::string name = text(key);
        for (std::size_t it = 0; it < N; ++it) {
            if (names[it] == name)
                return it;
        }
        failure_.report(path_ + "." + key, "not a known word");
        return 0;
    }

    [[nodiscard]] endpoint address(const char* key) const
    {
        const std::string text_value = text(key);
        const auto out = parse_endpoint(text_value);
        // Comparing the text rejects other spellings, such as a port with leading zeros.
        if (!out || to_string(*out) != text_value)
            failure_.report(path_ + "." + key, "not an address");
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
                failure_.report(path, "not text");
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
            failure_.report(path_ + "." + key, what);
            return nullptr;
        }
        return &*it;
    }

    const json& node_;
    std::string path_;
    decode_failure& failure_;
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

upstream_declaration read_upstream(const json& node, const std::string& path,
                                   decode_failure& failure)
{
    const object_reader in{
        node,
        path,
        {"id", "address", "failure_domain", "slots", "connections", "cold_concurrency"},
        failure};
    return {upstream_id{in.text("id")},
            in.address("address"),
            failure_domain_id{in.text("failure_domain")},
            in.integer32("slots"),
            in.integer32("connections"),
            in.integer32("cold_concurrency")};
}

shard_declaration read_shard(const json& node, const std::string& path, decode_failure& failure)
{
    const object_reader in{node, path, {"name", "replicas"}, failure};
    return {shard_name{in.text("name")}, in.list("replicas", [&](const json& it, const auto& at) {
                return read_upstream(it, at, failure);
            })};
}

shard_map read_shard_map(const json& node, const std::string& path, decode_failure& failure)
{
    const object_reader in{node, path, {"epoch", "shards"}, failure};
    return {in.integer("epoch", std::numeric_limits<std::uint64_t>::max()),
            in.list("shards",
                    [&](const json& it, const auto& at) { return read_shard(it, at, failure); })};
}

service_declaration read_service(const json& node, const std::string& path, decode_failure& failure)
{
    const object_reader in{
        node, path, {"name", "class", "yields_first", "least_coverage", "shard_maps"}, failure};
    return {service_name{in.text("name")},
            static_cast<request_class>(in.index_of("class", class_names)),
            static_cast<yields_first>(in.index_of("yields_first", yields_names)),
            in.number("least_coverage"), in.list("shard_maps", [&](const json& it, const auto& at) {
                return read_shard_map(it, at, failure);
            })};
}

preset_declaration read_preset(const json& node, const std::string& path, decode_failure& failure)
{
    const object_reader in{node,
                           path,
                           {"name", "deadline_ns", "hedge_budget", "interactive_limit",
                            "batch_limit", "batch_queue", "target_queue_wait_ns", "domains_out"},
                           failure};
    return {preset_name{in.text("name")},
            in.nanoseconds("deadline_ns"),
            in.number("hedge_budget"),
            in.integer32("interactive_limit"),
            in.integer32("batch_limit"),
            in.integer32("batch_queue"),
            in.nanoseconds("target_queue_wait_ns"),
            in.ids<failure_domain_id>("domains_out")};
}

roster_host read_host(const json& node, const std::string& path, decode_failure& failure)
{
    const object_reader in{
        node, path, {"id", "failure_domain", "http", "control", "dispatch"}, failure};
    return {host_id{in.text("id")}, failure_domain_id{in.text("failure_domain")},
            in.address("http"), in.address("control"), in.address("dispatch")};
}

// nlohmann-json silently keeps the last of duplicate keys; the callback detects them.
std::optional<json> parse(const std::string& text, decode_failure& failure)
{
    std::vector<std::set<std::string>> seen;
    const auto track_keys = [&](int, json::parse_event_t event, json& value) {
        if (event == json::parse_event_t::object_start)
            seen.emplace_back();
        else if (event == json::parse_event_t::object_end)
            seen.pop_back();
        else if (event == json::parse_event_t::key &&
                 !seen.back().insert(value.get<std::string>()).second)
            failure.report("", fmt::format("duplicate key `{}`", value.get<std::string>()));
        return true;
    };
    json out = json::parse(text, track_keys, false);
    if (!out.is_discarded())
        return out;
    failure.report("", "not valid JSON");
    return std::nullopt;
}

// Replaces invalid UTF-8 instead of throwing. Names in declarations never contain it,
// because their parsers reject it.
std::string dump(const json& node)
{
    return node.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::string> read_change_ids(const object_reader& in, decode_failure& failure)
{
    auto out = in.list("change_ids", [&](const json& entry, const std::string& path) {
        if (!entry.is_string())
            failure.report(path, "not text");
        return entry.is_string() ? entry.get<std::string>() : std::string{};
    });
    if (out.size() > max_change_ids)
        failure.report("change_ids", "too many entries");
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
    decode_failure failure;
    config_object out;
    if (const auto node = parse(text, failure)) {
        const object_reader in{
            *node, "", {"services", "presets", "preset_in_force", "change_ids"}, failure};
        out.config.services = in.list("services", [&](const json& it, const auto& at) {
            return read_service(it, at, failure);
        });
        out.config.presets = in.list("presets", [&](const json& it, const auto& at) {
            return read_preset(it, at, failure);
        });
        out.config.preset_in_force = preset_name{in.text("preset_in_force")};
        out.change_ids = read_change_ids(in, failure);
    }
    if (!failure.message.empty())
        return leaf::new_error(make_error(error_kind::invalid_declaration, failure.message));
    return out;
}

result<roster_object> decode_roster(const std::string& text)
{
    decode_failure failure;
    roster_object out;
    if (const auto node = parse(text, failure)) {
        const object_reader in{
            *node, "", {"hosts", "witnesses", "previous_witnesses", "change_ids"}, failure};
        out.hosts.hosts = in.list(
            "hosts", [&](const json& it, const auto& at) { return read_host(it, at, failure); });
        out.hosts.witnesses = in.ids<host_id>("witnesses");
        out.hosts.previous_witnesses = in.ids<host_id>("previous_witnesses");
        out.change_ids = read_change_ids(in, failure);
    }
    if (!failure.message.empty())
        return leaf::new_error(make_error(error_kind::invalid_declaration, failure.message));
    return out;
}

} // namespace ebonywick
