// JSON encoding of store snapshots.
#include "gateway/storesnapshot.h"

#include "httpstream/httpmessage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ebonywick {

namespace {

using json = nlohmann::json;

json encode(const platform::collection_page& page)
{
    json items = json::array();
    for (const platform::stored_item& it : page.items)
        items.push_back({{"name", it.name}, {"revision", it.revision}, {"content", it.content}});
    return {{"revision", page.revision}, {"items", std::move(items)}};
}

platform::collection_page decode(const json& node)
{
    platform::collection_page out;
    out.revision = node.at("revision").get<std::uint64_t>();
    for (const json& it : node.at("items")) {
        out.items.push_back({it.at("name").get<std::string>(),
                             it.at("revision").get<std::uint64_t>(), false,
                             it.at("content").get<std::string>()});
    }
    return out;
}

} // namespace

std::string encode_snapshot_request(const endpoint& host)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", snapshot_path, to_string(host));
}

std::string encode_snapshot_answer(const store_snapshot& snapshot)
{
    const std::string body = json{{"configuration", encode(snapshot.configuration)},
                                  {"upstreams", encode(snapshot.upstreams)},
                                  {"domains", encode(snapshot.domains)}}
                                 .dump(-1, ' ', false, json::error_handler_t::replace);
    std::string out = "HTTP/1.1 200 OK\r\n";
    append_field(out, "Content-Type", "application/json");
    append_field(out, "Content-Length", std::to_string(body.size()));
    return out + "\r\n" + body;
}

std::optional<store_snapshot> decode_snapshot(std::string_view body)
{
    try {
        const json document = json::parse(body);
        return store_snapshot{decode(document.at("configuration")),
                              decode(document.at("upstreams")), decode(document.at("domains"))};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace ebonywick
