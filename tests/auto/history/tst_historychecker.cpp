// Tests the history checker: for each invariant, a history that violates it is
// reported, and one that differs only in the decisive record passes.
#include "history/historychecker.h"
#include "history/recordreader.h"

#include <criterion/criterion.h>

#include <initializer_list>
#include <string>

using namespace ebonywick::history;

namespace {

std::string first_violation(std::initializer_list<std::string> lines)
{
    std::vector<record> records;
    for (const std::string& it : lines) {
        auto read = read_line(it, "test");
        const auto* error = std::get_if<line_error>(&read);
        cr_assert_null(error, "%s in %s", error == nullptr ? "" : to_string(*error).c_str(),
                       it.c_str());
        records.push_back(std::get<record>(std::move(read)));
    }
    const auto found = check_history(std::move(records));
    return found.empty() ? "" : found.front().invariant;
}

void expect_violation(const std::string& invariant, std::initializer_list<std::string> violating,
                      std::initializer_list<std::string> valid)
{
    const std::string violated = first_violation(violating);
    cr_assert_str_eq(violated.c_str(), invariant.c_str());
    const std::string reported = first_violation(valid);
    cr_assert_str_eq(reported.c_str(), "");
}

std::string request(const std::string& fields)
{
    return R"({"type":"search","start":100,"end":200,"host":"h","service":"k",)" + fields + "}";
}

std::string answer(const std::string& fields)
{
    return request(R"("status":200,"outcome":"answered","request_id":"q","version":7,)" + fields);
}

std::string end_of(const std::string& call, const std::string& version)
{
    return R"({"t":150,"event":"end","searcher":"s","call":")" + call +
           R"(","status":"completed","version":)" + version + "}";
}

std::string start_at(const std::string& seconds, const std::string& extra = "")
{
    return R"({"t":)" + seconds + R"(000000000,"event":"start","searcher":"s","call":"q-0-)" +
           seconds + R"(","version":7)" + extra + "}";
}

std::string at(const std::string& seconds, const std::string& fields)
{
    return R"({"t":)" + seconds + "000000000," + fields + "}";
}

const std::string declared =
    R"({"kind":"searcher","searcher":"s","failure_domain":"a","cold_concurrency":1})";

} // namespace

Test(history, i1_answer_has_a_single_version)
{
    const auto two_shards = R"("merged":2,"total":2,"missing":[])";
    expect_violation(
        "I1", {answer(two_shards), end_of("q-0-0", "7"), end_of("q-1-0", "6")},
        {answer(two_shards), end_of("q-0-0", "7"), end_of("q-1-0", "7"), end_of("q-1-1", "6")});
    const auto one_shard = std::string{R"("merged":1,"total":1,"missing":[],"hit_versions":)"};
    expect_violation("I1", {answer(one_shard + "[7,6]"), end_of("q-0-0", "7")},
                     {answer(one_shard + "[7,7]"), end_of("q-0-0", "7")});
}

Test(history, i2_coverage_matches_completed_calls)
{
    const auto two_shards = R"("merged":2,"total":2,"missing":[])";
    expect_violation("I2", {answer(two_shards), end_of("q-0-0", "7"), end_of("q-0-1", "7")},
                     {answer(two_shards), end_of("q-0-0", "7"), end_of("q-1-0", "7")});
    expect_violation("I2", {answer(R"("merged":1,"total":2,"missing":[])"), end_of("q-0-0", "7")},
                     {answer(R"("merged":1,"total":2,"missing":["s1"])"), end_of("q-0-0", "7")});
}

Test(history, i3_cold_upstream_stays_within_its_concurrency)
{
    const auto cold = R"(,"cold":true)";
    const auto ended =
        at("2", R"("event":"end","searcher":"s","call":"q-0-1","status":"completed",)"
                R"("version":7)");
    expect_violation("I3", {declared, start_at("1", cold), start_at("3", cold)},
                     {declared, start_at("1", cold), ended, start_at("3", cold)});
    expect_violation("I3",
                     {declared, at("1", R"("kind":"cold_peak","searcher":"s","concurrent":2)")},
                     {declared, at("1", R"("kind":"cold_peak","searcher":"s","concurrent":1)")});
}

Test(history, i4_domain_that_is_out_gets_no_new_calls)
{
    const auto out = at("1", R"("kind":"domain_out","failure_domain":"a")");
    const auto back = at("4", R"("kind":"domain_back","failure_domain":"a")");
    expect_violation("I4", {declared, out, start_at("5")}, {declared, out, back, start_at("5")});
    expect_violation("I4", {declared, out, start_at("5")}, {declared, out, start_at("4")});
}

Test(history, i5_answer_belongs_to_its_request)
{
    const auto plain = std::string{R"("status":504,"outcome":"unknown","request_id":)"};
    expect_violation("I5", {request(plain + R"("q","wrong":"query")")},
                     {request(plain + R"("q")")});
    expect_violation("I5", {request(plain + R"("q")"), request(plain + R"("q")")},
                     {request(plain + R"("q")"), request(plain + R"("r")")});
}

Test(history, i6_request_reported_not_run_started_no_call)
{
    const auto refused = std::string{R"("status":503,"outcome":"not_run","request_id":)"};
    expect_violation("I6", {request(refused + R"("q")"), start_at("1")},
                     {request(refused + R"("r")"), start_at("1")});
}

Test(history, i7_order_runs_once_with_one_outcome)
{
    const auto run = [](const std::string& key) {
        return at("1", R"("event":"order","searcher":"s","call":"q-0-0","key":")" + key + R"(")");
    };
    expect_violation("I7", {run("a"), run("a")}, {run("a"), run("b")});
    const auto answered = std::string{R"("status":200,"outcome":"answered","key":"a","reply":)"};
    expect_violation("I7", {request(answered + R"("x")"), request(answered + R"("y")")},
                     {request(answered + R"("x")"), request(answered + R"("x")")});
}

Test(history, i8_leaving_upstream_gets_no_new_calls)
{
    const auto leave = at("1", R"("kind":"searcher_leaving","searcher":"s")");
    const auto back = at("4", R"("kind":"searcher_back","searcher":"s")");
    expect_violation("I8", {leave, start_at("5")}, {leave, back, start_at("5")});
    expect_violation("I8", {leave, start_at("5")}, {leave, start_at("4")});
}

Test(history, i9_leaving_host_completes_its_requests)
{
    const auto leave = R"({"t":150,"kind":"host_leave","host":"h"})";
    const auto restart = R"({"t":90,"kind":"host_start","host":"h"})";
    const auto later = R"({"t":160,"kind":"host_start","host":"h"})";
    const auto aborted = request(R"("status":0,"outcome":"unknown")");
    const auto completed = request(R"("status":200,"outcome":"unknown")");
    expect_violation("I9", {leave, later, aborted}, {leave, later, completed});
    expect_violation("I9", {leave, R"({"t":300,"kind":"host_end","host":"h","exit_code":3})"},
                     {leave, R"({"t":300,"kind":"host_end","host":"h","exit_code":0})"});
    const auto earlier = R"({"t":80,"kind":"host_leave","host":"h"})";
    expect_violation("I9", {earlier, aborted}, {earlier, restart, aborted});
}

Test(history, i10_accepted_configuration_is_stored_and_applied)
{
    const auto store_write_line = [](const std::string& version) {
        return R"({"time":1000000000,"key":"ebonywick/config","version":)" + version +
               R"(,"result":"accepted"})";
    };
    const auto status = [](const std::string& seconds, const std::string& version,
                           const std::string& current = "true") {
        return at(seconds, R"("kind":"host_status","host":"h","incarnation":1,"config_version":)" +
                               version + R"(,"current":)" + current);
    };
    expect_violation("I10", {status("1", "5"), status("2", "4")},
                     {status("1", "4"), status("2", "5")});
    expect_violation("I10", {store_write_line("5"), status("5", "4")},
                     {store_write_line("5"), status("4", "4")});
    expect_violation("I10", {store_write_line("5"), status("5", "4")},
                     {store_write_line("5"), status("5", "4", "false")});
    const auto change = [](const std::string& fields) {
        return at("2", R"("kind":"change","start":1000000000,)" + fields);
    };
    const auto accepted = [&](const std::string& version) {
        return change(R"("told":"accepted","version":)" + version);
    };
    expect_violation("I10", {accepted("5")}, {store_write_line("5"), accepted("5")});
    expect_violation("I10", {store_write_line("5"), accepted("5"), accepted("5")},
                     {store_write_line("5"), store_write_line("6"), accepted("5"), accepted("6")});
    expect_violation("I10", {store_write_line("6"), accepted("5")},
                     {store_write_line("5"), store_write_line("6"), accepted("6"), accepted("6")});
    // A restored store gives out a version again.
    expect_violation("I10", {store_write_line("5"), accepted("5"), accepted("5")},
                     {store_write_line("5"), store_write_line("5"), accepted("5"), accepted("5")});
    const auto earlier = R"({"time":9,"key":"ebonywick/config","version":4,"result":"accepted"})";
    expect_violation("I10", {earlier, accepted("5")},
                     {earlier, store_write_line("5"), accepted("5")});
    expect_violation("I10",
                     {store_write_line("5"), store_write_line("6"), accepted("5"),
                      change(R"("told":"conflict")")},
                     {store_write_line("5"), accepted("5"), change(R"("told":"conflict")")});
}

// A malformed line that is skipped silently would hide the violation that it shows.
Test(history, malformed_lines_are_errors)
{
    const std::pair<const char*, line_error_kind> cases[] = {
        {R"({"t":1,"event":"start")", line_error_kind::not_json},
        {"[1]", line_error_kind::not_json},
        {R"({"t":1,"kind":"other"})", line_error_kind::unknown_kind},
        {R"({"t":1,"event":"other"})", line_error_kind::unknown_kind},
        {R"({"t":1,"kind":"host_leave"})", line_error_kind::missing_field},
        {R"({"t":1,"start":1,"kind":"change","told":"accepted"})", line_error_kind::missing_field},
        {R"({"t":"1","kind":"host_leave","host":"h"})", line_error_kind::wrong_type},
        {R"({"t":1,"start":1,"kind":"change","told":"maybe"})", line_error_kind::unknown_value},
        {R"({"time":1,"key":"k","version":1,"result":"x"})", line_error_kind::unknown_value},
        {R"({"t":1,"event":"end","searcher":"s","call":"c","version":1,"status":"x"})",
         line_error_kind::unknown_value},
    };
    for (const auto& [line, error] : cases) {
        const auto read = read_line(line, "f:1");
        const auto* found = std::get_if<line_error>(&read);
        cr_assert_not_null(found, "%s", line);
        cr_assert_eq(found->kind, error, "%s", line);
    }
}
