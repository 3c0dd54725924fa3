// Renewal of the entry list and choice of a host.
#include "entrydirectory.h"

#include "settings/declaration.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace ebonywick::load {

namespace {

using namespace std::chrono_literals;

constexpr duration list_timeout = 1s;
constexpr duration retry_pause = 50ms;

} // namespace

entry_directory::entry_directory(std::vector<std::string> seeds, std::string caller,
                                 host_connections& connections, std::uint64_t seed)
    : seeds_{std::move(seeds)}, caller_{std::move(caller)},
      connections_{connections}, random_{seed}, renewer_{[this](const std::stop_token& it) {
          renew(it);
      }}
{
}

entry_directory::~entry_directory()
{
    renewer_.request_stop();
}

std::optional<std::string> entry_directory::pick(random_source& random, const std::string& avoid,
                                                 time_point until)
{
    std::unique_lock lock{mutex_};
    while (hosts_.empty() || boot_clock::now() - fetched_ >= validity_) {
        const duration left = until - boot_clock::now();
        if (left <= duration::zero())
            return std::nullopt;
        changed_.wait_for(lock, left);
    }
    std::vector<const std::string*> usable;
    for (const std::string& it : hosts_) {
        if (it != avoid && !failed_.contains(it))
            usable.push_back(&it);
    }
    if (usable.empty())
        return hosts_[random.below(hosts_.size())];
    return *usable[random.below(usable.size())];
}

void entry_directory::report_failed(const std::string& host)
{
    const std::lock_guard lock{mutex_};
    failed_.insert(host);
}

void entry_directory::renew(const std::stop_token& stopped)
{
    while (!stopped.stop_requested()) {
        std::vector<std::string> candidates;
        {
            const std::lock_guard lock{mutex_};
            candidates = hosts_;
        }
        for (std::size_t it = candidates.size(); it > 1; --it)
            std::swap(candidates[it - 1], candidates[random_.below(it)]);
        candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
        const bool renewed = std::any_of(candidates.begin(), candidates.end(), [&](const auto& it) {
            return !stopped.stop_requested() && fetch(it);
        });
        std::unique_lock lock{mutex_};
        // Early enough that requests rarely wait for the renewal.
        const duration pause = renewed ? validity_ * 4 / 5 : retry_pause;
        changed_.wait_for(lock, stopped, pause, [] { return false; });
    }
}

bool entry_directory::fetch(const std::string& host)
{
    const time_point asked = boot_clock::now();
    const call_reply reply = connections_.call(
        host, {"GET", "/v1/entry-hosts", {{"X-Caller", caller_}}, {}}, list_timeout);
    if (reply.end != call_end::complete || reply.status != 200)
        return false;
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    if (!document.is_object() || !document.contains("hosts"))
        return false;
    std::vector<std::string> hosts;
    for (const auto& it : document["hosts"]) {
        const std::string address = it.is_object() ? it.value("address", "") : "";
        if (parse_endpoint(address))
            hosts.push_back(address);
    }
    if (hosts.empty())
        return false;
    {
        const std::lock_guard lock{mutex_};
        hosts_ = std::move(hosts);
        failed_.clear();
        fetched_ = asked;
        validity_ = std::chrono::milliseconds{document.value("valid_for_ms", 0)};
    }
    changed_.notify_all();
    return true;
}

} // namespace ebonywick::load
