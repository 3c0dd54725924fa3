// Queue of waiting requests that is fair between callers.
#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ebonywick {

/// A request in the queue.
struct waiting_request
{
    request_id id;
    caller_id caller;
    // Latest time of admission; the request is refused then.
    time_point start_by;

    auto operator<=>(const waiting_request&) const = default;
};

/// Deficit round robin between callers. Every query of a service covers the same shards, so
/// each costs one unit and the quantum is one unit, which makes it plain round robin: one request
/// of each caller in turn, first in, first out within a caller.
class fair_queue
{
public:
    fair_queue() = default;
    ~fair_queue() = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// Adds a request; `request.id` must not be in the queue.
    void push(waiting_request request);
    /// Removes the oldest request of the caller whose turn it is; nothing if the queue is empty.
    std::optional<waiting_request> pop();
    /// Returns false if the request is not in the queue.
    bool remove(const request_id& id);
    /// Removes the newest request of the caller with the most waiting requests; nothing if the
    /// queue is empty.
    std::optional<waiting_request> pop_from_longest();
    /// Removes the requests whose start_by is at or before `now`.
    std::vector<waiting_request> remove_expired(time_point now);

    [[nodiscard]] std::size_t size() const { return by_id_.size(); }
    [[nodiscard]] bool contains(const request_id& id) const { return by_id_.contains(id); }
    /// Number of waiting requests of `caller`.
    [[nodiscard]] std::size_t waiting_of(const caller_id& caller) const;
    /// Number of callers with waiting requests.
    [[nodiscard]] std::size_t callers() const { return callers_.size(); }

private:
    struct entry;
    struct caller_queue
    {
        caller_id caller;
        // Never empty: the caller is removed with its last request.
        std::list<entry> entries;
    };
    using caller_position = std::list<caller_queue>::iterator;
    using deadline_index = std::multimap<time_point, request_id>;
    struct entry
    {
        waiting_request request;
        deadline_index::iterator deadline;
    };
    struct position
    {
        caller_position caller;
        std::list<entry>::iterator entry_position;
    };

    waiting_request extract(const position& from);

    // In the order of their turns; the front is next.
    std::list<caller_queue> callers_;
    std::unordered_map<caller_id, caller_position> by_caller_;
    std::unordered_map<request_id, position> by_id_;
    deadline_index deadlines_;
};

} // namespace ebonywick
