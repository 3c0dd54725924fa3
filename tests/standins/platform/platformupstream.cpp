// Queues and runs requests and writes the replies, including the faulty ones.
#include "platformupstream.h"

#include "base/hashing.h"

#include <fmt/format.h>

#include <utility>

namespace ebonywick::standin {

namespace {

std::string reply_text(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                       const std::string& body, bool with_length = true)
{
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
    for (const auto& [name, value] : fields)
        append_field(out, name, value);
    if (with_length)
        append_field(out, "Content-Length", std::to_string(body.size()));
    return out + "\r\n" + body;
}

} // namespace

platform_upstream::platform_upstream(boost::asio::io_context& loop, timer_queue& timers,
                                     const endpoint& address, upstream_options options)
    : timers_(timers), options_(std::move(options)),
      server_(loop, timers, address,
              {[this](http_exchange it) { serve(std::move(it)); },
               [](const bad_request&) {
                   return reply_text(400, {{"X-Not-Executed", "1"}}, "");
               }})
{
}

void platform_upstream::fail_next(upstream_fault fault, std::size_t count)
{
    faults_.insert(faults_.end(), count, fault);
}

std::string platform_upstream::reply(int status, field_list fields, const std::string& body,
                                     bool with_length)
{
    if (leaving_) {
        fields.emplace_back("Server-Leaving", "1");
        stated_leaving_at_ = stated_leaving_at_.value_or(timers_.now());
    }
    return reply_text(status, fields, body, with_length);
}

std::string platform_upstream::load() const
{
    return fmt::format("{},{},{}", running_, waiting_.size(), options_.slots);
}

std::string platform_upstream::result_records(const std::string& request_id) const
{
    std::string out;
    for (std::uint64_t it = 1; it <= options_.records; ++it)
        out += fmt::format("{:016x}", stable_hash(options_.id + request_id, it));
    return out;
}

void platform_upstream::serve(http_exchange exchange)
{
    ended_.clear();
    const http_message& message = exchange.request();
    if (message.target == "/health") {
        exchange.answer(reply(200, {{"X-Instance-Id", options_.id}, {"X-Server-Load", load()}}, ""),
                        after_answer::keep_open);
        return;
    }
    const auto expected = message.field("X-Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
        exchange.answer(reply(421, {{"X-Instance-Id", options_.id}}, ""), after_answer::keep_open);
        return;
    }
    arrivals_.push_back(timers_.now());
    upstream_fault fault = upstream_fault::none;
    if (!faults_.empty()) {
        fault = faults_.front();
        faults_.pop_front();
    }
    if (const auto time = std::exchange(refusal_time_, std::nullopt))
        refused_until_ = timers_.now() + *time;
    if (timers_.now() < refused_until_) {
        field_list fields{{"X-Request-Id", std::string{message.field("X-Request-Id")}},
                          {"X-Not-Executed", "1"}};
        if (!retry_after_.empty())
            fields.emplace_back("Retry-After", retry_after_);
        exchange.answer(reply(503, std::move(fields), ""), after_answer::keep_open);
        return;
    }
    if (fault == upstream_fault::shed || waiting_.size() >= options_.queue) {
        exchange.answer(reply(503, {{"X-Not-Executed", "1"}, {"X-Server-Load", load()}}, ""),
                        after_answer::keep_open);
        return;
    }
    const auto it = std::make_shared<job>(std::move(exchange), fault);
    it->exchange.on_disconnect([it] { it->disconnected = true; });
    if (fault == upstream_fault::silent) {
        silent_.push_back(it);
        return;
    }
    waiting_.push_back(it);
    start_jobs();
}

void platform_upstream::start_jobs()
{
    while (running_ < options_.slots && !waiting_.empty()) {
        const auto it = waiting_.front();
        waiting_.pop_front();
        if (it->disconnected)
            continue;
        ++running_;
        const http_message& message = it->exchange.request();
        runs_.push_back({std::string{message.field("X-Request-Id")}, message.method, message.target,
                         message.body, timers_.now()});
        started_.insert(it);
        it->timer = std::make_unique<loop_timer>(timers_, [this, running = std::weak_ptr{it}] {
            if (const auto ended_job = running.lock())
                finish(ended_job);
        });
        it->timer->set(std::max(timers_.now(), paused_until_) + options_.service_time);
    }
}

void platform_upstream::finish(const std::shared_ptr<job>& it)
{
    --running_;
    started_.erase(it);
    ended_.push_back(it);
    const std::string id{it->exchange.request().field("X-Request-Id")};
    const std::string stamp = fmt::format("{}.{:x}", options_.id, stable_hash(id));
    field_list fields{{"X-Request-Id", id}, {"X-Server-Stamp", stamp}, {"X-Server-Load", load()}};
    if (limit_)
        fields.emplace_back("Server-Limit", fmt::format("{:.3f}", *limit_));
    const std::string body = result_records(id);
    if (!it->disconnected) {
        switch (it->fault) {
        case upstream_fault::lose_reply:
            it->exchange.answer("", after_answer::close);
            break;
        case upstream_fault::truncate: {
            const auto text = reply(200, fields, body);
            it->exchange.answer(text.substr(0, text.size() - 10), after_answer::close);
            break;
        }
        case upstream_fault::extra_reply: {
            const auto text = reply(200, fields, body);
            it->exchange.answer(text + text, after_answer::keep_open);
            break;
        }
        case upstream_fault::wrong_id: {
            const std::string other = "another";
            fields[0].second = other;
            fields[1].second = fmt::format("{}.{:x}", options_.id, stable_hash(other));
            it->exchange.answer(reply(200, fields, result_records(other)), after_answer::keep_open);
            break;
        }
        case upstream_fault::content_encoded:
            fields.emplace_back("Content-Encoding", "gzip");
            it->exchange.answer(reply(200, fields, body), after_answer::keep_open);
            break;
        case upstream_fault::not_http:
            it->exchange.answer("\x02\x03 no reply at all\r\n\r\n", after_answer::keep_open);
            break;
        case upstream_fault::fail:
            it->exchange.answer(reply(500, fields, "failed"), after_answer::keep_open);
            break;
        case upstream_fault::unframed:
            it->exchange.answer(reply(200, fields, body, false), after_answer::close);
            break;
        case upstream_fault::none:
        case upstream_fault::shed:
        case upstream_fault::silent:
            it->exchange.answer(reply(200, fields, body), after_answer::keep_open);
            break;
        }
    }
    start_jobs();
}

} // namespace ebonywick::standin
