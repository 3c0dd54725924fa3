// Tests of a gateway whose upstreams answer with a status that is none.
#include "gatewayfixture.h"
#include "scriptedupstream.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

// Below 100 and above 599 there is no class of statuses; the others are no three digits.
const std::vector<std::string> no_statuses{"000", "001", "010", "099",  "600",   "700",
                                           "999", "1",   "99",  "1000", "20x",   "-20",
                                           "+20", "2 0", "0x2", "",     "200200"};

struct status_fixture : gateway_fixture
{
    status_fixture() : gateway_fixture(1, fixture_clock::by_hand)
    {
        // Both upstreams of `orders`, and one of the two of the shard.
        for (const std::size_t index : {0U, 2U, 3U}) {
            const endpoint at = free_address();
            faulty.push_back(
                std::make_unique<scripted_upstream>(loop, at, [this](const std::string& request) {
                    const auto id = scripted_upstream::field(request, "X-Request-Id");
                    return scripted_reply{
                        fmt::format("HTTP/1.1 {} OK\r\nX-Request-Id: {}\r\nX-Server-Stamp: s\r\n"
                                    "Content-Length: {}\r\n\r\n{}",
                                    status, id, body.size(), body)};
                }));
            entries[index]["address"] = to_string(at);
        }
        start_ready();
    }

    std::string status;
    std::string body;
    std::vector<std::unique_ptr<scripted_upstream>> faulty;
};

} // namespace

// Guards against a caller that gets a status that is none as an answer, or waits until its deadline
// because the host takes the reply for an interim one.
Test(reply_status, what_is_no_status_is_no_answer)
{
    status_fixture f;
    for (const std::string& body : {std::string{}, std::string{"0123456789abcdef"}}) {
        for (const std::string& it : no_statuses) {
            f.status = it;
            f.body = body;
            const time_point before = f.hand_time;
            const auto sent = f.faulty[1]->requests().size() + f.faulty[2]->requests().size();
            const http_message answer = f.order(fmt::format("order-{}-{}", it.size(), body.size()));
            cr_assert_eq(answer.status, 502, "'%s': %d", it.c_str(), answer.status);
            cr_assert(answer.field("X-Server-Stamp").empty());
            cr_assert_lt((f.hand_time - before).count(), duration{200ms}.count(), "'%s'",
                         it.c_str());
            // The upstream may have run the order.
            cr_assert_eq(f.faulty[1]->requests().size() + f.faulty[2]->requests().size(), sent + 1);
        }
    }
}

// Guards against an answer that covers a shard whose reply has no status.
Test(reply_status, what_is_no_status_is_no_part_of_an_answer)
{
    status_fixture f;
    f.body = "0123456789abcdef";
    for (const std::string& it : no_statuses) {
        f.status = it;
        const http_message answer = f.query("q" + it);
        cr_assert_eq(answer.status, 200, "'%s': %d", it.c_str(), answer.status);
        cr_assert_eq(answer.body.size(), 48);
        f.run(20ms);
    }
    cr_assert_gt(f.faulty[0]->requests().size(), 0);
}

// Guards against statuses at the borders that are taken for none.
Test(reply_status, valid_statuses_are_passed_on)
{
    status_fixture f;
    for (const int it : {200, 299, 400, 499, 500, 599}) {
        f.status = std::to_string(it);
        f.body = "body";
        const http_message answer = f.order("order" + f.status);
        cr_assert_eq(answer.status, it);
        cr_assert(answer.body == "body");
    }
}
