// HTTP client of one link and the thread that uses it.
#include "upstreamlink/upstreamlink.h"

#include "upstreamlink/jsonscan.h"

#include <httplib.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

namespace ebonywick {

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds{500};
// Address for documentation (RFC 5737), which no host can bind. As the client's
// source address it makes each attempt to connect fail.
constexpr const char* unbindable_address = "192.0.2.1";
// Interval at which the destructor repeats stop() until the thread has ended.
constexpr duration stop_interval = std::chrono::milliseconds{5};

struct probe_task
{
    duration timeout;
};

using task = std::variant<std::monostate, link_call, probe_task>;

/// At least 1 ms, because httplib does not wait at all with a timeout of zero.
duration clamp_to_minimum_timeout(duration d)
{
    return std::max<duration>(d, std::chrono::milliseconds{1});
}

/// False if the upstream closed the connection or sent bytes without a request.
bool is_connection_open(const httplib::Client& client)
{
    if (!client.is_socket_open())
        return false;
    char byte = 0;
    const ssize_t n = recv(client.socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// A body without a length ends when the connection closes, so a truncated body
/// cannot be distinguished from a complete one.
bool has_explicit_length(const httplib::Response& res)
{
    return res.has_header("Content-Length") || res.has_header("Transfer-Encoding");
}

/// Fills `reply` from the response; its status stays `lost` if the response is not
/// valid. Takes the body out of `res` for an order.
void evaluate_response(httplib::Response& res, bool idempotent, link_reply& reply)
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
        : number(n), handlers(std::move(h)), client(upstream.ip, upstream.port)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_url_encode(false);
        client.set_connection_timeout(connect_timeout);
        client.set_write_timeout(connect_timeout);
    }

    void run();
    void open();
    bool send(httplib::Request& req, httplib::Response& res, duration timeout,
              httplib::Error& error);
    link_probed check_health(duration timeout);
    void make_call(const link_call& call);
    void set_task(task next);

    const std::uint32_t number;
    const link_handlers handlers;
    httplib::Client client;
    std::mutex mutex;
    std::condition_variable wake;
    // Guarded by mutex, up to `ended`. At most one task is pending at a time.
    task pending;
    bool stopping = false;
    bool ended = false;
    std::thread thread;
};

bool upstream_link::state::send(httplib::Request& req, httplib::Response& res, duration timeout,
                                httplib::Error& error)
{
    timeout = clamp_to_minimum_timeout(timeout);
    const time_point until = boot_clock::now() + timeout;
    client.set_read_timeout(timeout);
    // The read timeout bounds each single read; this bounds the whole response.
    req.progress = [until](std::uint64_t, std::uint64_t) {
        return boot_clock::now() < until;
    };
    return client.send(req, res, error);
}

link_probed upstream_link::state::check_health(duration timeout)
{
    httplib::Request req;
    req.method = "GET";
    req.path = "/health";
    httplib::Response res;
    httplib::Error error{};
    link_probed result;
    result.link = number;
    if (!send(req, res, timeout, error) || res.status != 200 || !has_explicit_length(res))
        return result;
    if (const auto fields = scan_reply(res.body)) {
        result.answered = true;
        result.reported = fields->state;
        result.boot_id = fields->boot_id;
    }
    return result;
}

void upstream_link::state::open()
{
    const link_probed health = check_health(connect_timeout);
    if (health.answered)
        handlers.on_probe(health);
    // httplib reconnects by itself if it finds the connection closed right before a
    // write. The call would then be written long after may_send was checked, so
    // further connects are made to fail.
    client.set_interface(unbindable_address);
    handlers.on_opened({number, health.answered});
}

void upstream_link::state::make_call(const link_call& call)
{
    link_reply reply;
    reply.id = call.id;
    reply.link = number;
    if (!is_connection_open(client)) {
        reply.not_sent = true;
        handlers.on_reply(reply);
        return;
    }
    httplib::Request req;
    req.method = "POST";
    req.path = call.idempotent ? "/search" : "/order";
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(call.timeout).count();
    req.headers = {{"Content-Type", "application/json"},
                   {"X-Call-Id", to_string(call.id)},
                   {"X-Deadline-Ms", std::to_string(ms)},
                   {"X-Index-Version", std::to_string(call.wanted.version)},
                   {"X-Shard-Epoch", std::to_string(call.wanted.epoch)},
                   {"X-Shard", call.shard.value()}};
    if (!call.idempotent)
        req.headers.emplace("X-Idempotency-Key", call.idempotency_key.empty()
                                                     ? to_string(call.id.request)
                                                     : call.idempotency_key);
    req.body = call.body;
    httplib::Response res;
    httplib::Error error{};
    if (!handlers.may_send(call.timeout)) {
        reply.status = reply_status::cancelled;
        reply.not_sent = true;
        handlers.on_reply(reply);
        return;
    }
    const time_point begin = boot_clock::now();
    const bool answered = send(req, res, call.timeout, error);
    reply.latency = boot_clock::now() - begin;
    if (answered)
        evaluate_response(res, call.idempotent, reply);
    else
        reply.not_sent = error == httplib::Error::BindIPAddress;
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
            handlers.on_probe(is_connection_open(client) ? check_health(probe->timeout)
                                                         : link_probed{number, false});
    }
    const std::scoped_lock guard{mutex};
    ended = true;
    wake.notify_all();
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
        // Repeated, because stop() has no effect on a request that begins after it.
        while (!state_->wake.wait_for(guard, stop_interval, [&] { return state_->ended; })) {
            guard.unlock();
            state_->client.stop();
            guard.lock();
        }
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
