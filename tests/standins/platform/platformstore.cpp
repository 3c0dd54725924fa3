// Serves reads, writes and watches, and keeps the history of changes.
#include "platformstore.h"

#include <fmt/format.h>

namespace ebonywick::standin {

using nlohmann::json;

namespace {

constexpr std::string_view path_prefix = "/ebonywick/objects/";
constexpr std::size_t page_size = 50;
// A page ends after the object that makes it longer than this.
constexpr std::size_t page_bytes = std::size_t{1} << 20U;
constexpr std::size_t max_history_changes = 2000;

std::map<std::string, std::string> query_parameters(std::string_view target)
{
    std::map<std::string, std::string> out;
    const auto begin = target.find('?');
    std::string_view rest = begin == std::string_view::npos ? "" : target.substr(begin + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, end);
        const auto equals = item.find('=');
        if (equals != std::string_view::npos)
            out.emplace(item.substr(0, equals), item.substr(equals + 1));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

std::uint64_t parse_number(const std::map<std::string, std::string>& query, const std::string& key)
{
    const auto found = query.find(key);
    return found == query.end() ? 0 : std::stoull(found->second);
}

} // namespace

platform_store::platform_store(boost::asio::io_context& loop, timer_queue& timers,
                               const endpoint& address)
    : timers_(timers), server_(loop, timers, address,
                               {[this](http_exchange it) { serve(std::move(it)); },
                                [](const bad_request&) {
                                    return std::string{"HTTP/1.1 400 Bad Request\r\n"
                                                       "Content-Length: 0\r\n\r\n"};
                                }})
{
    server_.set_limits({.body_bytes = 1U << 20U, .idle_timeout = std::chrono::minutes{10}});
}

void platform_store::answer(http_exchange& exchange, int status, const json& body) const
{
    std::string text = body.dump();
    for (const auto& [placeholder, content] : raw_) {
        for (std::size_t at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder, at + content.size()))
            text.replace(at, placeholder.size(), content);
    }
    exchange.answer(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                                "Store-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
                                status, reason_phrase(status), epoch_, text.size(), text),
                    after_answer::keep_open);
}

void platform_store::serve(http_exchange exchange)
{
    ++calls_;
    if (faults_.silent) {
        unanswered_.push_back(std::move(exchange));
        return;
    }
    if (faults_.refuse_with != 0) {
        answer(exchange, faults_.refuse_with, {{"error", "fault"}});
        return;
    }
    if (faults_.delay == duration::zero()) {
        execute(std::move(exchange));
        return;
    }
    auto& timer = delayed_.emplace_back();
    timer = std::make_unique<loop_timer>(
        timers_, [this, it = std::make_shared<http_exchange>(std::move(exchange))] {
            execute(std::move(*it));
        });
    timer->set_after(faults_.delay);
}

void platform_store::execute(http_exchange exchange)
{
    const http_message& message = exchange.request();
    std::string_view path = message.target;
    path = path.substr(0, path.find('?'));
    if (!path.starts_with(path_prefix)) {
        answer(exchange, 404, {{"error", "unknown path"}});
        return;
    }
    path.remove_prefix(path_prefix.size());
    const auto slash = path.find('/');
    const std::string kind{path.substr(0, slash)};
    const std::string name{slash == std::string_view::npos ? "" : path.substr(slash + 1)};
    const auto query = query_parameters(message.target);
    constexpr std::string_view status_suffix = "/status";
    if (message.method == "PUT" && name.ends_with(status_suffix)) {
        write_status(exchange, kind, name.substr(0, name.size() - status_suffix.size()));
        return;
    }
    if (message.method != "GET") {
        write(exchange, kind, name);
        return;
    }
    if (query.contains("watch")) {
        watch(std::move(exchange), kind, query);
        return;
    }
    read(exchange, kind, query);
}

void platform_store::read(http_exchange& exchange, const std::string& kind,
                          const std::map<std::string, std::string>& query)
{
    const auto after = query.find("after");
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (const auto& [name, object] : kinds_[kind]) {
        if (after != query.end() && name <= after->second)
            continue;
        if (items.size() == page_size || bytes > page_bytes) {
            more = true;
            break;
        }
        const auto raw = raw_.find(object.at("spec").dump());
        bytes += raw == raw_.end() ? object.dump().size() : raw->second.size();
        items.push_back(object);
    }
    // A lagging read returns the current objects with an older revision, so that the
    // reader's next watch repeats changes that it has read already.
    const std::uint64_t lag = query.contains("stale_ok") ? faults_.lag : 0;
    answer(
        exchange, 200,
        {{"items", items}, {"has_more", more}, {"at", revision_ - std::min(lag, revision_ - 1)}});
}

json platform_store::events_after(const std::string& kind, std::uint64_t after) const
{
    json out = json::array();
    for (const change& it : history_) {
        if (it.revision > after && it.kind == kind)
            out.push_back(it.event);
    }
    return out;
}

json platform_store::watch_answer(const std::string& kind, std::uint64_t after, bool stale) const
{
    const bool blind = stale && faults_.blind_stale_watches;
    return {{"events", blind ? json::array() : events_after(kind, after)}, {"at", revision_}};
}

void platform_store::watch(http_exchange exchange, const std::string& kind,
                           const std::map<std::string, std::string>& query)
{
    const std::uint64_t after = parse_number(query, "watch");
    const bool stale = query.contains("stale_ok");
    if (after < history_begin_ || after > revision_) {
        answer(exchange, 410, {{"error", "history is gone"}});
        return;
    }
    if (!events_after(kind, after).empty()) {
        answer(exchange, 200, watch_answer(kind, after, stale));
        return;
    }
    const auto position = watchers_.emplace(watchers_.end());
    *position = std::make_unique<watcher>(std::move(exchange), timers_, [this, position] {
        const auto it = std::move(*position);
        watchers_.erase(position);
        answer(it->exchange, 200, {{"events", json::array()}, {"at", revision_}});
    });
    watcher& it = **position;
    it.kind = kind;
    it.after = after;
    it.stale = stale;
    it.exchange.on_disconnect([this, position] { watchers_.erase(position); });
    it.timer.set_after(std::chrono::milliseconds{parse_number(query, "wait_ms")});
}

void platform_store::record_change(const std::string& kind, const json& object, bool deleted)
{
    history_.push_back({revision_, kind, {{"object", object}, {"deleted", deleted}}});
    while (history_.size() > max_history_changes) {
        history_begin_ = history_.front().revision;
        history_.pop_front();
    }
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        if ((*it)->kind != kind) {
            ++it;
            continue;
        }
        const auto due = std::move(*it);
        it = watchers_.erase(it);
        answer(due->exchange, 200, watch_answer(kind, due->after, due->stale));
    }
}

std::uint64_t platform_store::put(const std::string& kind, const std::string& name, json content)
{
    json& object = kinds_[kind][name];
    if (!object.is_null() && object.at("spec") == content)
        return revision_;
    ++revision_;
    const auto created =
        object.is_null() ? revision_ : object["meta"]["created"].get<std::uint64_t>();
    object = {{"meta",
               {{"name", name},
                {"revision", revision_},
                {"created", created},
                {"finalizers", json::array()},
                {"deleting", false}}},
              {"spec", std::move(content)},
              {"status", nullptr}};
    record_change(kind, object, false);
    return revision_;
}

std::uint64_t platform_store::put_raw(const std::string& kind, const std::string& name,
                                      std::string content)
{
    const std::string placeholder = fmt::format("raw content {}", raw_.size());
    raw_[json(placeholder).dump()] = std::move(content);
    return put(kind, name, placeholder);
}

void platform_store::remove(const std::string& kind, const std::string& name)
{
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return;
    json object = std::move(found->second);
    objects.erase(found);
    object["meta"]["revision"] = ++revision_;
    record_change(kind, object, true);
}

void platform_store::write(http_exchange& exchange, const std::string& kind,
                           const std::string& name)
{
    const std::string method = exchange.request().method;
    const json body = json::parse(exchange.request().body, nullptr, false);
    std::string target = name;
    int status = 200;
    if (method == "POST") {
        target = body.is_object() ? body["meta"].value("name", "") : "";
        if (target.empty())
            status = 400;
        else if (kinds_[kind].contains(target))
            status = 409;
    } else if (!kinds_[kind].contains(target)) {
        status = 404;
    }
    if (status == 200 && method == "DELETE")
        remove(kind, target);
    else if (status == 200)
        put(kind, target, body.at("spec"));
    ++writes_;
    if (faults_.lost_reply_interval != 0 && writes_ % faults_.lost_reply_interval == 0) {
        exchange.answer("", after_answer::close);
        return;
    }
    const auto found = kinds_[kind].find(target);
    answer(exchange, status, found == kinds_[kind].end() ? json::object() : found->second);
}

void platform_store::write_status(http_exchange& exchange, const std::string& kind,
                                  const std::string& name)
{
    const json body = json::parse(exchange.request().body, nullptr, false);
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end() || !body.is_object()) {
        answer(exchange, 404, json::object());
        return;
    }
    json& object = found->second;
    const json meta = body.value("meta", json::object());
    if (meta.contains("revision") && meta["revision"] != object["meta"]["revision"]) {
        answer(exchange, 409, object);
        return;
    }
    object["status"] = body.at("status");
    object["meta"]["revision"] = ++revision_;
    record_change(kind, object, false);
    answer(exchange, 200, object);
}

void platform_store::forget_history()
{
    history_.clear();
    history_begin_ = revision_;
}

void platform_store::restore(const store_copy& copy)
{
    ++epoch_;
    revision_ = copy.revision;
    kinds_ = copy.objects;
    forget_history();
    cut_watches();
}

void platform_store::cut_watches()
{
    while (!watchers_.empty()) {
        const auto it = std::move(watchers_.front());
        watchers_.pop_front();
        it->exchange.answer("", after_answer::close);
    }
}

std::map<std::string, json> platform_store::objects(const std::string& kind) const
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? std::map<std::string, json>{} : found->second;
}

} // namespace ebonywick::standin
