// Executes the actions of order coordinators with blocking store calls.
#include "node/orderservice.h"

#include "base/hashing.h"
#include "orders/orderrecordcodec.h"

#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace ebonywick {

namespace {

// Pause before a further action on an outcome that the store has not accepted.
constexpr std::chrono::milliseconds record_retry_pause{50};

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
      recorder_([this](const std::stop_token& stop) { run_recorder(stop); })
{
}

order_service::~order_service()
{
    recorder_.request_stop();
    changed_.notify_all();
    recorder_.join();
}

order_outcome order_service::run(const caller_request& request, const std::string& key)
{
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
        const put_result result =
            store_.put(order.record_key, encode(write->record), write->expected);
        object_version version = 0;
        if (const auto* accepted = std::get_if<put_accepted>(&result))
            version = accepted->version;
        else if (const auto* mismatch = std::get_if<put_mismatch>(&result))
            version = mismatch->current;
        return order.coordinator.handle(record_written{to_write_result(result), version},
                                        boot_clock::now());
    }
    if (std::holds_alternative<read_record>(action)) {
        record_read read;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(object, store_.get(order.record_key));
                if (object) {
                    BOOST_LEAF_AUTO(record, decode_order_record(object->content));
                    read.found = stored_record{std::move(record), object->version};
                }
                read.answered = true;
                return {};
            },
            [] {});
        return order.coordinator.handle(read, boot_clock::now());
    }
    if (std::holds_alternative<send_order>(action)) {
        // Sending twice could run the order twice, so a repeated action is ignored.
        if (std::exchange(order.sent, true))
            return {};
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

std::size_t order_service::unrecorded() const
{
    const std::lock_guard lock{mutex_};
    return unrecorded_.size() + recording_;
}

} // namespace ebonywick
