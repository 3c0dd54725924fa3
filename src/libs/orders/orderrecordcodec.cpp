// JSON encoding of order records. 64-bit values are hexadecimal strings, because JSON
// parsers in other languages round large numbers.
#include "orders/orderrecordcodec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <string_view>

namespace ebonywick {

namespace {

constexpr std::size_t digits_per_word = 16;

std::string_view name_of(order_state state)
{
    switch (state) {
    case order_state::started:
        return "started";
    case order_state::done:
        return "done";
    case order_state::not_run:
        return "not_run";
    }
    return "started";
}

std::optional<order_state> parse_state(std::string_view name)
{
    for (const auto it : {order_state::started, order_state::done, order_state::not_run}) {
        if (name_of(it) == name)
            return it;
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_hex_word(std::string_view text)
{
    std::uint64_t word = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, word, 16);
    if (text.size() != digits_per_word || ec != std::errc{} || end != last)
        return std::nullopt;
    return word;
}

std::optional<std::string> string_field(const nlohmann::json& document, const char* name)
{
    const auto it = document.find(name);
    if (it == document.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

error invalid_record(std::string_view what)
{
    return make_error(error_kind::invalid_declaration, fmt::format("order record: {}", what));
}

} // namespace

std::string encode(const order_record& record)
{
    const nlohmann::json document{{"service", record.service.value()},
                                  {"key", record.key},
                                  {"attempt", to_string(record.attempt)},
                                  {"fingerprint", fmt::format("{:016x}", record.fingerprint)},
                                  {"state", name_of(record.state)},
                                  {"outcome", record.outcome}};
    // Replaces invalid UTF-8 in a reply. Throwing would leave the order unrecorded.
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<order_record> decode_order_record(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return leaf::new_error(invalid_record("not a JSON object"));
    const auto service = string_field(document, "service");
    const auto key = string_field(document, "key");
    const auto outcome = string_field(document, "outcome");
    const auto attempt = string_field(document, "attempt");
    const auto fingerprint = parse_hex_word(string_field(document, "fingerprint").value_or(""));
    const auto state = parse_state(string_field(document, "state").value_or(""));
    if (!service || !key || !outcome || !fingerprint || !state)
        return leaf::new_error(invalid_record("a field is missing or has another type"));
    if (!attempt || attempt->size() != 2 * digits_per_word)
        return leaf::new_error(invalid_record("the attempt is not 32 hexadecimal digits"));
    const auto high = parse_hex_word(std::string_view{*attempt}.substr(0, digits_per_word));
    const auto low = parse_hex_word(std::string_view{*attempt}.substr(digits_per_word));
    if (!high || !low)
        return leaf::new_error(invalid_record("the attempt is not 32 hexadecimal digits"));
    return order_record{service_name{*service}, *key,   request_id{*high, *low},
                        *fingerprint,           *state, *outcome};
}

} // namespace ebonywick
