// Hosts whose upstreams end under certain requests and come back some seconds later.
#pragma once

#include "gatewayfixture.h"

#include <algorithm>
#include <map>
#include <set>

namespace ebonywick {

/// The clock is set by hand. The service `orders` has `replicas` upstreams, each shard two.
struct crashing_fleet : gateway_fixture
{
    explicit crashing_fleet(std::size_t hosts = 3, int replicas = 12)
        : gateway_fixture(2, fixture_clock::by_hand)
    {
        while (replicas > 2) {
            add_service("orders");
            replicas -= 2;
        }
        for (std::size_t it = 0; it < ids.size(); ++it) {
            rename(it);
            upstreams[it]->set_service_time(service_time);
        }
        each_step = [this] {
            crash_and_restart();
        };
        start_ready();
        callers.push_back(settings.callers);
        for (std::size_t it = 1; it < hosts; ++it)
            add_host();
        run(2s);
    }
    ~crashing_fleet() { each_step = nullptr; }
    crashing_fleet(const crashing_fleet&) = delete;
    crashing_fleet& operator=(const crashing_fleet&) = delete;

    /// Starts another host and waits until it is ready.
    void add_host()
    {
        const gateway_settings of = other_host("h" + std::to_string(callers.size() + 1));
        callers.push_back(of.callers);
        others.push_back(std::make_unique<gateway>(loop, timers, of, log, 10 + callers.size()));
        others.back()->start();
        wait_until([&] { return get(of.readiness, "/ebonywick/ready").status == 200; });
    }
    /// Sends the request with a new id to the host with this number, and returns the answer.
    http_message send(std::size_t host, const std::string& method, const std::string& target,
                      const std::string& body = "")
    {
        return call(callers[host % callers.size()],
                    request_text(method, target, "r" + std::to_string(++requests), body));
    }
    /// Begins a request without waiting for its answer.
    void begin(std::size_t host, const std::string& method, const std::string& target,
               const std::string& body = "")
    {
        begun_.push_back(std::make_unique<http_channel>(loop, timers, callers[host]));
        begun_.back()->call(request_text(method, target, "r" + std::to_string(++requests), body),
                            5s, [](const std::optional<http_message>&) {});
    }
    /// Begins a request whose caller leaves after `stay`.
    void begin_and_leave(std::size_t host, const std::string& method, const std::string& target,
                         const std::string& body, duration stay)
    {
        begin(host, method, target, body);
        run(stay);
        begun_.pop_back();
    }
    /// Runs of requests with this body, or with this target if they have none, that began after
    /// `since`; in upstreams that have ended as well.
    std::size_t runs_since(time_point since, const std::string& text) const
    {
        const auto counts = [&](const auto& of) {
            return static_cast<std::size_t>(
                std::count_if(of.begin(), of.end(), [&](const auto& it) {
                    return it.at >= since && (it.body.empty() ? it.target : it.body) == text;
                }));
        };
        std::size_t out = counts(past_runs_);
        for (const auto& it : upstreams)
            out += it ? counts(it->runs()) : 0;
        return out;
    }
    /// When the request had ended its third upstream; time_point::max() if it has not.
    time_point third_crash() const { return crashes.size() < 3 ? time_point::max() : crashes[2]; }
    /// Ends the upstream with this index; it comes back with a new id.
    void crash(std::size_t index)
    {
        const auto& runs = upstreams[index]->runs();
        past_runs_.insert(past_runs_.end(), runs.begin(), runs.end());
        upstreams[index].reset();
        down_until_[index] = hand_time + down_time;
    }

    // Bodies, or targets without a body, under which upstreams end.
    std::set<std::string> fatal;
    static constexpr duration service_time = 100ms;
    // Time from the start of such a run to the end of the upstream.
    static constexpr duration time_to_crash = 50ms;
    static constexpr duration down_time = 3s;
    // When upstreams have ended under a fatal request.
    std::vector<time_point> crashes;
    std::vector<endpoint> callers;
    std::vector<std::unique_ptr<gateway>> others;
    std::size_t requests = 0;

private:
    void rename(std::size_t index)
    {
        ids[index] = "u" + std::to_string(++lifetimes_);
        if (upstreams[index])
            upstreams[index]->set_id(ids[index]);
        entries[index]["born"] = lifetimes_;
    }
    bool runs_fatal_request(const standin::platform_upstream& it) const
    {
        return std::any_of(it.runs().begin(), it.runs().end(), [&](const auto& each) {
            return fatal.contains(each.body.empty() ? each.target : each.body) &&
                   each.at + time_to_crash <= hand_time;
        });
    }
    void crash_and_restart()
    {
        for (std::size_t it = 0; it < upstreams.size(); ++it) {
            if (upstreams[it] && runs_fatal_request(*upstreams[it])) {
                crash(it);
                crashes.push_back(hand_time);
            } else if (!upstreams[it] && hand_time >= down_until_[it]) {
                store.remove("servers", ids[it]);
                rename(it);
                const std::string address = entries[it]["address"];
                upstreams[it] = std::make_unique<standin::platform_upstream>(
                    loop, timers, *parse_endpoint(address),
                    standin::upstream_options{.id = ids[it], .service_time = service_time});
                store.put("servers", ids[it], entries[it]);
            }
        }
    }

    std::size_t lifetimes_ = 0;
    std::map<std::size_t, time_point> down_until_;
    std::vector<standin::platform_upstream::run> past_runs_;
    std::vector<std::unique_ptr<http_channel>> begun_;
};

} // namespace ebonywick
