// Formats outcomes for the log.
#include "query/outcome.h"

#include <fmt/format.h>

namespace ebonywick {

namespace {

struct outcome_line
{
    std::string operator()(const answered& it) const
    {
        return fmt::format("answered version={} epoch={} coverage={}/{}", it.from.version,
                           it.from.epoch, it.covered.merged, it.covered.total);
    }
    std::string operator()(const not_run& it) const
    {
        return fmt::format("not_run kind={} retry_after_ms={} message=\"{}\"",
                           to_string(it.reason.kind), to_milliseconds(it.retry_after),
                           it.reason.message);
    }
    std::string operator()(const unknown_outcome& it) const
    {
        return fmt::format("unknown kind={} message=\"{}\"", to_string(it.reason.kind),
                           it.reason.message);
    }
};

} // namespace

std::string to_string(const query_outcome& outcome)
{
    return std::visit(outcome_line{}, outcome);
}

} // namespace ebonywick
