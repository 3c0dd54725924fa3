// Checks of non-idempotent requests: I7.
#include "history/historychecker.h"

#include <map>
#include <set>

namespace ebonywick::history {

std::vector<violation> check_orders(const record_list& records)
{
    std::vector<violation> out;
    std::map<std::string, const record*> runs;
    std::map<std::string, const record*> replies;
    std::set<std::string> reported;
    for (const record& it : records) {
        if (const auto* run = std::get_if<order_run>(&it.body)) {
            const auto [first, fresh] = runs.emplace(run->key, &it);
            if (!fresh && reported.insert(run->key).second)
                out.push_back({"I7", "key " + run->key + " ran twice", {*first->second, it}});
        }
        const auto* request = std::get_if<caller_request>(&it.body);
        if (request == nullptr || request->key.empty() || request->outcome != "answered")
            continue;
        const auto [first, fresh] = replies.emplace(request->key, &it);
        const auto& earlier = std::get<caller_request>(first->second->body);
        if (!fresh && earlier.reply != request->reply && reported.insert(request->key).second)
            out.push_back(
                {"I7", "key " + request->key + " has two outcomes", {*first->second, it}});
    }
    return out;
}

} // namespace ebonywick::history
