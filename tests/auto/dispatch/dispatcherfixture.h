// Drives a gate with a clock that the test advances, and keeps what the gate
// asked for.
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
        : gate(declaration(slots, connections, cold))
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

    void send(const dispatcher_event& ev)
    {
        for (const dispatcher_action& it : gate.handle(ev, now)) {
            std::visit([this](const auto& action) { note(action); }, it);
        }
    }

    void note(const start_call& it) { started.push_back(it); }
    void note(const reject_call& it) { rejected.push_back(it); }
    void note(const cancel_on_upstream& it) { cancelled.push_back(it); }
    void note(const open_link& it) { opening.push_back(it.link); }
    void note(const close_link& it) { closed.insert(it.link); }
    void note(const probe_link& it) { probing.push_back(it.link); }
    void note(const limit_changed& it) { reasons.push_back(it.reason); }

    /// Takes the gate over and lets every connection succeed.
    void hold()
    {
        send(holder_changed{true});
        open_all(true);
    }

    void open_all(bool success)
    {
        while (!opening.empty()) {
            const std::uint32_t link = opening.front();
            opening.pop_front();
            // A link reports the reply to its first health request before it opens.
            if (success)
                send(link_probed{link, true, first_report, 1});
            send(link_opened{link, success});
        }
    }

    void answer_probes(reported_state state = reported_state::warm)
    {
        while (!probing.empty()) {
            const std::uint32_t link = probing.front();
            probing.pop_front();
            send(link_probed{link, true, state, 1});
        }
    }

    call_id offer(request_class traffic = request_class::interactive, std::string caller = "a",
                  duration left = milliseconds{900})
    {
        const call_id id{{7, ++calls}, 0, 1};
        send(call_offered{{id, caller_id{std::move(caller)}, traffic, true, now + left}});
        return id;
    }

    void complete(const start_call& it, reply_status status = reply_status::completed,
                  duration latency = milliseconds{1}, reported_state state = reported_state::warm,
                  std::uint64_t boot_id = 1)
    {
        send(call_completed{it.id, it.link, status, latency, state, boot_id});
        open_all(true);
    }

    /// Offers a call and lets it end; false if it did not start.
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
        hold();
        for (int n = 0; n < 400 && !gate.warm(); ++n)
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

    upstream_dispatcher gate;
    reported_state first_report = reported_state::warm;
    time_point now{std::chrono::hours{1}};
    std::uint64_t calls = 0;
    std::vector<start_call> started;
    std::vector<reject_call> rejected;
    std::vector<cancel_on_upstream> cancelled;
    std::deque<std::uint32_t> opening;
    std::deque<std::uint32_t> probing;
    std::set<std::uint32_t> closed;
    std::vector<std::string> reasons;
};

} // namespace ebonywick::testing
