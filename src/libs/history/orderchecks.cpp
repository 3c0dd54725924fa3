// Checks orders, which are not idempotent (I7).
#include "history/historychecker.h"

#include <map>
#include <set>

namespace ebonywick::history {

std::vector<violation> check_orders(const record_list& records)
{
    std::vector<violation> out;
    std::map<std::string, const record*> executions;
    std::map<std::string, const record*> replies;
    std::set<std::string> reported;
    for (const record& it : records) {
        if (const auto* execution = std::get_if<order_run>(&it.body)) {
            const auto [first, inserted] = executions.emplace(execution->key, &it);
            if (!inserted && reported.insert(execution->key).second)
                out.push_back({"I7", "key " + execution->key + " ran twice", {*first->second, it}});
        }
        const auto* request = std::get_if<caller_request>(&it.body);
        if (request == nullptr || request->key.empty() || request->outcome != "answered")
            continue;
        const auto [first, inserted] = replies.emplace(request->key, &it);
        const auto& earlier = std::get<caller_request>(first->second->body);
        if (!inserted && earlier.reply != request->reply && reported.insert(request->key).second)
            out.push_back(
                {"I7", "key " + request->key + " has two outcomes", {*first->second, it}});
    }
    return out;
}

} // namespace ebonywick::history
