// Emulates the platform's store according to its published protocol: objects by kind,
// revisions, conditional writes, watches and a bounded history, with faults on top.
#pragma once

#include "gateway/httpserver.h"
#include "gateway/timerqueue.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace ebonywick::standin {

struct store_faults
{
    // Status with which every call is refused; 0: none.
    int refuse_with = 0;
    // Calls are never answered.
    bool silent = false;
    // Every n-th write is executed, but its connection is closed without an answer; 0: none.
    std::uint32_t lost_reply_interval = 0;
    duration delay{};
    // Number of revisions by which reads with `stale_ok` lag behind.
    std::uint64_t lag = 0;
    // Watches with `stale_ok` state the newest revision, but do not return the changes.
    bool blind_stale_watches = false;

    auto operator<=>(const store_faults&) const = default;
};

/// Objects by kind and name.
using store_objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

/// Copy of the objects and their revision, from which the store can be restored.
struct store_copy
{
    std::uint64_t revision = 0;
    store_objects objects;
};

/// Runs on the event loop of its owner; not thread-safe.
class platform_store
{
public:
    platform_store(boost::asio::io_context& loop, timer_queue& timers, const endpoint& address);

    /// Writes an object as an operator or an upstream does; returns its revision.
    std::uint64_t put(const std::string& kind, const std::string& name, nlohmann::json content);
    /// Writes an object whose content is this text, which need not be valid JSON.
    std::uint64_t put_raw(const std::string& kind, const std::string& name, std::string content);
    void remove(const std::string& kind, const std::string& name);
    void set_faults(const store_faults& faults) { faults_ = faults; }
    /// Drops the history, so that watches from older revisions are refused with 410.
    void forget_history();
    /// Closes the connections of all waiting watches without an answer.
    void cut_watches();

    [[nodiscard]] store_copy copy() const { return {revision_, kinds_}; }
    /// Returns to the state of `copy` and begins a new epoch, whose revisions follow that of the
    /// copy. The history is dropped and waiting watches are cut.
    void restore(const store_copy& copy);

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::map<std::string, nlohmann::json> objects(const std::string& kind) const;

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    struct watcher
    {
        watcher(http_exchange request_exchange, timer_queue& timers, std::function<void()> expired)
            : exchange(std::move(request_exchange)), timer(timers, std::move(expired))
        {
        }
        http_exchange exchange;
        std::string kind;
        std::uint64_t after = 0;
        bool stale = false;
        loop_timer timer;
    };

    void serve(http_exchange exchange);
    void execute(http_exchange exchange);
    void read(http_exchange& exchange, const std::string& kind,
              const std::map<std::string, std::string>& query);
    void watch(http_exchange exchange, const std::string& kind,
               const std::map<std::string, std::string>& query);
    // What a watch returns.
    [[nodiscard]] nlohmann::json watch_answer(const std::string& kind, std::uint64_t after,
                                              bool stale) const;
    void write(http_exchange& exchange, const std::string& kind, const std::string& name);
    // Replaces the status of an object if its revision is the one that the call states, or the call
    // states none.
    void write_status(http_exchange& exchange, const std::string& kind, const std::string& name);
    void record_change(const std::string& kind, const nlohmann::json& object, bool deleted);
    [[nodiscard]] nlohmann::json events_after(const std::string& kind, std::uint64_t after) const;
    void answer(http_exchange& exchange, int status, const nlohmann::json& body) const;

    timer_queue& timers_;
    store_faults faults_;
    std::uint64_t revision_ = 1;
    std::uint64_t calls_ = 0;
    std::uint64_t writes_ = 0;
    // All changes after this revision are in history_.
    std::uint64_t history_begin_ = 1;
    std::deque<change> history_;
    store_objects kinds_;
    // Contents that replace their placeholders in the text of answers.
    std::map<std::string, std::string> raw_;
    // Begins at 1 and rises with each restoration.
    std::uint64_t epoch_ = 1;
    std::list<std::unique_ptr<watcher>> watchers_;
    std::list<std::unique_ptr<loop_timer>> delayed_;
    // Exchanges received while the store is silent; kept open without an answer.
    std::list<http_exchange> unanswered_;
    http_server server_;
};

} // namespace ebonywick::standin
