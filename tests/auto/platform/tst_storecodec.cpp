// Tests the encoding of store requests and the decoding of store objects.
#include "base/randomsource.h"
#include "platform/collectionreader.h"
#include "platform/storecodec.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace ebonywick;
using namespace ebonywick::platform;
using namespace std::chrono_literals;

namespace {

const std::string entry_text =
    R"({"backend":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":4,)"
    R"("state":"ready","cold_remaining_ms":1200,"sequence":4,"born":1790244877088})";

std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    return text.replace(text.find(what), what.size(), with);
}

bool unreadable(const std::string& text)
{
    return std::holds_alternative<decode_error>(decode_upstream("i-1", text));
}

using read_reply = std::variant<collection_page, decode_error>;

// Reads a reply that arrives at once, and checks that it reads the same in pieces.
read_reply read(collection_call call, const std::string& body)
{
    std::vector<read_reply> out;
    for (const std::size_t piece : {body.size(), std::size_t{1}, std::size_t{7}}) {
        collection_reader reader{store_collection::upstreams, call};
        for (std::size_t at = 0; at < body.size(); at += piece)
            reader.feed(std::string_view{body}.substr(at, piece));
        out.push_back(reader.finish());
    }
    cr_assert(out[0] == out[1] && out[0] == out[2]);
    return out[0];
}

read_reply read_list(const std::string& body)
{
    return read(collection_call::list, body);
}

read_reply read_events(const std::string& body)
{
    return read(collection_call::watch, body);
}

} // namespace

// Failure: a field of an upstream entry is decoded wrongly.
Test(store_codec, upstream_entry)
{
    const auto decoded = decode_upstream("i-1", entry_text);
    const auto& it = std::get<upstream_entry>(decoded);
    cr_assert(it.id.value() == "i-1" && it.service.value() == "s1" && it.domain.value() == "z");
    cr_assert(to_string(it.address) == "10.0.0.9:8080" && it.slots == 4 && !it.leaving);
    cr_assert(it.cold_remaining == 1200ms && it.incarnation == 1790244877088);
    cr_assert(it.version == "v1");
    const auto unversioned = decode_upstream("i-1", replaced(entry_text, R"("version":"v1",)", ""));
    cr_assert(std::get<upstream_entry>(unversioned).version.empty());
}

// Failure: an entry that another writer has overwritten, with missing fields or fields of another
// type, is decoded as an upstream.
Test(store_codec, invalid_entries_are_rejected)
{
    cr_assert(unreadable("not json"));
    cr_assert(unreadable("null"));
    cr_assert(unreadable("\"text\""));
    cr_assert(unreadable("{}"));
    cr_assert(unreadable(replaced(entry_text, "\"ready\"", "\"resting\"")));
    cr_assert(unreadable(replaced(entry_text, "\"ready\"", "7")));
    cr_assert(unreadable(replaced(entry_text, "10.0.0.9:8080", "nowhere")));
    cr_assert(unreadable(replaced(entry_text, "\"slots\":4", "\"slots\":\"4\"")));
    cr_assert(unreadable(replaced(entry_text, "\"slots\":4", "\"slots\":true")));
    cr_assert(unreadable(replaced(entry_text, "\"slots\":4", "\"slots\":-4")));
    cr_assert(unreadable(replaced(entry_text, "\"v1\"", "7")));
    cr_assert(unreadable(replaced(entry_text, "1790244877088", "17.5")));
    cr_assert(unreadable(replaced(entry_text, "1790244877088", "\"x\"")));
    for (const char* address : {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "a:80",
                                "10.0.0.256:80", ":80", "10.0.0.9:80 "})
        cr_assert(unreadable(replaced(entry_text, "10.0.0.9:8080", address)), "%s", address);
    for (const char* slots : {"4294967296", "99999999999999999999", "1e400", "4.5"})
        cr_assert(
            unreadable(replaced(entry_text, "\"slots\":4", std::string{"\"slots\":"} + slots)));
    cr_assert(unreadable(replaced(entry_text, "1200", "-1")));
    const auto cold = decode_upstream("i-1", replaced(entry_text, "1200", "1e300"));
    cr_assert(std::get<upstream_entry>(cold).cold_remaining == 30 * 24h);
    // The name is sent in a header field.
    for (const char* name : {"", "a b", "a\r\nX-Deadline-Ms: 9", "\xc3\xa4", "a\x7f"})
        cr_assert(std::holds_alternative<decode_error>(decode_upstream(name, entry_text)));
}

// Failure: one unexpected object makes the other objects of its page unreadable.
Test(store_codec, list_with_unexpected_items)
{
    const auto decoded =
        read_list(R"({"items":[{"meta":{"name":"a","revision":3},"spec":{"x":1},"status":null},)"
                  R"({"meta":{"name":"b","revision":4},"spec":"bytes"},{"meta":{"name":"c"}}],)"
                  R"("has_more":true,"at":9})");
    const auto& page = std::get<collection_page>(decoded);
    cr_assert(page.items.size() == 3 && page.has_more && page.revision == 9);
    cr_assert(page.items[0].name == "a" && page.items[0].revision == 3);
    cr_assert(page.items[0].content == R"({"x":1})");
    cr_assert(page.items[2].content.empty());
}

// Failure: one object that cannot be read hides the others of its page, ends the process, or is
// taken for a deletion.
Test(store_codec, unreadable_objects_do_not_affect_others)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string& content :
         {deep, "{\"a\":" + deep + "}", std::string{"1e400"}, std::string(400, '9'),
          std::string{R"("\udcff")"}, std::string{"\"\xff\""}, std::string{"nonsense"}}) {
        const auto odd =
            fmt::format(R"({{"meta":{{"name":"b","revision":4}},"spec":{}}})", content);
        const std::string others = R"({"meta":{"name":"a","revision":3},"spec":{"x":1}})";
        const auto list = read_list(
            fmt::format(R"({{"items":[{},{},{}],"has_more":false,"at":9}})", odd, others, odd));
        const auto& page = std::get<collection_page>(list);
        cr_assert(page.items.size() == 3 && page.skipped == 0 && page.revision == 9);
        cr_assert(page.items[1].content == R"({"x":1})" && page.items[1].problem.empty());
        for (const std::size_t it : {0U, 2U})
            cr_assert(page.items[it].name == "b" && page.items[it].content.empty() &&
                      !page.items[it].problem.empty() && page.items[it].problem.size() < 100);
        const auto events = read_events(
            fmt::format(R"({{"events":[{{"object":{}}},{{"deleted":true,"object":{}}}],"at":9}})",
                        odd, others));
        const auto& changes = std::get<collection_page>(events);
        cr_assert(changes.items.size() == 2 && !changes.items[0].deleted &&
                  changes.items[1].deleted);
    }
    const auto nameless =
        read_list(R"({"items":[{"meta":{"name":"\ud800"}},7,{"meta":{"name":"a","revision":-1}},)"
                  R"({"meta":{"name":"c"}}],"at":9})");
    cr_assert(std::get<collection_page>(nameless).items.size() == 1);
    cr_assert(std::get<collection_page>(nameless).skipped == 3);
}

// Failure: bytes of one object that leave a bracket or a quotation mark open, or close one that is
// not theirs, hide the others of the reply.
Test(store_codec, unbalanced_bytes_do_not_affect_others)
{
    const auto object = [](const std::string& name, const std::string& content) {
        return fmt::format(
            R"({{"meta":{{"created":1,"name":"{}","revision":4}},"spec":{},"status":null}})", name,
            content);
    };
    const std::string valid = R"({"x":"},{\"meta\":{"})";
    for (const std::string& bytes :
         {std::string{R"({"address":"127.0.0.1:9)"}, std::string{R"({"slots":4)"}, std::string{"}"},
          std::string{"]"}, std::string{"1}"}, std::string{"1}]}"}, std::string{"\""},
          std::string{R"("a\)"}, std::string(1000, '['), std::string(1000, '{'),
          std::string{R"({"a":[1,{"b":"c)"}, std::string{"]]]}}}"},
          std::string{R"({"x":[1,{"meta":{"name":"q)"}, std::string{","}, std::string{}}) {
        for (const std::size_t first : {0U, 1U, 2U}) {
            for (const std::size_t second : {first, std::size_t{3}}) {
                std::string items;
                std::string events;
                for (std::size_t it = 0; it < 4; ++it) {
                    const bool odd = it == first || it == second;
                    const auto text =
                        object(std::string(1, static_cast<char>('a' + it)), odd ? bytes : valid);
                    items += (it == 0 ? "" : ", ") + text;
                    events += (it == 0 ? "" : ",") +
                              fmt::format(R"({{"deleted":false,"object":{}}})", text);
                }
                for (const auto& reply :
                     {read_list(fmt::format(R"({{"items":[{}],"has_more":true,"at":9}})", items)),
                      read_list(fmt::format(R"({{"at":9,"has_more":true,"items":[{}]}})", items)),
                      read_events(fmt::format(R"({{"events":[{}],"at":9}})", events))}) {
                    const auto* page = std::get_if<collection_page>(&reply);
                    cr_assert(page != nullptr, "%s", bytes.c_str());
                    cr_assert_eq(page->revision, 9);
                    for (std::size_t it = 0; it < 4; ++it) {
                        if (it == first || it == second)
                            continue;
                        const std::string name(1, static_cast<char>('a' + it));
                        const auto found =
                            std::find_if(page->items.begin(), page->items.end(),
                                         [&](const auto& of) { return of.name == name; });
                        cr_assert(found != page->items.end() && found->content == valid,
                                  "%s beside %s", name.c_str(), bytes.c_str());
                    }
                }
            }
        }
    }
}

// The same for random bytes, of which most leave something open or close too much.
Test(store_codec, random_bytes_do_not_affect_others, .timeout = 60)
{
    constexpr std::string_view alphabet = "{}[]\",:\\ 1a\n";
    random_source random{7};
    for (int round = 0; round < 4000; ++round) {
        std::string bytes;
        for (std::size_t n = random.below(12); n > 0; --n)
            bytes += alphabet[random.below(alphabet.size())];
        const std::size_t odd = random.below(3);
        std::string items;
        std::string events;
        for (std::size_t it = 0; it < 3; ++it) {
            const auto object =
                fmt::format(R"({{"meta":{{"name":"{}","revision":4}},"spec":{},"status":null}})",
                            it, it == odd ? bytes : entry_text);
            items += (it == 0 ? "" : ",") + object;
            events +=
                (it == 0 ? "" : ",") + fmt::format(R"({{"deleted":false,"object":{}}})", object);
        }
        for (const auto& reply :
             {read_list(fmt::format(R"({{"items":[{}],"has_more":false,"at":9}})", items)),
              read_events(fmt::format(R"({{"events":[{}],"at":9}})", events))}) {
            const auto* page = std::get_if<collection_page>(&reply);
            cr_assert(page != nullptr && page->revision == 9, "%s", bytes.c_str());
            const auto known =
                std::count_if(page->items.begin(), page->items.end(), [&](const stored_item& it) {
                    return it.name != std::to_string(odd) && it.problem.empty() &&
                           std::holds_alternative<upstream_entry>(
                               decode_upstream(it.name, it.content));
                });
            cr_assert_eq(known, 2, "object %zu: %s", odd, bytes.c_str());
        }
    }
}

// Failure: the object at fault cannot be found in the store.
Test(store_codec, unbalanced_objects_keep_their_names)
{
    const auto reply = read_list(R"({"items":[{"meta":{"name":"a","revision":3},"spec":{"x":"},)"
                                 R"({"meta":{"name":"b","revision":4},"spec":{}}],"at":9})");
    const auto& items = std::get<collection_page>(reply).items;
    cr_assert(items.size() == 2 && items[0].name == "a" && items[0].revision == 3 &&
              !items[0].problem.empty() && items[1].name == "b" && items[1].problem.empty());
}

// Failure: unreadable content with many parts that look like objects takes the place of the others.
Test(store_codec, content_that_looks_like_objects_does_not_affect_others)
{
    std::string parts;
    for (int it = 0; it < 20'000; ++it)
        parts += R"(,{"meta":{"x")";
    const auto reply = read_list(R"({"items":[{"meta":{"name":"a","revision":3},"spec":)" + parts +
                                 R"(},{"meta":{"name":"b","revision":4},"spec":{}}],"at":9})");
    const auto& items = std::get<collection_page>(reply).items;
    cr_assert(items.size() == 2 && items[0].name == "a" && items[1].name == "b" &&
              items[1].problem.empty());
}

// Failure: a host keeps what another writer has put into the store, up to 1 MB for each object.
Test(store_codec, content_and_names_are_bounded)
{
    const std::string large(1'000'000, 'x');
    const auto list = [&](const std::string& name, const std::string& content) {
        const auto reply = read_list(
            fmt::format(R"({{"items":[{{"meta":{{"name":"{}","revision":3}},"spec":{}}}],"at":9}})",
                        name, content));
        return std::get<collection_page>(reply);
    };
    const auto foreign = list("a", "\"" + large + "\"").items.at(0);
    cr_assert(foreign.content.size() < 100 && !foreign.problem.empty());
    // An entry with a long field that nobody reads is one of an upstream, unless it is invalid.
    const auto with = [&](const std::string& field) {
        return list("a", replaced(entry_text, "\"slots\"", field + ",\"slots\"")).items.at(0);
    };
    const auto known = with("\"note\":\"" + large + "\"");
    cr_assert(known.problem.empty() && known.content.size() <= entry_text.size());
    cr_assert(std::holds_alternative<upstream_entry>(decode_upstream("a", known.content)));
    cr_assert(!with("\"note\":[\"" + large + "\",1e400]").problem.empty());
    cr_assert(!with("\"note\":\"" + large + "\",\"zone\":\"" + large + "\"").problem.empty());
    const auto page = list(large, entry_text);
    cr_assert(page.items.empty() && page.skipped == 1 && page.last_name == large);
}

// Failure: a deletion is decoded as a change.
Test(store_codec, events)
{
    const auto decoded = read_events(
        R"({"events":[{"deleted":true,"object":{"meta":{"name":"a","revision":3},"spec":{}}}],)"
        R"("at":12})");
    const auto& page = std::get<collection_page>(decoded);
    cr_assert(page.items.size() == 1 && page.items[0].deleted && page.revision == 12);
    cr_assert(std::holds_alternative<decode_error>(read_events("{}")));
}

// Failure: a configuration is decoded wrongly, or an invalid one is accepted.
Test(store_codec, configuration)
{
    const std::string text =
        R"({"version":7,"routes":[{"name":"q","hostname":"h","path_prefix":"/a/",)"
        R"("type":"idempotent","timeout_ms":600,"target_latency_ms":60,"priority":2,)"
        R"("shards":["s1","s2"],"attempts":2,"top_k":5,"min_shard_ratio":0.75},)"
        R"({"name":"o","hostname":"h","path_prefix":"/b/","type":"non_idempotent",)"
        R"("timeout_ms":6000,"target_latency_ms":600,"priority":1,"attempts":1,)"
        R"("weighted_backends":[{"backend":"w1","weight":3},{"backend":"w2","weight":1}]}],)"
        R"("backends":[{"name":"s1","health_check_path":"/health","max_connections":76,)"
        R"("cold_start_s":3.0,"cold_per_s":2.5}],)"
        R"("limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,)"
        R"("idle_timeout_ms":400}})";
    const auto decoded = decode_configuration(text);
    const auto& config = std::get<routing_configuration>(decoded);
    cr_assert(config.version == 7 && config.routes.size() == 2);
    const auto& query = config.routes[0];
    cr_assert(query.idempotent && query.timeout == 600ms && query.target_latency == 60ms);
    cr_assert(std::get<shard_set>(query.target).shards.size() == 2);
    cr_assert(std::get<shard_set>(query.target).top_records == 5);
    const auto& order = config.routes[1];
    cr_assert(!order.idempotent);
    cr_assert(std::get<service_choice>(order.target).services[0].weight == 3);
    cr_assert(config.services[0].connection_limit == 76 && config.services[0].cold_rate == 2.5);
    cr_assert(config.limits.idle_timeout == 400ms && config.limits.body_bytes == 200);
    cr_assert(std::holds_alternative<decode_error>(
        decode_configuration(replaced(text, "\"idempotent\"", "5"))));
    cr_assert(std::holds_alternative<decode_error>(decode_configuration("{\"version\":1}")));
}

// Failure: a request does not have the form that the store expects.
Test(store_codec, requests)
{
    const endpoint store{"10.0.0.1", 80};
    cr_assert(encode_list(store_collection::upstreams, "", freshness::newest, store)
                  .starts_with("GET /ebonywick/objects/servers HTTP/1.1\r\n"));
    cr_assert(encode_list(store_collection::upstreams, "i-1", freshness::stale_ok, store)
                  .starts_with("GET /ebonywick/objects/servers?after=i-1&stale_ok=1 HTTP/1.1\r\n"));
    cr_assert(encode_list(store_collection::upstreams, "a&b =\r\n%", freshness::newest, store)
                  .starts_with("GET /ebonywick/objects/servers?after=a%26b%20%3D%0D%0A%25 HTTP"));
    cr_assert(encode_watch(store_collection::configuration, 5, 30s, freshness::newest, store)
                  .starts_with("GET /ebonywick/objects/config?watch=5&wait_ms=30000 HTTP/1.1\r\n"));
    const auto created = encode_write(store_collection::hosts, "a", "{}", true, store);
    cr_assert(created.starts_with("POST /ebonywick/objects/entry-hosts HTTP/1.1\r\n"));
    cr_assert(created.ends_with(R"({"meta":{"name":"a"},"spec":{}})"));
    cr_assert(encode_write(store_collection::hosts, "a", "{}", false, store)
                  .starts_with("PUT /ebonywick/objects/entry-hosts/a HTTP/1.1\r\n"));
}
