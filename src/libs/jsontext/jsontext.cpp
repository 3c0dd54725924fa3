// Splitting of JSON text by brackets, and parsing of values of bounded depth.
#include "jsontext/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace ebonywick {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

/// Position in a text, from which values are skipped.
class text_cursor
{
public:
    explicit text_cursor(std::string_view text) : text_(text) {}

    void skip_whitespace()
    {
        at_ = std::min(text_.find_first_not_of(whitespace, at_), text_.size());
    }
    [[nodiscard]] bool at_end() const { return at_ == text_.size(); }
    /// Skips whitespace and `expected`; false, without effect on the latter, if another character
    /// follows.
    bool take(char expected)
    {
        skip_whitespace();
        if (at_end() || text_[at_] != expected)
            return false;
        ++at_;
        return true;
    }
    /// Skips a string and returns what is between its quotation marks.
    std::optional<std::string_view> take_string()
    {
        if (!take('"'))
            return std::nullopt;
        const std::size_t begin = at_;
        while (!at_end() && text_[at_] != '"')
            at_ = std::min(at_ + (text_[at_] == '\\' ? 2 : 1), text_.size());
        if (at_end())
            return std::nullopt;
        return text_.substr(begin, at_++ - begin);
    }
    /// Skips a value of any kind and returns it.
    std::optional<std::string_view> take_value()
    {
        skip_whitespace();
        const std::size_t begin = at_;
        std::size_t depth = 0;
        do {
            if (at_end())
                return std::nullopt;
            const char c = text_[at_];
            if (c == '"') {
                if (!take_string())
                    return std::nullopt;
            } else if (c == '{' || c == '[') {
                ++depth;
                ++at_;
            } else if ((c == '}' || c == ']') && depth > 0) {
                --depth;
                ++at_;
            } else if (depth > 0) {
                at_ = std::min(text_.find_first_of("\"{}[]", at_), text_.size());
            } else {
                at_ = std::min(text_.find_first_of(",}] \t\r\n", at_), text_.size());
            }
        } while (depth > 0);
        if (at_ == begin)
            return std::nullopt;
        return text_.substr(begin, at_ - begin);
    }

private:
    std::string_view text_;
    std::size_t at_ = 0;
};

// Reads what is between `open` and `close`, separated by commas, with `take_element`. False if the
// text has another form.
template <class TakeElement>
bool split(std::string_view text, char open, char close, const TakeElement& take_element)
{
    text_cursor at{text};
    if (!at.take(open))
        return false;
    if (!at.take(close)) {
        do {
            if (!take_element(at))
                return false;
        } while (at.take(','));
        if (!at.take(close))
            return false;
    }
    at.skip_whitespace();
    return at.at_end();
}

std::size_t nesting_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool in_string = false;
    for (std::size_t it = 0; it < text.size(); ++it) {
        const char c = text[it];
        if (in_string) {
            if (c == '\\')
                ++it;
            else if (c == '"')
                in_string = false;
        } else if (c == '"') {
            in_string = true;
        } else if (c == '{' || c == '[') {
            deepest = std::max(deepest, ++depth);
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

constexpr const char* invalid_json = "invalid JSON, or a number that is too large";

void check_depth(std::string_view text)
{
    if (nesting_depth(text) > max_json_depth)
        throw std::invalid_argument{"nested too deeply"};
}

} // namespace

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text)
{
    std::vector<std::string_view> out;
    const bool valid = split(text, '[', ']', [&](text_cursor& at) {
        const auto value = at.take_value();
        if (value)
            out.push_back(*value);
        return value.has_value();
    });
    return valid ? std::optional{std::move(out)} : std::nullopt;
}

std::optional<std::vector<json_member>> split_json_object(std::string_view text)
{
    std::vector<json_member> out;
    const bool valid = split(text, '{', '}', [&](text_cursor& at) {
        const auto key = at.take_string();
        if (!key || !at.take(':'))
            return false;
        const auto value = at.take_value();
        if (value)
            out.push_back({*key, *value});
        return value.has_value();
    });
    return valid ? std::optional{std::move(out)} : std::nullopt;
}

std::optional<std::string_view> leading_json_value(std::string_view text)
{
    return text_cursor{text}.take_value();
}

std::string_view find_json_member(const std::vector<json_member>& members, std::string_view key)
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const json_member& it) { return it.key == key; });
    return found == members.end() ? std::string_view{} : found->value;
}

nlohmann::json parse_json(std::string_view text)
{
    // The parser itself does not recurse, but copies of its result and their text do.
    check_depth(text);
    auto out = nlohmann::json::parse(text, nullptr, false);
    if (out.is_discarded())
        throw std::invalid_argument{invalid_json};
    return out;
}

void check_json(std::string_view text)
{
    check_depth(text);
    if (!nlohmann::json::accept(text))
        throw std::invalid_argument{invalid_json};
}

} // namespace ebonywick
