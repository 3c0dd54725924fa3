// Calls and health checks of one link and the thread that makes them.
#include "upstreamlink/upstreamlink.h"

#include "upstreamlink/jsonscan.h"
#include "upstreamlink/linkchannel.h"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

namespace ebonywick {

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds{500};
// Largest body of a reply.
constexpr message_limits reply_limits{.body_bytes = std::uint64_t{4} << 20U};

struct probe_task
{
    duration timeout;
};

using task = std::variant<std::monostate, link_call, probe_task>;

/// A body without a length ends when the connection closes, so a truncated body
/// cannot be distinguished from a complete one.
bool has_explicit_length(const http_message& res)
{
    return res.has_field("Content-Length") || res.has_field("Transfer-Encoding");
}

std::string request_text(std::string_view method, std::string_view target, const endpoint& to,
                         const std::vector<std::pair<std::string_view, std::string>>& fields,
                         std::string_view body)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    append_field(out, "Host", to_string(to));
    for (const auto& [name, value] : fields)
        append_field(out, name, value);
    append_field(out, "Content-Length", std::to_string(body.size()));
    return out.append("\r\n").append(body);
}

/// Fills `reply` from the response; its status stays `lost` if the response is not
/// valid. Takes the body out of `res` for an order.
void evaluate_response(http_message& res, bool idempotent, link_reply& reply)
{
    if (!has_explicit_length(res))
        return;
    const std::optional<reply_fields> fields = scan_reply(res.body);
    if (!fields)
        return;
    reply.from = {fields->version.value_or(0), fields->epoch.value_or(0)};
    reply.shard = shard_name{fields->shard.value_or("")};
    reply.versions = fields->versions;
    reply.reported = fields->state;
    reply.boot_id = fields->boot_id;
    reply.load = fields->load;
    const bool refused = fields->not_run;
    if (res.status == 200 && !refused) {
        if (idempotent &&
            (!fields->version || !fields->epoch || !fields->shard || fields->hits.empty()))
            return;
        reply.status = reply_status::completed;
        reply.body = idempotent ? std::string{fields->hits} : std::move(res.body);
    } else if (refused && (res.status == 409 || res.status == 429 || res.status == 503)) {
        reply.status = reply_status::shed;
        reply.version_not_held = res.status == 409;
    } else if (res.status == 499 && fields->cancelled) {
        reply.status = reply_status::cancelled;
    }
}

} // namespace

struct upstream_link::state
{
    state(std::uint32_t n, const endpoint& upstream, link_handlers h)
        : number(n), to(upstream), handlers(std::move(h)), channel(upstream, reply_limits)
    {
    }

    void run();
    void open();
    link_probed check_health(duration timeout);
    void make_call(const link_call& call);
    void set_task(task next);

    const std::uint32_t number;
    const endpoint to;
    const link_handlers handlers;
    link_channel channel;
    std::mutex mutex;
    std::condition_variable wake;
    // Guarded by mutex, both. At most one task is pending at a time.
    task pending;
    bool stopping = false;
    std::thread thread;
};

link_probed upstream_link::state::check_health(duration timeout)
{
    link_probed result;
    result.link = number;
    const auto res = channel.exchange(request_text("GET", "/health", to, {}, ""), timeout);
    if (!res || res->status != 200 || !has_explicit_length(*res))
        return result;
    if (const auto fields = scan_reply(res->body)) {
        result.answered = true;
        result.reported = fields->state;
        result.boot_id = fields->boot_id;
    }
    return result;
}

void upstream_link::state::open()
{
    const link_probed health = channel.connect(connect_timeout) ? check_health(connect_timeout)
                                                                : link_probed{number, false};
    if (health.answered)
        handlers.on_probe(health);
    handlers.on_opened({number, health.answered});
}

void upstream_link::state::make_call(const link_call& call)
{
    link_reply reply;
    reply.id = call.id;
    reply.link = number;
    if (!channel.is_open()) {
        reply.not_sent = true;
        handlers.on_reply(reply);
        return;
    }
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(call.timeout).count();
    std::vector<std::pair<std::string_view, std::string>> fields{
        {"Content-Type", "application/json"},
        {"X-Call-Id", to_string(call.id)},
        {"X-Deadline-Ms", std::to_string(ms)},
        {"X-Index-Version", std::to_string(call.wanted.version)},
        {"X-Shard-Epoch", std::to_string(call.wanted.epoch)},
        {"X-Shard", call.shard.value()}};
    if (!call.idempotent)
        fields.emplace_back("X-Idempotency-Key", call.idempotency_key.empty()
                                                     ? to_string(call.id.request)
                                                     : call.idempotency_key);
    const std::string request =
        request_text("POST", call.idempotent ? "/search" : "/order", to, fields, call.body);
    if (!handlers.may_send(call.timeout)) {
        reply.status = reply_status::cancelled;
        reply.not_sent = true;
        handlers.on_reply(reply);
        return;
    }
    // The connection may have closed meanwhile, and is not opened again: the call would be written
    // long after may_send was checked.
    if (!channel.is_open()) {
        reply.not_sent = true;
        handlers.on_reply(reply);
        return;
    }
    const time_point begin = boot_clock::now();
    auto res = channel.exchange(request, call.timeout);
    reply.latency = boot_clock::now() - begin;
    if (res)
        evaluate_response(*res, call.idempotent, reply);
    handlers.on_reply(reply);
}

void upstream_link::state::run()
{
    open();
    for (;;) {
        task next;
        {
            std::unique_lock guard{mutex};
            wake.wait(guard, [&] { return stopping || pending.index() != 0; });
            if (stopping)
                break;
            next = std::exchange(pending, {});
        }
        if (const auto* call = std::get_if<link_call>(&next))
            make_call(*call);
        else if (const auto* probe = std::get_if<probe_task>(&next))
            handlers.on_probe(channel.is_open() ? check_health(probe->timeout)
                                                : link_probed{number, false});
    }
}

void upstream_link::state::set_task(task next)
{
    const std::scoped_lock guard{mutex};
    pending = std::move(next);
    wake.notify_all();
}

upstream_link::upstream_link(std::uint32_t number, const endpoint& upstream, link_handlers handlers)
    : state_(std::make_unique<state>(number, upstream, std::move(handlers)))
{
    state_->thread = std::thread{[this] {
        state_->run();
    }};
}

upstream_link::~upstream_link()
{
    {
        std::unique_lock guard{state_->mutex};
        state_->stopping = true;
        state_->wake.notify_all();
        state_->channel.stop();
    }
    state_->thread.join();
}

void upstream_link::start(link_call call)
{
    state_->set_task(std::move(call));
}

void upstream_link::probe(duration timeout)
{
    state_->set_task(probe_task{timeout});
}

} // namespace ebonywick
