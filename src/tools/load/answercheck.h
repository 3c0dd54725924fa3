// Parses an answer of an entry host and checks it against the request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonywick::load {

struct checked_answer
{
    // `answered`, `not_run`, `unknown`, or `invalid` if the answer can't be parsed.
    std::string outcome;
    // Kind of the error; empty if answered.
    std::string kind;
    std::string request_id;
    std::uint64_t version = 0;
    std::uint64_t epoch = 0;
    // Numbers of shards in the reported coverage, and the names of those that are missing.
    std::uint64_t merged = 0;
    std::uint64_t total = 0;
    std::vector<std::string> missing;
    // Whether an order's outcome was replayed from its record.
    bool repeated = false;
    // Reply to an order, as JSON text.
    std::string reply;
    // Description of the failed check; empty if the answer is correct.
    std::string answer_error;
};

/// `query`: the query that was sent, or the key of an order. Never throws; an answer that
/// can't be parsed has the outcome `invalid`.
[[nodiscard]] checked_answer check_answer(const std::string& body, const std::string& query,
                                          bool is_order);

} // namespace ebonywick::load
