// Simulates the behaviour of one upstream: slots, cold start, shedding, index versions,
// cancellation, deadlines and orders.
#pragma once

#include "base/clock.h"
#include "base/randomsource.h"
#include "httpworker.h"
#include "recorder.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonywick::standin {

struct upstream_options
{
    std::uint32_t slots = 4;
    std::size_t connections = 75;
    // Median call time, and the time added to the first call on a connection.
    duration delay = std::chrono::microseconds{1000};
    duration connect_delay = duration::zero();
    // Share of slow calls, and their call time as a multiple of the median.
    double straggler_share = 0;
    double straggler_factor = 20;
    bool cold = true;
    // More concurrent calls make a cold upstream collapse.
    std::uint32_t cold_concurrency = 1;
    // Call time while cold and while collapsed, as multiples of the median.
    double cold_factor = 1.5;
    double collapse_factor = 50;
    // Completed calls after which a cold upstream is warm.
    std::uint32_t warm_after = 200;
    // If false, calls above the slots are slowed down instead of being shed.
    bool shed_above_slots = true;
    std::uint32_t hits = 3;
    std::uint64_t version = 1;
    std::uint64_t epoch = 1;
    std::uint64_t seed = 1;
};

struct upstream_stats
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    // Refused without being run.
    std::uint64_t refused = 0;
    std::uint64_t collapses = 0;
    std::uint32_t max_concurrent = 0;
    std::uint32_t max_concurrent_cold = 0;
    std::size_t max_connections = 0;
    time_point reset_at{};
    time_point last_start{};
};

/// The caller must hold the worker's lock, except before the worker is started.
class upstream
{
public:
    upstream(http_worker& worker, recorder& record, std::string id, std::string shard,
             std::uint16_t port, const upstream_options& options,
             std::vector<nlohmann::json> catalogue);

    /// Starts to listen; throws std::system_error if the port is in use.
    void open();
    /// Executes an admin command; throws an exception if it is invalid.
    void apply(const nlohmann::json& command);
    [[nodiscard]] nlohmann::json stats() const;
    [[nodiscard]] const std::string& id() const { return id_; }

private:
    struct running_call
    {
        // Changes when the call is rescheduled; identifies its valid timer.
        std::uint64_t serial = 0;
        std::uint64_t connection = 0;
        time_point due;
        time_point deadline;
        std::uint64_t version = 0;
        std::string body;
        // Idempotency key; set for orders only.
        std::string key;
        bool order = false;
    };

    void serve(const http_request& request);
    void start_call(const http_request& request, bool order);
    void cancel_call(const http_request& request);
    void finish(const std::string& call, std::uint64_t serial);
    void schedule(const std::string& call, const running_call& it);
    void refuse(const http_request& request, int status);
    void collapse(time_point now);
    void restart();
    void apply_version_switch(time_point now);
    [[nodiscard]] duration draw_call_duration();
    [[nodiscard]] std::string state_fields() const;
    [[nodiscard]] std::string hits(const std::string& body, std::uint64_t version) const;

    http_worker& worker_;
    recorder& record_;
    std::string id_;
    std::string shard_;
    std::uint16_t port_;
    upstream_options options_;
    std::vector<nlohmann::json> catalogue_;
    random_source random_;
    std::vector<std::uint64_t> versions_;
    std::uint64_t boot_id_ = 0;
    bool open_ = false;
    bool cold_ = false;
    // If false, a cold upstream reports itself as warm.
    bool reports_cold_ = true;
    bool leaving_ = false;
    bool shedding_ = false;
    // Set when more than cold_concurrency calls run while cold, until all have ended.
    bool collapsed_ = false;
    std::uint32_t cold_calls_served_ = 0;
    std::uint64_t pending_version_ = 0;
    time_point version_switch_time_{};
    std::uint64_t next_serial_ = 1;
    std::unordered_map<std::string, running_call> running_;
    std::map<std::string, std::uint64_t> order_runs_;
    std::size_t connections_ = 0;
    upstream_stats stats_;
};

} // namespace ebonywick::standin
