// Adapter of Beast's parser, which checks the syntax and the framing.
#include "httpstream/messagereader.h"

// Boost 1.81's string view needs the complete stream type.
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>
#include <variant>

namespace ebonywick {

namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;
using beast_view = boost::beast::string_view;

std::string copy(beast_view text)
{
    return std::string{text.data(), text.size()};
}

template <bool IsRequest>
class field_collector : public http::basic_parser<IsRequest>
{
public:
    explicit field_collector(message_limits limits)
    {
        this->eager(true);
        this->header_limit(limits.header_bytes);
        this->body_limit(limits.body_bytes);
    }

    http_message message;
    bool expects_continue = false;

private:
    void on_request_impl(http::verb /*method*/, beast_view method_text, beast_view target,
                         int /*version*/, error_code& /*ec*/) override
    {
        message.method = copy(method_text);
        message.target = copy(target);
    }
    void on_response_impl(int code, beast_view /*reason*/, int /*version*/,
                          error_code& /*ec*/) override
    {
        message.status = code;
    }
    void on_field_impl(http::field name, beast_view name_text, beast_view value,
                       error_code& /*ec*/) override
    {
        if (name == http::field::expect && boost::beast::iequals(value, "100-continue"))
            expects_continue = true;
        message.fields.emplace_back(copy(name_text), copy(value));
    }
    void on_header_impl(error_code& /*ec*/) override {}
    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           error_code& /*ec*/) override
    {
    }
    std::size_t on_body_impl(beast_view body, error_code& /*ec*/) override
    {
        message.body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast_view /*extensions*/,
                              error_code& /*ec*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast_view body,
                                   error_code& /*ec*/) override
    {
        message.body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(error_code& /*ec*/) override {}
};

using parser = std::variant<field_collector<true>, field_collector<false>>;

read_state state_of(error_code ec)
{
    if (ec == http::error::header_limit)
        return read_state::header_too_large;
    if (ec == http::error::body_limit)
        return read_state::body_too_large;
    return read_state::malformed;
}

} // namespace

struct message_reader::state_data
{
    state_data(message_kind of, message_limits with) : kind(of), limits(with) { reset(); }

    void reset();
    void parse(std::string_view bytes);

    message_kind kind;
    message_limits limits;
    std::optional<parser> current;
    // Bytes that the parser has not consumed.
    std::string pending;
    bool began = false;
    read_state state = read_state::need_more;
};

void message_reader::state_data::reset()
{
    if (kind == message_kind::request)
        current.emplace(std::in_place_type<field_collector<true>>, limits);
    else
        current.emplace(std::in_place_type<field_collector<false>>, limits);
    state = read_state::need_more;
    began = false;
}

void message_reader::state_data::parse(std::string_view bytes)
{
    std::size_t used = 0;
    std::visit(
        [&](auto& it) {
            while (used < bytes.size() && !it.is_done()) {
                error_code ec;
                used +=
                    it.put(boost::asio::const_buffer{bytes.data() + used, bytes.size() - used}, ec);
                if (ec == http::error::need_more)
                    break;
                if (ec) {
                    state = state_of(ec);
                    return;
                }
            }
            if (it.is_done())
                state = read_state::complete;
        },
        *current);
    if (state == read_state::need_more && bytes.size() - used > limits.header_bytes)
        state = read_state::header_too_large;
    pending.assign(bytes.substr(used));
}

message_reader::message_reader(message_kind kind, message_limits limits)
    : state_(std::make_unique<state_data>(kind, limits))
{
}

message_reader::~message_reader() = default;

read_state message_reader::feed(std::string_view bytes)
{
    state_data& it = *state_;
    if (bytes.empty())
        return it.state;
    it.began = true;
    if (it.state != read_state::need_more) {
        it.pending.append(bytes);
        return it.state;
    }
    if (it.pending.empty()) {
        it.parse(bytes);
        return it.state;
    }
    std::string joined;
    joined.swap(it.pending);
    joined.append(bytes);
    it.parse(joined);
    return it.state;
}

read_state message_reader::end_of_stream()
{
    state_data& it = *state_;
    if (it.state != read_state::need_more)
        return it.state;
    const bool complete = std::visit(
        [&](auto& of) {
            error_code ec;
            if (!of.is_header_done() || !it.pending.empty())
                return false;
            of.put_eof(ec);
            return !ec && of.is_done();
        },
        *it.current);
    it.state = complete ? read_state::complete : read_state::malformed;
    return it.state;
}

read_state message_reader::state() const
{
    return state_->state;
}

http_message message_reader::take()
{
    state_data& it = *state_;
    http_message out = std::visit(
        [](auto& of) {
            of.message.keep_alive = of.keep_alive();
            return std::move(of.message);
        },
        *it.current);
    it.reset();
    std::string rest;
    rest.swap(it.pending);
    if (!rest.empty())
        feed(rest);
    return out;
}

void message_reader::expect_no_body()
{
    if (auto* reply = std::get_if<field_collector<false>>(&*state_->current))
        reply->skip(true);
}

bool message_reader::message_started() const
{
    return state_->began;
}

bool message_reader::header_complete() const
{
    return std::visit([](const auto& it) { return it.is_header_done(); }, *state_->current);
}

bool message_reader::expects_continue() const
{
    return std::visit(
        [](const auto& it) {
            return it.expects_continue && it.is_header_done() && !it.is_done() &&
                   it.message.body.empty();
        },
        *state_->current);
}

std::size_t message_reader::buffered_bytes() const
{
    return state_->pending.size() +
           std::visit([](const auto& it) { return it.message.body.size(); }, *state_->current);
}

} // namespace ebonywick
