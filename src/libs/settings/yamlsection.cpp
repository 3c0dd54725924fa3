// Reads one YAML mapping as described by a setting table.
#include "settings/yamlsection.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace ebonywick {

namespace {

// Exceeds the largest object that the store accepts (1 MB).
constexpr std::size_t max_text_bytes = 4U << 20U;
constexpr std::size_t max_name_length = 64;

bool is_letter_or_digit(char ch)
{
    return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') || (ch >= '0' && ch <= '9');
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_length && is_letter_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char ch) {
               return is_letter_or_digit(ch) || ch == '.' || ch == '_' || ch == '-';
           });
}

std::optional<endpoint> parse_ipv4_endpoint(const std::string& text)
{
    auto address = parse_endpoint(text);
    in_addr number{};
    if (!address || inet_pton(AF_INET, address->ip.c_str(), &number) != 1 || number.s_addr == 0)
        return std::nullopt;
    return address;
}

template <class T>
std::optional<T> parse_number(const std::string& text)
{
    T out{};
    const char* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, out);
    if (ec != std::errc{} || last != end)
        return std::nullopt;
    return out;
}

// Parses a document without building its nodes.
class discarding_handler : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark&) override {}
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
    void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
    void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  const std::string&) override
    {
    }
    void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
    }
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {
    }
    void OnMapEnd() override {}
};

} // namespace

void problem_list::add(int line, const std::string& key, std::string message,
                       std::string accepted_values, std::string remedy)
{
    keys_.insert(key);
    problems_.push_back(
        {file_, line, key, std::move(message), std::move(accepted_values), std::move(remedy)});
}

int problem_list::line_of(std::string key) const
{
    while (!key.empty()) {
        if (const auto it = lines_.find(key); it != lines_.end())
            return it->second;
        const auto at = key.find_last_of(".[");
        key.resize(at == std::string::npos ? 0 : at);
    }
    return 1;
}

bool problem_list::count_value()
{
    if (++values_ == max_values)
        add(1, "", fmt::format("the file contains {} values or more", max_values),
            "at most 1 MB as a store object", "declare fewer values and avoid nested YAML aliases");
    return values_ < max_values;
}

std::vector<setting_problem> problem_list::sorted() const
{
    auto out = problems_;
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& one, const auto& two) { return one.line < two.line; });
    return out;
}

int line_of(const YAML::Node& node)
{
    return node.Mark().line + 1;
}

std::string printable(const std::string& text)
{
    std::string out = text.substr(0, max_name_length);
    std::replace_if(
        out.begin(), out.end(), [](char ch) { return ch < ' ' || ch > '~'; }, '?');
    return text.size() > max_name_length ? out + "..." : out;
}

std::optional<YAML::Node> parse_yaml(const std::string& text, problem_list& problems)
{
    if (text.size() > max_text_bytes) {
        problems.add(1, "", "the file is too large", "at most 4 MiB",
                     "reduce the size of the file");
        return std::nullopt;
    }
    try {
        // Documents are counted with a parser because YAML::LoadAll() of yaml-cpp 0.7 does not
        // return for texts such as `,`.
        std::istringstream stream{text};
        YAML::Parser parser{stream};
        discarding_handler events;
        const bool has_document = parser.HandleNextDocument(events);
        if (has_document && !parser.HandleNextDocument(events))
            return YAML::Load(text);
        problems.add(1, "",
                     has_document ? "the file contains more than one YAML document"
                                  : "the file contains no YAML document",
                     "one YAML document", "put all keys into one document");
    } catch (const YAML::Exception& ex) {
        problems.add(std::max(ex.mark.line, 0) + 1, "", "not valid YAML: " + printable(ex.msg),
                     "YAML 1.2", "correct the syntax at this line");
    }
    return std::nullopt;
}

yaml_section::yaml_section(const YAML::Node& node, std::span<const setting_descriptor> table,
                           std::string_view section, std::string path, problem_list& problems)
    : table_(table), section_(section), path_(std::move(path)), problems_(problems)
{
    problems_.record_line(path_, line_of(node));
    std::string accepted_keys;
    for (const auto& setting : table_) {
        if (setting.section == section_)
            accepted_keys += (accepted_keys.empty() ? "" : ", ") + std::string{setting.key};
    }
    if (!node.IsMap()) {
        problems_.add(line_of(node), path_, "not a mapping", accepted_keys,
                      "write KEY: VALUE lines");
        return;
    }
    for (const auto& pair : node) {
        const int line = line_of(pair.first);
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "";
        const std::string key_path = path_of(printable(key));
        const bool is_known = std::any_of(table_.begin(), table_.end(), [&](const auto& setting) {
            return setting.section == section_ && setting.key == key;
        });
        if (!is_known) {
            problems_.add(line, key_path, "unknown key", accepted_keys,
                          "remove or correct the key");
            continue;
        }
        problems_.record_line(key_path, line);
        if (!values_.emplace(key, pair.second).second)
            problems_.add(line, key_path, "duplicate key", "each key at most once",
                          "remove all but one of the entries");
    }
    for (const auto& setting : table_) {
        if (setting.section == section_ && setting.required && !values_.contains(setting.key))
            problems_.add(line_of(node), path_of(setting.key), "missing",
                          accepted_values_text(setting), fmt::format("add `{}`", setting.key));
    }
}

std::string yaml_section::path_of(std::string_view key) const
{
    return path_.empty() ? std::string{key} : fmt::format("{}.{}", path_, key);
}

const setting_descriptor& yaml_section::descriptor_of(std::string_view key) const
{
    return *std::find_if(table_.begin(), table_.end(), [&](const auto& setting) {
        return setting.section == section_ && setting.key == key;
    });
}

std::optional<YAML::Node> yaml_section::value(std::string_view key) const
{
    if (const auto it = values_.find(key); it != values_.end() && problems_.count_value())
        return it->second;
    return std::nullopt;
}

void yaml_section::add_unacceptable(const setting_descriptor& setting, const std::string& message)
{
    const std::string path = path_of(setting.key);
    problems_.add(problems_.line_of(path), path, message, accepted_values_text(setting),
                  setting.required
                      ? "correct the value"
                      : fmt::format("correct the value, or remove the key for the default {}",
                                    setting.default_value));
}

std::optional<std::string> yaml_section::scalar(std::string_view key)
{
    const auto& setting = descriptor_of(key);
    const auto node = value(key);
    if (!node)
        return setting.required ? std::nullopt : std::optional{std::string{setting.default_value}};
    if (node->IsScalar())
        return node->Scalar();
    add_unacceptable(setting, "not a single value");
    return std::nullopt;
}

std::vector<std::string> yaml_section::scalars(std::string_view key)
{
    std::vector<std::string> out;
    const auto node = value(key);
    if (!node)
        return out;
    if (!node->IsSequence()) {
        add_unacceptable(descriptor_of(key), "not a list");
        return out;
    }
    for (const auto& entry : *node) {
        if (!problems_.count_value())
            break;
        if (entry.IsScalar())
            out.push_back(entry.Scalar());
        else
            add_unacceptable(descriptor_of(key), "an entry is not a single value");
    }
    return out;
}

std::string yaml_section::name(std::string_view key)
{
    const auto text = scalar(key);
    if (text && is_name(*text))
        return *text;
    if (text)
        add_unacceptable(descriptor_of(key), fmt::format("`{}` is not a name", printable(*text)));
    return {};
}

endpoint yaml_section::address(std::string_view key)
{
    const auto text = scalar(key);
    const auto out = text ? parse_ipv4_endpoint(*text) : std::nullopt;
    if (text && !out)
        add_unacceptable(descriptor_of(key),
                         fmt::format("`{}` is not an address", printable(*text)));
    return out.value_or(endpoint{});
}

std::vector<endpoint> yaml_section::addresses(std::string_view key)
{
    std::vector<endpoint> out;
    for (const auto& text : scalars(key)) {
        if (const auto address = parse_ipv4_endpoint(text))
            out.push_back(*address);
        else
            add_unacceptable(descriptor_of(key),
                             fmt::format("`{}` is not an address", printable(text)));
    }
    return out;
}

std::vector<std::string> yaml_section::names(std::string_view key)
{
    std::vector<std::string> out;
    for (const auto& text : scalars(key)) {
        if (is_name(text))
            out.push_back(text);
        else
            add_unacceptable(descriptor_of(key),
                             fmt::format("`{}` is not a name", printable(text)));
    }
    return out;
}

std::uint64_t yaml_section::integer(std::string_view key)
{
    const auto& setting = descriptor_of(key);
    const auto min = static_cast<std::uint64_t>(setting.min);
    if (const auto text = scalar(key)) {
        const auto n = parse_number<std::uint64_t>(*text);
        if (n && *n >= min && *n <= static_cast<std::uint64_t>(setting.max))
            return *n;
        add_unacceptable(setting, n ? fmt::format("{} is out of range", *n)
                                    : fmt::format("`{}` is not an integer", printable(*text)));
    }
    return parse_number<std::uint64_t>(std::string{setting.default_value}).value_or(min);
}

double yaml_section::number(std::string_view key)
{
    const auto& setting = descriptor_of(key);
    if (const auto text = scalar(key)) {
        const auto n = parse_number<double>(*text);
        if (n && *n >= setting.min && *n <= setting.max)
            return *n;
        add_unacceptable(setting, n ? fmt::format("{} is out of range", *n)
                                    : fmt::format("`{}` is not a number", printable(*text)));
    }
    return parse_number<double>(std::string{setting.default_value}).value_or(setting.min);
}

std::size_t yaml_section::choice(std::string_view key)
{
    const auto& setting = descriptor_of(key);
    const auto index_of = [&](std::string_view word) -> std::optional<std::size_t> {
        std::size_t index = 0;
        for (std::string_view rest = setting.choices; !rest.empty(); ++index) {
            const auto end = std::min(rest.find('|'), rest.size());
            if (rest.substr(0, end) == word)
                return index;
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
        return std::nullopt;
    };
    if (const auto text = scalar(key)) {
        if (const auto index = index_of(*text))
            return *index;
        add_unacceptable(setting, fmt::format("`{}` is not an accepted word", printable(*text)));
    }
    return index_of(setting.default_value).value_or(0);
}

std::vector<YAML::Node> yaml_section::entries(std::string_view key)
{
    std::vector<YAML::Node> out;
    const auto node = value(key);
    if (!node)
        return out;
    if (!node->IsSequence()) {
        add_unacceptable(descriptor_of(key), "not a list");
        return out;
    }
    for (const auto& entry : *node) {
        if (!problems_.count_value())
            break;
        out.push_back(entry);
    }
    return out;
}

std::vector<std::pair<std::string, YAML::Node>> yaml_section::named_entries(std::string_view key)
{
    std::vector<std::pair<std::string, YAML::Node>> out;
    const auto node = value(key);
    if (!node)
        return out;
    if (!node->IsMap()) {
        add_unacceptable(descriptor_of(key), "not a mapping");
        return out;
    }
    std::set<std::string> seen;
    for (const auto& pair : *node) {
        if (!problems_.count_value())
            break;
        const std::string text = pair.first.IsScalar() ? pair.first.Scalar() : "";
        const std::string path = fmt::format("{}.{}", path_of(key), printable(text));
        if (!is_name(text))
            problems_.add(
                line_of(pair.first), path, fmt::format("`{}` is not a name", printable(text)),
                "1 to 64 of A-Z a-z 0-9 . _ -, first a letter or digit", "correct the name");
        else if (!seen.insert(text).second)
            problems_.add(line_of(pair.first), path, "duplicate key", "each name at most once",
                          "remove all but one of the entries");
        out.emplace_back(text, pair.second);
    }
    return out;
}

} // namespace ebonywick
