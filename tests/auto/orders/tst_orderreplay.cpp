// Runs several coordinators for one key on one store with seeded random faults: lost and
// delayed writes, stale reads, pauses, host failures and deadlines. Checks the invariants
// I7 (at most one call per key may have run) and I6 (an attempt that answers
// "not run" did not run its call).
#include "base/randomsource.h"
#include "orders/ordercoordinator.h"

#include <criterion/criterion.h>

#include <deque>
#include <memory>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 3000;
constexpr int attempts_per_seed = 5;
const time_point epoch{1h};

struct fake_store
{
    std::optional<stored_record> current;
    std::optional<stored_record> previous;
    // Writes without a reply that take effect later or never.
    std::deque<write_record> delayed;
    object_version last = 0;

    record_written apply(const write_record& write)
    {
        const object_version version = current ? current->version : 0;
        if (version != write.expected)
            return {write_result::mismatch, version};
        previous = std::exchange(current, stored_record{write.record, ++last});
        return {write_result::accepted, last};
    }
};

struct attempt
{
    std::unique_ptr<order_coordinator> coordinator;
    time_point deadline;
    // Actions whose resulting event has not been delivered yet.
    std::deque<order_action> unanswered;
    bool deadline_delivered = false;
    bool dead = false;
    bool ran = false;
    int sends = 0;
    std::vector<finish_order> endings;

    void add_actions(std::vector<order_action> actions)
    {
        for (order_action& it : actions) {
            if (const auto* end = std::get_if<finish_order>(&it))
                endings.push_back(*end);
            else
                unanswered.push_back(std::move(it));
        }
    }
};

class replay
{
public:
    explicit replay(std::uint64_t seed) : random_{seed} {}

    void run()
    {
        for (int it = 0; it < attempts_per_seed; ++it)
            start();
        for (int step = 0; step < 400; ++step) {
            // A step of 2 s simulates a pause, which may pass the deadline.
            now_ += random_.below(40) == 0 ? 2s : 10ms;
            if (!store_.delayed.empty() && random_.below(6) == 0) {
                store_.apply(store_.delayed.front());
                store_.delayed.pop_front();
            }
            advance(attempts_[random_.below(attempts_.size())]);
        }
        for (attempt& it : attempts_) {
            while (!it.dead && (!it.unanswered.empty() || !it.deadline_delivered))
                advance(it);
        }
    }

    void check(std::uint64_t seed) const
    {
        int runs = 0;
        for (const attempt& it : attempts_) {
            runs += it.ran ? 1 : 0;
            cr_assert_leq(it.sends, 1, "seed %lu", seed);
            cr_assert(it.dead || it.endings.size() == 1, "seed %lu: %zu endings", seed,
                      it.endings.size());
            cr_assert_leq(it.endings.size(), 1, "seed %lu", seed);
            cr_assert(it.dead || it.coordinator->finished(), "seed %lu", seed);
            const bool says_not_run =
                !it.endings.empty() && std::holds_alternative<not_run>(it.endings[0].outcome);
            cr_assert_not(says_not_run && it.ran,
                          "seed %lu: the call ran although the outcome is not run", seed);
            const bool answers =
                !it.endings.empty() && std::holds_alternative<order_answer>(it.endings[0].outcome);
            answers_ += answers ? 1 : 0;
        }
        cr_assert_leq(runs, 1, "seed %lu: %d runs", seed, runs);
    }

    [[nodiscard]] int answers() const { return answers_; }

private:
    void start()
    {
        attempt made;
        made.deadline = epoch + std::chrono::milliseconds{500 + random_.below(3000)};
        const request_id id{1, attempts_.size() + 1};
        made.coordinator = std::make_unique<order_coordinator>(
            order_request{id, service_name{"s"}, "k", 7, made.deadline});
        made.add_actions(made.coordinator->start(epoch));
        attempts_.push_back(std::move(made));
    }

    void advance(attempt& it)
    {
        if (it.dead)
            return;
        if (random_.below(60) == 0) {
            it.dead = true;
            return;
        }
        const bool due = now_ >= it.deadline;
        if (!it.deadline_delivered && (it.unanswered.empty() || (due && random_.below(2) == 0))) {
            now_ = std::max(now_, it.deadline);
            it.deadline_delivered = true;
            it.add_actions(it.coordinator->handle(order_deadline{}, now_));
            return;
        }
        if (it.unanswered.empty())
            return;
        const order_action action = it.unanswered.front();
        it.unanswered.pop_front();
        it.add_actions(it.coordinator->handle(execute(it, action), now_));
    }

    order_event execute(attempt& it, const order_action& action)
    {
        if (const auto* write = std::get_if<write_record>(&action))
            return execute(*write);
        if (std::holds_alternative<read_record>(action)) {
            const std::uint64_t draw = random_.below(10);
            if (draw == 0)
                return record_read{false, std::nullopt};
            return record_read{true, draw < 3 ? store_.previous : store_.current};
        }
        ++it.sends;
        const std::uint64_t draw = random_.below(4);
        if (draw == 0)
            return order_failed{make_error(error_kind::overloaded, "shed")};
        it.ran = true;
        if (draw == 1)
            return order_failed{make_error(error_kind::reply_lost, "lost")};
        return order_replied{"r"};
    }

    order_event execute(const write_record& write)
    {
        switch (random_.below(8)) {
        case 0:
            return record_written{write_result::refused, 0};
        case 1:
            store_.apply(write);
            return record_written{write_result::lost, 0};
        case 2:
            store_.delayed.push_back(write);
            return record_written{write_result::lost, 0};
        default:
            return store_.apply(write);
        }
    }

    random_source random_;
    fake_store store_;
    time_point now_ = epoch;
    std::vector<attempt> attempts_;
    mutable int answers_ = 0;
};

} // namespace

// Failure: two calls run for one key, "not run" is reported for a call that ran, or a
// request does not end exactly once.
Test(order_replay, at_most_one_run_for_each_key)
{
    int answers = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        replay it{seed};
        it.run();
        it.check(seed);
        answers += it.answers();
    }
    // If few orders succeeded, the runs would check little.
    cr_assert_gt(answers, static_cast<int>(seeds) / 2);
}
