// Creates the entry, or replaces the one of an earlier start.
#include "gateway/hostregistration.h"

namespace ebonywick {

namespace {

// Longer than the timeout of a list, because a write may take effect after its timeout.
constexpr duration write_timeout = std::chrono::milliseconds{2500};

} // namespace

host_registration::host_registration(boost::asio::io_context& loop, timer_queue& timers,
                                     const endpoint& store, host_record own,
                                     std::function<void()> on_registered)
    : store_(store), own_(std::move(own)), on_registered_(std::move(on_registered)),
      timers_(timers), channel_(loop, timers, store), pause_timer_(timers, [this] { write(); })
{
}

bool host_registration::is_kept(const std::optional<host_record>& existing) const
{
    if (!existing || existing->incarnation > own_.incarnation)
        return false;
    host_record same = *existing;
    same.incarnation = own_.incarnation;
    return same == own_;
}

void host_registration::start(const std::optional<host_record>& existing)
{
    done_ = is_kept(existing);
    if (done_) {
        on_registered_();
        return;
    }
    create_next_ = !existing;
    write();
}

void host_registration::write()
{
    retry_.call_started(timers_.now());
    channel_.call(platform::encode_write(platform::store_collection::hosts, own_.id.value(),
                                         encode_host_record(own_), create_next_, store_),
                  write_timeout, [this](const std::optional<http_message>& reply) {
                      if (reply && reply->status >= 200 && reply->status < 300) {
                          done_ = true;
                          retry_.succeeded();
                          on_registered_();
                          return;
                      }
                      // The entry exists from an earlier start, or it was to be replaced but has
                      // been deleted meanwhile. The first such reply is followed by the other write
                      // at once.
                      if (reply &&
                          (platform::already_exists(reply->status) || reply->status == 404)) {
                          create_next_ = !create_next_;
                          if (retry_.failures() == 0) {
                              static_cast<void>(retry_.pause_after_failure(timers_.now()));
                              write();
                              return;
                          }
                      }
                      pause_timer_.set_after(retry_.pause_after_failure(timers_.now()));
                  });
}

} // namespace ebonywick
