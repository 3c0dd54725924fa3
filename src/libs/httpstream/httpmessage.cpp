// Look-up of header fields, and the standard names of connection fields.
#include "httpstream/httpmessage.h"

// Boost 1.81's string view requires std::ostream to be a complete type.
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace ebonywick {

namespace {

constexpr std::array<std::string_view, 9> connection_fields{
    "connection", "keep-alive",       "transfer-encoding", "content-length", "te",
    "upgrade",    "proxy-connection", "trailer",           "expect"};

} // namespace

std::size_t held_bytes(const http_message& message)
{
    std::size_t out = message.target.size() + message.body.capacity();
    for (const auto& [name, value] : message.fields)
        out += sizeof(message.fields[0]) + name.size() + value.size();
    return out;
}

bool field_names_equal(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view http_message::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto& it) {
        return field_names_equal(it.first, name);
    });
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

bool http_message::has_field(std::string_view name) const
{
    return std::any_of(fields.begin(), fields.end(),
                       [&](const auto& it) { return field_names_equal(it.first, name); });
}

bool is_connection_field(std::string_view name, const http_message& message)
{
    if (std::any_of(connection_fields.begin(), connection_fields.end(),
                    [&](std::string_view it) { return field_names_equal(it, name); }))
        return true;
    const std::string_view listed = message.field("connection");
    if (listed.empty())
        return false;
    return boost::beast::http::token_list{{listed.data(), listed.size()}}.exists(
        {name.data(), name.size()});
}

std::string_view reason_phrase(int status)
{
    const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
    const auto phrase = boost::beast::http::obsolete_reason(known);
    return {phrase.data(), phrase.size()};
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace ebonywick
