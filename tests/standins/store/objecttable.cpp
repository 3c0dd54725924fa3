// Serves reads, conditional writes and watches, and applies the faults to them.
#include "objecttable.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace ebonywick::standin {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view objects_path = "/objects/";

std::string etag_of(object_version version)
{
    return version == 0 ? std::string{} : fmt::format("\"{}\"", version);
}

std::uint64_t parse_parameter(const std::map<std::string, std::string>& from, const char* name)
{
    const auto it = from.find(name);
    return it == from.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

} // namespace

object_table::object_table(const std::string& record_path)
{
    if (record_path.empty())
        return;
    record_file_ = std::fopen(record_path.c_str(), "w");
    if (record_file_ == nullptr)
        throw std::runtime_error{fmt::format("cannot write {}", record_path)};
}

object_table::~object_table()
{
    if (record_file_ != nullptr)
        std::fclose(record_file_);
}

void object_table::keep_copy()
{
    const std::lock_guard lock{mutex_};
    copied_objects_ = objects_;
    copied_version_ = last_version_;
}

void object_table::restore()
{
    const std::lock_guard lock{mutex_};
    objects_ = copied_objects_;
    last_version_ = copied_version_;
    ++epoch_;
}

std::optional<http_reply> object_table::serve(const http_request& request)
{
    const std::string key = request.path.substr(std::min(request.path.size(), objects_path.size()));
    if (!request.path.starts_with(objects_path) || key.empty())
        return http_reply{404, "", ""};
    std::unique_lock lock{mutex_};
    std::optional<http_reply> reply = serve_object(key, request, lock);
    if (reply)
        reply->epoch = std::to_string(epoch_);
    return reply;
}

std::optional<http_reply> object_table::serve_object(const std::string& key,
                                                     const http_request& request,
                                                     std::unique_lock<std::mutex>& lock)
{
    const bool is_read = request.method == "GET";
    const bool is_watch = is_read && request.parameters.contains("after");
    operation_counts& second = counts_of_current_second();
    ++(is_watch ? second.watches : is_read ? second.reads : second.writes);
    if (!apply_faults(lock))
        return std::nullopt;
    if (is_watch)
        return watch(key, request, lock);
    if (is_read)
        return read(key);
    if (request.method == "PUT")
        return write(key, request);
    return http_reply{405, "", ""};
}

bool object_table::apply_faults(std::unique_lock<std::mutex>& lock)
{
    if (faults_.outage == outage_mode::hang) {
        const std::uint64_t number = outage_number_;
        changed_.wait(lock, [this, number] { return outage_number_ != number; });
        if (!faults_.late_effect)
            return false;
    }
    if (faults_.delay > duration::zero()) {
        const duration delay = faults_.delay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    return true;
}

std::optional<http_reply> object_table::read(const std::string& key)
{
    const auto it = objects_.find(key);
    if (it == objects_.end())
        return http_reply{404, "", ""};
    const bool stale = faults_.stale_read_share > 0 && random_.uniform() < faults_.stale_read_share;
    const revision& found = stale ? it->second.previous : it->second.current;
    if (stale)
        ++stale_replies_;
    if (found.version == 0)
        return http_reply{404, "", ""};
    return http_reply{200, etag_of(found.version), found.content};
}

std::optional<http_reply> object_table::watch(const std::string& key, const http_request& request,
                                              std::unique_lock<std::mutex>& lock)
{
    const object_version after = parse_parameter(request.parameters, "after");
    const auto wait = std::chrono::milliseconds{parse_parameter(request.parameters, "wait_ms")};
    const std::uint64_t outage = outage_number_;
    const auto is_newer = [&] {
        const auto it = objects_.find(key);
        return it != objects_.end() && it->second.current.version > after;
    };
    ++pending_watches_;
    changed_.wait_for(lock, wait, [&] { return outage_number_ != outage || is_newer(); });
    --pending_watches_;
    if (outage_number_ != outage && !apply_faults(lock))
        return std::nullopt;
    if (!is_newer())
        return http_reply{304, etag_of(after), ""};
    const revision& found = objects_[key].current;
    return http_reply{200, etag_of(found.version), found.content};
}

std::optional<http_reply> object_table::write(const std::string& key, const http_request& request)
{
    const auto it = objects_.find(key);
    const object_version current = it == objects_.end() ? 0 : it->second.current.version;
    const auto match = request.headers.find("if-match");
    const bool must_be_new = request.headers.contains("if-none-match");
    if (match == request.headers.end() && !must_be_new)
        return http_reply{428, etag_of(current), ""};
    const bool condition_met = must_be_new ? current == 0 : match->second == etag_of(current);
    const bool lost = faults_.lost_reply_share > 0 && key.starts_with(faults_.lost_reply_prefix) &&
                      random_.uniform() < faults_.lost_reply_share;
    if (lost)
        ++lost_replies_;
    if (!condition_met) {
        write_record(key, current, lost ? "mismatch_reply_lost" : "mismatch");
        return lost ? std::nullopt : std::optional{http_reply{412, etag_of(current), ""}};
    }
    stored_object& target = objects_[key];
    target.previous = std::exchange(target.current, {++last_version_, request.body});
    write_record(key, last_version_, lost ? "accepted_reply_lost" : "accepted");
    changed_.notify_all();
    if (lost)
        return std::nullopt;
    return http_reply{current == 0 ? 201 : 200, etag_of(last_version_), ""};
}

void object_table::write_record(const std::string& key, object_version version, const char* result)
{
    if (record_file_ == nullptr)
        return;
    const nlohmann::json line{{"time", boot_clock::now().time_since_epoch().count()},
                              {"key", key},
                              {"version", version},
                              {"result", result}};
    fmt::print(record_file_, "{}\n", line.dump());
    std::fflush(record_file_);
}

fault_settings object_table::faults()
{
    const std::lock_guard lock{mutex_};
    return faults_;
}

void object_table::set_faults(const fault_settings& faults)
{
    const std::lock_guard lock{mutex_};
    if (faults.outage != faults_.outage)
        ++outage_number_;
    faults_ = faults;
    changed_.notify_all();
}

void object_table::seed(std::uint64_t value)
{
    const std::lock_guard lock{mutex_};
    random_ = random_source{value};
}

object_table::operation_counts& object_table::counts_of_current_second()
{
    return counts_by_second_[(boot_clock::now() - stats_start_) / 1s];
}

void object_table::reset_stats()
{
    const std::lock_guard lock{mutex_};
    stats_start_ = boot_clock::now();
    counts_by_second_.clear();
    lost_replies_ = 0;
    stale_replies_ = 0;
}

std::string object_table::stats()
{
    const std::lock_guard lock{mutex_};
    operation_counts total;
    nlohmann::json seconds = nlohmann::json::array();
    for (const auto& [second, it] : counts_by_second_) {
        total.reads += it.reads;
        total.writes += it.writes;
        total.watches += it.watches;
        seconds.push_back({{"second", second},
                           {"reads", it.reads},
                           {"writes", it.writes},
                           {"watches", it.watches}});
    }
    return nlohmann::json{
        {"reads", total.reads},          {"writes", total.writes},
        {"watches", total.watches},      {"pending_watches", pending_watches_},
        {"lost_replies", lost_replies_}, {"stale_replies", stale_replies_},
        {"objects", objects_.size()},    {"start", stats_start_.time_since_epoch().count()},
        {"per_second", seconds}}
        .dump();
}

} // namespace ebonywick::standin
