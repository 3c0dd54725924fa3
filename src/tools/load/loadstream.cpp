// Arrivals, attempts and repeats of a stream.
#include "loadstream.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonywick::load {

namespace {

using namespace std::chrono_literals;

// Hosts that a caller tries when it cannot connect.
constexpr std::uint32_t most_hosts = 4;
// Without a deadline in the request.
constexpr duration default_timeout = 10s;
// The host answers shortly after the deadline that it was given.
constexpr duration timeout_margin = 1s;

const char* name_of(call_end end)
{
    switch (end) {
    case call_end::complete:
        return "answered";
    case call_end::connect_failed:
        return "connect_failed";
    case call_end::no_reply:
        return "no_reply";
    case call_end::cut:
        return "cut";
    case call_end::timed_out:
        return "timed_out";
    }
    return "invalid";
}

bool may_have_run(const std::string& outcome)
{
    return outcome == "unknown" || outcome == "no_reply" || outcome == "cut" ||
           outcome == "timed_out";
}

void sleep_until(time_point at)
{
    const duration left = at - boot_clock::now();
    if (left > duration::zero())
        std::this_thread::sleep_for(left);
}

} // namespace

load_stream::load_stream(stream_options options, std::uint64_t seed, time_point begin,
                         directory_map directories, host_connections& connections, request_log& log)
    : options_{std::move(options)}, seed_{seed}, directories_{std::move(directories)},
      connections_{connections}, log_{log}, first_counted_{begin + options_.start +
                                                           options_.warmup},
      end_{first_counted_ + options_.length}, arrivals_{seed}, next_{begin + options_.start}
{
    for (std::uint32_t it = 0; it < options_.connections; ++it)
        threads_.emplace_back([this, it] { work(seed_ * 1000 + it + 1); });
}

void load_stream::join()
{
    for (std::jthread& it : threads_)
        it.join();
}

std::optional<time_point> load_stream::next_arrival()
{
    const std::lock_guard lock{mutex_};
    // Closed loop: at once, but not before the stream starts.
    time_point arrival = std::max(next_, boot_clock::now());
    if (options_.rate > 0) {
        // Exponential gaps: independent callers.
        const double gap = -std::log(1.0 - arrivals_.uniform()) / options_.rate;
        next_ += std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap});
        arrival = next_;
    }
    if (arrival >= end_)
        return std::nullopt;
    return arrival;
}

void load_stream::work(std::uint64_t seed)
{
    random_source random{seed};
    while (const auto intended = next_arrival()) {
        sleep_until(*intended);
        const operation_result result = run(make_operation(*intended, random), random);
        if (*intended >= first_counted_)
            statistics_.add(result);
    }
}

load_stream::operation load_stream::make_operation(time_point intended, random_source& random)
{
    operation made;
    made.intended = intended;
    made.caller = options_.callers[random.below(options_.callers.size())];
    made.service = options_.services[random.below(options_.services.size())];
    std::uint64_t number = 0;
    {
        const std::lock_guard lock{mutex_};
        number = made_++;
    }
    if (options_.orders && options_.keys > 0)
        number = random.below(options_.keys);
    made.query = fmt::format("{}-{}-{}", options_.name, seed_, number);
    return made;
}

operation_result load_stream::run(const operation& todo, random_source& random)
{
    operation_result result;
    std::string avoid;
    const duration patience =
        options_.deadline > duration::zero() ? options_.deadline : default_timeout;
    while (true) {
        const auto host =
            directories_.at(todo.caller)->pick(random, avoid, boot_clock::now() + patience);
        if (!host) {
            result.outcome = "no_host";
            break;
        }
        const logged_request done = attempt(todo, *host, result.repeats);
        log_.add(done);
        const checked_answer& answer = done.answer;
        result.outcome = answer.outcome;
        result.kind = answer.kind;
        if (!answer.wrong.empty())
            result.wrong = answer.wrong;
        if (answer.total > 0)
            result.coverage =
                static_cast<double>(answer.merged) / static_cast<double>(answer.total);
        avoid = *host;
        if (result.outcome == "connect_failed") {
            directories_.at(todo.caller)->report_failed(*host);
            if (++result.failed_connections == most_hosts)
                break;
        } else if (options_.orders && may_have_run(result.outcome) &&
                   result.repeats < options_.repeats) {
            ++result.repeats;
            std::this_thread::sleep_for(options_.repeat_pause);
        } else {
            break;
        }
    }
    result.latency = boot_clock::now() - todo.intended;
    return result;
}

logged_request load_stream::attempt(const operation& todo, const std::string& host,
                                    std::uint32_t repeat)
{
    http_call call{
        "POST",
        fmt::format("/v1/services/{}/{}", todo.service, options_.orders ? "orders" : "search"),
        {{"X-Caller", todo.caller}, {"Content-Type", "application/json"}},
        nlohmann::json{{"query", todo.query}}.dump()};
    if (!options_.request_class.empty())
        call.headers.emplace_back("X-Class", options_.request_class);
    if (options_.orders)
        call.headers.emplace_back("Idempotency-Key", todo.query);
    duration timeout = default_timeout;
    if (options_.deadline > duration::zero()) {
        timeout = options_.deadline + timeout_margin;
        call.headers.emplace_back(
            "X-Deadline-Ms", fmt::format("{}", std::llround(to_milliseconds(options_.deadline))));
    }
    logged_request done{options_.name,
                        todo.caller,
                        options_.orders,
                        todo.service,
                        host,
                        todo.query,
                        repeat,
                        todo.intended,
                        {},
                        {},
                        0,
                        {}};
    done.start = boot_clock::now();
    const call_reply reply = connections_.call(host, call, timeout);
    done.end = boot_clock::now();
    done.status = reply.status;
    if (reply.end == call_end::complete)
        done.answer = check_answer(reply.body, todo.query, options_.orders);
    else
        done.answer.outcome = name_of(reply.end);
    return done;
}

} // namespace ebonywick::load
