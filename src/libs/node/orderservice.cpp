// Executes the actions of order coordinators with blocking store calls.
#include "node/orderservice.h"

#include "base/hashing.h"
#include "orders/orderrecordcodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace ebonywick {

namespace {

// Pause before a further action on an outcome that the store has not accepted.
constexpr std::chrono::milliseconds record_retry_pause{50};
// Interval at which a host with recent orders looks whether the store was restored; below
// restored_records_wait, in which it has to write its records again. The key need not exist.
constexpr std::chrono::milliseconds restoration_check_interval{1000};
constexpr const char* restoration_check_key = "ebonywick/orders/none";

write_result to_write_result(const put_result& result)
{
    if (std::holds_alternative<put_accepted>(result))
        return write_result::accepted;
    if (std::holds_alternative<put_mismatch>(result))
        return write_result::mismatch;
    if (std::holds_alternative<put_unconfirmed>(result))
        return write_result::lost;
    return write_result::refused;
}

} // namespace

struct order_service::running_order
{
    running_order(caller_request from, std::string order_key)
        : request(std::move(from)), key(std::move(order_key)),
          record_key(order_record_key(request.service, key)),
          coordinator(order_request{request.id, request.service, key, stable_hash(request.body),
                                    request.deadline})
    {
    }

    caller_request request;
    std::string key;
    std::string record_key;
    order_coordinator coordinator;
    // Actions that are still to be executed after the outcome is known.
    std::vector<order_action> remaining_actions;
    bool sent = false;
};

order_service::order_service(object_store_client& store, query_service& queries, logger& log)
    : store_(store), queries_(queries), log_(log),
      recorder_([this](const std::stop_token& stop) { run_recorder(stop); }),
      repeater_([this](const std::stop_token& stop) { run_repeater(stop); })
{
}

order_service::~order_service()
{
    recorder_.request_stop();
    repeater_.request_stop();
    changed_.notify_all();
    check_due_.notify_all();
    recorder_.join();
    repeater_.join();
}

order_outcome order_service::run(const caller_request& request, const std::string& key)
{
    note_epochs();
    if (const duration pause = claims_paused(boot_clock::now()); pause > duration::zero())
        return not_run{
            make_error(error_kind::store_unavailable, "the store was restored from an older copy"),
            pause};
    auto order = std::make_unique<running_order>(request, key);
    order_outcome outcome = advance(*order, order->coordinator.start(boot_clock::now()));
    if (!order->remaining_actions.empty()) {
        const std::lock_guard lock{mutex_};
        unrecorded_.push_back(std::move(order));
        changed_.notify_one();
    }
    return outcome;
}

order_outcome order_service::advance(running_order& order, std::vector<order_action> actions)
{
    std::optional<order_outcome> outcome;
    while (!actions.empty()) {
        const order_action action = std::move(actions.front());
        actions.erase(actions.begin());
        if (const auto* finish = std::get_if<finish_order>(&action)) {
            outcome = finish->outcome;
            order.remaining_actions = std::move(actions);
            break;
        }
        for (order_action& it : execute(order, action))
            actions.push_back(std::move(it));
    }
    if (outcome)
        return std::move(*outcome);
    return unknown_outcome{make_error(error_kind::reply_lost, "the order ended without outcome")};
}

std::vector<order_action> order_service::execute(running_order& order, const order_action& action)
{
    if (const auto* write = std::get_if<write_record>(&action)) {
        {
            // Noted before the write: a claim whose reply is lost may have taken effect.
            const std::lock_guard lock{mutex_};
            if (order.sent || write->record.state != order_state::started)
                recent_.note(order.record_key, write->record, boot_clock::now());
        }
        const std::uint64_t before = store_.epochs();
        const put_result result =
            store_.put(order.record_key, encode(write->record), write->expected);
        const bool restored = store_.epochs() != before;
        object_version version = 0;
        if (const auto* accepted = std::get_if<put_accepted>(&result))
            version = accepted->version;
        else if (const auto* mismatch = std::get_if<put_mismatch>(&result))
            version = mismatch->current;
        if (restored)
            note_epochs();
        if (order.sent && std::holds_alternative<put_mismatch>(result)) {
            // After a restoration, the record may be another one than the one that was claimed.
            const std::lock_guard lock{mutex_};
            recent_.check(order.record_key);
            checks_due_ = true;
            check_due_.notify_one();
        }
        return order.coordinator.handle(record_written{to_write_result(result), version, restored},
                                        boot_clock::now());
    }
    if (std::holds_alternative<read_record>(action)) {
        const std::uint64_t before = store_.epochs();
        record_read read = read_record_of(order.record_key);
        read.restored = store_.epochs() != before;
        if (read.restored)
            note_epochs();
        return order.coordinator.handle(read, boot_clock::now());
    }
    if (std::holds_alternative<send_order>(action)) {
        // Sending twice could run the order twice, so a repeated action is ignored.
        if (std::exchange(order.sent, true))
            return {};
        {
            const std::lock_guard lock{mutex_};
            recent_.note(order.record_key,
                         {order.request.service,
                          order.key,
                          order.request.id,
                          stable_hash(order.request.body),
                          order_state::started,
                          {}},
                         boot_clock::now());
        }
        const call_reply reply = queries_.run_order(order.request, order.key);
        if (!reply.failure)
            return order.coordinator.handle(order_replied{reply.body}, boot_clock::now());
        return order.coordinator.handle(
            order_failed{make_error(*reply.failure, "the upstream did not complete the order")},
            boot_clock::now());
    }
    return {};
}

void order_service::run_recorder(const std::stop_token& stop)
{
    std::unique_lock lock{mutex_};
    while (true) {
        changed_.wait(lock, stop, [this] { return !unrecorded_.empty(); });
        if (unrecorded_.empty())
            return;
        const std::unique_ptr<running_order> order = std::move(unrecorded_.front());
        unrecorded_.pop_front();
        recording_ = 1;
        lock.unlock();
        std::vector<order_action> actions = std::move(order->remaining_actions);
        bool first = true;
        while (!actions.empty()) {
            if (!std::exchange(first, false))
                std::this_thread::sleep_for(record_retry_pause);
            const order_action action = std::move(actions.front());
            actions.erase(actions.begin());
            for (order_action& it : execute(*order, action))
                actions.push_back(std::move(it));
        }
        log_.write(log_level::debug, "order_recorded", {{"request", to_string(order->request.id)}});
        lock.lock();
        recording_ = 0;
    }
}

record_read order_service::read_record_of(const std::string& store_key)
{
    record_read read;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(object, store_.get(store_key));
            if (object) {
                BOOST_LEAF_AUTO(record, decode_order_record(object->content));
                read.found = stored_record{std::move(record), object->version};
            }
            read.answered = true;
            return {};
        },
        [] {});
    return read;
}

duration order_service::claims_paused(time_point now) const
{
    const std::lock_guard lock{mutex_};
    return claims_paused_until_ - now;
}

void order_service::note_epochs()
{
    const std::lock_guard lock{mutex_};
    const std::uint64_t epochs = store_.epochs();
    const std::uint64_t before = std::exchange(epochs_seen_, epochs);
    if (before == epochs)
        return;
    // The first epoch of a host that has just started may also be one that has just begun.
    const time_point now = boot_clock::now();
    claims_paused_until_ = now + restored_records_wait;
    if (before == 0)
        return;
    recent_.restored(now);
    checks_due_ = true;
    check_due_.notify_one();
    log_.write(
        log_level::warning, "store_restored",
        {{"orders_paused_ms", fmt::format("{:.0f}", to_milliseconds(restored_records_wait))}});
}

bool order_service::repeat_record(const std::string& store_key)
{
    const record_read read = read_record_of(store_key);
    if (!read.answered)
        return false;
    std::optional<write_record> repeated;
    {
        const std::lock_guard lock{mutex_};
        repeated = recent_.resolve(store_key, read.found);
    }
    if (!repeated)
        return true;
    const put_result result = store_.put(store_key, encode(repeated->record), repeated->expected);
    const bool accepted = std::holds_alternative<put_accepted>(result);
    log_.write(log_level::warning, "order_written_again",
               {{"request", to_string(repeated->record.attempt)},
                {"result", accepted ? "accepted" : "not accepted"}});
    return accepted;
}

void order_service::run_repeater(const std::stop_token& stop)
{
    std::unique_lock lock{mutex_};
    while (!stop.stop_requested()) {
        check_due_.wait_for(lock, stop, restoration_check_interval, [this] { return checks_due_; });
        checks_due_ = false;
        if (stop.stop_requested())
            return;
        const bool has_records = !recent_.empty(boot_clock::now());
        lock.unlock();
        // An idle host notices a restoration by this read.
        if (has_records)
            static_cast<void>(read_record_of(restoration_check_key));
        note_epochs();
        repeat_records(stop);
        lock.lock();
    }
}

void order_service::repeat_records(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        std::optional<std::string> key;
        {
            const std::lock_guard lock{mutex_};
            key = recent_.next_check(boot_clock::now());
        }
        if (!key)
            return;
        if (repeat_record(*key))
            continue;
        const std::lock_guard lock{mutex_};
        recent_.check(*key);
        return;
    }
}

std::size_t order_service::unrecorded() const
{
    const std::lock_guard lock{mutex_};
    return unrecorded_.size() + recording_;
}

} // namespace ebonywick
