// Tests for the serialization of messages between hosts.
#include "base/randomsource.h"
#include "wire/wireconversion.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

std::vector<control_message> control_samples()
{
    const std::vector<member_update> updates{{host_id{"b"}, 7, 3, host_status::leaving},
                                             {host_id{"c"}, 9, 1, host_status::down}};
    return {heartbeat{host_id{"a"}, 5, 6, 7, 8, true, updates},
            heartbeat_reply{host_id{"a"}, 5, 6, 7, 8, true, {}, updates},
            fence_request{host_id{"a"}, host_id{"b"}, 4},
            fence_reply{host_id{"a"}, host_id{"b"}, 4, true},
            lease_release{host_id{"a"}, 12},
            object_push{host_id{"a"}, object_kind::roster, 3, "{\"x\":1}"},
            object_fetch{host_id{"a"}, object_kind::config}};
}

std::vector<dispatch_message> dispatch_samples()
{
    const call_id id{request_id{1, 2}, 3, 4};
    const upstream_id upstream{"s1"};
    call_request request{id,
                         service_name{"katalog"},
                         shard_name{"s0"},
                         upstream,
                         caller_id{"c"},
                         snapshot{5, 6},
                         request_class::batch,
                         false,
                         250ms,
                         time_point{12345ns},
                         "{\"query\":\"x\"}",
                         "key-1"};
    call_reply reply;
    reply.id = id;
    reply.upstream = upstream;
    reply.failure = error_kind::version_not_held;
    reply.from = snapshot{8, 9};
    reply.shard = shard_name{"s0"};
    reply.report = upstream_report{upstream, {8, 7}, 2, true, true, true};
    reply.waited = 15us;
    reply.body = "[]";
    call_reply unreported = reply;
    unreported.report.reset();
    return {request, reply, unreported, call_cancel{id, upstream}};
}

} // namespace

// Guards against fields that are not converted, such as `leaving` or a version.
Test(wire_conversion, control_messages_are_decoded_unchanged)
{
    for (const control_message& it : control_samples()) {
        const auto arrived = decode_control(encode_control(host_id{"a"}, it));
        cr_assert(arrived.has_value());
        cr_assert(*arrived == it);
    }
}

// Guards against a token that appears younger after each relay, with which a host
// would take its configuration as current for too long.
Test(wire_conversion, token_age_is_never_rounded_down)
{
    const currency_token token{host_id{"w"}, 1, 2, 3, 1500ns};
    const heartbeat_reply reply{host_id{"a"}, 1, 1, 1, 1, false, {token}, {}};
    const auto arrived = decode_control(encode_control(host_id{"a"}, reply));
    cr_assert(arrived.has_value());
    cr_assert_geq(std::get<heartbeat_reply>(*arrived).tokens.at(0).age.count(), 1500);
}

// Guards against fields that are not converted, and against a report being made up
// for a reply without one.
Test(wire_conversion, dispatch_messages_are_decoded_unchanged)
{
    for (const dispatch_message& it : dispatch_samples()) {
        const auto arrived = decode_dispatch(encode_dispatch(host_id{"a"}, 77, it));
        cr_assert(arrived.has_value());
        cr_assert(arrived->from == host_id{"a"});
        cr_assert_eq(arrived->incarnation, 77U);
        cr_assert(arrived->message == it);
    }
}

// Guards against damaged or forged bytes crashing a host or being decoded to a value
// that an enumeration does not have.
Test(wire_conversion, damaged_bytes_are_refused_or_give_valid_values)
{
    random_source random{20261204};
    std::vector<std::string> samples;
    for (const control_message& it : control_samples())
        samples.push_back(encode_control(host_id{"a"}, it));
    for (const dispatch_message& it : dispatch_samples())
        samples.push_back(encode_dispatch(host_id{"a"}, 1, it));
    for (int round = 0; round < 20000; ++round) {
        std::string buf = samples[random.below(samples.size())];
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t it = 0; it < changes; ++it)
            buf[random.below(buf.size())] = static_cast<char>(random.below(256));
        if (random.below(3) == 0)
            buf.resize(random.below(buf.size() + 1));
        if (const auto control = decode_control(buf)) {
            if (const auto* hb = std::get_if<heartbeat>(&*control)) {
                for (const member_update& it : hb->updates)
                    cr_assert_leq(static_cast<int>(it.status), static_cast<int>(host_status::down));
            }
        }
        if (const auto received = decode_dispatch(buf)) {
            if (const auto* request = std::get_if<call_request>(&received->message))
                cr_assert_leq(static_cast<int>(request->traffic), 1);
            if (const auto* reply = std::get_if<call_reply>(&received->message))
                cr_assert(!reply->failure || !to_string(*reply->failure).empty());
        }
    }
}

// Guards against messages being handled whose sender or kind is unknown.
Test(wire_conversion, message_without_sender_or_body_is_refused)
{
    cr_assert(!decode_control("").has_value());
    cr_assert(!decode_dispatch("").has_value());
    cr_assert(!decode_control(encode_control(host_id{""}, object_fetch{})).has_value());
    cr_assert(!decode_dispatch(encode_dispatch(host_id{""}, 1, call_cancel{})).has_value());
}
