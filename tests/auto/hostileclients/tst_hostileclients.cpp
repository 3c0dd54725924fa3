// Callers that nobody controls, against a gateway process with lowered limits. Guards against a
// process that runs out of memory or of descriptors, or that no longer serves ordinary callers.
#include "crowd.h"
#include "gatewayprocess.h"

#include <criterion/criterion.h>

#include <string>

using namespace ebonywick;

namespace {

constexpr std::size_t crowd_size = 300;
constexpr std::size_t body_bytes = 262'144;
// Of the process's descriptors, those that a crowd leaves to upstreams, the store and others.
constexpr std::size_t kept_descriptors = 32;

std::string head(std::string_view target, std::string_view fields)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: x\r\n"
                       "X-Deadline-Ms: 2000\r\n{}\r\n",
                       target, fields);
}

std::string with_length(std::size_t sent, std::string_view more_fields = "")
{
    return head("/o/x", fmt::format("Content-Length: {}\r\n{}", body_bytes, more_fields)) +
           std::string(sent, 'x');
}

std::string chunked(std::size_t chunk, std::size_t count, std::string_view extension = "")
{
    std::string out = head("/o/x", "Transfer-Encoding: chunked\r\n");
    const std::string one =
        fmt::format("{:x}{}\r\n{}\r\n", chunk, extension, std::string(chunk, 'x'));
    for (std::size_t it = 0; it < count; ++it)
        out += one;
    return out;
}

std::string order()
{
    return "POST /o/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: o\r\nX-Deadline-Ms: 2000\r\n"
           "Content-Length: 4\r\n\r\nbody";
}

std::string query()
{
    return "GET /q/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\nX-Deadline-Ms: 2000\r\n\r\n";
}

std::string many(const std::string& request, std::size_t count)
{
    std::string out;
    for (std::size_t it = 0; it < count; ++it)
        out += request;
    return out;
}

void check(const gateway_process& of, const process_limits& limits = {})
{
    of.wait_until_idle();
    cr_expect(of.lives());
    cr_expect(is_answered(of.callers(), order()));
    cr_expect(of.peak_mb() < limits.memory_mb, "peak %u MB", of.peak_mb());
    cr_expect(of.open_descriptors() + kept_descriptors <= limits.descriptors, "%zu descriptors",
              of.open_descriptors());
}

void check_crowd(const std::string& text, std::size_t piece = body_bytes)
{
    const gateway_process process;
    cr_assert(is_answered(process.callers(), order()));
    crowd all{process.callers(), crowd_size};
    all.send(text, piece);
    check(process);
}

} // namespace

Test(hostile_clients, bodies_that_stop_short)
{
    check_crowd(with_length(body_bytes - 1));
}

Test(hostile_clients, bodies_in_pieces_that_stop_short)
{
    check_crowd(with_length(body_bytes - 1), 4096);
}

Test(hostile_clients, bodies_that_wait_for_the_interim_reply)
{
    check_crowd(with_length(body_bytes - 1, "Expect: 100-continue\r\n"));
}

Test(hostile_clients, large_chunks_without_end)
{
    check_crowd(chunked(body_bytes - 1, 1));
}

Test(hostile_clients, small_chunks_without_end)
{
    check_crowd(chunked(1, 4000));
}

Test(hostile_clients, chunk_extensions_without_end)
{
    check_crowd(chunked(1, 40, ";" + std::string(2000, 'e')));
}

Test(hostile_clients, trailers_without_end)
{
    check_crowd(chunked(1, 1) + "0\r\n" + many("Trailer: " + std::string(100, 't') + "\r\n", 120));
}

Test(hostile_clients, heads_without_end)
{
    check_crowd("GET /q/x HTTP/1.1\r\n" + many("Field: " + std::string(100, 'f') + "\r\n", 130));
}

Test(hostile_clients, whole_bodies_at_slow_upstreams)
{
    const gateway_process process{{}, std::chrono::milliseconds{500}};
    cr_assert(is_answered(process.callers(), order()));
    crowd all{process.callers(), crowd_size};
    all.send(with_length(body_bytes));
    check(process);
}

Test(hostile_clients, crowds_that_renew_themselves)
{
    const gateway_process process;
    cr_assert(is_answered(process.callers(), order()));
    for (int it = 0; it < 4; ++it) {
        crowd all{process.callers(), crowd_size};
        all.send(with_length(body_bytes - 1));
    }
    check(process);
}

Test(hostile_clients, requests_ahead_with_unread_answers)
{
    const gateway_process process;
    cr_assert(is_answered(process.callers(), order()));
    crowd all{process.callers(), 12};
    all.send(many(query(), 20'000));
    check(process);
}

Test(hostile_clients, bodies_ahead_with_unread_answers)
{
    const gateway_process process;
    cr_assert(is_answered(process.callers(), order()));
    crowd all{process.callers(), 12};
    all.send(many(with_length(body_bytes), 8));
    check(process);
}

Test(hostile_clients, large_merged_answers_unread)
{
    constexpr std::uint32_t records = 4000;
    const gateway_process process{{}, std::chrono::milliseconds{1}, records};
    cr_assert(is_answered(process.callers(), order()));
    crowd all{process.callers(), crowd_size};
    all.send(many(query(), 100));
    check(process);
}

Test(hostile_clients, idle_connections)
{
    const process_limits limits{.descriptors = 256};
    const gateway_process process{limits};
    cr_assert(is_answered(process.callers(), order()));
    const crowd all{process.callers(), crowd_size};
    check(process, limits);
    cr_expect(is_answered(process.metrics(), "GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n"));
}

Test(hostile_clients, bodies_during_a_planned_stop)
{
    const gateway_process process;
    cr_assert(is_answered(process.callers(), order()));
    crowd all{process.callers(), crowd_size};
    process.stop();
    all.send(with_length(body_bytes - 1));
    cr_expect(process.peak_mb() < process_limits{}.memory_mb || !process.lives());
    cr_expect(process.ends_by_itself());
}

Test(hostile_clients, bodies_during_a_start)
{
    const gateway_process process;
    // Nothing listens before the process has bound its addresses.
    cr_assert(is_answered(process.metrics(), "GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n"));
    crowd all{process.callers(), crowd_size};
    all.send(with_length(body_bytes - 1));
    check(process);
}
