// Tests of the evaluation of the hosts' status replies for the operator.
#include "operatorclient/hoststatus.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

polled_host host(const std::string& id, const std::string& domain, object_version version,
                 const std::string& status = "serving")
{
    host_report report;
    report.id = host_id{id};
    report.domain = failure_domain_id{domain};
    report.status = status;
    report.config_version = version;
    return {report.id, {"127.0.0.1", 1}, report};
}

} // namespace

// Failure: `ebonywick wait` ends before all running hosts have the version, or waits for a host
// that is down.
Test(host_status, every_host_that_answers_must_have_the_version)
{
    cr_assert((!all_have_version({}, 1)));
    cr_assert((!all_have_version({host("a", "x", 5), host("b", "x", 4)}, 5)));
    cr_assert(
        (all_have_version({host("a", "x", 5), host("b", "x", 6), {host_id{"c"}, {}, {}}}, 5)));
    cr_assert((!all_have_version({{host_id{"c"}, {}, {}}}, 5)));
}

// Failure: the new witnesses share a failure domain unnecessarily, or include a leaving host.
Test(host_status, witnesses_spread_over_failure_domains)
{
    const auto chosen = choose_witnesses({host("a", "x", 1), host("b", "x", 1), host("c", "x", 1),
                                          host("d", "y", 1), host("e", "z", 1, "leaving")});
    cr_assert((chosen == std::vector{host_id{"a"}, host_id{"b"}, host_id{"d"}}));
    cr_assert((choose_witnesses({host("a", "x", 1, "leaving")}).empty()));
    // Hosts that restart after the loss of the witnesses are joining.
    cr_assert((choose_witnesses({host("a", "x", 1, "joining"), host("b", "x", 1)}) ==
               std::vector<host_id>{host_id{"b"}}));
    cr_assert(choose_witnesses({host("a", "x", 1, "joining")}).size() == 1);
}

// Failure: an invalid reply is taken for the report of a host.
Test(host_status, valid_replies_are_parsed_and_others_refused)
{
    const auto report = parse_status(R"({"host":"a","incarnation":12,"status":"serving",
        "current":true,"config_version":9,"roster_version":3,"preset":"peak",
        "held":["k1","k2"],"domain":"x","later":1})");
    cr_assert(report.has_value());
    cr_assert((report->id == host_id{"a"} && report->incarnation == "12" && report->is_current));
    cr_assert(report->config_version == 9 && report->roster_version == 3 && report->held == 2);
    for (const char* text : {"", "[]", "{}", R"({"host":1})", R"({"host":"a")"})
        cr_assert(!parse_status(text).has_value());
    cr_assert_eq(parse_status(R"({"host":"a","config_version":-1})")->config_version, 0U);
}

// Guards against a status reply that ends the operator's command by its nesting.
Test(host_status, deeply_nested_reply_is_no_status)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    cr_assert(!parse_status(R"({"host":"a","incarnation":)" + deep + "}"));
    cr_assert(parse_status(R"({"host":"a","incarnation":7})").has_value());
}
