// Checks of the work that reaches searchers: I3, I4, I8.
#include "history/historychecker.h"

#include <map>
#include <set>

namespace ebonywick::history {

namespace {

class searcher_checker
{
public:
    explicit searcher_checker(std::vector<violation>& out) : out_(out) {}

    void operator()(const record& at, const searcher_declared& it) { declared_[it.searcher] = &at; }

    void operator()(const record& at, const searcher_switch& it)
    {
        if (it.leaving)
            leaving_.emplace(it.searcher, &at);
        else
            leaving_.erase(it.searcher);
    }

    void operator()(const record& at, const domain_switch& it)
    {
        if (it.out)
            out_of_service_.emplace(it.failure_domain, &at);
        else
            out_of_service_.erase(it.failure_domain);
    }

    void operator()(const record& at, const cold_peak& it)
    {
        if (it.concurrent > cold_limit(it.searcher))
            report("I3", it.searcher, "more calls at once on a cold searcher than it bears",
                   {declaration(it.searcher), &at});
    }

    void operator()(const record& at, const call_start& it)
    {
        auto& running = running_[it.searcher];
        running[it.call] = &at;
        const auto concurrent = it.concurrent > 0 ? it.concurrent : running.size();
        if (it.cold && concurrent > cold_limit(it.searcher)) {
            std::vector<const record*> evidence{declaration(it.searcher)};
            for (const auto& [call, started] : running) {
                if (started != &at)
                    evidence.push_back(started);
            }
            evidence.push_back(&at);
            report("I3", it.searcher, "a cold searcher got more calls than it bears", evidence);
        }
        if (const record* since = find(leaving_, it.searcher); late(at, since))
            report("I8", it.searcher, "a searcher that is leaving got new work after 3 s",
                   {since, &at});
        const record* place = declaration(it.searcher);
        if (place == nullptr)
            return;
        const auto& domain = std::get<searcher_declared>(place->body).failure_domain;
        if (const record* since = find(out_of_service_, domain); late(at, since))
            report("I4", it.searcher, "a failure domain that is out got new work after 3 s",
                   {place, since, &at});
    }

    void operator()(const record&, const call_end& it) { running_[it.searcher].erase(it.call); }

    template <class T>
    void operator()(const record&, const T&)
    {
    }

private:
    using record_map = std::map<std::string, const record*>;

    static const record* find(const record_map& map, const std::string& key)
    {
        const auto found = map.find(key);
        return found == map.end() ? nullptr : found->second;
    }

    static bool late(const record& at, const record* since)
    {
        return since != nullptr && at.at > since->at + settle_time;
    }

    const record* declaration(const std::string& searcher) const
    {
        return find(declared_, searcher);
    }

    std::uint64_t cold_limit(const std::string& searcher) const
    {
        const record* it = declaration(searcher);
        return it == nullptr ? 1 : std::get<searcher_declared>(it->body).cold_concurrency;
    }

    /// The first violation of each kind at a searcher is enough.
    void report(const std::string& invariant, const std::string& searcher,
                const std::string& message, const std::vector<const record*>& evidence)
    {
        if (!reported_.emplace(invariant, searcher).second)
            return;
        violation found{invariant, searcher + ": " + message, {}};
        for (const record* it : evidence) {
            if (it != nullptr)
                found.evidence.push_back(*it);
        }
        out_.push_back(std::move(found));
    }

    std::vector<violation>& out_;
    record_map declared_;
    record_map leaving_;
    record_map out_of_service_;
    std::map<std::string, record_map> running_;
    std::set<std::pair<std::string, std::string>> reported_;
};

} // namespace

std::vector<violation> check_searchers(const record_list& records)
{
    std::vector<violation> out;
    searcher_checker checker{out};
    for (const record& it : records)
        std::visit([&](const auto& body) { checker(it, body); }, it.body);
    return out;
}

} // namespace ebonywick::history
