// Tests to which request a reply of an upstream belongs, and what it says about the execution of a
// request that must not be repeated.
#include "gatewayfixture.h"
#include "scriptedupstream.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

enum class named_request : std::uint8_t { own, none, other };

struct reply_form
{
    int status = 200;
    named_request names = named_request::own;
    bool not_executed = false;
    // The connection has carried a reply that named its request.
    bool used_connection = false;
};

struct expected_result
{
    int status = 0;
    // The order was sent to both upstreams.
    bool sent_again = false;
};

// The table of docs/design.md, "Whose reply is it?".
expected_result expected(const reply_form& form)
{
    const bool belongs = form.names == named_request::own ||
                         (form.names == named_request::none && !form.used_connection);
    if (!belongs)
        return {502, false};
    if (form.not_executed || form.status == 421)
        return {503, true};
    if (form.status == 408 || form.status == 429 || form.status == 503)
        return {502, false};
    return {form.status, false};
}

std::string reply_text(const reply_form& form, const std::string& id)
{
    std::string out = fmt::format("HTTP/1.1 {} X\r\nX-Server-Stamp: s\r\n", form.status);
    if (form.names != named_request::none)
        out += fmt::format("X-Request-Id: {}{}\r\n",
                           form.names == named_request::other ? "not-" : "", id);
    if (form.not_executed)
        out += "X-Not-Executed: 1\r\n";
    return out + "Content-Length: 4\r\n\r\nbody";
}

void check_all_replies(bool used_connection)
{
    gateway_fixture f{1, fixture_clock::by_hand};
    f.connection_limit = 1;
    f.settings.extra_call_slack = 10'000;
    reply_form form;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    // Both upstreams of `orders`.
    for (const std::size_t index : {2U, 3U}) {
        const endpoint at = free_address();
        upstreams.push_back(
            std::make_unique<scripted_upstream>(f.loop, at, [&](const std::string& request) {
                const auto id = scripted_upstream::field(request, "X-Request-Id");
                if (id.starts_with("first"))
                    return scripted_reply{reply_text({}, id)};
                return scripted_reply{reply_text(form, id)};
            }));
        f.entries[index]["address"] = to_string(at);
    }
    f.start_ready();
    const auto sent = [&] {
        return upstreams[0]->requests().size() + upstreams[1]->requests().size();
    };
    int number = 0;
    for (const int status : {200, 404, 408, 421, 429, 500, 503}) {
        for (const auto names : {named_request::own, named_request::none, named_request::other}) {
            for (const bool not_executed : {false, true}) {
                form = {status, names, not_executed, used_connection};
                ++number;
                // Connections are not used again after this time.
                f.run(350ms);
                for (int it = 0; used_connection && it < 4; ++it)
                    cr_assert_eq(f.order(fmt::format("first-{}-{}", number, it)).status, 200);
                const std::size_t before = sent();
                const auto answer = f.order(fmt::format("order-{}", number));
                const expected_result result = expected(form);
                const auto text = fmt::format("status {}, names {}, not executed {}: {}, sent {}",
                                              status, static_cast<int>(names), not_executed,
                                              answer.status, sent() - before);
                cr_assert_eq(answer.status, result.status, "%s", text.c_str());
                cr_assert_eq(sent() - before > 1, result.sent_again, "%s", text.c_str());
            }
        }
    }
}

} // namespace

// Both tests guard against a reply that is taken for the answer to another request, and against a
// promise that an order has not run which the upstream has not made for it.
Test(reply_ownership, every_kind_of_reply_on_a_new_connection, .timeout = 60)
{
    check_all_replies(false);
}

Test(reply_ownership, every_kind_of_reply_on_a_used_connection, .timeout = 60)
{
    check_all_replies(true);
}

// Guards against a late second copy of a refusal, which names no request, that is taken for the
// refusal of the next order: the caller would be told that an order has not run while it runs.
Test(reply_ownership, late_copy_of_a_refusal_refuses_no_other_order, .timeout = 60)
{
    for (const int status : {421, 503}) {
        gateway_fixture f{1, fixture_clock::by_hand};
        f.connection_limit = 1;
        f.settings.extra_call_slack = 10'000;
        const reply_form refusal{status, named_request::none, status == 503};
        std::vector<std::unique_ptr<scripted_upstream>> upstreams;
        bool refuses = true;
        std::vector<std::string> run;
        // Both upstreams of `orders`.
        for (const std::size_t index : {2U, 3U}) {
            const endpoint at = free_address();
            upstreams.push_back(std::make_unique<scripted_upstream>(
                f.loop, at, [&, own = upstreams.size()](const std::string& request) {
                    const auto id = scripted_upstream::field(request, "X-Request-Id");
                    const bool copy_is_due = upstreams[own]->position() > 1;
                    if (refuses && !copy_is_due)
                        return scripted_reply{reply_text(refusal, "")};
                    run.push_back(id);
                    return scripted_reply{copy_is_due ? reply_text(refusal, "")
                                                      : reply_text({}, id)};
                }));
            f.entries[index]["address"] = to_string(at);
        }
        f.start_ready();
        // Some of them wait for the connections that carry the refusals of the others.
        std::vector<std::unique_ptr<http_channel>> callers;
        std::size_t refused = 0;
        for (int it = 0; it < 4; ++it) {
            callers.push_back(std::make_unique<http_channel>(f.loop, f.timers, f.settings.callers));
            callers.back()->call(
                f.request_text("POST", "/o/x", fmt::format("together-{}", it), "body"), 5s,
                [&](const auto& reply) { refused += reply && reply->status == 503 ? 1 : 0; });
        }
        f.run(2500ms);
        cr_expect_eq(refused, 4, "refusal %d: %zu", status, refused);
        cr_expect(run.empty(), "refusal %d: %zu run", status, run.size());
        // The connections that have carried the refusals are still in use.
        cr_assert_eq(f.order("refused").status, 503);
        refuses = false;
        const auto answer = f.order("run");
        cr_expect_eq(answer.status, 200, "refusal %d: %d", status, answer.status);
    }
}
