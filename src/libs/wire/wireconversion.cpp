// Conversion between serialized protobuf messages and plain structs. Decoding refuses
// values of enumerations that do not exist.
#include "wire/wireconversion.h"

#include "wire/ebonywick.pb.h"

#include <algorithm>

namespace ebonywick {

namespace {

/// Rounded down to microseconds; zero for negative values.
std::chrono::microseconds non_negative_us(duration d)
{
    return std::max(std::chrono::duration_cast<std::chrono::microseconds>(d),
                    std::chrono::microseconds::zero());
}

duration from_us(std::uint64_t us)
{
    // Larger values would overflow when converted to nanoseconds; 2^50 us are about
    // 36 years, more than any valid message contains.
    constexpr std::uint64_t max_us = 1ULL << 50U;
    return std::chrono::microseconds{std::min(us, max_us)};
}

template <class Repeated>
void write_updates(const std::vector<member_update>& updates, Repeated* out)
{
    for (const member_update& it : updates) {
        wire::MemberUpdate* update = out->Add();
        update->set_host(it.host.value());
        update->set_incarnation(it.incarnation);
        update->set_sequence(it.sequence);
        update->set_status(static_cast<std::uint32_t>(it.status));
    }
}

template <class Repeated>
std::optional<std::vector<member_update>> read_updates(const Repeated& updates)
{
    std::vector<member_update> out;
    for (const wire::MemberUpdate& it : updates) {
        if (it.status() > static_cast<std::uint32_t>(host_status::down))
            return std::nullopt;
        out.push_back(member_update{host_id{it.host()}, it.incarnation(), it.sequence(),
                                    static_cast<host_status>(it.status())});
    }
    return out;
}

void write(const heartbeat& from, wire::ControlMessage& to)
{
    wire::Heartbeat& out = *to.mutable_heartbeat();
    out.set_incarnation(from.incarnation);
    out.set_sequence(from.sequence);
    out.set_config(from.config);
    out.set_roster(from.roster);
    out.set_wants_lease(from.wants_lease);
    write_updates(from.updates, out.mutable_updates());
}

void write(const heartbeat_reply& from, wire::ControlMessage& to)
{
    wire::HeartbeatReply& out = *to.mutable_heartbeat_reply();
    out.set_incarnation(from.incarnation);
    out.set_sequence(from.sequence);
    out.set_config(from.config);
    out.set_roster(from.roster);
    out.set_lease_granted(from.lease_granted);
    for (const currency_token& it : from.tokens) {
        wire::CurrencyToken& token = *out.add_tokens();
        token.set_witness(it.witness.value());
        token.set_incarnation(it.incarnation);
        token.set_config(it.config);
        token.set_roster(it.roster);
        // Rounded up, so that a relayed token never appears younger than it is.
        token.set_age_us(std::uint64_t(non_negative_us(it.age).count()) + 1);
    }
    write_updates(from.updates, out.mutable_updates());
}

void write(const fence_request& from, wire::ControlMessage& to)
{
    to.mutable_fence_request()->set_subject(from.subject.value());
    to.mutable_fence_request()->set_sequence(from.sequence);
}

void write(const fence_reply& from, wire::ControlMessage& to)
{
    to.mutable_fence_reply()->set_subject(from.subject.value());
    to.mutable_fence_reply()->set_sequence(from.sequence);
    to.mutable_fence_reply()->set_granted(from.granted);
}

void write(const lease_release& from, wire::ControlMessage& to)
{
    to.mutable_lease_release()->set_incarnation(from.incarnation);
}

void write(const object_push& from, wire::ControlMessage& to)
{
    to.mutable_object_push()->set_kind(static_cast<std::uint32_t>(from.kind));
    to.mutable_object_push()->set_version(from.version);
    to.mutable_object_push()->set_content(from.content);
}

void write(const object_fetch& from, wire::ControlMessage& to)
{
    to.mutable_object_fetch()->set_kind(static_cast<std::uint32_t>(from.kind));
}

std::optional<object_kind> read_object_kind(std::uint32_t kind)
{
    if (kind > static_cast<std::uint32_t>(object_kind::roster))
        return std::nullopt;
    return static_cast<object_kind>(kind);
}

std::optional<control_message> read_heartbeat(const host_id& from, const wire::Heartbeat& in)
{
    auto updates = read_updates(in.updates());
    if (!updates)
        return std::nullopt;
    return heartbeat{from,        in.incarnation(), in.sequence(),      in.config(),
                     in.roster(), in.wants_lease(), std::move(*updates)};
}

std::optional<control_message> read_heartbeat_reply(const host_id& from,
                                                    const wire::HeartbeatReply& in)
{
    auto updates = read_updates(in.updates());
    if (!updates)
        return std::nullopt;
    heartbeat_reply out{from,        in.incarnation(),   in.sequence(),
                        in.config(), in.roster(),        in.lease_granted(),
                        {},          std::move(*updates)};
    for (const wire::CurrencyToken& it : in.tokens()) {
        out.tokens.push_back(currency_token{host_id{it.witness()}, it.incarnation(), it.config(),
                                            it.roster(), from_us(it.age_us())});
    }
    return out;
}

std::optional<control_message> read_object_push(const host_id& from, const wire::ObjectPush& in)
{
    const auto kind = read_object_kind(in.kind());
    if (!kind)
        return std::nullopt;
    return object_push{from, *kind, in.version(), in.content()};
}

std::optional<control_message> read_object_fetch(const host_id& from, const wire::ObjectFetch& in)
{
    const auto kind = read_object_kind(in.kind());
    if (!kind)
        return std::nullopt;
    return object_fetch{from, *kind};
}

template <class Message>
void write_call_id(const call_id& id, Message& out)
{
    out.set_request_high(id.request.high);
    out.set_request_low(id.request.low);
    out.set_shard_index(id.shard_index);
    out.set_attempt(id.attempt);
}

template <class Message>
call_id read_call_id(const Message& in)
{
    return call_id{request_id{in.request_high(), in.request_low()}, in.shard_index(), in.attempt()};
}

void write(const call_request& from, wire::DispatchMessage& to)
{
    wire::CallRequest& out = *to.mutable_call_request();
    write_call_id(from.id, out);
    out.set_service(from.service.value());
    out.set_shard(from.shard.value());
    out.set_upstream(from.upstream.value());
    out.set_caller(from.caller.value());
    out.set_version(from.wanted.version);
    out.set_epoch(from.wanted.epoch);
    out.set_traffic(static_cast<std::uint32_t>(from.traffic));
    out.set_idempotent(from.idempotent);
    out.set_remaining_us(std::uint64_t(non_negative_us(from.remaining).count()));
    out.set_sent_at_ns(std::uint64_t(from.sent_at.time_since_epoch().count()));
    out.set_body(from.body);
    out.set_idempotency_key(from.idempotency_key);
}

void write_report(const upstream_report& from, wire::CallReply& out)
{
    for (const index_version it : from.versions)
        out.add_held_versions(it);
    out.set_queue_length(from.queue_length);
    out.set_cold(from.cold);
    out.set_leaving(from.leaving);
    out.set_shedding(from.shedding);
}

void write(const call_reply& from, wire::DispatchMessage& to)
{
    wire::CallReply& out = *to.mutable_call_reply();
    write_call_id(from.id, out);
    out.set_upstream(from.upstream.value());
    out.set_status(from.failure ? 1 + static_cast<std::uint32_t>(*from.failure) : 0);
    out.set_version(from.from.version);
    out.set_epoch(from.from.epoch);
    out.set_shard(from.shard.value());
    out.set_reported(from.report.has_value());
    if (from.report)
        write_report(*from.report, out);
    out.set_waited_us(std::uint64_t(non_negative_us(from.waited).count()));
    out.set_body(from.body);
}

void write(const call_cancel& from, wire::DispatchMessage& to)
{
    wire::CallCancel& out = *to.mutable_call_cancel();
    write_call_id(from.id, out);
    out.set_upstream(from.upstream.value());
}

std::optional<dispatch_message> read_call_request(const wire::CallRequest& in)
{
    if (in.traffic() > static_cast<std::uint32_t>(request_class::batch))
        return std::nullopt;
    call_request out;
    out.id = read_call_id(in);
    out.service = service_name{in.service()};
    out.shard = shard_name{in.shard()};
    out.upstream = upstream_id{in.upstream()};
    out.caller = caller_id{in.caller()};
    out.wanted = snapshot{in.version(), in.epoch()};
    out.traffic = static_cast<request_class>(in.traffic());
    out.idempotent = in.idempotent();
    out.remaining = from_us(in.remaining_us());
    out.sent_at = time_point{std::chrono::nanoseconds{std::int64_t(in.sent_at_ns())}};
    out.body = in.body();
    out.idempotency_key = in.idempotency_key();
    return out;
}

std::optional<dispatch_message> read_call_reply(const wire::CallReply& in)
{
    if (in.status() > 1 + static_cast<std::uint32_t>(error_kind::invalid_declaration))
        return std::nullopt;
    call_reply out;
    out.id = read_call_id(in);
    out.upstream = upstream_id{in.upstream()};
    if (in.status() > 0)
        out.failure = static_cast<error_kind>(in.status() - 1);
    out.from = snapshot{in.version(), in.epoch()};
    out.shard = shard_name{in.shard()};
    if (in.reported()) {
        out.report = upstream_report{
            out.upstream,      {in.held_versions().begin(), in.held_versions().end()},
            in.queue_length(), in.cold(),
            in.leaving(),      in.shedding()};
    }
    out.waited = from_us(in.waited_us());
    out.body = in.body();
    return out;
}

} // namespace

std::string encode_control(const host_id& from, const control_message& message)
{
    wire::ControlMessage out;
    out.set_from(from.value());
    std::visit([&](const auto& it) { write(it, out); }, message);
    return out.SerializeAsString();
}

std::optional<control_message> decode_control(std::string_view bytes)
{
    wire::ControlMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.from().empty())
        return std::nullopt;
    const host_id from{in.from()};
    switch (in.body_case()) {
    case wire::ControlMessage::kHeartbeat:
        return read_heartbeat(from, in.heartbeat());
    case wire::ControlMessage::kHeartbeatReply:
        return read_heartbeat_reply(from, in.heartbeat_reply());
    case wire::ControlMessage::kFenceRequest:
        return fence_request{from, host_id{in.fence_request().subject()},
                             in.fence_request().sequence()};
    case wire::ControlMessage::kFenceReply:
        return fence_reply{from, host_id{in.fence_reply().subject()}, in.fence_reply().sequence(),
                           in.fence_reply().granted()};
    case wire::ControlMessage::kLeaseRelease:
        return lease_release{from, in.lease_release().incarnation()};
    case wire::ControlMessage::kObjectPush:
        return read_object_push(from, in.object_push());
    case wire::ControlMessage::kObjectFetch:
        return read_object_fetch(from, in.object_fetch());
    case wire::ControlMessage::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

std::string encode_dispatch(const host_id& from, incarnation_number incarnation,
                            const dispatch_message& message)
{
    wire::DispatchMessage out;
    out.set_from(from.value());
    out.set_incarnation(incarnation);
    std::visit([&](const auto& it) { write(it, out); }, message);
    return out.SerializeAsString();
}

std::optional<received_dispatch> decode_dispatch(std::string_view bytes)
{
    wire::DispatchMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.from().empty())
        return std::nullopt;
    std::optional<dispatch_message> message;
    switch (in.body_case()) {
    case wire::DispatchMessage::kCallRequest:
        message = read_call_request(in.call_request());
        break;
    case wire::DispatchMessage::kCallReply:
        message = read_call_reply(in.call_reply());
        break;
    case wire::DispatchMessage::kCallCancel:
        message =
            call_cancel{read_call_id(in.call_cancel()), upstream_id{in.call_cancel().upstream()}};
        break;
    case wire::DispatchMessage::BODY_NOT_SET:
        break;
    }
    if (!message)
        return std::nullopt;
    return received_dispatch{host_id{in.from()}, in.incarnation(), std::move(*message)};
}

} // namespace ebonywick
