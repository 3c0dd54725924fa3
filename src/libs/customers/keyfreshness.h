// Whether a host may still trust the keys that it knows.
#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <compare>

namespace ebonywick {

/// What a host does with keys while it may lack a newer configuration.
struct key_trust
{
    // Refuse them; otherwise they hold until a newer configuration is known.
    bool fail_closed = false;
    // A configuration that has not been confirmed for longer may be outdated.
    duration max_age = std::chrono::seconds{5};

    auto operator<=>(const key_trust&) const = default;
};

/// Time is passed in. Not thread-safe.
class key_freshness
{
public:
    explicit key_freshness(key_trust trust) : trust_(trust) {}

    void set_trust(key_trust trust) { trust_ = trust; }
    /// At `at`, the store or a host that reads it had no newer configuration. Earlier times than
    /// known ones have no effect.
    void confirmed(time_point at) { confirmed_at_ = std::max(confirmed_at_, at); }
    [[nodiscard]] bool trusted(time_point now) const
    {
        return !trust_.fail_closed ||
               (confirmed_at_ != time_point{} && now - confirmed_at_ <= trust_.max_age);
    }

private:
    key_trust trust_;
    time_point confirmed_at_{};
};

} // namespace ebonywick
