// Shares memory and descriptors among the connections of all HTTP servers of a process: stops
// reading where there is no room, and gives connections up if that does not help.
#pragma once

#include "gateway/timerqueue.h"
#include "memory/byteaccount.h"
#include "memory/loser.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace ebonywick {

class http_session;

/// Hook of a session in the keeper's list; unlinks itself.
struct kept_session
    : boost::intrusive::list_base_hook<boost::intrusive::tag<struct kept_session_tag>,
                                       boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
};

/// Number of times that the keeper has done something, since the start.
struct keeper_counts
{
    std::uint64_t held_back = 0;
    // Requests that were given up because of the bytes that they held.
    std::uint64_t given_up = 0;
    // Complete requests that were rejected for want of room.
    std::uint64_t rejected = 0;
    // Connections closed for want of descriptors.
    std::uint64_t closed = 0;

    auto operator<=>(const keeper_counts&) const = default;
};

/// Must not be destroyed before the servers that use it. Not thread-safe.
class session_keeper
{
public:
    /// `max_connections` is the number of connections that all servers together may have.
    session_keeper(timer_queue& timers, memory::byte_account_pointer account,
                   std::size_t max_connections);
    ~session_keeper();
    session_keeper(const session_keeper&) = delete;
    session_keeper& operator=(const session_keeper&) = delete;

    [[nodiscard]] const memory::byte_account_pointer& account() const { return account_; }
    [[nodiscard]] const keeper_counts& counts() const { return counts_; }

    /// Takes a new connection over; may close another one. False if there is none to close: the
    /// new one is to be closed.
    bool add(http_session& session);
    /// The connection was closed.
    void on_closed(http_session& session);
    /// Room is short: the sessions that are held back are resumed, or some given up, soon.
    void on_shortage();
    void count_held_back() { ++counts_.held_back; }
    void count_rejected() { ++counts_.rejected; }
    /// The process has no descriptor left for a new connection.
    void on_no_descriptor();

private:
    using session_list =
        boost::intrusive::list<kept_session, boost::intrusive::base_hook<kept_session>,
                               boost::intrusive::constant_time_size<false>>;

    void relieve();
    // Returns the number of sessions that go on reading.
    std::size_t resume_sessions();
    // Gives up sessions until a part of the budget is free again; only those without progress if
    // `only_stalled`.
    void give_up_sessions(bool only_stalled);
    // False if all connections have a request in progress.
    bool close_one();
    [[nodiscard]] bool is_short() const;

    timer_queue& timers_;
    memory::byte_account_pointer account_;
    std::size_t max_connections_;
    std::size_t open_ = 0;
    keeper_counts counts_;
    session_list sessions_;
    loop_timer relief_timer_;
    bool relief_due_ = false;
    // Reliefs in a row in which nobody could go on reading.
    std::uint32_t rounds_without_resumption_ = 0;
};

} // namespace ebonywick
