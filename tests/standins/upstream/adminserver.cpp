// Applies admin commands to the upstreams that they select.
#include "adminserver.h"

#include <algorithm>
#include <exception>

namespace ebonywick::standin {

namespace {

bool is_selected(const nlohmann::json& command, const hosted_upstream& it)
{
    if (command.contains("replica") && command["replica"] != it.replica)
        return false;
    const nlohmann::json chosen = command.value("searcher", nlohmann::json("all"));
    if (chosen.is_array())
        return std::find(chosen.begin(), chosen.end(), it.model->id()) != chosen.end();
    return chosen == "all" || chosen == it.model->id();
}

} // namespace

admin_server::admin_server(std::uint16_t port, std::vector<hosted_upstream>& upstreams)
    : upstreams_(upstreams)
{
    worker_.listen(port, 64,
                   {[this](const http_request& it) { serve(it); },
                    [](std::size_t) {
                    }});
    worker_.start();
}

std::size_t admin_server::apply(nlohmann::json command)
{
    // The upstreams switch the version one after the other, interval_ms apart.
    nlohmann::json version_switch = nlohmann::json::value_t::null;
    if (command.contains("switch_version"))
        version_switch = command["switch_version"];
    std::size_t reached = 0;
    for (hosted_upstream& it : upstreams_) {
        if (!is_selected(command, it))
            continue;
        if (!version_switch.is_null()) {
            const auto interval = version_switch.value("interval_ms", std::size_t{0});
            command["switch_version"]["after_ms"] = interval * reached;
        }
        ++reached;
        const std::scoped_lock guard{it.worker->lock()};
        it.model->apply(command);
    }
    return reached;
}

void admin_server::serve(const http_request& request)
{
    if (request.method == "POST" && request.path == "/admin") {
        try {
            const std::size_t reached = apply(nlohmann::json::parse(request.body));
            worker_.reply(request.connection, 200, "{\"reached\":" + std::to_string(reached) + "}");
        } catch (const std::exception& ex) {
            const nlohmann::json body{{"error", ex.what()}};
            worker_.reply(request.connection, 400, body.dump());
        }
        return;
    }
    if (request.method == "GET" && request.path == "/admin/stats") {
        nlohmann::json all = nlohmann::json::array();
        for (const hosted_upstream& it : upstreams_) {
            const std::scoped_lock guard{it.worker->lock()};
            all.push_back(it.model->stats());
        }
        worker_.reply(request.connection, 200, all.dump());
        return;
    }
    worker_.reply(request.connection, 404, R"({"error":"unknown path"})");
}

} // namespace ebonywick::standin
