// Adapter for Boost.Beast's parser, which checks the syntax and the framing.
#include "httpstream/messagereader.h"

// Boost 1.81's string view requires std::ostream to be a complete type.
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>
#include <variant>

namespace ebonywick {

namespace {

namespace http = boost::beast::http;
using body_sink = std::function<void(std::string_view)>;
using error_code = boost::system::error_code;
using beast_view = boost::beast::string_view;

// The classes of statuses are 1 to 5.
constexpr int min_status = 100;
constexpr int max_status = 599;
// HTTP/1.1; see message_parser::version_.
constexpr int first_chunked_version = 11;

std::string copy(beast_view text)
{
    return std::string{text.data(), text.size()};
}

/// Collects the parts that Beast reports into an http_message.
template <bool IsRequest>
class message_parser : public http::basic_parser<IsRequest>
{
public:
    /// `sink` takes the body if it is not empty.
    message_parser(message_limits limits, const body_sink& sink) : sink_(&sink)
    {
        this->eager(true);
        this->header_limit(limits.header_bytes);
        this->body_limit(limits.body_bytes);
    }

    http_message message;
    // Memory that the fields take, which are counted as they arrive.
    std::size_t field_bytes = 0;
    // The header has `Expect: 100-continue`.
    bool expects_continue = false;

private:
    void on_request_impl(http::verb /*method*/, beast_view method_text, beast_view target,
                         int version, error_code& /*ec*/) override
    {
        version_ = version;
        message.method = copy(method_text);
        message.target = copy(target);
    }
    void on_response_impl(int code, beast_view /*reason*/, int version, error_code& ec) override
    {
        version_ = version;
        // Beast accepts any three digits.
        if (code < min_status || code > max_status)
            ec = http::error::bad_status;
        message.status = code;
    }
    void on_field_impl(http::field name, beast_view name_text, beast_view value,
                       error_code& ec) override
    {
        // Beast takes a body with other codings for none, so that its bytes would be the next
        // message.
        if (name == http::field::transfer_encoding &&
            (!boost::beast::iequals(value, "chunked") || version_ < first_chunked_version))
            ec = http::error::bad_transfer_encoding;
        if (name == http::field::expect && boost::beast::iequals(value, "100-continue"))
            expects_continue = true;
        message.fields.emplace_back(copy(name_text), copy(value));
        field_bytes += sizeof(message.fields[0]) + name_text.size() + value.size();
    }
    void on_header_impl(error_code& /*ec*/) override {}
    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           error_code& /*ec*/) override
    {
    }
    std::size_t on_body_impl(beast_view body, error_code& /*ec*/) override
    {
        return add_body(body);
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast_view /*extensions*/,
                              error_code& /*ec*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast_view body,
                                   error_code& /*ec*/) override
    {
        return add_body(body);
    }
    void on_finish_impl(error_code& /*ec*/) override {}
    std::size_t add_body(beast_view body)
    {
        if (*sink_)
            (*sink_)({body.data(), body.size()});
        else
            message.body.append(body.data(), body.size());
        return body.size();
    }

    const body_sink* sink_;
    // As 10 times the major one and the minor one.
    int version_ = 0;
};

using any_parser = std::variant<message_parser<true>, message_parser<false>>;

read_state to_read_state(error_code ec)
{
    if (ec == http::error::header_limit)
        return read_state::header_too_large;
    if (ec == http::error::body_limit)
        return read_state::body_too_large;
    return read_state::malformed;
}

} // namespace

struct message_reader::impl
{
    impl(message_kind of, message_limits with) : kind(of), limits(with) { reset(); }

    void reset();
    void parse(std::string_view bytes);

    message_kind kind;
    message_limits limits;
    // The parser refers to it.
    body_sink sink;
    std::optional<any_parser> parser;
    // Bytes that the parser has not consumed; after a complete message, the start of the next.
    std::string unparsed;
    bool started = false;
    read_state state = read_state::need_more;
};

void message_reader::impl::reset()
{
    if (kind == message_kind::request)
        parser.emplace(std::in_place_type<message_parser<true>>, limits, sink);
    else
        parser.emplace(std::in_place_type<message_parser<false>>, limits, sink);
    state = read_state::need_more;
    started = false;
}

void message_reader::impl::parse(std::string_view bytes)
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
                    state = to_read_state(ec);
                    return;
                }
            }
            if (it.is_done())
                state = read_state::complete;
        },
        *parser);
    if (state == read_state::need_more && bytes.size() - used > limits.header_bytes)
        state = read_state::header_too_large;
    unparsed.assign(bytes.substr(used));
}

message_reader::message_reader(message_kind kind, message_limits limits)
    : impl_(std::make_unique<impl>(kind, limits))
{
}

message_reader::~message_reader() = default;

read_state message_reader::feed(std::string_view bytes)
{
    impl& self = *impl_;
    if (bytes.empty())
        return self.state;
    self.started = true;
    if (self.state != read_state::need_more) {
        self.unparsed.append(bytes);
        return self.state;
    }
    if (self.unparsed.empty()) {
        self.parse(bytes);
        return self.state;
    }
    std::string joined;
    joined.swap(self.unparsed);
    joined.append(bytes);
    self.parse(joined);
    return self.state;
}

read_state message_reader::end_of_stream()
{
    impl& self = *impl_;
    if (self.state != read_state::need_more)
        return self.state;
    const bool complete = std::visit(
        [&](auto& of) {
            error_code ec;
            if (!of.is_header_done() || !self.unparsed.empty())
                return false;
            of.put_eof(ec);
            return !ec && of.is_done();
        },
        *self.parser);
    self.state = complete ? read_state::complete : read_state::malformed;
    return self.state;
}

read_state message_reader::state() const
{
    return impl_->state;
}

http_message message_reader::take()
{
    impl& self = *impl_;
    http_message out = std::visit(
        [](auto& of) {
            of.message.keep_alive = of.keep_alive();
            return std::move(of.message);
        },
        *self.parser);
    self.reset();
    std::string rest;
    rest.swap(self.unparsed);
    if (!rest.empty())
        feed(rest);
    return out;
}

void message_reader::expect_no_body()
{
    if (auto* reply = std::get_if<message_parser<false>>(&*impl_->parser))
        reply->skip(true);
}

void message_reader::set_limits(message_limits limits)
{
    impl_->limits = limits;
    if (!impl_->started)
        impl_->reset();
}

void message_reader::set_body_sink(body_sink sink)
{
    impl_->sink = std::move(sink);
}

bool message_reader::message_started() const
{
    return impl_->started;
}

bool message_reader::header_complete() const
{
    return std::visit([](const auto& it) { return it.is_header_done(); }, *impl_->parser);
}

const http_message* message_reader::begun_message() const
{
    return std::visit([](const auto& it) { return it.is_header_done() ? &it.message : nullptr; },
                      *impl_->parser);
}

bool message_reader::expects_continue() const
{
    return std::visit(
        [](const auto& it) {
            return it.expects_continue && it.is_header_done() && !it.is_done() &&
                   it.message.body.empty();
        },
        *impl_->parser);
}

std::size_t message_reader::buffered_bytes() const
{
    return impl_->unparsed.size() +
           std::visit([](const auto& it) { return it.message.body.size(); }, *impl_->parser);
}

std::size_t message_reader::held_bytes() const
{
    return impl_->unparsed.capacity() +
           std::visit([](const auto& it) { return it.message.body.capacity() + it.field_bytes; },
                      *impl_->parser);
}

void message_reader::discard()
{
    impl_->reset();
    std::string{}.swap(impl_->unparsed);
    impl_->state = read_state::malformed;
}

} // namespace ebonywick
