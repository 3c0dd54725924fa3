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

} // namespace ebonywick
