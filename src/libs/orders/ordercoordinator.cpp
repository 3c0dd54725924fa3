// State machine of one order: claims its record in the store, sends the call, and
// records the outcome.
#include "orders/ordercoordinator.h"

#include <fmt/format.h>

#include <utility>

namespace ebonywick {

namespace {

using outcome_variant = std::variant<order_answer, not_run, unknown_outcome>;
using actions = std::vector<order_action>;

// Writes that try to claim the record for this attempt. A read precedes each further
// one. A few are enough for lost replies and stale reads; more would only add load to
// a store that is failing.
constexpr int max_claims = 4;
// Writes that try to record the outcome; bounded for the same reason.
constexpr int max_outcome_writes = 4;

enum class phase {
    // The write that claims the record is in progress.
    claiming,
    // A read of the record is in progress.
    reading,
    // The call was sent and has not ended.
    sent,
    // The write of the outcome is in progress.
    recording,
    // No further action will come.
    finished,
};

not_run make_not_run(error_kind kind, std::string message)
{
    return not_run{make_error(kind, std::move(message)), duration::zero()};
}

unknown_outcome make_unknown(error_kind kind, std::string message)
{
    return unknown_outcome{make_error(kind, std::move(message))};
}

} // namespace

struct order_coordinator::state
{
    explicit state(order_request order) : request{std::move(order)} {}

    actions start(time_point now);
    actions on(const record_written& ev, time_point now);
    actions on(const record_read& ev, time_point now);
    actions on(const order_replied& ev, time_point now);
    actions on(const order_failed& ev, time_point now);
    actions on(const order_deadline& ev, time_point now);

    actions on_claim_written(const record_written& ev, time_point now);
    actions on_outcome_written(const record_written& ev);
    actions on_record_found(const stored_record& found, time_point now);
    actions claim(object_version expected, time_point now);
    actions read();
    actions send(object_version version, time_point now);
    actions record_outcome(order_state outcome, std::string reply);
    /// Marks the record as not run, because its call was not and will not be sent, so
    /// that a repeated request can run.
    actions release(object_version version);
    /// Ends after the store refused a write or did not answer a read.
    actions end_without_record();
    /// Appends finish_order, unless it has been returned already.
    void finish(outcome_variant outcome, actions& out);
    actions finish_and_stop(outcome_variant outcome);
    [[nodiscard]] order_record own_record(order_state value) const;

    order_request request;
    phase current_phase = phase::claiming;
    // The store was restored while the record was claimed.
    bool restored = false;
    // finish_order was returned.
    bool finish_returned = false;
    // Writes so far that tried to claim the record.
    int claims = 0;
    // The reply to such a write was lost, so a record found later may be this attempt's.
    bool claim_lost = false;
    // A record of another attempt exists, and that attempt may have run.
    bool other_attempt_seen = false;
    // Version of this attempt's `started` record; 0 until known.
    object_version record_version = 0;
    int outcome_writes = 0;
    order_record outcome_record;
    // Outcome for the caller, returned when the first write of it has ended.
    std::optional<outcome_variant> pending_outcome;
};

order_record order_coordinator::state::own_record(order_state value) const
{
    return order_record{request.service,     request.key, request.attempt,
                        request.fingerprint, value,       {}};
}

void order_coordinator::state::finish(outcome_variant outcome, actions& out)
{
    if (std::exchange(finish_returned, true))
        return;
    out.emplace_back(finish_order{std::move(outcome)});
}

actions order_coordinator::state::finish_and_stop(outcome_variant outcome)
{
    actions out;
    current_phase = phase::finished;
    finish(std::move(outcome), out);
    return out;
}

actions order_coordinator::state::start(time_point now)
{
    if (now >= request.deadline)
        return finish_and_stop(
            make_not_run(error_kind::deadline_too_short, "the deadline has passed"));
    return claim(0, now);
}

actions order_coordinator::state::claim(object_version expected, time_point now)
{
    if (claims == max_claims || now >= request.deadline) {
        return finish_and_stop(make_not_run(
            error_kind::store_unavailable,
            fmt::format("the order could not be recorded in {} tries; it was not sent", claims)));
    }
    ++claims;
    current_phase = phase::claiming;
    return {write_record{own_record(order_state::started), expected}};
}

actions order_coordinator::state::read()
{
    current_phase = phase::reading;
    return {read_record{}};
}

actions order_coordinator::state::on(const record_written& ev, time_point now)
{
    restored = restored || ev.restored;
    if (current_phase == phase::claiming)
        return on_claim_written(ev, now);
    if (current_phase == phase::recording)
        return on_outcome_written(ev);
    return {};
}

actions order_coordinator::state::on_claim_written(const record_written& ev, time_point now)
{
    switch (ev.status) {
    case write_result::accepted:
        return finish_returned ? release(ev.version) : send(ev.version, now);
    case write_result::lost:
        claim_lost = true;
        return read();
    case write_result::mismatch:
        other_attempt_seen = other_attempt_seen || !claim_lost;
        if (finish_returned && !claim_lost)
            return finish_and_stop({});
        return read();
    case write_result::refused:
        break;
    }
    return end_without_record();
}

actions order_coordinator::state::on(const record_read& ev, time_point now)
{
    if (current_phase != phase::reading)
        return {};
    restored = restored || ev.restored;
    if (!ev.answered)
        return end_without_record();
    if (!finish_returned && ev.found)
        return on_record_found(*ev.found, now);
    if (!finish_returned) {
        // An earlier create may still take effect, or the read was stale. Another create
        // is safe in both cases: it is conditional, and if the earlier one wins, its
        // record names the same attempt.
        return claim(0, now);
    }
    const bool own = ev.found && ev.found->record == own_record(order_state::started);
    return own ? release(ev.found->version) : finish_and_stop({});
}

actions order_coordinator::state::on_record_found(const stored_record& found, time_point now)
{
    const order_record& record = found.record;
    if (record.service != request.service || record.key != request.key ||
        record.fingerprint != request.fingerprint) {
        return finish_and_stop(make_not_run(
            error_kind::key_reused, "the Idempotency-Key was used with another request body"));
    }
    if (record.state == order_state::done)
        return finish_and_stop(order_answer{record.outcome, true});
    if (record.state == order_state::not_run) {
        other_attempt_seen = false;
        return claim(found.version, now);
    }
    if (record.attempt == request.attempt)
        return send(found.version, now);
    return finish_and_stop(
        make_unknown(error_kind::attempt_in_progress,
                     "an earlier request with this key has not ended, or its host died"));
}

actions order_coordinator::state::end_without_record()
{
    if (finish_returned)
        return finish_and_stop({});
    if (other_attempt_seen) {
        return finish_and_stop(
            make_unknown(error_kind::attempt_in_progress,
                         "an earlier request with this key exists, but its record cannot be read"));
    }
    return finish_and_stop(make_not_run(error_kind::store_unavailable,
                                        "the order could not be recorded; it was not sent"));
}

actions order_coordinator::state::send(object_version version, time_point now)
{
    record_version = version;
    if (restored || now >= request.deadline) {
        actions out;
        finish(restored ? not_run{make_error(error_kind::store_unavailable,
                                             "the store was restored from an older copy"),
                                  restored_records_wait}
                        : make_not_run(error_kind::deadline_too_short,
                                       "the deadline passed before the order was sent"),
               out);
        for (order_action& it : release(version))
            out.push_back(std::move(it));
        return out;
    }
    current_phase = phase::sent;
    return {send_order{}};
}

actions order_coordinator::state::release(object_version version)
{
    record_version = version;
    return record_outcome(order_state::not_run, {});
}

actions order_coordinator::state::record_outcome(order_state outcome, std::string reply)
{
    current_phase = phase::recording;
    outcome_record = own_record(outcome);
    outcome_record.outcome = std::move(reply);
    outcome_writes = 1;
    return {write_record{outcome_record, record_version}};
}

actions order_coordinator::state::on_outcome_written(const record_written& ev)
{
    actions out;
    if (pending_outcome)
        finish(*std::exchange(pending_outcome, std::nullopt), out);
    const bool failed = ev.status == write_result::lost || ev.status == write_result::refused;
    // A mismatch means that an earlier write whose reply was lost took effect.
    if (!failed || outcome_writes == max_outcome_writes) {
        current_phase = phase::finished;
        return out;
    }
    ++outcome_writes;
    out.emplace_back(write_record{outcome_record, record_version});
    return out;
}

actions order_coordinator::state::on(const order_replied& ev, time_point)
{
    if (current_phase != phase::sent)
        return {};
    if (!finish_returned)
        pending_outcome = order_answer{ev.reply, false};
    return record_outcome(order_state::done, ev.reply);
}

actions order_coordinator::state::on(const order_failed& ev, time_point)
{
    if (current_phase != phase::sent)
        return {};
    if (is_not_run(ev.reason.kind)) {
        if (!finish_returned)
            pending_outcome = not_run{ev.reason, duration::zero()};
        return record_outcome(order_state::not_run, {});
    }
    // The remedy of reply_lost, a repetition with the same key, is safe for an order.
    return finish_and_stop(make_unknown(error_kind::reply_lost, ev.reason.message));
}

actions order_coordinator::state::on(const order_deadline&, time_point)
{
    actions out;
    if (current_phase == phase::finished || finish_returned)
        return out;
    if (current_phase == phase::recording && pending_outcome)
        finish(*std::exchange(pending_outcome, std::nullopt), out);
    else if (current_phase == phase::sent)
        finish(make_unknown(error_kind::reply_lost, "no reply came before the deadline"), out);
    else if (other_attempt_seen)
        finish(make_unknown(
                   error_kind::attempt_in_progress,
                   "an earlier request with this key exists, but its record was not read in time"),
               out);
    else
        finish(make_not_run(error_kind::deadline_too_short,
                            "the deadline passed before the order was sent"),
               out);
    return out;
}

order_coordinator::order_coordinator(order_request request)
    : state_{std::make_unique<state>(std::move(request))}
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
    return state_->current_phase == phase::finished;
}

} // namespace ebonywick
