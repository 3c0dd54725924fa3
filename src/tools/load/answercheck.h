// Reads an answer of an entry host and checks it against the request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonywick::load {

struct checked_answer
{
    // answered, not_run or unknown; `invalid` if it is none of them.
    std::string outcome;
    std::string kind;
    std::string request_id;
    std::uint64_t version = 0;
    std::uint64_t epoch = 0;
    std::uint64_t merged = 0;
    std::uint64_t total = 0;
    std::vector<std::string> missing;
    bool repeated = false;
    // Reply to an order, as JSON text.
    std::string reply;
    // What is wrong with the answer; empty: nothing.
    std::string wrong;
};

/// `query`: the one that was sent; for an order its key.
[[nodiscard]] checked_answer check_answer(const std::string& body, const std::string& query,
                                          bool is_order);

} // namespace ebonywick::load
