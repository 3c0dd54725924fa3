// Emulates one upstream as the platform specifies it: slots, a queue, stamps that prove the
// execution of a request, load reports, and faults.
#pragma once

#include "gateway/httpserver.h"
#include "gateway/timerqueue.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonywick::standin {

enum class upstream_fault : std::uint8_t {
    none,
    // Runs the request, but closes the connection without a reply.
    lose_reply,
    // Sends only the first part of the reply, then closes the connection.
    truncate,
    // Sends the reply twice.
    extra_reply,
    // Sends the reply to another request.
    wrong_id,
    // Declares a Content-Encoding, which upstreams must not use.
    content_encoded,
    // Sends a reply that is not HTTP.
    not_http,
    // Refuses the request without running it.
    shed,
    // Runs the request and replies with status 500 and a stamp.
    fail,
    // Neither runs nor answers the request.
    silent,
    // Sends the reply without Content-Length and then closes the connection.
    unframed,
};

struct upstream_options
{
    std::string id;
    std::uint32_t slots = 4;
    // Requests that may wait for a slot.
    std::uint32_t queue = 24;
    // Time that a request takes.
    duration service_time = std::chrono::milliseconds{5};
    // Records in a reply.
    std::uint32_t records = 5;

    auto operator<=>(const upstream_options&) const = default;
};

/// Runs on the event loop of its owner; not thread-safe. Records every request that it runs.
class platform_upstream
{
public:
    struct run
    {
        std::string request_id;
        std::string method;
        std::string target;
        std::string body;
        time_point at;
    };

    platform_upstream(boost::asio::io_context& loop, timer_queue& timers, const endpoint& address,
                      upstream_options options);

    /// Applies the fault to the next `count` requests.
    void fail_next(upstream_fault fault, std::size_t count);
    /// From now on requests take this time, and replies have this number of records.
    void set_replies(duration service_time, std::uint32_t records)
    {
        options_.service_time = service_time;
        options_.records = records;
    }
    /// From now on all replies state that the upstream is leaving, or no longer do.
    void state_leaving(bool leaving) { leaving_ = leaving; }
    /// Requests that arrive before `until` are refused without a run, with this text as the time
    /// to wait; no text: without one.
    void refuse_until(time_point until, std::string retry_after)
    {
        refused_until_ = until;
        retry_after_ = std::move(retry_after);
    }
    /// The next request and those that arrive within `time` of it are refused as above.
    void refuse_from_next_for(duration time, std::string retry_after)
    {
        refusal_time_ = time;
        retry_after_ = std::move(retry_after);
    }
    /// From now on replies state this limit of requests per second; nullopt: none.
    void set_limit(std::optional<double> requests_per_second) { limit_ = requests_per_second; }
    void set_service_time(duration time) { options_.service_time = time; }
    /// Changes the instance id, as if another process had taken the address.
    void set_id(std::string id) { options_.id = std::move(id); }
    /// Requests that start before `until` make no progress until then.
    void pause_until(time_point until) { paused_until_ = until; }

    [[nodiscard]] const std::vector<run>& runs() const { return runs_; }
    /// When requests have arrived, whether or not they ran. Without status checks and requests for
    /// another upstream.
    [[nodiscard]] const std::vector<time_point>& arrivals() const { return arrivals_; }
    /// When the first reply that states that the upstream is leaving was sent; nothing if none was.
    [[nodiscard]] const std::optional<time_point>& stated_leaving_at() const
    {
        return stated_leaving_at_;
    }
    [[nodiscard]] std::size_t connections() const { return server_.session_count(); }

private:
    struct job
    {
        job(http_exchange request_exchange, upstream_fault assigned_fault)
            : exchange(std::move(request_exchange)), fault(assigned_fault)
        {
        }
        http_exchange exchange;
        upstream_fault fault;
        std::unique_ptr<loop_timer> timer;
        bool disconnected = false;
    };

    void serve(http_exchange exchange);
    void start_jobs();
    void finish(const std::shared_ptr<job>& it);
    using field_list = std::vector<std::pair<std::string, std::string>>;
    // A reply with `fields` and what the upstream states in all of them.
    [[nodiscard]] std::string reply(int status, field_list fields, const std::string& body,
                                    bool with_length = true);
    [[nodiscard]] std::string load() const;
    [[nodiscard]] std::string result_records(const std::string& request_id) const;

    timer_queue& timers_;
    upstream_options options_;
    std::optional<double> limit_;
    bool leaving_ = false;
    std::optional<time_point> stated_leaving_at_;
    time_point refused_until_{};
    // Set until the first request of refuse_from_next_for().
    std::optional<duration> refusal_time_;
    std::string retry_after_;
    std::vector<run> runs_;
    std::vector<time_point> arrivals_;
    std::uint32_t running_ = 0;
    std::deque<std::shared_ptr<job>> waiting_;
    // Ended jobs are kept until the next request, because the callback of a job's timer must
    // not destroy the job.
    std::set<std::shared_ptr<job>> started_;
    std::vector<std::shared_ptr<job>> ended_;
    std::list<std::shared_ptr<job>> silent_;
    std::deque<upstream_fault> faults_;
    time_point paused_until_{};
    http_server server_;
};

} // namespace ebonywick::standin
