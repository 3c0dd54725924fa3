// Recursive-descent JSON parser that validates a reply and extracts its known
// members.
#include "upstreamlink/jsonscan.h"

#include <charconv>

namespace ebonywick {

namespace {

// Bounds the recursion, so that a deeply nested reply cannot overflow the stack.
constexpr int max_depth = 64;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

/// Functions named parse_ store what they read, those named skip_ only validate it.
/// Both return false if the text at the position is not what they expect.
class reply_scanner
{
public:
    explicit reply_scanner(std::string_view text)
        : pos_(text.data()), end_(text.data() + text.size())
    {
    }

    bool parse_reply(reply_fields& out);
    bool at_end()
    {
        skip_whitespace();
        return pos_ == end_;
    }

private:
    bool parse_member(std::string_view name, reply_fields& out);
    bool skip_value(int depth);
    bool skip_array(int depth);
    bool skip_object(int depth);
    /// `raw` receives the text between the quotes with its escapes.
    bool parse_string(std::string_view& raw);
    bool skip_escape();
    bool skip_utf8_sequence();
    bool skip_number();
    bool skip_literal(std::string_view word);
    bool parse_boolean(bool& out);
    bool parse_versions(std::vector<index_version>& out);

    template <class Int>
    bool parse_integer(Int& out)
    {
        const char* start = pos_;
        if (!skip_number())
            return false;
        const auto [last, ec] = std::from_chars(start, pos_, out);
        return ec == std::errc{} && last == pos_;
    }

    void skip_whitespace()
    {
        while (pos_ != end_ && (*pos_ == ' ' || *pos_ == '\n' || *pos_ == '\r' || *pos_ == '\t'))
            ++pos_;
    }

    bool consume(char c)
    {
        skip_whitespace();
        if (pos_ == end_ || *pos_ != c)
            return false;
        ++pos_;
        return true;
    }

    const char* pos_;
    const char* end_;
};

bool reply_scanner::skip_utf8_sequence()
{
    const auto lead = static_cast<unsigned char>(*pos_);
    const int more = lead >= 0xF0 ? 3 : lead >= 0xE0 ? 2 : 1;
    if (lead < 0xC2 || lead > 0xF4 || end_ - pos_ <= more)
        return false;
    const auto second = static_cast<unsigned char>(pos_[1]);
    // Reject overlong forms, surrogates and values above U+10FFFF.
    if ((lead == 0xE0 && second < 0xA0) || (lead == 0xED && second > 0x9F) ||
        (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second > 0x8F))
        return false;
    for (int n = 1; n <= more; ++n) {
        if ((static_cast<unsigned char>(pos_[n]) & 0xC0U) != 0x80U)
            return false;
    }
    pos_ += more + 1;
    return true;
}

bool reply_scanner::skip_escape()
{
    ++pos_;
    if (pos_ == end_)
        return false;
    const char c = *pos_++;
    if (c != 'u')
        return std::string_view{"\"\\/bfnrt"}.find(c) != std::string_view::npos;
    for (int n = 0; n < 4; ++n, ++pos_) {
        if (pos_ == end_ ||
            std::string_view{"0123456789abcdefABCDEF"}.find(*pos_) == std::string_view::npos)
            return false;
    }
    return true;
}

bool reply_scanner::parse_string(std::string_view& raw)
{
    if (!consume('"'))
        return false;
    const char* start = pos_;
    while (pos_ != end_ && *pos_ != '"') {
        const auto c = static_cast<unsigned char>(*pos_);
        if (c == '\\') {
            if (!skip_escape())
                return false;
        } else if (c >= 0x80) {
            if (!skip_utf8_sequence())
                return false;
        } else if (c < 0x20) {
            return false;
        } else {
            ++pos_;
        }
    }
    if (pos_ == end_)
        return false;
    raw = {start, static_cast<std::size_t>(pos_ - start)};
    ++pos_;
    return true;
}

bool reply_scanner::skip_number()
{
    skip_whitespace();
    const auto digits = [&] {
        const char* start = pos_;
        while (pos_ != end_ && is_digit(*pos_))
            ++pos_;
        return pos_ != start;
    };
    if (pos_ != end_ && *pos_ == '-')
        ++pos_;
    const char* start = pos_;
    if (!digits() || (*start == '0' && pos_ - start > 1))
        return false;
    if (pos_ != end_ && *pos_ == '.') {
        ++pos_;
        if (!digits())
            return false;
    }
    if (pos_ != end_ && (*pos_ == 'e' || *pos_ == 'E')) {
        ++pos_;
        if (pos_ != end_ && (*pos_ == '+' || *pos_ == '-'))
            ++pos_;
        if (!digits())
            return false;
    }
    return true;
}

bool reply_scanner::skip_literal(std::string_view word)
{
    skip_whitespace();
    if (!std::string_view{pos_, static_cast<std::size_t>(end_ - pos_)}.starts_with(word))
        return false;
    pos_ += word.size();
    return true;
}

bool reply_scanner::parse_boolean(bool& out)
{
    out = skip_literal("true");
    return out || skip_literal("false");
}

bool reply_scanner::skip_array(int depth)
{
    if (!consume('['))
        return false;
    if (consume(']'))
        return true;
    do {
        if (!skip_value(depth + 1))
            return false;
    } while (consume(','));
    return consume(']');
}

bool reply_scanner::skip_object(int depth)
{
    if (!consume('{'))
        return false;
    if (consume('}'))
        return true;
    std::string_view name;
    do {
        if (!parse_string(name) || !consume(':') || !skip_value(depth + 1))
            return false;
    } while (consume(','));
    return consume('}');
}

bool reply_scanner::skip_value(int depth)
{
    skip_whitespace();
    if (pos_ == end_ || depth > max_depth)
        return false;
    std::string_view ignored;
    switch (*pos_) {
    case '{':
        return skip_object(depth);
    case '[':
        return skip_array(depth);
    case '"':
        return parse_string(ignored);
    case 't':
        return skip_literal("true");
    case 'f':
        return skip_literal("false");
    case 'n':
        return skip_literal("null");
    default:
        return skip_number();
    }
}

bool reply_scanner::parse_versions(std::vector<index_version>& out)
{
    out.clear();
    if (!consume('['))
        return false;
    if (consume(']'))
        return true;
    do {
        if (!parse_integer(out.emplace_back()))
            return false;
    } while (consume(','));
    return consume(']');
}

bool reply_scanner::parse_member(std::string_view name, reply_fields& out)
{
    if (name == "version")
        return parse_integer(out.version.emplace());
    if (name == "epoch")
        return parse_integer(out.epoch.emplace());
    if (name == "boot_id")
        return parse_integer(out.boot_id);
    if (name == "load")
        return parse_integer(out.load);
    if (name == "versions")
        return parse_versions(out.versions);
    if (name == "not_run")
        return parse_boolean(out.not_run);
    if (name == "cancelled")
        return parse_boolean(out.cancelled);
    if (name == "shard" || name == "state") {
        std::string_view raw;
        if (!parse_string(raw))
            return false;
        if (name == "shard") {
            // Compared without decoding: declared shard names need no escapes, so a name
            // that has one matches no shard.
            out.shard = raw;
        } else {
            out.state = raw == "cold"      ? reported_state::cold
                        : raw == "warm"    ? reported_state::warm
                        : raw == "leaving" ? reported_state::leaving
                                           : reported_state::unknown;
        }
        return true;
    }
    skip_whitespace();
    const char* start = pos_;
    if (!skip_value(1))
        return false;
    if (name == "hits" && *start == '[')
        out.hits = {start, static_cast<std::size_t>(pos_ - start)};
    return true;
}

bool reply_scanner::parse_reply(reply_fields& out)
{
    if (!consume('{'))
        return false;
    if (consume('}'))
        return true;
    std::string_view name;
    do {
        if (!parse_string(name) || !consume(':') || !parse_member(name, out))
            return false;
    } while (consume(','));
    return consume('}');
}

} // namespace

std::optional<reply_fields> scan_reply(std::string_view text)
{
    reply_fields out;
    reply_scanner it{text};
    if (!it.parse_reply(out) || !it.at_end())
        return std::nullopt;
    return out;
}

} // namespace ebonywick
