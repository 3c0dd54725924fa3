// Checks which calls reach upstreams (I3, I4, I8).
#include "history/historychecker.h"

#include <map>
#include <set>

namespace ebonywick::history {

namespace {

class upstream_checker
{
public:
    explicit upstream_checker(std::vector<violation>& out) : out_(out) {}

    void operator()(const record& rec, const upstream_declared& it)
    {
        declared_[it.upstream] = &rec;
    }

    void operator()(const record& rec, const upstream_leaving_change& it)
    {
        if (it.leaving)
            leaving_.emplace(it.upstream, &rec);
        else
            leaving_.erase(it.upstream);
    }

    void operator()(const record& rec, const domain_out_change& it)
    {
        if (it.out)
            domains_out_.emplace(it.failure_domain, &rec);
        else
            domains_out_.erase(it.failure_domain);
    }

    void operator()(const record& rec, const cold_peak& it)
    {
        if (it.concurrent > cold_limit(it.upstream))
            report("I3", it.upstream,
                   "a cold searcher ran more calls at once than its cold_concurrency",
                   {declaration(it.upstream), &rec});
    }

    void operator()(const record& rec, const call_start& it)
    {
        auto& running = running_[it.upstream];
        running[it.call] = &rec;
        const auto concurrent = it.concurrent > 0 ? it.concurrent : running.size();
        if (it.cold && concurrent > cold_limit(it.upstream)) {
            std::vector<const record*> evidence{declaration(it.upstream)};
            for (const auto& [call, started] : running) {
                if (started != &rec)
                    evidence.push_back(started);
            }
            evidence.push_back(&rec);
            report("I3", it.upstream,
                   "a call was started on a cold searcher above its cold_concurrency", evidence);
        }
        if (const record* since = find(leaving_, it.upstream); is_overdue(rec, since))
            report("I8", it.upstream,
                   "an upstream got a new call more than 3 s after it started to leave",
                   {since, &rec});
        const record* declared = declaration(it.upstream);
        if (declared == nullptr)
            return;
        const auto& domain = std::get<upstream_declared>(declared->body).failure_domain;
        if (const record* since = find(domains_out_, domain); is_overdue(rec, since))
            report("I4", it.upstream,
                   "an upstream got a new call more than 3 s after its failure domain was out",
                   {declared, since, &rec});
    }

    void operator()(const record&, const call_end& it) { running_[it.upstream].erase(it.call); }

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

    static bool is_overdue(const record& rec, const record* since)
    {
        return since != nullptr && rec.time > since->time + max_enforcement_delay;
    }

    const record* declaration(const std::string& upstream) const
    {
        return find(declared_, upstream);
    }

    std::uint64_t cold_limit(const std::string& upstream) const
    {
        const record* it = declaration(upstream);
        return it == nullptr ? 1 : std::get<upstream_declared>(it->body).cold_concurrency;
    }

    /// Reports only the first violation of each invariant at an upstream.
    void report(const std::string& invariant, const std::string& upstream,
                const std::string& message, const std::vector<const record*>& evidence)
    {
        if (!reported_.emplace(invariant, upstream).second)
            return;
        violation found{invariant, upstream + ": " + message, {}};
        for (const record* it : evidence) {
            if (it != nullptr)
                found.evidence.push_back(*it);
        }
        out_.push_back(std::move(found));
    }

    std::vector<violation>& out_;
    record_map declared_;
    record_map leaving_;
    record_map domains_out_;
    std::map<std::string, record_map> running_;
    std::set<std::pair<std::string, std::string>> reported_;
};

} // namespace

std::vector<violation> check_upstreams(const record_list& records)
{
    std::vector<violation> out;
    upstream_checker checker{out};
    for (const record& it : records)
        std::visit([&](const auto& body) { checker(it, body); }, it.body);
    return out;
}

} // namespace ebonywick::history
