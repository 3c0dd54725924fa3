// Fixture that drives a dispatcher with a simulated clock and records its actions.
#pragma once

#include "dispatch/upstreamdispatcher.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonywick::testing {

using std::chrono::milliseconds;

struct dispatcher_fixture
{
    explicit dispatcher_fixture(std::uint32_t slots = 4, std::uint32_t connections = 20,
                                std::uint32_t cold = 1)
        : dispatcher(declaration(slots, connections, cold))
    {
    }

    static upstream_declaration declaration(std::uint32_t slots, std::uint32_t connections,
                                            std::uint32_t cold)
    {
        upstream_declaration it;
        it.slots = slots;
        it.connections = connections;
        it.cold_concurrency = cold;
        return it;
    }

    void handle(const dispatcher_event& ev)
    {
        for (const dispatcher_action& it : dispatcher.handle(ev, now)) {
            std::visit([this](const auto& action) { record(action); }, it);
        }
    }

    void record(const start_call& it) { started.push_back(it); }
    void record(const reject_call& it) { rejected.push_back(it); }
    void record(const cancel_on_upstream& it) { cancelled.push_back(it); }
    void record(const open_link& it) { opening.push_back(it.link); }
    void record(const close_link& it) { closed.insert(it.link); }
    void record(const probe_link& it) { probing.push_back(it.link); }
    void record(const limit_changed& it) { limit_change_reasons.push_back(it.reason); }

    /// Makes this host the holder and lets every connection succeed.
    void become_holder()
    {
        handle(holder_changed{true});
        open_all(true);
    }

    void open_all(bool success)
    {
        while (!opening.empty()) {
            const std::uint32_t link = opening.front();
            opening.pop_front();
            // A link reports the reply to its first health request before it reports success.
            if (success)
                handle(link_probed{link, true, report_on_open, 1});
            handle(link_opened{link, success});
        }
    }

    void answer_probes(reported_state state = reported_state::warm)
    {
        while (!probing.empty()) {
            const std::uint32_t link = probing.front();
            probing.pop_front();
            handle(link_probed{link, true, state, 1});
        }
    }

    call_id offer(request_class traffic = request_class::interactive, std::string caller = "a",
                  duration left = milliseconds{900})
    {
        const call_id id{{7, ++offered_calls}, 0, 1};
        handle(call_offered{{id, caller_id{std::move(caller)}, traffic, true, now + left}});
        return id;
    }

    void complete(const start_call& it, reply_status status = reply_status::completed,
                  duration latency = milliseconds{1}, reported_state state = reported_state::warm,
                  std::uint64_t boot_id = 1)
    {
        handle(call_completed{it.id, it.link, status, latency, state, boot_id});
        open_all(true);
    }

    /// Offers a call and completes it after `latency`; false if it did not start.
    bool serve(duration latency = milliseconds{1}, reported_state state = reported_state::warm,
               std::uint64_t boot_id = 1)
    {
        started.clear();
        offer();
        if (started.size() != 1)
            return false;
        now += latency;
        complete(started.front(), reply_status::completed, latency, state, boot_id);
        return true;
    }

    void warm_up()
    {
        become_holder();
        for (int n = 0; n < 400 && !dispatcher.warm(); ++n)
            serve();
        started.clear();
    }

    [[nodiscard]] std::optional<error_kind> rejection(const call_id& id) const
    {
        for (const reject_call& it : rejected) {
            if (it.id == id)
                return it.reason.kind;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool has_started(const call_id& id) const
    {
        return std::any_of(started.begin(), started.end(),
                           [&](const start_call& it) { return it.id == id; });
    }

    upstream_dispatcher dispatcher;
    reported_state report_on_open = reported_state::warm;
    time_point now{std::chrono::hours{1}};
    std::uint64_t offered_calls = 0;
    std::vector<start_call> started;
    std::vector<reject_call> rejected;
    std::vector<cancel_on_upstream> cancelled;
    std::deque<std::uint32_t> opening;
    std::deque<std::uint32_t> probing;
    std::set<std::uint32_t> closed;
    std::vector<std::string> limit_change_reasons;
};

} // namespace ebonywick::testing
