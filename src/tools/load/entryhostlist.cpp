// Refreshes the list of entry hosts and picks hosts from it.
#include "entryhostlist.h"

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

entry_host_list::entry_host_list(std::vector<std::string> initial_hosts, std::string caller,
                                 host_connections& connections, std::uint64_t seed)
    : initial_hosts_{std::move(initial_hosts)}, caller_{std::move(caller)},
      connections_{connections}, random_{seed}, refresh_thread_{[this](const std::stop_token& it) {
          refresh_loop(it);
      }}
{
}

entry_host_list::~entry_host_list()
{
    refresh_thread_.request_stop();
}

std::optional<std::string> entry_host_list::pick(random_source& random, const std::string& avoid,
                                                 time_point until)
{
    std::unique_lock lock{mutex_};
    while (hosts_.empty() || boot_clock::now() - fetched_at_ >= validity_) {
        const duration left = until - boot_clock::now();
        if (left <= duration::zero())
            return std::nullopt;
        changed_.wait_for(lock, left);
    }
    std::vector<const std::string*> eligible;
    for (const std::string& it : hosts_) {
        if (it != avoid && !failed_.contains(it))
            eligible.push_back(&it);
    }
    if (eligible.empty())
        return hosts_[random.below(hosts_.size())];
    return *eligible[random.below(eligible.size())];
}

void entry_host_list::report_failed(const std::string& host)
{
    const std::lock_guard lock{mutex_};
    failed_.insert(host);
}

void entry_host_list::refresh_loop(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        std::vector<std::string> candidates;
        {
            const std::lock_guard lock{mutex_};
            candidates = hosts_;
        }
        for (std::size_t it = candidates.size(); it > 1; --it)
            std::swap(candidates[it - 1], candidates[random_.below(it)]);
        candidates.insert(candidates.end(), initial_hosts_.begin(), initial_hosts_.end());
        const bool refreshed =
            std::any_of(candidates.begin(), candidates.end(),
                        [&](const auto& it) { return !stop.stop_requested() && fetch(it); });
        std::unique_lock lock{mutex_};
        // Refreshes early enough that requests rarely have to wait.
        const duration pause = refreshed ? validity_ * 4 / 5 : retry_pause;
        changed_.wait_for(lock, stop, pause, [] { return false; });
    }
}

bool entry_host_list::fetch(const std::string& host)
{
    const time_point request_time = boot_clock::now();
    const http_response reply = connections_.call(
        host, {"GET", "/v1/entry-hosts", {{"X-Caller", caller_}}, {}}, list_timeout);
    if (reply.outcome != call_outcome::complete || reply.status != 200)
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
        fetched_at_ = request_time;
        validity_ = std::chrono::milliseconds{document.value("valid_for_ms", 0)};
    }
    changed_.notify_all();
    return true;
}

} // namespace ebonywick::load
