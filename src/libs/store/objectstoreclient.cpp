// Maps the operations of the object store to HTTP requests, and HTTP replies to results.
#include "store/objectstoreclient.h"

#include "jsontext/jsontext.h"
#include "store/connectionpool.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

namespace ebonywick {

namespace {

// One host needs few connections: at 100 to 150 orders per second in the whole fleet and a few
// milliseconds per call, even one is rarely busy.
constexpr std::size_t max_call_connections = 16;
// Configuration and roster are watched; the rest is spare.
constexpr std::size_t max_watch_connections = 8;
// Changes whenever the store is restored from an older copy.
constexpr const char* epoch_field = "Store-Epoch";
// Short, since stop() cannot interrupt an attempt to connect, but above the 1 s after which Linux
// retransmits a lost SYN.
constexpr duration max_connect_timeout = std::chrono::milliseconds{1200};

// An object has 1 MB at most; the list of hosts of a fleet of hundreds is shorter.
constexpr std::size_t max_reply_bytes = std::size_t{16} << 20U;

std::string object_path(const std::string& key)
{
    constexpr std::string_view unescaped = "-._~/";
    std::string path = "/objects/";
    for (const char it : key) {
        const auto code = static_cast<unsigned char>(it);
        const bool alphanumeric =
            (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
        if (alphanumeric || unescaped.find(it) != std::string_view::npos)
            path += it;
        else
            path += fmt::format("%{:02X}", code);
    }
    return path;
}

std::string to_etag(object_version version)
{
    return fmt::format("\"{}\"", version);
}

/// Version in the reply's ETag; 0 if there is none.
object_version parse_version(const httplib::Response& reply)
{
    const std::string tag = reply.get_header_value("ETag");
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return 0;
    object_version version = 0;
    const char* last = tag.data() + tag.size() - 1;
    const auto [end, ec] = std::from_chars(tag.data() + 1, last, version);
    return ec == std::errc{} && end == last ? version : 0;
}

error store_unavailable(std::string_view call, std::string_view reason)
{
    return make_error(error_kind::store_unavailable,
                      fmt::format("object store: {} failed: {}", call, reason));
}

std::string to_text(httplib::Error failure)
{
    return httplib::to_string(failure);
}

/// True if the failure shows that no part of the request was sent.
bool nothing_sent(httplib::Error failure)
{
    return failure == httplib::Error::Connection || failure == httplib::Error::ConnectionTimeout ||
           failure == httplib::Error::BindIPAddress;
}

put_result to_put_result(const httplib::Response& reply)
{
    const object_version version = parse_version(reply);
    if (reply.status == 200 || reply.status == 201) {
        // Written at an unknown version, which the next write needs: the caller must read it back.
        if (version == 0)
            return put_unconfirmed{};
        return put_accepted{version};
    }
    if (reply.status == 412)
        return put_mismatch{version};
    const bool overloaded = reply.status == 429 || reply.status == 503;
    if (overloaded || (reply.status >= 400 && reply.status < 500))
        return put_refused{fmt::format("status {}", reply.status)};
    // Other statuses, such as 500 and 504, leave open whether the write took effect.
    return put_unconfirmed{};
}

// Nothing if the text is no valid entry of the list.
std::optional<listed_host> parse_host(std::string_view text)
{
    try {
        const auto node = parse_json(text);
        const auto address = parse_endpoint(node.at("control").get<std::string>());
        if (!address)
            return std::nullopt;
        const auto leaving = node.find("leaving");
        const bool is_leaving =
            leaving != node.end() && leaving->is_boolean() && leaving->get<bool>();
        return listed_host{host_id{node.at("id").get<std::string>()}, *address, is_leaving};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

result<std::vector<listed_host>> parse_hosts(const std::string& text)
{
    const auto document = split_json_object(text);
    const auto entries =
        document ? split_json_array(find_json_member(*document, "hosts")) : std::nullopt;
    if (!entries)
        return leaf::new_error(store_unavailable("GET /hosts", "the reply is no list of hosts"));
    std::vector<listed_host> hosts;
    for (const std::string_view it : *entries) {
        if (auto host = parse_host(it))
            hosts.push_back(*std::move(host));
    }
    return hosts;
}

/// Outcome of one HTTP call; `reply` is empty if none came, and `failure` then says why.
struct http_exchange
{
    // False if the request certainly was not sent.
    bool sent = false;
    std::optional<httplib::Response> reply;
    std::string failure;
};

/// Collects the body of a reply; a longer one than max_reply_bytes fails the call.
class reply_body
{
public:
    [[nodiscard]] httplib::ContentReceiver receiver()
    {
        return [this](const char* data, std::size_t n) {
            too_long_ = text_.size() + n > max_reply_bytes;
            if (!too_long_)
                text_.append(data, n);
            return !too_long_;
        };
    }
    /// Why a call with this body has failed.
    [[nodiscard]] std::string reason(const http_exchange& call) const
    {
        return too_long_ ? fmt::format("the reply is longer than {} bytes", max_reply_bytes)
                         : call.failure;
    }
    [[nodiscard]] std::string take() { return std::move(text_); }

private:
    std::string text_;
    bool too_long_ = false;
};

} // namespace

struct object_store_client::state
{
    state(endpoint address, duration limit)
        : timeout{limit}, calls{address, max_call_connections,
                                std::min(limit, max_connect_timeout)},
          // Watches use a separate pool: each pending watch occupies its connection for the
          // whole wait.
          watches{std::move(address), max_watch_connections, std::min(limit, max_connect_timeout)}
    {
    }

    /// Runs `call` on a connection of the pool and counts it. `wait` bounds each read and write.
    template <class Call>
    http_exchange run(connection_pool& pool, duration wait, std::atomic<std::uint64_t>& counter,
                      Call call);

    std::mutex epoch_mutex;
    // As stated by the latest reply; empty before the first one. Guarded by epoch_mutex.
    std::string epoch;
    const duration timeout;
    connection_pool calls;
    connection_pool watches;
};

template <class Call>
http_exchange object_store_client::state::run(connection_pool& pool, duration wait,
                                              std::atomic<std::uint64_t>& counter, Call call)
{
    auto connection = pool.acquire(wait);
    if (!connection)
        return {false, std::nullopt, "no connection is free, or the client is stopped"};
    counter.fetch_add(1);
    const httplib::Result got = call(*connection);
    const bool replied = got.error() == httplib::Error::Success;
    http_exchange exchange{replied || !nothing_sent(got.error()), std::nullopt, {}};
    if (replied)
        exchange.reply = got.value();
    else
        exchange.failure = to_text(got.error());
    pool.release(std::move(connection), replied);
    return exchange;
}

object_store_client::object_store_client(endpoint address, duration timeout)
    : state_{std::make_unique<state>(std::move(address), timeout)}
{
}

object_store_client::~object_store_client() = default;

void object_store_client::note_epoch(const std::string& epoch)
{
    if (epoch.empty())
        return;
    const std::lock_guard lock{state_->epoch_mutex};
    if (state_->epoch == epoch)
        return;
    state_->epoch = epoch;
    epochs_.fetch_add(1);
}

result<std::optional<stored_object>> object_store_client::get(const std::string& key)
{
    const std::string path = object_path(key);
    reply_body body;
    const http_exchange exchange =
        state_->run(state_->calls, state_->timeout, calls_,
                    [&](httplib::Client& it) { return it.Get(path, body.receiver()); });
    if (!exchange.reply)
        return leaf::new_error(store_unavailable("read", body.reason(exchange)));
    note_epoch(exchange.reply->get_header_value(epoch_field));
    if (exchange.reply->status == 404)
        return std::optional<stored_object>{};
    const object_version version = parse_version(*exchange.reply);
    if (exchange.reply->status != 200 || version == 0)
        return leaf::new_error(
            store_unavailable("read", fmt::format("status {}", exchange.reply->status)));
    return std::optional{stored_object{version, body.take()}};
}

result<std::optional<stored_object>> object_store_client::watch(const std::string& key,
                                                                object_version after, duration wait)
{
    const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    const std::string path =
        fmt::format("{}?after={}&wait_ms={}", object_path(key), after, wait_ms);
    bool unchanged = false;
    reply_body body;
    const http_exchange exchange =
        state_->run(state_->watches, wait + state_->timeout, calls_, [&](httplib::Client& it) {
            // A 304 has no body and may lack a Content-Length; cpp-httplib 0.11 would then read
            // until the connection is closed. Such a reply is therefore aborted after its header.
            return it.Get(
                path,
                [this, &unchanged](const httplib::Response& head) {
                    note_epoch(head.get_header_value(epoch_field));
                    unchanged = head.status == 304;
                    return !unchanged || head.has_header("Content-Length");
                },
                body.receiver());
        });
    if (unchanged)
        return std::optional<stored_object>{};
    if (!exchange.reply)
        return leaf::new_error(store_unavailable("watch", body.reason(exchange)));
    if (exchange.reply->status == 404)
        return std::optional<stored_object>{};
    const object_version version = parse_version(*exchange.reply);
    if (exchange.reply->status != 200 || version == 0)
        return leaf::new_error(
            store_unavailable("watch", fmt::format("status {}", exchange.reply->status)));
    // A stale read may return a version that the caller knows already.
    if (version <= after)
        return std::optional<stored_object>{};
    return std::optional{stored_object{version, body.take()}};
}

put_result object_store_client::put(const std::string& key, const std::string& content,
                                    object_version expected)
{
    const std::string path = object_path(key);
    const httplib::Headers headers{expected == 0 ? std::pair{"If-None-Match", std::string{"*"}}
                                                 : std::pair{"If-Match", to_etag(expected)}};
    const http_exchange exchange =
        state_->run(state_->calls, state_->timeout, calls_, [&](httplib::Client& it) {
            return it.Put(path, headers, content, "application/json");
        });
    if (exchange.reply) {
        note_epoch(exchange.reply->get_header_value(epoch_field));
        return to_put_result(*exchange.reply);
    }
    if (exchange.sent)
        return put_unconfirmed{};
    return put_refused{exchange.failure};
}

result<std::vector<listed_host>> object_store_client::list_hosts()
{
    reply_body body;
    const http_exchange exchange =
        state_->run(state_->calls, state_->timeout, calls_,
                    [&](httplib::Client& it) { return it.Get("/hosts", body.receiver()); });
    if (!exchange.reply)
        return leaf::new_error(store_unavailable("GET /hosts", body.reason(exchange)));
    if (exchange.reply->status != 200)
        return leaf::new_error(
            store_unavailable("GET /hosts", fmt::format("status {}", exchange.reply->status)));
    return parse_hosts(body.take());
}

void object_store_client::stop()
{
    state_->calls.stop();
    state_->watches.stop();
}

} // namespace ebonywick
