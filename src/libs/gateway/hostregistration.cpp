// Create, else replace.
#include "gateway/hostregistration.h"

namespace ebonywick {

namespace {

// Longer than the limit of a list: a write that was given up may still take effect.
constexpr duration write_timeout = std::chrono::milliseconds{2500};

} // namespace

host_registration::host_registration(boost::asio::io_context& loop, timer_queue& timers,
                                     const endpoint& store, std::string name, std::string content,
                                     std::function<void()> registered)
    : store_(store), name_(std::move(name)), content_(std::move(content)),
      registered_(std::move(registered)), timers_(timers), channel_(loop, timers, store),
      pause_(timers, [this] { write(); })
{
}

void host_registration::start()
{
    write();
}

void host_registration::write()
{
    retry_.call_started(timers_.now());
    channel_.call(
        platform::encode_write(platform::object_kind::hosts, name_, content_, create_, store_),
        write_timeout, [this](const std::optional<http_message>& reply) {
            if (reply && reply->status >= 200 && reply->status < 300) {
                done_ = true;
                registered_();
                return;
            }
            // An entry of an earlier life exists, or has been removed meanwhile.
            if (reply && (platform::already_exists(reply->status) || reply->status == 404)) {
                create_ = !create_;
                if (retry_.failures() == 0) {
                    static_cast<void>(retry_.pause_after_failure(timers_.now()));
                    write();
                    return;
                }
            }
            pause_.set_after(retry_.pause_after_failure(timers_.now()));
        });
}

void host_registration::withdraw()
{
    pause_.cancel();
    if (channel_.busy())
        channel_.abort();
    pause_.cancel();
    channel_.call(platform::encode_delete(platform::object_kind::hosts, name_, store_),
                  write_timeout, [](const std::optional<http_message>& /*reply*/) {});
}

} // namespace ebonywick
