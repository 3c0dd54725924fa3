// Reads one YAML mapping against the table of declared settings. Part of the
// YAML readers.
#pragma once

#include "settings/settingtable.h"
#include "settings/yamlreader.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonywick {

/// Problems found so far, and the lines at which keys stand.
class problem_list
{
public:
    explicit problem_list(std::string file) : file_(std::move(file)) {}

    void add(int line, const std::string& key, std::string message, std::string range,
             std::string remedy);
    void note_line(const std::string& key, int line) { lines_.emplace(key, line); }
    /// Line of the key or of its nearest enclosing key that was read.
    [[nodiscard]] int line_of(std::string key) const;
    [[nodiscard]] bool has_problem(const std::string& key) const { return keys_.contains(key); }
    [[nodiscard]] bool empty() const { return problems_.empty(); }
    /// Counts a value that was visited. False once the text expands, through
    /// aliases, to more values than a declaration of 1 MB can hold.
    bool count_value();
    [[nodiscard]] std::vector<setting_problem> sorted() const;

private:
    static constexpr std::size_t most_values = 200000;

    std::string file_;
    std::vector<setting_problem> problems_;
    std::set<std::string> keys_;
    std::map<std::string, int> lines_;
    std::size_t values_ = 0;
};

[[nodiscard]] int line_of(const YAML::Node& node);

/// Key text for messages; long text is shortened and control characters are
/// replaced.
[[nodiscard]] std::string printable(const std::string& text);

/// Parses the text as one YAML document; empty after a problem.
[[nodiscard]] std::optional<YAML::Node> parse_yaml(const std::string& text, problem_list& problems);

/// The keys of one mapping. Reports unknown, duplicate and missing keys when
/// constructed, and unacceptable values when they are read; a value with a
/// problem reads as its default.
class yaml_section
{
public:
    /// `path` is the key of the mapping itself, empty for the whole file.
    yaml_section(const YAML::Node& node, std::span<const declared_setting> table,
                 std::string_view section, std::string path, problem_list& problems);

    [[nodiscard]] std::string name(std::string_view key);
    [[nodiscard]] endpoint address(std::string_view key);
    [[nodiscard]] std::vector<endpoint> addresses(std::string_view key);
    [[nodiscard]] std::vector<std::string> names(std::string_view key);
    [[nodiscard]] std::uint64_t integer(std::string_view key);
    [[nodiscard]] double number(std::string_view key);
    /// Index among the choices of the setting.
    [[nodiscard]] std::size_t choice(std::string_view key);
    /// Entries of a list of mappings.
    [[nodiscard]] std::vector<YAML::Node> entries(std::string_view key);
    /// Names and values of a mapping with free names.
    [[nodiscard]] std::vector<std::pair<std::string, YAML::Node>> named(std::string_view key);

    [[nodiscard]] std::string path_of(std::string_view key) const;

private:
    [[nodiscard]] const declared_setting& declared(std::string_view key) const;
    [[nodiscard]] std::optional<YAML::Node> value(std::string_view key) const;
    // Empty if a required key is missing or the value has a problem.
    [[nodiscard]] std::optional<std::string> scalar(std::string_view key);
    [[nodiscard]] std::vector<std::string> scalars(std::string_view key);
    void unacceptable(const declared_setting& setting, const std::string& what);

    std::span<const declared_setting> table_;
    std::string_view section_;
    std::string path_;
    problem_list& problems_;
    std::map<std::string, YAML::Node, std::less<>> values_;
};

} // namespace ebonywick
