// Admission control at an entry host: priority of interactive over batch requests, fairness
// between callers, an adaptive limit of batch requests, and early refusal.
#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "query/outcome.h"
#include "settings/declaration.h"

#include <memory>
#include <variant>
#include <vector>

namespace ebonywick {

/// Event: a request asks for admission. Ids must not be reused.
struct request_arrived
{
    request_id id;
    service_name service;
    caller_id caller;
    request_class traffic = request_class::interactive;
    time_point deadline;

    auto operator<=>(const request_arrived&) const = default;
};

/// Event: an admitted request has ended, or the caller of a waiting one has disconnected.
struct request_ended
{
    request_id id;

    auto operator<=>(const request_ended&) const = default;
};

/// Event: a reply reported how long its call waited in the queue of the upstream.
struct queue_wait_observed
{
    service_name service;
    duration wait;

    auto operator<=>(const queue_wait_observed&) const = default;
};

/// Event: periodic timer. Waiting requests whose deadline cannot be met any more are refused.
struct admission_tick
{
    auto operator<=>(const admission_tick&) const = default;
};

using admission_event =
    std::variant<request_arrived, request_ended, queue_wait_observed, admission_tick>;

/// Action: run the request.
struct admit_request
{
    request_id id;

    auto operator<=>(const admit_request&) const = default;
};

/// Action: refuse the request, which was not run.
struct refuse_request
{
    request_id id;
    not_run reason;

    auto operator<=>(const refuse_request&) const = default;
};

using admission_action = std::variant<admit_request, refuse_request>;

/// Admission control of one service. Each admitted request must be ended by request_ended. Not
/// thread-safe.
class admission_controller
{
public:
    explicit admission_controller(const preset_declaration& policy);
    ~admission_controller();
    admission_controller(const admission_controller&) = delete;
    admission_controller& operator=(const admission_controller&) = delete;

    /// Applies a new preset. Limits that decrease do not affect running requests.
    void configure(const preset_declaration& policy);
    /// Returns the actions that follow from the event, also for requests other than its own.
    std::vector<admission_action> handle(const admission_event& ev, time_point now);

    /// Number of running requests of a class.
    [[nodiscard]] std::size_t running(request_class traffic) const;
    /// Number of waiting requests of both classes.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
