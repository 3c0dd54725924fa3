// Checks single version (I1), coverage (I2) and matching request (I5) of one answer.
#include "answercheck.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <set>

namespace ebonywick::load {

namespace {

using nlohmann::json;

std::string check_hits(const json& hits, const std::string& query, const checked_answer& answer)
{
    std::set<std::string> shards;
    for (const json& it : hits) {
        if (it.at("query") != query)
            return fmt::format("a hit belongs to the query {}", it.at("query").dump());
        if (it.at("version") != answer.version)
            return fmt::format("a hit of version {} in an answer of version {}",
                               it.at("version").dump(), answer.version);
        const json& shard = it.at("shard");
        shards.insert(shard.is_string() ? shard.get<std::string>() : shard.dump());
    }
    if (shards.size() != answer.merged)
        return fmt::format("{} shards in the hits, {} reported", shards.size(), answer.merged);
    if (answer.merged + answer.missing.size() != answer.total)
        return fmt::format("{} merged and {} missing of {} shards", answer.merged,
                           answer.missing.size(), answer.total);
    for (const std::string& it : answer.missing) {
        if (shards.contains(it))
            return fmt::format("shard {} is reported missing and has hits", it);
    }
    return {};
}

void parse_search_answer(const json& document, const std::string& query, checked_answer& answer)
{
    answer.version = document.at("snapshot").at("version").get<std::uint64_t>();
    answer.epoch = document.at("snapshot").at("epoch").get<std::uint64_t>();
    const json& coverage = document.at("coverage");
    answer.merged = coverage.at("merged").get<std::uint64_t>();
    answer.total = coverage.at("total").get<std::uint64_t>();
    answer.missing = coverage.at("missing").get<std::vector<std::string>>();
    answer.answer_error = check_hits(document.at("hits"), query, answer);
}

void parse_order_answer(const json& document, const std::string& key, checked_answer& answer)
{
    answer.repeated = document.at("repeated").get<bool>();
    const json& reply = document.at("reply");
    answer.reply = reply.dump();
    if (reply.is_object() && reply.contains("query") && reply["query"] != key)
        answer.answer_error = "the reply belongs to another order";
}

void parse_answer(const json& document, const std::string& query, bool is_order,
                  checked_answer& answer)
{
    answer.request_id = document.at("request_id").get<std::string>();
    const auto outcome = document.at("outcome").get<std::string>();
    if (outcome != "answered" && outcome != "not_run" && outcome != "unknown")
        throw std::runtime_error{"unknown outcome " + outcome};
    if (outcome != "answered")
        answer.kind = document.at("error").at("kind").get<std::string>();
    else if (is_order)
        parse_order_answer(document, query, answer);
    else
        parse_search_answer(document, query, answer);
    answer.outcome = outcome;
}

} // namespace

checked_answer check_answer(const std::string& body, const std::string& query, bool is_order)
{
    checked_answer answer;
    answer.outcome = "invalid";
    try {
        parse_answer(json::parse(body), query, is_order, answer);
    } catch (const std::exception& ex) {
        answer.answer_error = fmt::format("not an answer: {}", ex.what());
    }
    return answer;
}

} // namespace ebonywick::load
