// Admission of requests at an entry host: classes, fairness between callers, an
// adaptive limit of batch queries, and early refusal.
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

struct request_arrived
{
    request_id id;
    service_name service;
    caller_id caller;
    request_class traffic = request_class::interactive;
    time_point deadline;

    auto operator<=>(const request_arrived&) const = default;
};

/// A request that was admitted has ended.
struct request_ended
{
    request_id id;

    auto operator<=>(const request_ended&) const = default;
};

/// A reply reported how long its call waited at a gate.
struct queue_wait_observed
{
    service_name service;
    duration wait;

    auto operator<=>(const queue_wait_observed&) const = default;
};

/// Periodic: drops waiting requests whose deadline cannot be met any more.
struct admission_tick
{
    auto operator<=>(const admission_tick&) const = default;
};

using admission_event =
    std::variant<request_arrived, request_ended, queue_wait_observed, admission_tick>;

struct admit_request
{
    request_id id;

    auto operator<=>(const admit_request&) const = default;
};

struct refuse_request
{
    request_id id;
    not_run reason;

    auto operator<=>(const refuse_request&) const = default;
};

using admission_action = std::variant<admit_request, refuse_request>;

/// Not thread-safe; the node keeps one for each service.
class admission_controller
{
public:
    explicit admission_controller(const preset_declaration& policy);
    ~admission_controller();
    admission_controller(const admission_controller&) = delete;
    admission_controller& operator=(const admission_controller&) = delete;

    void configure(const preset_declaration& policy);
    std::vector<admission_action> handle(const admission_event& ev, time_point now);

    [[nodiscard]] std::size_t running(request_class traffic) const;
    [[nodiscard]] std::size_t waiting() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ebonywick
