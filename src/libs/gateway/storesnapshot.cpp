// JSON encoding of store snapshots.
#include "gateway/storesnapshot.h"

#include "httpstream/httpmessage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace ebonywick {

namespace {

using json = nlohmann::json;

// Names of the collections in the query of a request and in the body of an answer.
constexpr std::string_view configuration_key = "configuration";
constexpr std::string_view upstreams_key = "upstreams";
constexpr std::string_view domains_key = "domains";
constexpr std::string_view hosts_key = "hosts";
constexpr std::string_view rollouts_key = "rollouts";
constexpr std::string_view epoch_key = "epoch";

json encode_item(const platform::stored_item& it)
{
    json out{{"name", it.name}, {"revision", it.revision}, {"content", it.content}};
    if (it.deleted)
        out["deleted"] = true;
    if (!it.problem.empty())
        out["problem"] = it.problem;
    return out;
}

platform::stored_item decode_item(const json& node)
{
    return {node.at("name").get<std::string>(), node.at("revision").get<std::uint64_t>(),
            node.value("deleted", false), node.at("content").get<std::string>(),
            node.value("problem", "")};
}

void encode(json& into, std::string_view key, const std::optional<collection_update>& update)
{
    if (!update)
        return;
    json items = json::array();
    for (const platform::stored_item& it : update->page.items)
        items.push_back(encode_item(it));
    json out{{"from", update->from},
             {"epoch", update->page.epoch},
             {"revision", update->page.revision},
             {"items", std::move(items)}};
    for (const retained_item& it : update->retained) {
        json retained{{"name", it.name}};
        if (it.stored)
            retained["stored"] = encode_item(*it.stored);
        out["retained"].push_back(std::move(retained));
    }
    into[std::string{key}] = std::move(out);
}

std::optional<collection_update> decode(const json& document, std::string_view key)
{
    const auto node = document.find(key);
    if (node == document.end())
        return std::nullopt;
    collection_update out;
    out.from = node->value("from", std::uint64_t{0});
    out.page.epoch = node->value("epoch", std::uint64_t{0});
    out.page.revision = node->at("revision").get<std::uint64_t>();
    for (const json& it : node->at("items"))
        out.page.items.push_back(decode_item(it));
    if (const auto retained = node->find("retained"); retained != node->end()) {
        for (const json& it : *retained) {
            const auto stored = it.find("stored");
            out.retained.push_back(
                {it.at("name").get<std::string>(),
                 stored == it.end() ? std::nullopt : std::optional{decode_item(*stored)}});
        }
    }
    return out;
}

std::uint64_t query_number(std::string_view target, std::string_view key)
{
    const std::string name = fmt::format("{}=", key);
    std::size_t at = target.find(name);
    // The name must follow the question mark or an ampersand.
    while (at != std::string_view::npos &&
           (at == 0 || (target[at - 1] != '?' && target[at - 1] != '&')))
        at = target.find(name, at + 1);
    if (at == std::string_view::npos)
        return 0;
    const std::string_view text = target.substr(at + name.size());
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

std::string encode_snapshot_request(const endpoint& host, const applied_revisions& known)
{
    return fmt::format("GET {}?{}={}&{}={}&{}={}&{}={}&{}={}&{}={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                       snapshot_path, configuration_key, known.configuration, upstreams_key,
                       known.upstreams, domains_key, known.domains, hosts_key, known.hosts,
                       epoch_key, known.epoch, rollouts_key, known.rollouts, to_string(host));
}

bool is_snapshot_target(std::string_view target)
{
    return target.substr(0, target.find('?')) == snapshot_path;
}

applied_revisions decode_snapshot_target(std::string_view target)
{
    return {query_number(target, configuration_key), query_number(target, upstreams_key),
            query_number(target, domains_key),       query_number(target, hosts_key),
            query_number(target, epoch_key),         query_number(target, rollouts_key)};
}

std::string encode_snapshot_answer(const store_snapshot& snapshot, platform::connection_use use)
{
    json document = json::object();
    encode(document, configuration_key, snapshot.configuration);
    encode(document, upstreams_key, snapshot.upstreams);
    encode(document, domains_key, snapshot.domains);
    encode(document, hosts_key, snapshot.hosts);
    encode(document, rollouts_key, snapshot.rollouts);
    const std::string body = document.dump(-1, ' ', false, json::error_handler_t::replace);
    std::string out = "HTTP/1.1 200 OK\r\n";
    append_field(out, "Content-Type", "application/json");
    append_field(out, "Content-Length", std::to_string(body.size()));
    if (use == platform::connection_use::close)
        append_field(out, "Connection", "close");
    return out + "\r\n" + body;
}

std::optional<store_snapshot> decode_snapshot(std::string_view body)
{
    try {
        const json document = json::parse(body);
        if (!document.is_object())
            return std::nullopt;
        return store_snapshot{decode(document, configuration_key), decode(document, upstreams_key),
                              decode(document, domains_key), decode(document, hosts_key),
                              decode(document, rollouts_key)};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace ebonywick
