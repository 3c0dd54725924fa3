// Resumes and gives up sessions when room is short.
#include "gateway/sessionkeeper.h"

#include "gateway/httpsession.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

namespace {

using memory::byte_class;

// Between a shortage and its relief; requests in progress end meanwhile and free their room.
constexpr duration relief_interval = std::chrono::milliseconds{50};
// Part of the budget that is freed at a time.
constexpr std::uint64_t freed_fraction = 8;
// Reliefs after which callers that make progress are given up too.
constexpr std::uint32_t patient_rounds = 20;

} // namespace

session_keeper::session_keeper(timer_queue& timers, memory::byte_account_pointer account,
                               std::size_t max_connections)
    : timers_(timers), account_(std::move(account)), max_connections_(max_connections),
      relief_timer_(timers, [this] {
          relief_due_ = false;
          relieve();
      })
{
}

session_keeper::~session_keeper() = default;

bool session_keeper::add(http_session& session)
{
    if (open_ >= max_connections_ && !close_one()) {
        ++counts_.closed;
        return false;
    }
    sessions_.push_back(session);
    ++open_;
    return true;
}

void session_keeper::on_closed(http_session& session)
{
    if (!static_cast<kept_session&>(session).is_linked())
        return;
    static_cast<kept_session&>(session).unlink();
    --open_;
}

void session_keeper::on_no_descriptor()
{
    close_one();
}

void session_keeper::on_shortage()
{
    if (std::exchange(relief_due_, true))
        return;
    relief_timer_.set_after(relief_interval);
}

bool session_keeper::is_short() const
{
    return account_->room(byte_class::caller_bodies) < gateway_constants::read_buffer_bytes ||
           account_->room(byte_class::caller_headers) < gateway_constants::read_buffer_bytes ||
           account_->room(byte_class::answers) == 0;
}

void session_keeper::relieve()
{
    const bool resumed = resume_sessions() > 0;
    rounds_without_resumption_ = resumed ? 0 : rounds_without_resumption_ + 1;
    // Back pressure comes first: requests that wait for their upstreams will free their room.
    if (is_short())
        give_up_sessions(rounds_without_resumption_ < patient_rounds);
    const bool waiting = std::ranges::any_of(sessions_, [](const kept_session& it) {
        return static_cast<const http_session&>(it).held_back();
    });
    if (waiting || is_short())
        on_shortage();
    else
        rounds_without_resumption_ = 0;
}

std::size_t session_keeper::resume_sessions()
{
    std::size_t out = 0;
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        auto& session = static_cast<http_session&>(*it++);
        out += session.resume() ? 1U : 0U;
    }
    return out;
}

void session_keeper::give_up_sessions(bool only_stalled)
{
    std::vector<http_session_pointer> sessions;
    std::vector<memory::holder> holders;
    for (kept_session& it : sessions_) {
        auto& session = static_cast<http_session&>(it);
        const memory::holder held = session.held();
        if (held.bytes == 0 || (only_stalled && !memory::is_stalled(held)))
            continue;
        sessions.emplace_back(&session);
        holders.push_back(held);
    }
    std::uint64_t left = account_->budget().total / freed_fraction;
    while (left > 0) {
        const auto loser = memory::byte_loser(holders);
        if (!loser)
            return;
        left -= std::min(left, holders[*loser].bytes);
        holders[*loser].bytes = 0;
        ++counts_.given_up;
        sessions[*loser]->give_up();
    }
}

bool session_keeper::close_one()
{
    std::vector<http_session_pointer> sessions;
    std::vector<memory::holder> holders;
    for (kept_session& it : sessions_) {
        auto& session = static_cast<http_session&>(it);
        if (session.busy())
            continue;
        sessions.emplace_back(&session);
        holders.push_back(session.held());
    }
    const auto loser = memory::connection_loser(holders);
    if (!loser)
        return false;
    ++counts_.closed;
    sessions[*loser]->close();
    return true;
}

} // namespace ebonywick
