// Generates the arrivals of a stream, sends its requests and repeats orders.
#include "loadstream.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonywick::load {

namespace {

using namespace std::chrono_literals;

// Number of failed connections after which an operation ends.
constexpr std::uint32_t max_failed_connections = 4;
// For requests without a deadline.
constexpr duration default_timeout = 10s;
// A host may answer shortly after the request's deadline.
constexpr duration timeout_margin = 1s;

const char* outcome_name(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::complete:
        return "answered";
    case call_outcome::connect_failed:
        return "connect_failed";
    case call_outcome::no_reply:
        return "no_reply";
    case call_outcome::cut:
        return "cut";
    case call_outcome::timed_out:
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

load_stream::load_stream(stream_options options, std::uint64_t seed, time_point program_start,
                         host_list_map host_lists, host_connections& connections,
                         request_recorder& recorder)
    : options_{std::move(options)}, seed_{seed}, host_lists_{std::move(host_lists)},
      connections_{connections}, recorder_{recorder}, measurement_start_{program_start +
                                                                         options_.start +
                                                                         options_.warmup},
      end_{measurement_start_ + options_.measured_time}, arrivals_{seed}, next_{program_start +
                                                                                options_.start}
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
    // In a closed loop immediately, but not before the stream starts.
    time_point arrival = std::max(next_, boot_clock::now());
    if (options_.rate > 0) {
        // Exponential gaps model independent callers.
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
        if (*intended >= measurement_start_)
            statistics_.add(result);
    }
}

load_stream::operation load_stream::make_operation(time_point intended, random_source& random)
{
    operation out;
    out.intended = intended;
    out.caller = options_.callers[random.below(options_.callers.size())];
    out.service = options_.services[random.below(options_.services.size())];
    std::uint64_t number = 0;
    {
        const std::lock_guard lock{mutex_};
        number = next_number_++;
    }
    if (options_.orders && options_.keys > 0)
        number = random.below(options_.keys);
    out.query = fmt::format("{}-{}-{}", options_.name, seed_, number);
    return out;
}

operation_result load_stream::run(const operation& op, random_source& random)
{
    operation_result result;
    std::string avoid;
    const duration host_wait =
        options_.deadline > duration::zero() ? options_.deadline : default_timeout;
    while (true) {
        const auto host =
            host_lists_.at(op.caller)->pick(random, avoid, boot_clock::now() + host_wait);
        if (!host) {
            result.outcome = "no_host";
            break;
        }
        const request_record logged = attempt(op, *host, result.repeats);
        recorder_.add(logged);
        const checked_answer& answer = logged.answer;
        result.outcome = answer.outcome;
        result.kind = answer.kind;
        if (!answer.answer_error.empty())
            result.answer_error = answer.answer_error;
        if (answer.total > 0)
            result.coverage =
                static_cast<double>(answer.merged) / static_cast<double>(answer.total);
        avoid = *host;
        if (result.outcome == "connect_failed") {
            host_lists_.at(op.caller)->report_failed(*host);
            if (++result.failed_connections == max_failed_connections)
                break;
        } else if (options_.orders && may_have_run(result.outcome) &&
                   result.repeats < options_.repeats) {
            ++result.repeats;
            std::this_thread::sleep_for(options_.repeat_pause);
        } else {
            break;
        }
    }
    result.latency = boot_clock::now() - op.intended;
    return result;
}

request_record load_stream::attempt(const operation& op, const std::string& host,
                                    std::uint32_t repeat)
{
    http_request call{
        "POST",
        fmt::format("/v1/services/{}/{}", op.service, options_.orders ? "orders" : "search"),
        {{"X-Caller", op.caller}, {"Content-Type", "application/json"}},
        nlohmann::json{{"query", op.query}}.dump()};
    if (!options_.request_class.empty())
        call.headers.emplace_back("X-Class", options_.request_class);
    if (options_.orders)
        call.headers.emplace_back("Idempotency-Key", op.query);
    duration timeout = default_timeout;
    if (options_.deadline > duration::zero()) {
        timeout = options_.deadline + timeout_margin;
        call.headers.emplace_back(
            "X-Deadline-Ms", fmt::format("{}", std::llround(to_milliseconds(options_.deadline))));
    }
    request_record logged{options_.name,
                          op.caller,
                          options_.orders,
                          op.service,
                          host,
                          op.query,
                          repeat,
                          op.intended,
                          {},
                          {},
                          0,
                          {}};
    logged.start = boot_clock::now();
    const http_response reply = connections_.call(host, call, timeout);
    logged.end = boot_clock::now();
    logged.status = reply.status;
    if (reply.outcome == call_outcome::complete)
        logged.answer = check_answer(reply.body, op.query, options_.orders);
    else
        logged.answer.outcome = outcome_name(reply.outcome);
    return logged;
}

} // namespace ebonywick::load
