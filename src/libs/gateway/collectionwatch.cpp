// Sequence of lists and watches.
#include "gateway/collectionwatch.h"

#include "gateway/constants.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebonywick {

namespace {

constexpr int status_ok = 200;

} // namespace

collection_watch::collection_watch(boost::asio::io_context& loop, timer_queue& timers,
                                   const endpoint& store, platform::object_kind kind,
                                   watch_policy policy, collection_handlers handlers)
    : store_(store), kind_(kind), policy_(policy), handlers_(std::move(handlers)), timers_(timers),
      channel_(loop, timers, store), pause_(timers, [this] { next(); })
{
}

void collection_watch::start()
{
    next();
}

void collection_watch::set_freshness(platform::freshness needed)
{
    const bool stricter =
        needed == platform::freshness::newest && policy_.needed != platform::freshness::newest;
    policy_.needed = needed;
    if (stricter)
        replace();
}

void collection_watch::catch_up(std::uint64_t revision)
{
    if (revision <= revision_) {
        behind_since_ = time_point::max();
        return;
    }
    const time_point now = timers_.now();
    behind_since_ = std::min(behind_since_, now);
    const bool waited = now - behind_since_ >= gateway_constants::catch_up_patience;
    if (!waited || !complete() || must_list_ || fresh_once_ || !in_contact_)
        return;
    behind_since_ = time_point::max();
    fresh_once_ = true;
    replace();
}

void collection_watch::replace()
{
    // A pause ends with a fresh call anyway.
    if (!channel_.busy() || must_list_)
        return;
    replacing_ = true;
    channel_.abort();
}

platform::freshness collection_watch::next_freshness()
{
    const bool once = std::exchange(fresh_once_, false) || timers_.now() < newest_until_;
    return once || (must_list_ && policy_.newest_lists) ? platform::freshness::newest
                                                        : policy_.needed;
}

void collection_watch::note_changes(const std::vector<platform::stored_item>& items)
{
    for (const platform::stored_item& it : items) {
        newest_change_ = std::max(newest_change_, it.revision);
        if (it.deleted)
            items_.erase(it.name);
        else
            items_[it.name] = it;
    }
}

void collection_watch::adopt(const platform::object_page& state)
{
    if (in_contact_ || state.revision <= revision_)
        return;
    revision_ = state.revision;
    must_list_ = false;
    items_.clear();
    note_changes(state.items);
    handlers_.listed(state.items);
}

void collection_watch::next()
{
    pause_.cancel();
    if (must_list_)
        list();
    else
        watch();
}

void collection_watch::list()
{
    const platform::freshness needed = next_freshness();
    handlers_.calling(kind_, "list", needed);
    retry_.call_started(timers_.now());
    channel_.call(platform::encode_list(kind_, after_, needed, store_), retry_.time_limit(),
                  [this](const std::optional<http_message>& reply) {
                      if (!reply)
                          failed("no_reply");
                      else if (reply->status != status_ok)
                          failed("status_" + std::to_string(reply->status));
                      else
                          on_list(*reply);
                  });
}

void collection_watch::on_list(const http_message& reply)
{
    auto decoded = platform::decode_list(reply.body);
    auto* page = std::get_if<platform::object_page>(&decoded);
    if (page == nullptr || (page->more && page->items.empty())) {
        failed("unreadable_list");
        return;
    }
    succeeded();
    // Changes between two pages are seen again by a watch from the first page's revision.
    if (after_.empty())
        revision_ = page->revision;
    if (page->more)
        after_ = page->items.back().name;
    std::move(page->items.begin(), page->items.end(), std::back_inserter(pages_));
    if (!page->more) {
        must_list_ = false;
        after_.clear();
        const auto items = std::exchange(pages_, {});
        items_.clear();
        note_changes(items);
        handlers_.listed(items);
    }
    next();
}

void collection_watch::watch()
{
    const platform::freshness needed = next_freshness();
    handlers_.calling(kind_, "watch", needed);
    retry_.call_started(timers_.now());
    channel_.call(
        platform::encode_watch(kind_, revision_, gateway_constants::watch_wait, needed, store_),
        gateway_constants::watch_wait + gateway_constants::store_call_slack,
        [this](const std::optional<http_message>& reply) {
            if (!reply)
                failed("no_reply");
            else if (platform::history_is_gone(reply->status))
                history_gone();
            else if (reply->status != status_ok)
                failed("status_" + std::to_string(reply->status));
            else
                on_events(*reply);
        });
}

void collection_watch::history_gone()
{
    handlers_.counted("history_gone");
    must_list_ = true;
    // A list that lags may show a revision whose history is gone as well, and a watch that
    // lags may not know the revision of the list; either would end here again at once.
    newest_until_ = timers_.now() + gateway_constants::newest_after_gap;
    pause_.set_after(std::exchange(gap_before_, true) ? gateway_constants::store_retry_longest
                                                      : duration::zero());
}

void collection_watch::on_events(const http_message& reply)
{
    auto decoded = platform::decode_events(reply.body);
    const auto* page = std::get_if<platform::object_page>(&decoded);
    if (page == nullptr) {
        must_list_ = true;
        failed("unreadable_events");
        return;
    }
    succeeded();
    revision_ = std::max(revision_, page->revision);
    gap_before_ = false;
    if (page->items.empty()) {
        next();
        return;
    }
    note_changes(page->items);
    handlers_.changed(page->items);
    pause_.set_after(policy_.pause);
}

void collection_watch::succeeded()
{
    handlers_.counted("ok");
    retry_.succeeded();
    if (in_contact_)
        return;
    in_contact_ = true;
    handlers_.contact(kind_, "");
}

void collection_watch::failed(std::string_view reason)
{
    if (std::exchange(replacing_, false)) {
        next();
        return;
    }
    handlers_.counted("failed");
    pages_.clear();
    after_.clear();
    if (in_contact_ || retry_.failures() == 0)
        handlers_.contact(kind_, reason);
    in_contact_ = false;
    pause_.set_after(retry_.pause_after_failure(timers_.now()));
}

} // namespace ebonywick
