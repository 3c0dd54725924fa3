// Decides when an order may be sent and what its caller learns.
#include "orders/ordercoordinator.h"

#include <fmt/format.h>

#include <utility>

namespace ebonywick {

namespace {

using outcome_variant = std::variant<order_answer, not_run, unknown_outcome>;
using actions = std::vector<order_action>;

// Writes that try to make the record this attempt's. Each further one follows a
// read; a few cover lost replies and stale reads, more would only load a store
// that is in trouble.
constexpr int most_claims = 4;
// Writes that try to record the outcome.
constexpr int most_outcome_writes = 4;

enum class phase {
    // The write that makes the record this attempt's is in progress.
    claiming,
    reading,
    // The call was sent and its end is not known.
    sent,
    // The write of the outcome is in progress.
    recording,
    // No further action will come.
    over,
};

not_run refusal(error_kind kind, std::string message)
{
    return not_run{make_error(kind, std::move(message)), duration::zero()};
}

unknown_outcome unclear(error_kind kind, std::string message)
{
    return unknown_outcome{make_error(kind, std::move(message))};
}

} // namespace

struct order_coordinator::state
{
    explicit state(order_request given) : plan{std::move(given)} {}

    actions start(time_point now);
    actions on(const record_written& ev, time_point now);
    actions on(const record_read& ev, time_point now);
    actions on(const order_replied& ev, time_point now);
    actions on(const order_failed& ev, time_point now);
    actions on(const order_deadline& ev, time_point now);

    actions on_claimed(const record_written& ev, time_point now);
    actions on_recorded(const record_written& ev);
    actions on_found(const stored_record& found, time_point now);
    actions claim(object_version expected, time_point now);
    actions read();
    actions send(object_version version, time_point now);
    actions record_outcome(order_state outcome, std::string reply);
    /// Takes back a claim whose call was not and will not be sent, so that a
    /// repeated request can run.
    actions release(object_version version);
    actions unreadable();
    void end(outcome_variant outcome, actions& out);
    actions end_and_stop(outcome_variant outcome);
    [[nodiscard]] order_record own_record(order_state value) const;

    order_request plan;
    phase now_in = phase::claiming;
    // finish_order was returned.
    bool ended = false;
    // Claims made so far.
    int claims = 0;
    // A claim's reply was lost, so a record found later may be this attempt's.
    bool claim_lost = false;
    // The record belongs to another attempt, which may have run.
    bool other_attempt_seen = false;
    // Version of this attempt's `started` record; 0 until known.
    object_version claimed = 0;
    int outcome_writes = 0;
    order_record to_record;
    // What the caller gets when the first write of the outcome has ended.
    std::optional<outcome_variant> pending;
};

order_record order_coordinator::state::own_record(order_state value) const
{
    return order_record{plan.service, plan.key, plan.attempt, plan.fingerprint, value, {}};
}

void order_coordinator::state::end(outcome_variant outcome, actions& out)
{
    if (std::exchange(ended, true))
        return;
    out.emplace_back(finish_order{std::move(outcome)});
}

actions order_coordinator::state::end_and_stop(outcome_variant outcome)
{
    actions out;
    now_in = phase::over;
    end(std::move(outcome), out);
    return out;
}

actions order_coordinator::state::start(time_point now)
{
    if (now >= plan.deadline)
        return end_and_stop(refusal(error_kind::deadline_too_short, "the deadline has passed"));
    return claim(0, now);
}

actions order_coordinator::state::claim(object_version expected, time_point now)
{
    if (claims == most_claims || now >= plan.deadline) {
        return end_and_stop(refusal(
            error_kind::store_unavailable,
            fmt::format("the order could not be recorded in {} tries; it was not sent", claims)));
    }
    ++claims;
    now_in = phase::claiming;
    return {write_record{own_record(order_state::started), expected}};
}

actions order_coordinator::state::read()
{
    now_in = phase::reading;
    return {read_record{}};
}

actions order_coordinator::state::on(const record_written& ev, time_point now)
{
    if (now_in == phase::claiming)
        return on_claimed(ev, now);
    if (now_in == phase::recording)
        return on_recorded(ev);
    return {};
}

actions order_coordinator::state::on_claimed(const record_written& ev, time_point now)
{
    switch (ev.status) {
    case write_result::accepted:
        return ended ? release(ev.version) : send(ev.version, now);
    case write_result::lost:
        claim_lost = true;
        return read();
    case write_result::mismatch:
        other_attempt_seen = other_attempt_seen || !claim_lost;
        if (ended && !claim_lost)
            return end_and_stop({});
        return read();
    case write_result::refused:
        break;
    }
    return unreadable();
}

actions order_coordinator::state::on(const record_read& ev, time_point now)
{
    if (now_in != phase::reading)
        return {};
    if (!ev.answered)
        return unreadable();
    if (!ended && ev.found)
        return on_found(*ev.found, now);
    if (!ended) {
        // A delayed create may still take effect, or the read was stale. Either
        // way a further create is safe: it is conditional, and if the earlier one
        // wins, the record names the same attempt.
        return claim(0, now);
    }
    const bool own = ev.found && ev.found->record == own_record(order_state::started);
    return own ? release(ev.found->version) : end_and_stop({});
}

actions order_coordinator::state::on_found(const stored_record& found, time_point now)
{
    const order_record& record = found.record;
    if (record.service != plan.service || record.key != plan.key ||
        record.fingerprint != plan.fingerprint) {
        return end_and_stop(refusal(error_kind::key_reused,
                                    "the Idempotency-Key was used with another request body"));
    }
    if (record.state == order_state::done)
        return end_and_stop(order_answer{record.outcome, true});
    if (record.state == order_state::not_run) {
        other_attempt_seen = false;
        return claim(found.version, now);
    }
    if (record.attempt == plan.attempt)
        return send(found.version, now);
    return end_and_stop(
        unclear(error_kind::attempt_in_progress,
                "an earlier request with this key has not ended, or its host died"));
}

actions order_coordinator::state::unreadable()
{
    if (ended)
        return end_and_stop({});
    if (other_attempt_seen) {
        return end_and_stop(
            unclear(error_kind::attempt_in_progress,
                    "an earlier request with this key exists, but its record cannot be read"));
    }
    return end_and_stop(
        refusal(error_kind::store_unavailable, "the order could not be recorded; it was not sent"));
}

actions order_coordinator::state::send(object_version version, time_point now)
{
    claimed = version;
    if (now >= plan.deadline) {
        actions out;
        end(refusal(error_kind::deadline_too_short,
                    "the deadline passed before the order was sent"),
            out);
        for (order_action& it : release(version))
            out.push_back(std::move(it));
        return out;
    }
    now_in = phase::sent;
    return {send_order{}};
}

actions order_coordinator::state::release(object_version version)
{
    claimed = version;
    return record_outcome(order_state::not_run, {});
}

actions order_coordinator::state::record_outcome(order_state outcome, std::string reply)
{
    now_in = phase::recording;
    to_record = own_record(outcome);
    to_record.outcome = std::move(reply);
    outcome_writes = 1;
    return {write_record{to_record, claimed}};
}

actions order_coordinator::state::on_recorded(const record_written& ev)
{
    actions out;
    if (pending)
        end(*std::exchange(pending, std::nullopt), out);
    const bool failed = ev.status == write_result::lost || ev.status == write_result::refused;
    // A mismatch after a lost write means that the lost one took effect.
    if (!failed || outcome_writes == most_outcome_writes) {
        now_in = phase::over;
        return out;
    }
    ++outcome_writes;
    out.emplace_back(write_record{to_record, claimed});
    return out;
}

actions order_coordinator::state::on(const order_replied& ev, time_point)
{
    if (now_in != phase::sent)
        return {};
    if (!ended)
        pending = order_answer{ev.reply, false};
    return record_outcome(order_state::done, ev.reply);
}

actions order_coordinator::state::on(const order_failed& ev, time_point)
{
    if (now_in != phase::sent)
        return {};
    if (is_not_run(ev.reason.kind)) {
        if (!ended)
            pending = not_run{ev.reason, duration::zero()};
        return record_outcome(order_state::not_run, {});
    }
    // The remedy of reply_lost is the safe one for an order: the same key.
    return end_and_stop(unclear(error_kind::reply_lost, ev.reason.message));
}

actions order_coordinator::state::on(const order_deadline&, time_point)
{
    actions out;
    if (now_in == phase::over || ended)
        return out;
    if (now_in == phase::recording && pending)
        end(*std::exchange(pending, std::nullopt), out);
    else if (now_in == phase::sent)
        end(unclear(error_kind::reply_lost, "no reply came before the deadline"), out);
    else if (other_attempt_seen)
        end(unclear(error_kind::attempt_in_progress,
                    "an earlier request with this key exists, but its record was not read in time"),
            out);
    else
        end(refusal(error_kind::deadline_too_short,
                    "the deadline passed before the order was sent"),
            out);
    return out;
}

order_coordinator::order_coordinator(order_request plan)
    : state_{std::make_unique<state>(std::move(plan))}
{
}

order_coordinator::~order_coordinator() = default;

std::vector<order_action> order_coordinator::start(time_point now)
{
    return state_->start(now);
}

std::vector<order_action> order_coordinator::handle(const order_event& ev, time_point now)
{
    return std::visit([this, now](const auto& it) { return state_->on(it, now); }, ev);
}

bool order_coordinator::finished() const
{
    return state_->now_in == phase::over;
}

} // namespace ebonywick
