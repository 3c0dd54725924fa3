// Serves the calls and admin commands of one simulated upstream.
#include "upstream.h"

#include "base/hashing.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>

namespace ebonywick::standin {

namespace {

std::string json_text(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::uint64_t parse_number(std::string_view text)
{
    return std::strtoull(std::string{text}.c_str(), nullptr, 10);
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string query_of(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("query") && parsed["query"].is_string())
        return parsed["query"].get<std::string>();
    return body;
}

bool matches(const nlohmann::json& item, const std::string& query)
{
    return std::any_of(item.begin(), item.end(), [&](const nlohmann::json& field) {
        return field.is_string() &&
               to_lower(field.get<std::string>()).find(query) != std::string::npos;
    });
}

duration scaled(duration d, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(d.count()) * factor)};
}

} // namespace

upstream::upstream(http_worker& worker, recorder& record, std::string id, std::string shard,
                   std::uint16_t port, const upstream_options& options,
                   std::vector<nlohmann::json> catalogue)
    : worker_(worker), record_(record), id_(std::move(id)), shard_(std::move(shard)), port_(port),
      options_(options), catalogue_(std::move(catalogue)),
      random_(stable_hash(id_, options.seed)), versions_{options.version}, cold_(options.cold)
{
    // 52 bits, so that every JSON parser represents it exactly.
    boot_id_ = (random_.next() >> 12U) | 1U;
    stats_.reset_at = boot_clock::now();
}

void upstream::open()
{
    worker_.listen(port_, options_.connections,
                   {[this](const http_request& it) { serve(it); },
                    [this](std::size_t open) {
                        connections_ = open;
                        stats_.max_connections = std::max(stats_.max_connections, open);
                    }});
    open_ = true;
}

void upstream::serve(const http_request& request)
{
    apply_version_switch(boot_clock::now());
    if (request.method == "POST" && request.path == "/search")
        start_call(request, false);
    else if (request.method == "POST" && request.path == "/order")
        start_call(request, true);
    else if (request.method == "DELETE" && request.path.starts_with("/calls/"))
        cancel_call(request);
    else if (request.method == "GET" && request.path == "/health")
        worker_.reply(request.connection, 200, "{" + state_fields() + "}");
    else
        worker_.reply(request.connection, 404, R"({"error":"unknown path"})");
}

void upstream::refuse(const http_request& request, int status)
{
    ++stats_.refused;
    const std::string body = R"({"not_run":true,)" + state_fields() + "}";
    worker_.reply(request.connection, status, body);
}

void upstream::start_call(const http_request& request, bool order)
{
    const std::uint64_t requested_version = parse_number(request.header("x-index-version"));
    const std::uint64_t epoch = parse_number(request.header("x-shard-epoch"));
    if ((requested_version != 0 &&
         std::find(versions_.begin(), versions_.end(), requested_version) == versions_.end()) ||
        (epoch != 0 && epoch != options_.epoch))
        return refuse(request, 409);
    if (shedding_)
        return refuse(request, 503);
    if (options_.shed_above_slots && running_.size() >= options_.slots)
        return refuse(request, 429);
    std::string call{request.header("x-call-id")};
    if (call.empty())
        call = id_ + "-" + std::to_string(next_serial_);
    if (running_.contains(call))
        return refuse(request, 429);

    const time_point now = boot_clock::now();
    ++stats_.started;
    stats_.last_start = now;
    running_call it;
    it.serial = next_serial_++;
    it.connection = request.connection;
    it.version = requested_version != 0 ? requested_version : versions_.back();
    it.body = request.body;
    it.order = order;
    it.key = request.header("x-idempotency-key");
    const std::string_view deadline = request.header("x-deadline-ms");
    it.deadline = deadline.empty()
                      ? time_point::max()
                      : now + scaled(std::chrono::milliseconds{1},
                                     std::strtod(std::string{deadline}.c_str(), nullptr));
    const auto concurrent = static_cast<std::uint32_t>(running_.size() + 1);
    stats_.max_concurrent = std::max(stats_.max_concurrent, concurrent);
    if (cold_)
        stats_.max_concurrent_cold = std::max(stats_.max_concurrent_cold, concurrent);
    if (cold_ && !collapsed_ && concurrent > options_.cold_concurrency)
        collapse(now);
    it.due =
        now + draw_call_duration() + (request.first ? options_.connect_delay : duration::zero());
    record_.write({now, "start", id_, call, {}, it.version});
    if (order) {
        ++order_runs_[it.key];
        record_.write({now, "order", id_, call, it.key, it.version});
    }
    schedule(call, running_[call] = std::move(it));
}

duration upstream::draw_call_duration()
{
    double factor = 0.8 + 0.4 * random_.uniform();
    if (random_.uniform() < options_.straggler_share)
        factor *= options_.straggler_factor;
    if (collapsed_)
        factor *= options_.collapse_factor;
    else if (cold_)
        factor *= options_.cold_factor;
    const double overload = double(running_.size() + 1) / options_.slots;
    return scaled(options_.delay, factor * std::max(overload, 1.0));
}

void upstream::collapse(time_point now)
{
    collapsed_ = true;
    ++stats_.collapses;
    for (auto& [call, it] : running_) {
        it.due = now + scaled(options_.delay, options_.collapse_factor);
        // The earlier timer has the old serial and does nothing.
        it.serial = next_serial_++;
        schedule(call, it);
    }
}

void upstream::schedule(const std::string& call, const running_call& it)
{
    worker_.run_at(std::min(it.due, it.deadline),
                   [this, call, serial = it.serial] { finish(call, serial); });
}

void upstream::finish(const std::string& call, std::uint64_t serial)
{
    const auto found = running_.find(call);
    if (found == running_.end() || found->second.serial != serial)
        return;
    const running_call it = std::move(found->second);
    running_.erase(found);
    const time_point now = boot_clock::now();
    const bool expired = it.deadline < it.due;
    if (cold_ && !collapsed_ && !expired && ++cold_calls_served_ >= options_.warm_after)
        cold_ = false;
    if (running_.empty())
        collapsed_ = false;
    record_.write({now, "end", id_, call, expired ? "expired" : "completed", it.version});
    if (expired) {
        ++stats_.expired;
        worker_.reply(it.connection, 504, R"({"expired":true})");
        return;
    }
    ++stats_.completed;
    std::string body = "{\"version\":" + std::to_string(it.version) + "," + state_fields();
    if (it.order)
        body += ",\"order\":{\"key\":" + json_text(it.key) +
                ",\"runs\":" + std::to_string(order_runs_[it.key]) + "}";
    body += ",\"hits\":" + hits(it.body, it.version) + "}";
    worker_.reply(it.connection, 200, body);
}

void upstream::cancel_call(const http_request& request)
{
    const std::string call = request.path.substr(std::string_view{"/calls/"}.size());
    const auto found = running_.find(call);
    if (found == running_.end()) {
        worker_.reply(request.connection, 404, R"({"cancelled":false})");
        return;
    }
    const running_call it = std::move(found->second);
    running_.erase(found);
    if (running_.empty())
        collapsed_ = false;
    ++stats_.cancelled;
    record_.write({boot_clock::now(), "end", id_, call, "cancelled", it.version});
    worker_.reply(it.connection, 499, R"({"cancelled":true})");
    worker_.reply(request.connection, 200, R"({"cancelled":true})");
}

std::string upstream::state_fields() const
{
    std::string text = "\"epoch\":" + std::to_string(options_.epoch) +
                       ",\"shard\":" + json_text(shard_) + ",\"versions\":[";
    for (const std::uint64_t it : versions_)
        text += (text.back() == '[' ? "" : ",") + std::to_string(it);
    const char* state = leaving_ ? "leaving" : cold_ && reports_cold_ ? "cold" : "warm";
    return text + "],\"state\":\"" + state + "\",\"boot_id\":" + std::to_string(boot_id_) +
           ",\"load\":" + std::to_string(running_.size());
}

std::string upstream::hits(const std::string& body, std::uint64_t version) const
{
    const std::string query = query_of(body);
    const std::string common = "{\"query\":" + json_text(query) +
                               ",\"shard\":" + json_text(shard_) +
                               ",\"version\":" + std::to_string(version);
    std::string text = "[";
    if (catalogue_.empty()) {
        for (std::uint32_t n = 0; n < options_.hits; ++n)
            text += (n == 0 ? "" : ",") + common + ",\"id\":\"" + shard_ + "-" + std::to_string(n) +
                    "\"}";
        return text + "]";
    }
    const std::string lower_query = to_lower(query);
    for (const nlohmann::json& item : catalogue_) {
        if (matches(item, lower_query))
            text += (text.size() == 1 ? "" : ",") + common + ",\"item\":" + item.dump() + "}";
    }
    return text + "]";
}

void upstream::apply_version_switch(time_point now)
{
    if (pending_version_ == 0 || now < version_switch_time_)
        return;
    versions_ = {pending_version_};
    pending_version_ = 0;
}

void upstream::restart()
{
    boot_id_ = (random_.next() >> 12U) | 1U;
    running_.clear();
    cold_ = true;
    collapsed_ = false;
    cold_calls_served_ = 0;
    leaving_ = false;
}

void upstream::apply(const nlohmann::json& command)
{
    for (const auto& [key, value] : command.items()) {
        if (key == "versions") {
            versions_ = value.get<std::vector<std::uint64_t>>();
            std::sort(versions_.begin(), versions_.end());
        } else if (key == "switch_version") {
            pending_version_ = value.at("version").get<std::uint64_t>();
            version_switch_time_ =
                boot_clock::now() + std::chrono::milliseconds{value.value("after_ms", 0)};
        } else if (key == "cold") {
            cold_ = value.get<bool>();
            cold_calls_served_ = 0;
        } else if (key == "reports_cold") {
            reports_cold_ = value.get<bool>();
        } else if (key == "leaving") {
            leaving_ = value.get<bool>();
        } else if (key == "shed") {
            shedding_ = value.get<bool>();
        } else if (key == "delay_us") {
            options_.delay = std::chrono::microseconds{value.get<std::uint64_t>()};
        } else if (key == "straggler_share") {
            options_.straggler_share = value.get<double>();
        } else if (key == "slots") {
            options_.slots = value.get<std::uint32_t>();
        } else if (key == "epoch") {
            options_.epoch = value.get<std::uint64_t>();
        } else if (key == "silent_half") {
            const auto seed = value.get<std::uint64_t>();
            worker_.silence(port_, [seed](std::uint64_t connection) {
                return stable_hash(std::to_string(connection), seed) % 2 == 0;
            });
        } else if (key == "restart" || key == "down") {
            if (key == "down" && value.get<bool>() == !open_)
                continue;
            if (open_)
                worker_.close_port(port_);
            open_ = false;
            restart();
            if (key == "restart" || !value.get<bool>())
                open();
        } else if (key == "reset_stats") {
            stats_ = {};
            stats_.reset_at = boot_clock::now();
            stats_.max_connections = connections_;
        } else if (key != "searcher" && key != "replica") {
            throw std::invalid_argument("unknown command " + key);
        }
    }
}

nlohmann::json upstream::stats() const
{
    const bool started = stats_.last_start != time_point{};
    return {
        {"searcher", id_},
        {"shard", shard_},
        {"port", port_},
        {"started", stats_.started},
        {"completed", stats_.completed},
        {"cancelled", stats_.cancelled},
        {"expired", stats_.expired},
        {"refused", stats_.refused},
        {"collapses", stats_.collapses},
        {"running", running_.size()},
        {"most_concurrent", stats_.max_concurrent},
        {"most_concurrent_cold", stats_.max_concurrent_cold},
        {"connections", connections_},
        {"most_connections", stats_.max_connections},
        {"cold", cold_},
        {"leaving", leaving_},
        {"down", !open_},
        {"versions", versions_},
        {"last_start_ms", started ? to_milliseconds(stats_.last_start - stats_.reset_at) : -1.0},
        {"orders", order_runs_}};
}

} // namespace ebonywick::standin
