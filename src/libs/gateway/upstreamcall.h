// One HTTP call to an upstream, from the wait for a connection to the reply.
#pragma once

#include "platform/httpcodec.h"
#include "upstreams/upstreamtable.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <string>
#include <utility>
#include <variant>

namespace ebonywick {

/// The reply, or the reason why there is none.
using call_outcome = std::variant<upstream_reply, call_failure>;

struct upstream_call_plan
{
    upstream_pointer to;
    // A reply that names another request is rejected.
    std::string request_id;
    // The upstream must not run the request twice, so the caller may only be told that it has not
    // run if that is certain.
    bool at_most_once = false;
    // The reply has no body even if its header states a length, as after a HEAD request.
    bool bodyless_reply = false;
    // Encodes the request when it is sent; empty if it must not be sent any more.
    std::function<std::string()> encode;
    std::function<void(call_outcome)> ended;
};

class upstream_connection;

/// Shared by the caller's request, the pool and the connection. Not thread-safe.
class upstream_call
    : public boost::intrusive_ref_counter<upstream_call, boost::thread_unsafe_counter>
{
public:
    explicit upstream_call(upstream_call_plan plan) : plan_(std::move(plan)) {}

    [[nodiscard]] const upstream_call_plan& plan() const { return plan_; }
    /// Reports the outcome, at most once and not after abandon().
    void end(call_outcome outcome);
    /// No outcome is reported any more. Releases what the functions of the plan keep alive.
    void abandon();
    /// The request has been sent, and the call has not ended.
    [[nodiscard]] bool sent() const { return connection_ != nullptr; }
    /// Neither ended nor abandoned.
    [[nodiscard]] bool open() const { return plan_.ended != nullptr; }

private:
    friend class upstream_connection;
    friend class upstream_pool;

    upstream_call_plan plan_;
    // The connection on which the request was sent; null before and after the call.
    upstream_connection* connection_ = nullptr;
};

using upstream_call_pointer = boost::intrusive_ptr<upstream_call>;

} // namespace ebonywick
