// Sequence of list and watch calls, and recovery after failures and gaps in the history.
#include "gateway/collectionwatch.h"

#include "gateway/constants.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebonywick {

namespace {

constexpr int status_ok = 200;
// Start of the reasons for failures of calls that the store answered with unreadable content.
constexpr std::string_view unreadable_reason = "unreadable";
constexpr std::string_view too_long_reason = "reply_too_long";
constexpr std::string_view too_slow_reason = "reply_too_slow";
// A late reply, or one of a part of the store that was not restored yet.
constexpr std::string_view earlier_epoch_reason = "unreadable_earlier_epoch";

std::string_view reason_of(channel_failure failure)
{
    switch (failure) {
    case channel_failure::no_reply:
        return no_reply_reason;
    case channel_failure::reply_too_long:
        return too_long_reason;
    case channel_failure::reply_too_slow:
        return too_slow_reason;
    }
    return no_reply_reason;
}

} // namespace

collection_watch::collection_watch(boost::asio::io_context& loop, timer_queue& timers,
                                   const endpoint& store, platform::store_collection collection,
                                   watch_policy policy, collection_handlers handlers)
    : store_(store), collection_(collection), policy_(policy), handlers_(std::move(handlers)),
      timers_(timers), channel_(loop, timers, store),
      pause_timer_(timers, [this] { start_next_call(); }),
      copy_([collection](const platform::stored_item& it) { return order_of(collection, it); }),
      settle_timer_(timers, [this] { settle_due(); })
{
}

void collection_watch::start()
{
    start_next_call();
}

void collection_watch::set_freshness(platform::freshness needed)
{
    const bool stricter = needed == platform::freshness::newest &&
                          policy_.read_freshness != platform::freshness::newest;
    policy_.read_freshness = needed;
    if (!stricter)
        return;
    if (gap_pause_)
        start_next_call();
    else
        restart_call();
}

void collection_watch::set_position(reader_position position)
{
    const reader_position before = std::exchange(position_, position);
    const duration moved = std::chrono::abs(position.clock_offset - before.clock_offset);
    const bool kept = position.index == before.index && position.count == before.count &&
                      moved < gateway_constants::turn_tolerance;
    if (!kept && renews_in_turn() && waits_for_changes_)
        restart_call();
}

void collection_watch::check_connection()
{
    if (!waits_for_changes_ || !channel_.busy())
        return;
    probe_next_ = true;
    repeat_in_doubt();
}

void collection_watch::repeat_in_doubt()
{
    restart_call();
    in_doubt_ = true;
}

void collection_watch::verify(std::uint64_t store_revision, const revision_ledger& known)
{
    if (!complete() || needs_list_)
        return;
    if (std::exchange(verified_epoch_, copy_.epoch()) != copy_.epoch())
        verified_ = 0;
    if (known.accounts_for(std::max(verified_, copy_.revision()), store_revision))
        verified_ = std::max(verified_, store_revision);
    else if (waits_for_changes_ && channel_.busy())
        repeat_in_doubt();
}

void collection_watch::catch_up(std::uint64_t epoch, std::uint64_t revision)
{
    const bool missing =
        epoch > copy_.epoch() || (epoch == copy_.epoch() && revision > copy_.revision());
    if (!missing || source_ == change_source::other_hosts) {
        behind_since_ = time_point::max();
        return;
    }
    const time_point now = timers_.now();
    behind_since_ = std::min(behind_since_, now);
    const bool waited = now - behind_since_ >= gateway_constants::catch_up_delay;
    if (!waited || !complete() || needs_list_ || next_call_newest_ || !in_contact_)
        return;
    behind_since_ = time_point::max();
    next_call_newest_ = true;
    restart_call();
}

bool collection_watch::list_missing_change(std::uint64_t epoch, std::uint64_t revision)
{
    if (!complete() || needs_list_ || source_ == change_source::other_hosts ||
        epoch != copy_.epoch() || revision > copy_.revision() || revision <= copy_.newest_change())
        return false;
    if (std::exchange(listed_for_epoch_, epoch) != epoch)
        listed_for_ = 0;
    if (std::exchange(listed_for_, std::max(listed_for_, revision)) >= revision)
        return false;
    next_call_newest_ = true;
    needs_list_ = true;
    if (channel_.busy()) {
        restarting_ = true;
        channel_.abort();
    } else {
        start_next_call();
    }
    return true;
}

void collection_watch::restart_call()
{
    // During a pause there is no call to abort; the next call uses the new freshness.
    if (!channel_.busy() || needs_list_)
        return;
    restarting_ = true;
    channel_.abort();
}

platform::freshness collection_watch::next_freshness()
{
    const bool once = std::exchange(next_call_newest_, false) || timers_.now() < newest_until_;
    return once || (needs_list_ && policy_.lists_read_newest) ? platform::freshness::newest
                                                              : policy_.read_freshness;
}

bool collection_watch::adopt(const collection_update& update)
{
    std::vector<platform::stored_item> changed;
    if (update.page.epoch == copy_.epoch())
        handlers_.changes_read(0, update.page);
    switch (copy_.adopt(update, changed)) {
    case collection_copy::adoption::ignored:
        return false;
    case collection_copy::adoption::changed:
        gap_waited_ = false;
        retain();
        if (!changed.empty())
            handlers_.changed(changed);
        return true;
    case collection_copy::adoption::replaced:
        needs_list_ = false;
        listed_so_far_ = {};
        list_after_.clear();
        gap_waited_ = false;
        retain();
        handlers_.listed(copy_.list());
        return true;
    }
    return false;
}

void collection_watch::set_other_readers(bool exist)
{
    const bool regained = exist && !other_readers_;
    other_readers_ = exist;
    if ((regained && store_unavailable_ && !channel_.busy()) || (!exist && gap_pause_))
        start_next_call();
}

void collection_watch::set_source(change_source source)
{
    if (source == source_)
        return;
    source_ = source;
    if (source == change_source::other_hosts)
        restart_call();
    else if (!channel_.busy())
        start_next_call();
}

void collection_watch::start_next_call()
{
    pause_timer_.cancel();
    gap_pause_ = false;
    if (!needs_list_ && source_ == change_source::other_hosts)
        return;
    if (!handlers_.may_call(collection_)) {
        pause_timer_.set_after(gateway_constants::held_call_pause);
        return;
    }
    if (needs_list_)
        send_list();
    else if (outdated())
        on_gap();
    else
        send_watch();
}

std::uint64_t collection_watch::note_epoch(const http_message& reply)
{
    const std::uint64_t epoch = platform::decode_store_epoch(reply);
    if (epoch == 0)
        return store_epoch_;
    if (epoch > store_epoch_) {
        store_epoch_ = epoch;
        handlers_.epoch_seen(collection_, epoch);
    }
    return epoch;
}

void collection_watch::set_store_epoch(std::uint64_t epoch)
{
    if (epoch <= store_epoch_)
        return;
    store_epoch_ = epoch;
    if (outdated())
        restart_call();
}

void collection_watch::check_store_epoch(std::uint64_t epoch)
{
    if (epoch <= checked_epoch_ || epoch <= store_epoch_)
        return;
    checked_epoch_ = epoch;
    probe_next_ = true;
    restart_call();
}

void collection_watch::retain()
{
    const std::uint64_t before = std::exchange(copied_epoch_, copy_.epoch());
    if (before != 0 && before != copy_.epoch())
        handlers_.restored(collection_, copy_);
    if (copy_.retained_count() == 0) {
        settle_timer_.cancel();
        return;
    }
    // Later lists of the same epoch do not extend the time.
    if (retained_epoch_ == copy_.epoch())
        return;
    retained_epoch_ = copy_.epoch();
    retained_since_ = timers_.now();
    if (policy_.missing_retention != duration::max())
        settle_timer_.set_after(policy_.missing_retention);
}

void collection_watch::settle_due()
{
    const time_point now = timers_.now();
    // Writers that cannot reach the store have not repeated anything yet.
    const bool readable = (store_reachable() && !store_unavailable_) || other_readers_;
    if (!readable) {
        retained_since_ = now;
        settle_timer_.set_after(policy_.missing_retention);
        return;
    }
    const bool all = now - retained_since_ >= policy_.outdated_retention;
    const auto changed = copy_.settle(all ? collection_copy::settle_scope::all
                                          : collection_copy::settle_scope::missing);
    if (!changed.empty())
        handlers_.settled(collection_, changed);
    if (!all)
        settle_timer_.set(retained_since_ + policy_.outdated_retention);
}

void collection_watch::send_list()
{
    const platform::freshness needed = next_freshness();
    handlers_.call_started(collection_, "list", needed);
    send(platform::collection_call::list,
         platform::encode_list(collection_, list_after_, needed, store_), retry_.call_timeout());
}

void collection_watch::send(platform::collection_call kind, std::string request, duration timeout)
{
    called_at_ = timers_.now();
    if (replied_at_ == time_point{})
        replied_at_ = called_at_;
    retry_.call_started(called_at_);
    waits_for_changes_ = false;
    reader_.emplace(collection_, kind);
    channel_.call(
        std::move(request), timeout,
        [this, kind](const std::optional<http_message>& reply) { on_reply(kind, reply); },
        [this](std::string_view bytes) { reader_->feed(bytes); });
}

void collection_watch::on_reply(platform::collection_call kind,
                                const std::optional<http_message>& reply)
{
    const bool watched = kind == platform::collection_call::watch;
    if (!reply) {
        const channel_failure failure = channel_.last_failure();
        // The same watch would fail again, and a list comes in pages.
        needs_list_ = needs_list_ || (watched && failure != channel_failure::no_reply);
        on_failure(reason_of(failure));
        return;
    }
    replied_at_ = timers_.now();
    const std::uint64_t epoch = note_epoch(*reply);
    if (watched && platform::history_is_gone(reply->status)) {
        handlers_.call_ended("history_gone");
        on_gap();
    } else if (reply->status != status_ok) {
        on_failure("status_" + std::to_string(reply->status));
    } else if (watched) {
        on_events(epoch);
    } else {
        on_list(epoch);
    }
}

void collection_watch::on_list(std::uint64_t epoch)
{
    auto decoded = reader_->finish();
    auto* page = std::get_if<platform::collection_page>(&decoded);
    if (page == nullptr || (page->has_more && page->last_name.empty())) {
        on_failure("unreadable_list");
        return;
    }
    if (epoch < copy_.epoch()) {
        on_failure(earlier_epoch_reason);
        return;
    }
    on_success();
    if (page->skipped > 0)
        handlers_.objects_skipped(collection_, page->skipped);
    // Another host has passed on the collection meanwhile.
    if (!needs_list_) {
        start_next_call();
        return;
    }
    // The watch starts at the first page's revision, so it also returns changes that were
    // made while later pages were read.
    if (list_after_.empty()) {
        listed_so_far_.revision = page->revision;
        listed_so_far_.epoch = epoch;
    } else if (listed_so_far_.epoch != epoch) {
        listed_so_far_ = {};
        list_after_.clear();
        start_next_call();
        return;
    }
    if (page->has_more)
        list_after_ = page->last_name;
    std::move(page->items.begin(), page->items.end(), std::back_inserter(listed_so_far_.items));
    if (!page->has_more) {
        needs_list_ = false;
        list_after_.clear();
        const auto list = std::exchange(listed_so_far_, {});
        handlers_.changes_read(0, list);
        if (copy_.replace(list)) {
            retain();
            handlers_.listed(copy_.list());
        } else {
            handlers_.list_ignored(collection_, list.revision);
        }
    }
    start_next_call();
}

void collection_watch::send_watch()
{
    const platform::freshness needed = next_freshness();
    handlers_.call_started(collection_, "watch", needed);
    const bool probe = std::exchange(probe_next_, false);
    const duration wait = probe ? gateway_constants::probe_wait : next_wait();
    const duration margin =
        renews_in_turn() ? gateway_constants::renewal_margin : gateway_constants::store_call_margin;
    send(platform::collection_call::watch,
         platform::encode_watch(collection_, copy_.revision(), wait, needed, store_),
         probe ? retry_.call_timeout() : wait + margin);
    waits_for_changes_ = !probe;
}

duration collection_watch::next_wait() const
{
    if (!renews_in_turn())
        return gateway_constants::watch_wait;
    return std::min(gateway_constants::watch_wait,
                    time_to_turn(position_, policy_.renewal_interval, timers_.now()));
}

void collection_watch::on_gap()
{
    if (policy_.read_freshness == platform::freshness::stale_ok && other_readers_ &&
        !std::exchange(gap_waited_, true)) {
        // The hosts that read the newest state pass it on. If all hosts read it, a large fleet
        // would flood the store.
        gap_pause_ = true;
        pause_timer_.set_after(gateway_constants::stale_read_pause_after_gap);
        return;
    }
    needs_list_ = true;
    // A stale list may have a revision whose history is gone as well, and a stale watch may
    // not know the revision of the list. Either would fail the same way at once, and lists
    // and watches would alternate without a pause.
    newest_until_ = timers_.now() + gateway_constants::newest_reads_after_gap;
    pause_timer_.set_after(std::exchange(last_watch_had_gap_, true)
                               ? gateway_constants::max_store_retry_pause
                               : duration::zero());
}

void collection_watch::on_events(std::uint64_t epoch)
{
    auto decoded = reader_->finish();
    auto* page = std::get_if<platform::collection_page>(&decoded);
    if (page == nullptr) {
        needs_list_ = true;
        on_failure("unreadable_events");
        return;
    }
    if (epoch < copy_.epoch()) {
        on_failure(earlier_epoch_reason);
        return;
    }
    on_success();
    if (epoch > copy_.epoch()) {
        // The revision of the watch belongs to something else in this epoch.
        on_gap();
        return;
    }
    last_watch_had_gap_ = false;
    gap_waited_ = false;
    if (page->skipped > 0)
        handlers_.objects_skipped(collection_, page->skipped);
    page->epoch = epoch;
    handlers_.changes_read(copy_.revision(), *page);
    const auto changed = copy_.apply(*page);
    if (!changed.empty())
        handlers_.changed(changed);
    if (std::exchange(in_doubt_, false) && !changed.empty())
        handlers_.late_change();
    if (page->items.empty() && waits_for_changes_ && renews_in_turn())
        handlers_.renewed(page->revision);
    if (page->items.empty())
        start_next_call();
    else
        pause_timer_.set_after(policy_.pause);
}

void collection_watch::on_success()
{
    handlers_.call_ended("ok");
    retry_.succeeded();
    store_unavailable_ = false;
    ever_in_contact_ = true;
    if (in_contact_)
        return;
    in_contact_ = true;
    handlers_.contact_changed(collection_, "");
}

void collection_watch::on_failure(std::string_view reason)
{
    if (std::exchange(restarting_, false)) {
        // The aborted call may have been the one that does not wait.
        probe_next_ = probe_next_ || !in_contact_;
        start_next_call();
        return;
    }
    handlers_.call_ended("failed");
    probe_next_ = true;
    in_doubt_ = true;
    if (reason == earlier_epoch_reason)
        next_call_newest_ = true;
    store_unavailable_ = !reason.starts_with(unreadable_reason) && reason != too_long_reason &&
                         reason != too_slow_reason;
    listed_so_far_ = {};
    list_after_.clear();
    if (in_contact_ || retry_.failures() == 0)
        handlers_.contact_changed(collection_, reason);
    in_contact_ = false;
    pause_timer_.set_after(retry_.pause_after_failure(timers_.now()));
}

} // namespace ebonywick
