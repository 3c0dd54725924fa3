// Reports the outcome of a call to an upstream.
#include "gateway/upstreamcall.h"

namespace ebonywick {

void upstream_call::end(call_outcome outcome)
{
    const auto ended = std::exchange(plan_.ended, nullptr);
    connection_ = nullptr;
    if (ended)
        ended(std::move(outcome));
}

void upstream_call::abandon()
{
    connection_ = nullptr;
    const auto encode = std::exchange(plan_.encode, nullptr);
    const auto ended = std::exchange(plan_.ended, nullptr);
}

} // namespace ebonywick
