// Advances simulated time, delivers messages between the agents and counts them.
#include "controlfleet.h"

#include "base/clock.h"
#include "control/objectcodec.h"
#include "wire/wireconversion.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <set>
#include <thread>

namespace ebonywick {

namespace {

using namespace std::chrono_literals;

constexpr duration step_length = 5ms;
// Each agent gets a tick every 100 ms, the longest interval that it permits.
constexpr std::size_t steps_per_tick = 20;
constexpr std::size_t upstreams_per_host = 7;
constexpr std::size_t witnesses = 5;
// Threads on which the agents adopt their first objects. Only the start of the fleet is
// parallel; it isn't part of the measurement.
constexpr std::size_t start_threads = 4;
// Agents over which the adoption of a new version is averaged.
constexpr std::size_t measured_agents = 5;

} // namespace

double thread_cpu_s()
{
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) * 1e-9;
}

control_fleet::control_fleet(std::size_t hosts) : host_count_(hosts), now_(time_point{} + 1h)
{
    // One more id than hosts: the measured roster change replaces a host by it.
    for (std::size_t it = 0; it <= hosts; ++it) {
        ids_.emplace_back(fmt::format("host-{:03}", it));
        host_index_.emplace(ids_.back(), it);
    }
    for (std::size_t it = 0; it < hosts * upstreams_per_host / 3 * 3; ++it)
        upstreams_.emplace_back(fmt::format("catalogue-{:04}-{}", it / 3, it % 3));
}

object_received control_fleet::make_roster(object_version version, std::size_t first_host) const
{
    object_received value{object_kind::roster, version, {}, {}, {}};
    for (std::size_t it = first_host; it < first_host + host_count_; ++it) {
        const auto port = static_cast<std::uint16_t>(10000 + it);
        value.hosts.hosts.push_back(roster_host{ids_[it],
                                                failure_domain_id{fmt::format("domain-{}", it % 5)},
                                                {"127.0.0.1", port},
                                                {"127.0.0.1", port},
                                                {"127.0.0.1", port}});
        // The hosts that the measured roster change removes and adds are no witnesses.
        if (it > 0 && value.hosts.witnesses.size() < std::min(witnesses, host_count_ - 1))
            value.hosts.witnesses.push_back(ids_[it]);
    }
    value.content = encode(roster_object{value.hosts, {}});
    return value;
}

object_received control_fleet::make_config(object_version version) const
{
    object_received value{object_kind::config, version, {}, {}, {}};
    service_declaration service;
    service.name = service_name{"catalogue"};
    service.shard_maps.emplace_back();
    for (std::size_t it = 0; it < upstreams_.size(); it += 3) {
        shard_declaration shard{shard_name{fmt::format("{:04}", it / 3)}, {}};
        for (std::size_t replica = it; replica < it + 3; ++replica)
            shard.replicas.push_back(
                upstream_declaration{upstreams_[replica],
                                     {"127.0.0.1", 9000},
                                     failure_domain_id{fmt::format("domain-{}", replica % 5)},
                                     4,
                                     64,
                                     1});
        service.shard_maps[0].shards.push_back(std::move(shard));
    }
    value.config.services.push_back(std::move(service));
    value.content = encode(config_object{value.config, {}});
    return value;
}

void control_fleet::start()
{
    const object_received config = make_config(1);
    const object_received roster = make_roster(1, 0);
    agents_.resize(host_count_);
    std::vector<std::vector<membership_action>> actions(host_count_);
    std::vector<std::thread> threads;
    for (std::size_t worker = 0; worker < start_threads; ++worker)
        threads.emplace_back([&, worker] {
            for (std::size_t it = worker; it < host_count_; it += start_threads) {
                agents_[it] = std::make_unique<membership_agent>(ids_[it], 100 + it, it, now_);
                agents_[it]->handle(config, now_);
                actions[it] = agents_[it]->handle(roster, now_);
            }
        });
    for (std::thread& it : threads)
        it.join();
    for (std::size_t it = 0; it < host_count_; ++it)
        queue_messages(it, std::move(actions[it]));
}

void control_fleet::run(duration length)
{
    for (const time_point end = now_ + length; now_ < end;)
        step();
}

void control_fleet::step()
{
    now_ += step_length;
    std::swap(delivered_, sent_);
    sent_.clear();
    std::vector<std::pair<std::size_t, std::vector<membership_action>>> actions;
    std::vector<std::pair<std::size_t, membership_event>> events;
    events.reserve(delivered_.size() + host_count_ / steps_per_tick + 1);
    for (delivery& it : delivered_)
        events.emplace_back(it.to, message_received{std::move(it.message)});
    for (std::size_t it = steps_++ % steps_per_tick; it < host_count_; it += steps_per_tick)
        events.emplace_back(it, membership_tick{});
    actions.reserve(events.size());
    // Reads the clock once per step rather than once per agent, because a reading costs
    // about as much as a cheap event.
    const double before = thread_cpu_s();
    for (const auto& [to, ev] : events)
        actions.emplace_back(to, agents_[to]->handle(ev, now_));
    statistics_.agent_cpu_s += thread_cpu_s() - before;
    for (auto& [from, it] : actions)
        queue_messages(from, std::move(it));
}

void control_fleet::queue_messages(std::size_t from, std::vector<membership_action> actions)
{
    for (membership_action& action : actions) {
        auto* it = std::get_if<send_control>(&action);
        if (it == nullptr)
            continue;
        count_message(from, it->message);
        sent_.push_back(delivery{host_index_.at(it->to), std::move(it->message)});
    }
}

void control_fleet::count_message(std::size_t from, const control_message& message)
{
    ++statistics_.messages;
    if (counts_bytes_)
        statistics_.bytes += encode_control(ids_[from], message).size();
    const auto count_updates = [&](const std::vector<member_update>& updates) {
        for (const member_update& it : updates)
            ++(it.host == ids_[from] ? statistics_.own_updates : statistics_.other_updates);
    };
    if (const auto* request = std::get_if<heartbeat>(&message)) {
        ++statistics_.heartbeats;
        count_updates(request->updates);
        // The only update that every heartbeat repeats is the sender's own state.
        statistics_.gossip_updates += request->updates.size() - 1;
    } else if (const auto* reply = std::get_if<heartbeat_reply>(&message)) {
        ++statistics_.replies;
        statistics_.tokens += reply->tokens.size();
        count_updates(reply->updates);
    } else if (std::holds_alternative<fence_request>(message) ||
               std::holds_alternative<fence_reply>(message))
        ++statistics_.fence_messages;
}

bool control_fleet::settled() const
{
    if (statistics_.fence_messages > 0 || statistics_.gossip_updates > 0)
        return false;
    for (const auto& agent : agents_)
        for (std::size_t it = 0; it < host_count_; ++it)
            if (agent->status_of(ids_[it]) != host_status::serving)
                return false;
    std::size_t upstreams_with_one_holder = 0;
    for (const upstream_id& upstream : upstreams_) {
        std::size_t holders = 0;
        for (const auto& agent : agents_)
            holders += agent->holds(upstream, now_) ? 1 : 0;
        upstreams_with_one_holder += holders == 1 ? 1 : 0;
    }
    return upstreams_with_one_holder == upstreams_.size();
}

double control_fleet::measure_adoption_ms(object_kind kind)
{
    const object_received value = kind == object_kind::roster ? make_roster(2, 1) : make_config(2);
    const std::size_t n = std::min(measured_agents, host_count_ - 1);
    const double before = thread_cpu_s();
    // Skips the first host, which the new roster no longer lists.
    for (std::size_t it = 1; it <= n; ++it)
        agents_[it]->handle(value, now_);
    return (thread_cpu_s() - before) * 1e3 / static_cast<double>(n);
}

} // namespace ebonywick
