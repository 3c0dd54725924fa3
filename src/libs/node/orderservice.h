// Runs orders, which are non-idempotent requests: writes the record to the store,
// sends the single call and records the outcome.
#pragma once

#include "logging/logger.h"
#include "node/queryservice.h"
#include "orders/ordercoordinator.h"
#include "orders/recentorders.h"
#include "store/objectstoreclient.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

namespace ebonywick {

using order_outcome = std::variant<order_answer, not_run, unknown_outcome>;

/// Thread-safe. An order runs on the thread that calls run(); an outcome that is not
/// recorded yet when the caller gets it is recorded on a thread of the service.
class order_service
{
public:
    order_service(object_store_client& store, query_service& queries, logger& log);
    /// Waits until all outcomes are recorded.
    ~order_service();
    order_service(const order_service&) = delete;
    order_service& operator=(const order_service&) = delete;

    /// Runs the order and blocks until its outcome is known. `key` is the caller's
    /// idempotency key, already checked.
    [[nodiscard]] order_outcome run(const caller_request& request, const std::string& key);

    /// Orders whose outcome is still to be recorded.
    [[nodiscard]] std::size_t unrecorded() const;

private:
    struct running_order;

    /// Executes actions until the outcome is known; stores the remaining ones in the
    /// order.
    order_outcome advance(running_order& order, std::vector<order_action> actions);
    std::vector<order_action> execute(running_order& order, const order_action& action);
    void run_recorder(const std::stop_token& stop);
    void run_repeater(const std::stop_token& stop);
    // Compares all records that are due with the store, until it does not answer.
    void repeat_records(const std::stop_token& stop);
    // If the store has begun a new epoch since the last call, pauses claims and starts to write
    // records again.
    void note_epochs();
    // Writes a remembered record again if the store has lost it. False if the store does not
    // answer.
    bool repeat_record(const std::string& store_key);
    [[nodiscard]] record_read read_record_of(const std::string& store_key);
    // How long no order may be claimed, because other hosts write records again.
    [[nodiscard]] duration claims_paused(time_point now) const;

    object_store_client& store_;
    query_service& queries_;
    logger& log_;

    mutable std::mutex mutex_;
    std::condition_variable_any changed_;
    // Guarded by mutex_. recording_ is 1 while the recorder works on an order that
    // it has taken from the queue, else 0.
    std::deque<std::unique_ptr<running_order>> unrecorded_;
    std::size_t recording_ = 0;
    // Guarded by mutex_.
    recent_orders recent_;
    // Records are to be compared with the store without delay.
    bool checks_due_ = false;
    std::condition_variable_any check_due_;
    std::uint64_t epochs_seen_ = 0;
    time_point claims_paused_until_{};
    std::jthread recorder_;
    std::jthread repeater_;
};

} // namespace ebonywick
