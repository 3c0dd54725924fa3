// Serves admin commands and statistics of the stand-in over HTTP.
#pragma once

#include "httpworker.h"
#include "upstream.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ebonywick::standin {

/// A simulated upstream, and the worker whose lock guards it.
struct hosted_upstream
{
    http_worker* worker = nullptr;
    std::unique_ptr<upstream> model;
    // Index of the replica in its shard.
    std::uint32_t replica = 0;
};

/// Serves `POST /admin` and `GET /admin/stats` on a port and thread of its own.
class admin_server
{
public:
    admin_server(std::uint16_t port, std::vector<hosted_upstream>& upstreams);

private:
    void serve(const http_request& request);
    /// Returns the number of upstreams that the command was applied to.
    std::size_t apply(nlohmann::json command);

    std::vector<hosted_upstream>& upstreams_;
    http_worker worker_;
};

} // namespace ebonywick::standin
