// Attempts of one query, in a linked list per shard.
#include "query/attempttable.h"

#include <algorithm>
#include <utility>

namespace ebonywick {

void attempt_table::reset(std::size_t shard_count)
{
    attempts_.clear();
    // One attempt per shard plus the usual number of hedges.
    attempts_.reserve(shard_count + shard_count / 8 + 1);
    chains_.assign(shard_count, chain{});
    next_number_.resize(std::max(next_number_.size(), shard_count), 0);
    outstanding_ = 0;
}

query_attempt& attempt_table::add(std::uint32_t shard, upstream_id upstream, time_point now)
{
    chain& shard_chain = chains_[shard];
    const auto index = static_cast<std::uint32_t>(attempts_.size());
    query_attempt& attempt = attempts_.emplace_back();
    attempt.upstream = std::move(upstream);
    attempt.sent = now;
    attempt.shard = shard;
    attempt.number = next_number_[shard]++;
    attempt.previous = shard_chain.last;
    shard_chain.last = index;
    ++shard_chain.outstanding;
    ++shard_chain.count;
    ++outstanding_;
    return attempt;
}

query_attempt* attempt_table::find_outstanding(std::uint32_t shard, std::uint32_t number)
{
    if (shard >= chains_.size())
        return nullptr;
    for (std::uint32_t it = chains_[shard].last; it != none; it = attempts_[it].previous) {
        if (attempts_[it].number == number)
            return attempts_[it].outstanding ? &attempts_[it] : nullptr;
    }
    return nullptr;
}

bool attempt_table::is_newest_outstanding(const query_attempt& attempt) const
{
    std::uint32_t it = chains_[attempt.shard].last;
    while (it != none && !attempts_[it].outstanding)
        it = attempts_[it].previous;
    return it != none && attempts_[it].number == attempt.number;
}

bool attempt_table::any_refused(std::uint32_t shard) const
{
    for (std::uint32_t it = chains_[shard].last; it != none; it = attempts_[it].previous) {
        if (attempts_[it].refused)
            return true;
    }
    return false;
}

void attempt_table::end(query_attempt& attempt)
{
    attempt.outstanding = false;
    --chains_[attempt.shard].outstanding;
    --outstanding_;
}

} // namespace ebonywick
