// Waiting requests of one class, served fairly between callers.
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

struct waiting_request
{
    request_id id;
    caller_id caller;
    // Refused if it has not been admitted by then.
    time_point start_by;

    auto operator<=>(const waiting_request&) const = default;
};

/// Deficit round robin between callers. Every query of a service covers the same
/// shards, so each costs one unit and the quantum is one unit: each caller with
/// waiting requests gets one in turn. First in, first out within a caller.
class fair_queue
{
public:
    fair_queue() = default;
    ~fair_queue() = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// `request.id` must not be waiting.
    void push(waiting_request request);
    std::optional<waiting_request> pop();
    /// False if the request is not waiting.
    bool remove(const request_id& id);
    /// Removes the latest request of the caller with the most waiting requests.
    std::optional<waiting_request> pop_of_longest();
    /// Removes the requests whose time to start has passed at `now`.
    std::vector<waiting_request> take_expired(time_point now);

    [[nodiscard]] std::size_t size() const { return by_id_.size(); }
    [[nodiscard]] bool contains(const request_id& id) const { return by_id_.contains(id); }
    [[nodiscard]] std::size_t size_of(const caller_id& caller) const;
    [[nodiscard]] std::size_t callers() const { return turns_.size(); }

private:
    struct entry;
    struct caller_queue
    {
        caller_id caller;
        // Not empty as long as the caller has a turn.
        std::list<entry> entries;
    };
    using turn = std::list<caller_queue>::iterator;
    using deadline_index = std::multimap<time_point, request_id>;
    struct entry
    {
        waiting_request request;
        deadline_index::iterator deadline;
    };
    struct place
    {
        turn caller;
        std::list<entry>::iterator position;
    };

    waiting_request take(const place& from);

    // The front has the next turn.
    std::list<caller_queue> turns_;
    std::unordered_map<caller_id, turn> by_caller_;
    std::unordered_map<request_id, place> by_id_;
    deadline_index deadlines_;
};

} // namespace ebonywick
